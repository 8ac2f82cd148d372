// Averages the load reports and classifies slow ranks.

#include "expertmap/loadtracker.h"

#include <algorithm>
#include <cmath>

namespace daisymount::expertmap
{

namespace
{
/// A rank is slow if its step time exceeds this multiple of the median.
constexpr double SLOW_FACTOR = 1.5;
/// A rank is loaded if its token rate exceeds this multiple of the median.
constexpr double LOADED_FACTOR = 1.2;

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}
} // namespace

LoadTracker::LoadTracker(int layers, int ranks, int experts, Duration halfLife)
    : ranks_(ranks), experts_(experts), halfLife_(halfLife), states_(static_cast<size_t>(layers) * static_cast<size_t>(ranks))
{ }

const LoadTracker::RankState &LoadTracker::state(int layer, int rank) const
{
    return states_[static_cast<size_t>(layer) * static_cast<size_t>(ranks_) + static_cast<size_t>(rank)];
}

void LoadTracker::onReport(const LoadReport &report)
{
    RankState &state = states_[static_cast<size_t>(report.layer) * static_cast<size_t>(ranks_) + static_cast<size_t>(report.rank)];
    const bool old = state.sequence && report.sequence <= *state.sequence;
    if (old || report.to <= report.from) {
        return;
    }
    // Weight the previous average by the time since the last report, so that gaps age it like regular reports.
    const double age = std::chrono::duration<double>(report.to - std::max(state.to, Instant{0})) / std::chrono::duration<double>(halfLife_);
    const double kept = state.sequence ? std::exp2(-age) : 0.0;
    const double length = std::chrono::duration<double>(report.to - report.from).count();
    std::map<int, double> rates;
    state.rate = 0.0;
    for (const auto &[expert, tokens] : report.tokensOfExpert) {
        const auto before = state.rateOfExpert.find(expert);
        const double sample = tokens / length;
        // An expert new to the rank has no previous average.
        rates[expert] = before == state.rateOfExpert.end() ? sample : kept * before->second + (1.0 - kept) * sample;
        state.rate += rates[expert];
    }
    state.rateOfExpert = std::move(rates);
    state.stepMs = kept * state.stepMs + (1.0 - kept) * report.stepMs;
    state.sequence = report.sequence;
    state.to = report.to;
}

std::vector<double> LoadTracker::loads(int layer) const
{
    std::vector<double> result(static_cast<size_t>(experts_), 0.0);
    for (int rank = 0; rank < ranks_; ++rank) {
        for (const auto &[expert, rate] : state(layer, rank).rateOfExpert) {
            result[static_cast<size_t>(expert)] += rate;
        }
    }
    return result;
}

RankCondition LoadTracker::condition(int rank) const
{
    std::vector<double> steps;
    std::vector<double> rates;
    for (int other = 0; other < ranks_; ++other) {
        steps.push_back(state(0, other).stepMs);
        rates.push_back(state(0, other).rate);
    }
    const bool slow = state(0, rank).stepMs > SLOW_FACTOR * median(steps);
    const bool loaded = state(0, rank).rate > LOADED_FACTOR * median(rates);
    if (!slow) {
        return RankCondition::Normal;
    }
    return loaded ? RankCondition::Overloaded : RankCondition::Stalled;
}

bool LoadTracker::complete(int layer) const
{
    for (int rank = 0; rank < ranks_; ++rank) {
        if (!state(layer, rank).sequence) {
            return false;
        }
    }
    return true;
}

} // namespace daisymount::expertmap

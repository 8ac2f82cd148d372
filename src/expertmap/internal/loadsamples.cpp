// Computes load samples from the differences of cumulative counts.

#include "expertmap/loadsamples.h"

#include <algorithm>
#include <numeric>

namespace daisymount::expertmap
{

namespace
{
/// Returns the expert selections of one set between two reads, or an empty vector if a count decreased, which happens after a rank's restart.
std::vector<int64_t> difference(const std::vector<int64_t> &before, const std::vector<int64_t> &after)
{
    std::vector<int64_t> increase(after.size());
    for (size_t expert = 0; expert < after.size(); ++expert) {
        increase[expert] = after[expert] - (expert < before.size() ? before[expert] : 0);
        if (increase[expert] < 0) {
            return {};
        }
    }
    return increase;
}

SetSample normalised(const std::vector<int64_t> &choices, int64_t total)
{
    SetSample sample(choices.size());
    std::ranges::transform(choices, sample.begin(), [&](int64_t count) { return static_cast<float>(count) / static_cast<float>(total); });
    return sample;
}
} // namespace

LoadSamples::LoadSamples(const Options &options) : options_(options)
{ }

bool LoadSamples::onCounts(int rank, const ExpertCounts &counts)
{
    const auto previous = lastCounts_.find(rank);
    const bool usable = previous != lastCounts_.end() && previous->second.epoch == counts.epoch && previous->second.chosen.size() == counts.chosen.size();
    const ExpertCounts before = usable ? previous->second : ExpertCounts{};
    LoadSample sample;
    for (size_t set = 0; set < counts.chosen.size(); ++set) {
        const std::vector<int64_t> increase = difference(usable ? before.chosen[set] : std::vector<int64_t>{}, counts.chosen[set]);
        const int64_t total = std::accumulate(increase.begin(), increase.end(), int64_t{0});
        if (increase.empty()) {
            lastCounts_[rank] = counts;
            return false;
        }
        if (total < options_.minChoices) {
            return false;
        }
        sample.push_back(normalised(increase, total));
    }
    lastCounts_[rank] = counts;
    if (sample.empty()) {
        return false;
    }
    samples_.push_back(std::move(sample));
    ++totalSamples_;
    if (samples_.size() > options_.capacity) {
        samples_.pop_front();
    }
    return true;
}

void LoadSamples::onNewEpoch()
{
    lastCounts_.clear();
}

const std::deque<LoadSample> &LoadSamples::samples() const
{
    return samples_;
}

int64_t LoadSamples::totalSamples() const
{
    return totalSamples_;
}

} // namespace daisymount::expertmap

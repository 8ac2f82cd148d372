// Differences of running counts.

#include "expertmap/loadsamples.h"

#include <algorithm>
#include <numeric>

namespace daisymount::expertmap
{

namespace
{
/// Choices of one set between @p before and @p after; empty when a count went back, as after a restart.
std::vector<int64_t> difference(const std::vector<int64_t> &before, const std::vector<int64_t> &after)
{
    std::vector<int64_t> grown(after.size());
    for (size_t expert = 0; expert < after.size(); ++expert) {
        grown[expert] = after[expert] - (expert < before.size() ? before[expert] : 0);
        if (grown[expert] < 0) {
            return {};
        }
    }
    return grown;
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
    const auto known = last_.find(rank);
    const bool usable = known != last_.end() && known->second.epoch == counts.epoch && known->second.chosen.size() == counts.chosen.size();
    const ExpertCounts before = usable ? known->second : ExpertCounts{};
    LoadSample sample;
    for (size_t set = 0; set < counts.chosen.size(); ++set) {
        const std::vector<int64_t> grown = difference(usable ? before.chosen[set] : std::vector<int64_t>{}, counts.chosen[set]);
        const int64_t total = std::accumulate(grown.begin(), grown.end(), int64_t{0});
        if (grown.empty()) {
            last_[rank] = counts;
            return false;
        }
        if (total < options_.leastChoices) {
            return false;
        }
        sample.push_back(normalised(grown, total));
    }
    last_[rank] = counts;
    if (sample.empty()) {
        return false;
    }
    samples_.push_back(std::move(sample));
    ++taken_;
    if (samples_.size() > options_.capacity) {
        samples_.pop_front();
    }
    return true;
}

void LoadSamples::onNewEpoch()
{
    last_.clear();
}

const std::deque<LoadSample> &LoadSamples::samples() const
{
    return samples_;
}

int64_t LoadSamples::taken() const
{
    return taken_;
}

} // namespace daisymount::expertmap

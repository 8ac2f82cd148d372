// Differences of running counts.

#include "expertmap/loadsamples.h"

#include <algorithm>
#include <functional>
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

void LoadSamples::setReadsPerSample(int reads)
{
    readsPerSample_ = std::max(1, reads);
}

bool LoadSamples::onCounts(int rank, const ExpertCounts &counts)
{
    const auto known = last_.find(rank);
    const bool usable = known != last_.end() && known->second.epoch == counts.epoch && known->second.chosen.size() == counts.chosen.size();
    const ExpertCounts before = usable ? known->second : ExpertCounts{};
    last_[rank] = counts;
    std::vector<std::vector<int64_t>> grown;
    for (size_t set = 0; set < counts.chosen.size(); ++set) {
        grown.push_back(difference(usable ? before.chosen[set] : std::vector<int64_t>{}, counts.chosen[set]));
        if (grown.back().empty()) {
            return false;
        }
    }
    gather(grown);
    return closeSample();
}

void LoadSamples::gather(const std::vector<std::vector<int64_t>> &grown)
{
    const bool sameShape = open_.size() == grown.size() && (grown.empty() || open_.front().size() == grown.front().size());
    if (!sameShape) {
        open_ = grown;
        openReads_ = 1;
        return;
    }
    for (size_t set = 0; set < grown.size(); ++set) {
        std::ranges::transform(open_[set], grown[set], open_[set].begin(), std::plus{});
    }
    ++openReads_;
}

bool LoadSamples::closeSample()
{
    if (openReads_ < readsPerSample_ || open_.empty()) {
        return false;
    }
    LoadSample sample;
    for (const std::vector<int64_t> &choices : open_) {
        const int64_t total = std::accumulate(choices.begin(), choices.end(), int64_t{0});
        if (total < options_.leastChoices) {
            return false;
        }
        sample.push_back(normalised(choices, total));
    }
    open_.clear();
    openReads_ = 0;
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
    open_.clear();
    openReads_ = 0;
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

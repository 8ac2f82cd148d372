// Short samples of the expert load, computed from the cumulative counts of the ranks.

#pragma once

#include "expertmap/grouptypes.h"
#include "framework/clock.h"

#include <deque>
#include <map>
#include <span>
#include <vector>

namespace daisymount::expertmap
{

/// Load of the experts of one set during one sample, normalised to a sum of 1.
using SetSample = std::vector<float>;

/// Load of all sets during one sample.
using LoadSample = std::vector<SetSample>;

/// Converts cumulative counts into samples. A sample covers the requests of one rank between two reads, which are a few prompts, like those of
/// a single pass. Longer averages would hide uneven passes: the tokens of a prompt tend to select the same experts, so a map that is balanced
/// over many prompts may be unbalanced in every pass.
class LoadSamples
{
public:
    struct Options
    {
        size_t capacity = 24; ///< Number of samples kept.
        int64_t minChoices = 8'000; ///< Minimum number of expert selections per set in a sample; fewer are left for the next read.
    };

    explicit LoadSamples(const Options &options);

    /// Returns true if the counts resulted in a new sample.
    bool onCounts(int rank, const ExpertCounts &counts);
    /// Discards the last counts of the ranks, because the ranks have been restarted or replaced. Keeps the samples.
    void onNewEpoch();

    const std::deque<LoadSample> &samples() const;
    /// Number of samples taken since construction, including discarded ones.
    int64_t totalSamples() const;

private:
    Options options_;
    std::map<int, ExpertCounts> lastCounts_; ///< By rank.
    std::deque<LoadSample> samples_; ///< Oldest first.
    int64_t totalSamples_ = 0;
};

} // namespace daisymount::expertmap

// Short samples of which experts are chosen together, from the ranks' running counts.

#pragma once

#include "expertmap/grouptypes.h"
#include "framework/clock.h"

#include <deque>
#include <map>
#include <span>
#include <vector>

namespace daisymount::expertmap
{

/// Load of the experts of one set during one sample, scaled so that the experts together bear 1.
using SetSample = std::vector<float>;

/// Load of all sets during one sample.
using LoadSample = std::vector<SetSample>;

/// Turns running counts into samples. A sample holds what one rank's requests chose between two reads: a handful of prompts, as one pass
/// does. A map that is even over many prompts may still be uneven in every pass, since the tokens of a prompt choose experts together.
class LoadSamples
{
public:
    struct Options
    {
        size_t capacity = 24; ///< Samples that are kept.
        int64_t minChoices = 8'000; ///< Choices per set below which a read is left to grow.
    };

    explicit LoadSamples(const Options &options);

    /// Returns true when the counts made a new sample.
    bool onCounts(int rank, const ExpertCounts &counts);
    /// Forgets the running counts: ranks have started again, or other ones answer under these numbers. Samples stay.
    void onNewEpoch();

    const std::deque<LoadSample> &samples() const;
    /// Samples since the start; tells whether there is something new.
    int64_t totalSamples() const;

private:
    Options options_;
    std::map<int, ExpertCounts> lastCounts_; ///< By rank.
    std::deque<LoadSample> samples_; ///< Oldest first.
    int64_t totalSamples_ = 0;
};

} // namespace daisymount::expertmap

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

/// Turns running counts into samples. A sample holds what the requests of a few ranks chose between two reads: about as many prompts as
/// one pass of the group does. A map that is even over many more prompts may still be uneven in every pass, since the tokens of a prompt
/// choose experts together; one that is even over each prompt alone costs places and copies that no pass needs.
class LoadSamples
{
public:
    struct Options
    {
        size_t capacity = 24; ///< Samples that are kept.
        int64_t leastChoices = 8'000; ///< Choices per set below which a sample is left to grow.
    };

    explicit LoadSamples(const Options &options);

    /// Reads of ranks that make one sample, at least 1.
    void setReadsPerSample(int reads);
    /// Returns true when the counts completed a sample.
    bool onCounts(int rank, const ExpertCounts &counts);
    /// Forgets the running counts: ranks have started again, or other ones answer under these numbers. Samples stay.
    void onNewEpoch();

    const std::deque<LoadSample> &samples() const;
    /// Samples since the start; tells whether there is something new.
    int64_t taken() const;

private:
    void gather(const std::vector<std::vector<int64_t>> &grown);
    /// Turns what was gathered into a sample once there is enough of it.
    bool closeSample();

    Options options_;
    int readsPerSample_ = 1;
    std::map<int, ExpertCounts> last_; ///< By rank.
    std::vector<std::vector<int64_t>> open_; ///< Choices by set and expert of the sample that is being gathered.
    int openReads_ = 0;
    std::deque<LoadSample> samples_; ///< Oldest first.
    int64_t taken_ = 0;
};

} // namespace daisymount::expertmap

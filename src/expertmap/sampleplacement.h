// Places the experts of one set so that each sample's most loaded rank bears little more than the mean.
//
// Load: lock-step groups whose passes hold a few prompts each; a pass lasts as long as its most loaded rank.

#pragma once

#include "expertmap/grouptypes.h"
#include "expertmap/loadsamples.h"

#include <random>
#include <span>
#include <vector>

namespace daisymount::expertmap
{

struct PlacementBounds
{
    int ranks = 0;
    int experts = 0;
    int maxExpertsPerRank = 0; ///< Experts per rank at most.
    int maxAddedPerRank = 0; ///< Experts that one change may add to a rank.
    double copyCost = 0.0; ///< Skew that one copied expert must save.
};

/// Experts in turn: expert e lies on rank e modulo the number of ranks.
std::vector<RankExperts> roundRobinPlacement(int ranks, int experts);

/// Mean over @p samples of the most loaded rank over the mean rank, at least 1; 1 without samples.
double meanSampleSkew(std::span<const RankExperts> placement, int experts, std::span<const SetSample> samples);

/// Greedy local search from the placement in force: adds, replaces and swaps experts.
class SamplePlacement
{
public:
    SamplePlacement(const PlacementBounds &bounds, std::span<const RankExperts> current, std::vector<SetSample> samples, uint64_t seed);

    /// Tries @p proposals changes. Returns false when the search has settled: call no more.
    bool improve(int proposals);

    std::vector<RankExperts> placement() const;
    /// Mean sample skew without the cost of copies.
    double skew() const;
    double initialSkew() const;
    /// Experts that ranks must copy.
    int copies() const;

    /// Proposals in a row without a gain after which the search has settled.
    static constexpr int CONVERGED_AFTER = 500;

private:
    /// The most loaded rank of one sample.
    struct Peak
    {
        float load = 0.0F;
        int rank = 0;
    };

    struct Change
    {
        int expert = 0;
        int rank = 0;
        bool add = true;
    };

    bool propose();
    bool tryChanges(std::span<const Change> changes);
    bool isWithinBounds(const Change &change) const;
    /// Adds or removes the expert at the rank in the lists and counts, not in the loads.
    void updateLists(const Change &change);
    /// Adds @p sign times the expert's load to all ranks that hold it.
    void addLoad(int expert, float sign);
    /// Notes a rank whose loads the changes under trial alter.
    void markTouched(int rank);
    void saveTouched();
    void restoreTouched();
    /// Fills nextPeaks_ from the altered loads and returns their sum. Costs as much as the touched ranks, and all ranks only for samples
    /// whose most loaded rank became lighter.
    double computeTrialPeaks();
    Peak peakOf(size_t sample) const;
    int pickHeavyExpert(size_t sample, int rank);
    int pickLightRank(size_t sample, int expert);
    int pickRedundantExpert(size_t sample, int rank, int except) const;
    int pickLightExpert(size_t sample, int rank, int except) const;

    float load(size_t sample, int rank) const;
    /// Load of the expert in @p sample, borne by each of its replicas.
    float share(size_t sample, int expert) const;
    bool holds(int rank, int expert) const;
    size_t indexOf(int rank, int expert) const;

    PlacementBounds bounds_;
    size_t sampleCount_ = 0;
    std::vector<float> expertLoads_; ///< experts x samples, so that one expert's loads lie together; 1 is the mean rank.
    std::vector<float> loads_; ///< ranks x samples.
    std::vector<RankExperts> expertsOf_; ///< By rank, at most placements, ascending.
    std::vector<std::vector<int>> holdersOf_; ///< Ranks by expert, at least one.
    std::vector<uint8_t> holds_; ///< ranks x experts.
    std::vector<uint8_t> initiallyHeld_; ///< ranks x experts.
    std::vector<int> added_; ///< Experts by rank that were not there at the start, at most spares.
    std::vector<Peak> peaks_; ///< By sample.
    std::vector<Peak> trialPeaks_; ///< By sample, with the changes under trial.
    std::vector<int> touched_; ///< Ranks whose loads the changes under trial alter, each once.
    std::vector<float> savedLoads_; ///< Their loads before, touched x samples.
    double peakSum_ = 0.0; ///< Over all samples.
    int copies_ = 0;
    double cost_ = 0.0;
    double initialSkew_ = 1.0;
    int rejectedInRow_ = 0;
    std::minstd_rand random_;
};

} // namespace daisymount::expertmap

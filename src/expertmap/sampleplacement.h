// Placement of the experts of one set that minimises the load of the most loaded rank, averaged over load samples.
//
// Intended for lock-step groups whose passes hold a few prompts each: a pass takes as long as its most loaded rank does.

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
    int maxExpertsPerRank = 0;
    int maxAddedPerRank = 0; ///< Maximum number of experts that one change of the map adds to a rank.
    double copyCost = 0.0; ///< Reduction of the skew required for each copied expert.
};

/// Initial placement: expert e is placed on rank e modulo the number of ranks.
std::vector<RankExperts> roundRobinPlacement(int ranks, int experts);

/// Returns the ratio of the highest to the mean rank load, averaged over @p samples; at least 1, and 1 if there are no samples.
double meanSampleSkew(std::span<const RankExperts> placement, int experts, std::span<const SetSample> samples);

/// Greedy local search that starts from the current placement and adds, replaces and swaps experts.
class SamplePlacement
{
public:
    /// @p allowance limits the experts added to each rank further than the bounds do; empty: it does not.
    SamplePlacement(const PlacementBounds &bounds, std::span<const RankExperts> current, std::vector<SetSample> samples, uint64_t seed,
                    std::span<const int> allowance = {});

    /// Tries @p proposals random changes. Returns false once the search has converged; further calls have no effect.
    bool improve(int proposals);

    std::vector<RankExperts> placement() const;
    /// Mean sample skew without the cost of copies.
    double skew() const;
    double initialSkew() const;
    /// Number of experts that ranks have to copy for this placement.
    int copies() const;
    /// The same for one rank.
    int copiesOf(int rank) const;

    /// Number of consecutive rejected proposals after which the search has converged.
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
    /// Adds the expert to the rank or removes it, in the lists and counts only; the loads stay unchanged.
    void updateLists(const Change &change);
    /// Adds @p sign times the expert's load to the ranks that hold it, in equal parts.
    void addLoad(int expert, float sign);
    /// Records a rank whose loads are modified by the changes being tried.
    void markTouched(int rank);
    void saveTouched();
    void restoreTouched();
    /// Computes trialPeaks_ from the modified loads and returns their sum. Examines the touched ranks only, except for samples whose most
    /// loaded rank has become lighter, for which it examines all ranks.
    double computeTrialPeaks();
    Peak peakOf(size_t sample) const;
    int pickHeavyExpert(size_t sample, int rank);
    int pickLightRank(size_t sample, int expert);
    int pickRedundantExpert(size_t sample, int rank, int except) const;
    int pickLightExpert(size_t sample, int rank, int except) const;

    float load(size_t sample, int rank) const;
    /// Load of each replica of the expert in @p sample.
    float share(size_t sample, int expert) const;
    bool holds(int rank, int expert) const;
    size_t indexOf(int rank, int expert) const;

    PlacementBounds bounds_;
    size_t sampleCount_ = 0;
    std::vector<float> expertLoads_; ///< experts x samples, so that the loads of an expert are contiguous; 1 is the mean load of a rank.
    std::vector<float> loads_; ///< ranks x samples.
    std::vector<RankExperts> expertsOf_; ///< Experts by rank, ascending, at most maxExpertsPerRank each.
    std::vector<std::vector<int>> holdersOf_; ///< Ranks by expert, at least one each.
    std::vector<uint8_t> holds_; ///< ranks x experts.
    std::vector<uint8_t> initiallyHeld_; ///< ranks x experts.
    std::vector<int> allowance_; ///< Maximum number of added experts by rank, at most maxAddedPerRank each.
    std::vector<int> added_; ///< Number of added experts by rank, at most its allowance each.
    std::vector<Peak> peaks_; ///< By sample.
    std::vector<Peak> trialPeaks_; ///< By sample, with the changes being tried.
    std::vector<int> touched_; ///< Ranks whose loads are modified by the changes being tried, without duplicates.
    std::vector<float> savedLoads_; ///< Loads of the touched ranks before the changes, touched x samples.
    double peakSum_ = 0.0; ///< Sum of the peak loads of all samples.
    int copies_ = 0;
    double cost_ = 0.0;
    double initialSkew_ = 1.0;
    int rejectedInRow_ = 0;
    std::minstd_rand random_;
};

} // namespace daisymount::expertmap

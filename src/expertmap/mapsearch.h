// Search for a better map of a rank group: the sets are searched one after the other, and all of them share the copies that a rank may make.
//
// Expected load: demand that moves to other experts every few seconds. A change takes effect only when its slowest rank has copied its new
// experts, one after the other over all sets, and passes take longer in the meantime. Several small changes therefore follow such demand
// sooner than a large one.

#pragma once

#include "expertmap/loadsamples.h"
#include "expertmap/sampleplacement.h"

#include <optional>
#include <random>
#include <span>
#include <vector>

namespace daisymount::expertmap
{

struct MapSearchOptions
{
    int experts = 0; ///< Experts per set.
    int maxExpertsPerRank = 0; ///< Per set.
    int maxAddedPerRankAndSet = 0;
    int maxAddedPerRank = 0; ///< Over all sets.
    double copyCost = 0.0; ///< Reduction of the skew required for each copied expert.
    int maxProposalsPerSet = 4'000;
    bool spreadCopies = false; ///< Divide the copies of each rank between the sets, instead of giving them to the sets that are searched first.
};

/// Returns how many experts a rank can copy in @p limit, at least 1.
int copiesWithin(framework::Duration limit, framework::Duration copyTime);

/// Mean skew of @p map over its sets and @p samples; 1 without samples.
double meanMapSkew(const GroupMap &map, int experts, std::span<const LoadSample> samples);

/// Samples to search with, and others that show how well the result fits demand that it was not fitted to.
struct SplitSamples
{
    std::vector<LoadSample> training;
    std::vector<LoadSample> heldOut;
};

/// Holds out every third sample.
SplitSamples splitSamples(std::span<const LoadSample> samples);

class MapSearch
{
public:
    /// Starts from @p current and balances @p samples, which must not be empty.
    MapSearch(const MapSearchOptions &options, GroupMap current, std::vector<LoadSample> samples, uint64_t seed);

    /// Tries up to @p proposals changes. Returns false once all sets have been searched.
    bool improve(int proposals);

    /// The best map found. Only complete once improve() has returned false.
    const GroupMap &map() const;
    /// Mean skew over samples and sets of the map that the search started from.
    double initialSkew() const;
    /// The same of map().
    double skew() const;
    /// Number of experts that the ranks have to copy for map().
    int copies() const;
    /// Number of experts that the rank with the most has to copy for map().
    int maxCopiesOfARank() const;

private:
    void beginSet();
    void finishSet();
    /// Copies that each rank may make for the current set.
    std::vector<int> setAllowance();

    MapSearchOptions options_;
    GroupMap map_; ///< The sets before nextSet_ have been searched.
    std::vector<LoadSample> samples_;
    std::minstd_rand random_;
    size_t set_ = 0; ///< The set being searched.
    std::optional<SamplePlacement> search_; ///< Of set_; empty when all sets have been searched.
    int proposals_ = 0; ///< Tried for set_.
    std::vector<int> allowance_; ///< Copies left, by rank.
    std::vector<int> granted_; ///< Copies that the sets up to the current one may make together, by rank.
    double initialSkewSum_ = 0.0;
    double skewSum_ = 0.0;
    int copies_ = 0;
};

} // namespace daisymount::expertmap

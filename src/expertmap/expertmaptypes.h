// Types of the expert map library: placement of experts on the ranks of a group.

#pragma once

#include "framework/clock.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace daisymount::expertmap
{

using framework::Duration;
using framework::Instant;

/// Placement of the experts of one layer. All ranks have the same number of slots, and each slot holds one expert.
class LayerMap
{
public:
    LayerMap() = default;
    LayerMap(int ranks, int slotsPerRank, int experts);

    int ranks() const;
    int slotsPerRank() const;
    int experts() const;
    int slots() const;
    int rankOf(int slot) const;
    int expertAt(int slot) const;
    void setExpert(int slot, int expert);
    /// Number of slots that hold @p expert.
    int replicas(int expert) const;
    bool holds(int rank, int expert) const;

    bool operator==(const LayerMap &other) const = default;

    /// Assigns consecutive experts to each rank and fills spare slots with second copies from the other half of the experts.
    static LayerMap contiguous(int ranks, int slotsPerRank, int experts);

private:
    int ranks_ = 0;
    int slotsPerRank_ = 0;
    std::vector<int> expertOfSlot_; ///< Experts by slot.
    std::vector<int> replicas_; ///< Number of replicas by expert; the sum is slots().
};

/// Returns the load of each rank if the replicas of an expert share its load equally.
std::vector<double> rankLoads(const LayerMap &map, std::span<const double> expertLoads);

/// Returns the ratio of the highest to the mean load, at least 1; 1 if there is no load.
double skewOf(std::span<const double> loads);

/// Returns the number of slots in @p next for which the rank has to fetch weights that it does not hold in @p current.
int movedExperts(const LayerMap &current, const LayerMap &next);

} // namespace daisymount::expertmap

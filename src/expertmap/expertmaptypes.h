// Types of the expert-map slice: which rank of a group holds which experts.

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

/// Placement of one layer: every rank has the same number of slots, every slot holds one expert.
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
    /// True when @p rank holds @p expert.
    bool holds(int rank, int expert) const;

    bool operator==(const LayerMap &other) const = default;

    /// Experts in order, spare slots holding second copies from the other half of the experts.
    static LayerMap contiguous(int ranks, int slotsPerRank, int experts);

private:
    int ranks_ = 0;
    int slotsPerRank_ = 0;
    std::vector<int> expertOfSlot_; ///< slots() entries, each in [0, experts()).
    std::vector<int> replicas_; ///< experts() entries, their sum is slots().
};

/// Load of each rank when an expert's load is shared evenly by its replicas.
std::vector<double> rankLoads(const LayerMap &map, std::span<const double> expertLoads);

/// Slowest rank over mean, at least 1; 1 when there is no load.
double skewOf(std::span<const double> loads);

/// Slots of @p next whose rank must fetch weights that it does not hold in @p current.
int movedExperts(const LayerMap &current, const LayerMap &next);

} // namespace daisymount::expertmap

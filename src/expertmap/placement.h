// Placement of experts on ranks: even load at few moves, starting from the map in force.

#pragma once

#include "expertmap/expertmaptypes.h"

#include <functional>
#include <span>

namespace daisymount::expertmap
{

struct PlacementOptions
{
    int ranksPerVm = 8; ///< Replicas of an expert are kept on different VMs.
    int maxMoves = 64; ///< Experts that may be fetched in one change of one layer.
    double targetSkew = 1.02; ///< No further moves below this.
};

/// Computes the next map of one layer.
using PlacementPolicy = std::function<LayerMap(const LayerMap &current, std::span<const double> expertLoads)>;

/// Replicates hot experts into redundant slots and swaps experts, best gain per move first, until the target or the bound.
PlacementPolicy incrementalPlacement(const PlacementOptions &options);

/// Baseline: replicates the hottest and packs by longest processing time, without regard to the map in force.
PlacementPolicy fullRecompute(const PlacementOptions &options);

/// Baseline: never changes.
PlacementPolicy staticPlacement();

/// True when the loss of any one VM leaves a copy of every expert that has more than one.
bool survivesVmLoss(const LayerMap &map, int ranksPerVm);

} // namespace daisymount::expertmap

// Placement of experts on ranks that balances the load with few moves, starting from the current map.

#pragma once

#include "expertmap/expertmaptypes.h"

#include <functional>
#include <span>

namespace daisymount::expertmap
{

struct PlacementOptions
{
    int ranksPerVm = 8; ///< Replicas of an expert are kept on different VMs.
    int maxMoves = 64; ///< Maximum number of experts fetched in one change of one layer.
    double targetSkew = 1.02; ///< The search stops at this skew.
};

/// Computes the next map of one layer.
using PlacementPolicy = std::function<LayerMap(const LayerMap &current, std::span<const double> expertLoads)>;

/// Replicates hot experts into redundant slots and swaps experts, highest gain per move first, until the target skew or the move limit is
/// reached.
PlacementPolicy incrementalPlacement(const PlacementOptions &options);

/// Baseline: replicates the hottest experts and assigns them by longest processing time first, ignoring the current map.
PlacementPolicy fullRecompute(const PlacementOptions &options);

/// Baseline: keeps the current map.
PlacementPolicy staticPlacement();

/// True if every expert with more than one replica still has one after the loss of any single VM.
bool survivesVmLoss(const LayerMap &map, int ranksPerVm);

} // namespace daisymount::expertmap

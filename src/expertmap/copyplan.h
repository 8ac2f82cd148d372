// Decides how many experts one change of a map may copy to each rank.
//
// Expected load: demand that moves to other experts every few seconds, on ranks that copy an expert in some tens of milliseconds. A change takes
// effect only after its last copy: few copies leave the load uneven, many take effect when demand is about to move again.

#pragma once

#include "framework/clock.h"

#include <optional>

namespace daisymount::expertmap
{

/// Measures the time between shifts of demand.
class DemandShiftTracker
{
public:
    /// The newest samples differ from those that the map in use was planned on.
    void onShifted(framework::Instant now);
    /// Expected time until demand moves again; DEFAULT_INTERVAL until two shifts were seen or after a long time without one. It bounds the copies of
    /// a change also where demand stays the same: the next change makes the rest, and the first copies are in use earlier.
    framework::Duration untilNextShift(framework::Instant now) const;

    static constexpr framework::Duration DEFAULT_INTERVAL = framework::seconds{5};

private:
    std::optional<framework::Instant> lastShift_;
    framework::Duration meanInterval_{0}; ///< Exponentially weighted, 0 before the second shift.
};

struct CopyPlanInput
{
    framework::Duration copyTime{0}; ///< For one expert; 0 if not published.
    framework::Duration untilShift{0}; ///< Expected time until demand moves again.
    framework::Duration switchTime{0}; ///< From the end of the copies until all ranks use the map.
    int sets = 0;
    int maxAddedPerSet = 0; ///< Per rank.
};

/// Number of copies per rank with the largest expected benefit until demand moves again; at least 1.
int copiesPerRank(const CopyPlanInput &input);

} // namespace daisymount::expertmap

// Pick policies: the one in use and the baselines it is measured against.

#pragma once

#include "routing/routingtypes.h"

namespace daisymount::routing
{

/// Prefix affinity with bounded load, else the better of a few random candidates by load, slowness and zone.
PickPolicy loadAwarePolicy();

/// Uniformly random.
PickPolicy randomPolicy();

/// Each candidate in turn.
PickPolicy roundRobinPolicy();

/// Fewest requests of this entry in flight, ties in turn.
PickPolicy leastOutstandingPolicy();

} // namespace daisymount::routing

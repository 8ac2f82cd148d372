// Cost terms used in upstream selection by load and in engine selection.

#pragma once

namespace daisymount::dispatch
{

inline constexpr double FAILURE_COST = 4.0; ///< Load per slot equivalent to a failure rate of 1.
/// Load per slot added for upstreams in other zones. Kept small: traffic between zones is billed, but queueing costs more.
inline constexpr double OTHER_ZONE_COST = 0.1;

/// Load per slot added for an upstream whose ramp permits no further request of this entry: it gets one only if the others are loaded heavily.
inline constexpr double RAMP_COST = 2.0;

} // namespace daisymount::dispatch

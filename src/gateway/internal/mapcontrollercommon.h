// Constants and helpers shared by the parts of the map controller.

#pragma once

#include "gateway/mapcontroller.h"

namespace daisymount::gateway
{

inline constexpr milliseconds REPORT_TIMEOUT{600};

/// Number of new samples after which a better map is searched for.
inline constexpr int64_t SAMPLES_PER_PLAN = 8;

inline constexpr milliseconds PLAN_INTERVAL{300};

template<typename AnyDuration>
milliseconds toMilliseconds(AnyDuration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration);
}

} // namespace daisymount::gateway

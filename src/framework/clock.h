// Time as the deterministic cores see it: a monotonic instant passed in by the driver.

#pragma once

#include <chrono>

namespace daisymount::framework
{

using Duration = std::chrono::microseconds;

/// Microseconds since an arbitrary start of the driver's monotonic clock. Comparable within one process only.
using Instant = std::chrono::microseconds;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Reads the process's monotonic clock. Only adapters call this.
inline Instant monotonicNow()
{
    return std::chrono::duration_cast<Instant>(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace daisymount::framework

// Time types. Decision logic does not read the clock: the caller passes the current time in, so that tests are deterministic.

#pragma once

#include <chrono>

namespace daisymount::framework
{

using Duration = std::chrono::microseconds;

/// Point in time on a monotonic clock, in microseconds since an arbitrary epoch. Only comparable within one process.
using Instant = std::chrono::microseconds;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Reads the monotonic clock. Only I/O code calls this; decision logic gets the time as a parameter.
inline Instant monotonicNow()
{
    return std::chrono::duration_cast<Instant>(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace daisymount::framework

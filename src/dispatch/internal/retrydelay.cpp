// Random return delays within the limits that callers accept.

#include "dispatch/retrydelay.h"

#include <algorithm>

namespace daisymount::dispatch
{

namespace
{
/// Callers accept a retry delay of up to their remaining time divided by this.
constexpr int64_t CALLER_WAIT_DIVISOR = 3;

struct DelayRange
{
    double min;
    double max;
};

/// Fractions of the longest accepted delay.
constexpr DelayRange BUSY_RANGE{0.3, 0.9};
constexpr DelayRange OUTAGE_RANGE{0.8, 0.97};
} // namespace

RetryDelay::RetryDelay(uint64_t seed) : random_(static_cast<unsigned>(seed))
{ }

milliseconds RetryDelay::choose(RefusalCause cause, Duration left)
{
    const DelayRange range = cause == RefusalCause::Outage ? OUTAGE_RANGE : BUSY_RANGE;
    const auto longest = static_cast<double>(std::max<int64_t>(0, std::chrono::duration_cast<milliseconds>(left / CALLER_WAIT_DIVISOR).count()));
    const auto from = static_cast<int64_t>(longest * range.min);
    const auto span = std::max<int64_t>(1, static_cast<int64_t>(longest * range.max) - from);
    return milliseconds{from + static_cast<int64_t>(random_()) % span};
}

} // namespace daisymount::dispatch

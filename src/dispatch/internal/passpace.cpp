// Pass times from the gaps between events.

#include "dispatch/passpace.h"

#include <algorithm>

namespace daisymount::dispatch
{

namespace
{
using framework::Duration;
using framework::milliseconds;

/// Half of the time that the mean is taken over: a few passes, so that the admission follows a new map.
constexpr Duration WINDOW = milliseconds{300};
/// Longer gaps are outages of the group, not passes.
constexpr Duration MAX_PASS_TIME = milliseconds{400};
/// Without an event for this long the group is stopped: reading a prompt and a pass take a fraction of it.
constexpr Duration STALLED_AFTER = milliseconds{700};
/// Fewer requests may all be waiting for their first event.
constexpr int MIN_REQUESTS = 4;
/// Below this the mean says little.
constexpr int64_t MIN_PASSES = 8;
} // namespace

void PassTimeTracker::onEvents(std::string_view service, Duration gap, int events, framework::Instant now)
{
    ServiceTiming &timing = timingOf(service);
    timing.lastEvent = now;
    if (gap > MAX_PASS_TIME || events <= 0) {
        return;
    }
    const int64_t number = now / WINDOW;
    if (timing.current.number != number) {
        timing.previous = timing.current;
        timing.current = Window{number};
    }
    timing.current.sum += gap;
    timing.current.passes += events;
}

void PassTimeTracker::onRequests(std::string_view service, int inFlight, framework::Instant now)
{
    ServiceTiming &timing = timingOf(service);
    timing.inFlight = inFlight;
    if (inFlight < MIN_REQUESTS) {
        timing.tooFewUntil = now;
    }
}

bool PassTimeTracker::stalled(std::string_view service, framework::Instant now) const
{
    const auto found = timings_.find(service);
    if (found == timings_.end() || found->second.inFlight < MIN_REQUESTS) {
        return false;
    }
    return now - std::max(found->second.lastEvent, found->second.tooFewUntil) > STALLED_AFTER;
}

PassTimeTracker::ServiceTiming &PassTimeTracker::timingOf(std::string_view service)
{
    const auto found = timings_.find(service);
    return found != timings_.end() ? found->second : timings_.emplace(std::string(service), ServiceTiming{}).first->second;
}

std::optional<Duration> PassTimeTracker::passTime(std::string_view service, framework::Instant now) const
{
    const auto found = timings_.find(service);
    if (found == timings_.end()) {
        return std::nullopt;
    }
    const int64_t number = now / WINDOW;
    Duration sum{0};
    int64_t passes = 0;
    for (const Window &window : {found->second.current, found->second.previous}) {
        if (window.number >= number - 1) {
            sum += window.sum;
            passes += window.passes;
        }
    }
    if (passes < MIN_PASSES) {
        return std::nullopt;
    }
    return sum / passes;
}

} // namespace daisymount::dispatch

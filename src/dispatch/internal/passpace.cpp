// Derives pass times from the intervals between stream events.

#include "dispatch/passpace.h"

#include <algorithm>

namespace daisymount::dispatch
{

namespace
{
using framework::Duration;
using framework::milliseconds;

/// Half of the averaging period; covers only a few passes, so that admission follows a new expert map quickly.
constexpr Duration WINDOW = milliseconds{300};
/// Longer intervals are outages of the group, not passes.
constexpr Duration MAX_PASS_TIME = milliseconds{400};
/// Time without an event after which the group is stalled; prompt processing and a pass take a fraction of it.
constexpr Duration STALLED_AFTER = milliseconds{700};
/// Time without an event up to which the group certainly executes passes; a few passes.
constexpr Duration PROGRESSING_WITHIN = milliseconds{300};
/// With fewer requests in flight, all of them may be waiting for their first event.
constexpr int MIN_REQUESTS = 4;
/// With fewer passes the mean is not reliable.
constexpr int64_t MIN_PASSES = 8;
} // namespace

void PassTimeTracker::onEvents(std::string_view service, Duration gap, int events, framework::Instant now)
{
    ServiceTiming &timing = timingOf(service);
    const Duration silence = now - timing.lastEvent;
    timing.lastEvent = now;
    reportStallChange(service, timing, silence, now);
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
    reportStallChange(service, timing, now - timing.lastEvent, now);
}

void PassTimeTracker::reportStallChange(std::string_view service, ServiceTiming &timing, Duration silence, framework::Instant now)
{
    const bool isStalled = stalled(service, now);
    if (isStalled == timing.stallReported) {
        return;
    }
    timing.stallReported = isStalled;
    if (onStallChanged) {
        onStallChanged(service, isStalled, silence);
    }
}

bool PassTimeTracker::progressing(std::string_view service, framework::Instant now) const
{
    const std::optional<Duration> silent = silence(service, now);
    return silent && *silent <= PROGRESSING_WITHIN;
}

std::optional<Duration> PassTimeTracker::silence(std::string_view service, framework::Instant now) const
{
    const auto found = timings_.find(service);
    if (found == timings_.end() || found->second.lastEvent == framework::Instant{0}) {
        return std::nullopt;
    }
    return now - found->second.lastEvent;
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

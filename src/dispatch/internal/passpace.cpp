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
constexpr Duration LONGEST_PASS = milliseconds{400};
/// Without an event for this long the group is stopped: reading a prompt and a pass take a fraction of it.
constexpr Duration STALLED_AFTER = milliseconds{700};
/// Fewer requests may all be waiting for their first event.
constexpr int LEAST_REQUESTS = 4;
/// Below this the mean says little.
constexpr int64_t LEAST_PASSES = 8;
} // namespace

void PassTimeTracker::onEvents(std::string_view service, Duration gap, int events, framework::Instant now)
{
    Recent &recent = recentOf(service);
    recent.lastEvent = now;
    if (gap > LONGEST_PASS || events <= 0) {
        return;
    }
    const int64_t number = now / WINDOW;
    if (recent.current.number != number) {
        recent.previous = recent.current;
        recent.current = Window{number};
    }
    recent.current.sum += gap;
    recent.current.passes += events;
}

void PassTimeTracker::onRequests(std::string_view service, int inFlight, framework::Instant now)
{
    Recent &recent = recentOf(service);
    recent.inFlight = inFlight;
    if (inFlight < LEAST_REQUESTS) {
        recent.fewUntil = now;
    }
}

bool PassTimeTracker::stalled(std::string_view service, framework::Instant now) const
{
    const auto found = recent_.find(service);
    if (found == recent_.end() || found->second.inFlight < LEAST_REQUESTS) {
        return false;
    }
    return now - std::max(found->second.lastEvent, found->second.fewUntil) > STALLED_AFTER;
}

PassTimeTracker::Recent &PassTimeTracker::recentOf(std::string_view service)
{
    const auto found = recent_.find(service);
    return found != recent_.end() ? found->second : recent_.emplace(std::string(service), Recent{}).first->second;
}

std::optional<Duration> PassTimeTracker::passTime(std::string_view service, framework::Instant now) const
{
    const auto found = recent_.find(service);
    if (found == recent_.end()) {
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
    if (passes < LEAST_PASSES) {
        return std::nullopt;
    }
    return sum / passes;
}

} // namespace daisymount::dispatch

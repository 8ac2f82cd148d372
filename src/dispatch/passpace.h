// How long the passes of a rank group last, and whether it makes any, seen from the streams that this entry forwards.
//
// Load: every running stream of a group gets one event a pass, so that some tens of streams tell the pass time within a second.

#pragma once

#include "framework/clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace daisymount::dispatch
{

class PassTimeTracker
{
public:
    /// A stream of @p service got @p events more, @p gap after its last one.
    void onEvents(std::string_view service, framework::Duration gap, int events, framework::Instant now);
    /// This entry has @p inFlight requests at the engines of @p service.
    void onRequests(std::string_view service, int inFlight, framework::Instant now);
    /// Several requests are at the engines and none has had an event for longer than any pass takes.
    bool stalled(std::string_view service, framework::Instant now) const;
    /// Mean of the newest passes; empty when too few events have come lately.
    std::optional<framework::Duration> passTime(std::string_view service, framework::Instant now) const;

private:
    struct Window
    {
        int64_t number = -1; ///< Window widths since the clock's start.
        framework::Duration sum{0};
        int64_t passes = 0;
    };

    struct ServiceTiming
    {
        Window current;
        Window previous;
        framework::Instant lastEvent{0};
        framework::Instant tooFewUntil{0}; ///< When there were last too few requests to tell.
        int inFlight = 0;
    };

    ServiceTiming &timingOf(std::string_view service);

    std::map<std::string, ServiceTiming, std::less<>> timings_; ///< By service.
};

} // namespace daisymount::dispatch

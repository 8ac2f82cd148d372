// Measures the pass time of a rank group and detects stalls from the events of forwarded streams.
//
// Expected load: each running stream gets one event per pass, so some tens of streams give the pass time within a second.

#pragma once

#include "framework/clock.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace daisymount::dispatch
{

class PassTimeTracker
{
public:
    /// A stream of @p service received @p events further events, @p gap after its previous one.
    void onEvents(std::string_view service, framework::Duration gap, int events, framework::Instant now);
    /// Sets the number of requests from this entry in flight at the engines of @p service.
    void onRequests(std::string_view service, int inFlight, framework::Instant now);
    /// True if several requests are in flight and none has received an event for longer than the longest pass.
    bool stalled(std::string_view service, framework::Instant now) const;
    /// True if a stream of the service got an event within the last passes.
    bool progressing(std::string_view service, framework::Instant now) const;
    /// Time since the last event of any stream of the service; empty before the first one.
    std::optional<framework::Duration> silence(std::string_view service, framework::Instant now) const;
    /// Mean time of the most recent passes; empty if there were too few recent events.
    std::optional<framework::Duration> passTime(std::string_view service, framework::Instant now) const;

    /// Called when the group of a service is found stalled or executes passes again, with the time for which it was silent.
    std::function<void(std::string_view service, bool stalled, framework::Duration silence)> onStallChanged;

private:
    struct Window
    {
        int64_t number = -1; ///< Index of the window, counted from the clock epoch.
        framework::Duration sum{0};
        int64_t passes = 0;
    };

    struct ServiceTiming
    {
        Window current;
        Window previous;
        framework::Instant lastEvent{0};
        framework::Instant tooFewUntil{0}; ///< Last time with too few requests in flight to detect a stall.
        int inFlight = 0;
        bool stallReported = false; ///< Last state passed to onStallChanged.
    };

    void reportStallChange(std::string_view service, ServiceTiming &timing, framework::Duration silence, framework::Instant now);
    ServiceTiming &timingOf(std::string_view service);

    std::map<std::string, ServiceTiming, std::less<>> timings_; ///< By service.
};

} // namespace daisymount::dispatch

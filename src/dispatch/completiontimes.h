// Tells how long the requests of a route take to their end, so that a gateway that shuts down passes on only what can end in time.
//
// Expected load: some requests a second on each route, of which the slowest take several times the median, and groups of engines that stand
// for seconds, so that all streams under way grow old together.

#pragma once

#include "framework/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace daisymount::dispatch
{

/// What a request tells about its end.
struct RequestLength
{
    std::string_view route;
    framework::Instant deadline{0};
    std::optional<framework::Duration> stated = std::nullopt; ///< Expected time of the longest answer that the request allows, at the present pace.
    int64_t statedTokens = 0; ///< Longest answer that the request allows, 0 if it does not state one.
    bool isStream = false;
    std::optional<framework::Duration> slowest = std::nullopt; ///< Time that a stream takes whose passes are as slow as its objective allows.
};

/// What is known of a stream before it begins.
struct StreamLength
{
    int64_t maxTokens = 0;
    int tokensPerPass = 1;
    std::optional<framework::Duration> passTime = std::nullopt; ///< Of the most recent passes.
    framework::Duration pauseObjective{0}; ///< Longest pause between events with which the stream is on time, 0 if there is no objective.
    framework::Duration timeToFirstEvent{0};
    framework::Duration patience{0}; ///< Time without an event after which the caller leaves.
};

/// Upper bound on the duration of a stream, each of whose events takes a pass; empty if the time of a pass is unknown.
std::optional<framework::Duration> longestStream(const StreamLength &stream);

/// Bound on the duration of a stream whose caller waits for the first event as long as it does, and whose passes take the longest pause with which
/// it is on time, or longer if the group's passes do; empty if it has no objective.
std::optional<framework::Duration> slowestStream(const StreamLength &stream);

class CompletionTimes
{
public:
    /// A request was passed on for the first time.
    void onSent(std::string_view route, framework::Instant now);
    /// Must be called once for each onSent(). @p complete is true if the caller got the whole response of the upstream.
    void onEnded(const RequestLength &request, framework::Instant sentAt, bool complete, framework::Instant now);

    /// Time within which a request that is passed on now very probably ends; empty if there are no recent observations.
    std::optional<framework::Duration> upperBound(std::string_view route, framework::Instant now) const;
    /// Time that a request needs at most; empty if nothing is known. A process that has run for some time relies on what it has seen. A younger one, and
    /// any for a request that states a longer answer than all that it has seen, relies on that and on what the request states, whichever is longer.
    std::optional<framework::Duration> needed(const RequestLength &request, framework::Instant now) const;
    /// True if a request that is passed on now can end before @p end: by needed() or, if nothing is known, by its deadline.
    bool canEndBefore(framework::Instant end, const RequestLength &request, framework::Instant now) const;
    /// True if a request that is passed on now ends before @p end by its deadline or, for a stream, with passes as slow as its objective allows. A group
    /// that stands, or passes that are slower still, can make it take longer. Plain requests are judged as by canEndBefore().
    bool mustEndBefore(framework::Instant end, const RequestLength &request, framework::Instant now) const;

private:
    /// Requests that ended within a period.
    struct Observations
    {
        framework::Duration longest{0};
        int count = 0;
        int64_t longestStatedTokens = 0;

        void merge(const Observations &other);
    };

    struct RouteTimes
    {
        std::multiset<framework::Instant> sentAt; ///< Of the requests under way.
        framework::Instant firstSentAt{0};
        framework::Instant periodStart{0};
        Observations current; ///< Of the requests that ended in the current period.
        Observations before; ///< The same for the period before.
    };

    /// What ended within the last one or two periods.
    static Observations recentObservations(const RouteTimes &times, framework::Instant now);

    std::map<std::string, RouteTimes, std::less<>> routes_; ///< By name.
};

} // namespace daisymount::dispatch

// Detects upstreams from which nothing arrives any more while other upstreams of the same service make progress.
//
// Expected load: model engines that send an event of each stream every pass, with a few streams of this entry at each of them, and VMs that
// freeze for seconds: their connections stay open and accept requests that cannot begin.

#pragma once

#include "framework/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::dispatch
{

class SilenceDetector
{
public:
    using AttemptId = uint64_t;

    /// A stream was requested from @p upstream.
    AttemptId onSent(std::string_view service, std::string_view upstream, framework::Instant now);
    /// The response head or an event of the stream arrived.
    void onProgress(AttemptId attempt, framework::Instant now);
    /// Must be called once for each onSent().
    void onEnded(AttemptId attempt, framework::Instant now);

    /// Upstreams of @p service to which no further requests should be sent. One that has been silent for long is left out from time to time, so
    /// that a single request tests it.
    std::vector<std::string> silentUpstreams(std::string_view service, framework::Instant now);
    /// True if the upstream of the attempt is silent and the stream should be continued at another one.
    bool shouldFailOver(AttemptId attempt, framework::Instant now);
    /// True if all begun streams of @p service have stopped, so that further requests could only wait. When none is under way any more, a single
    /// request tests the service. PassTimeTracker::stalled() covers streams that have not begun.
    bool isServiceSilent(std::string_view service, framework::Instant now);
    /// True if nothing has arrived on the attempt and its upstream, or all streams of its service, are silent.
    bool isWaitingInVain(AttemptId attempt, framework::Instant now);

    /// Called when an upstream is found silent, and when something arrives from it again, with the time for which it was silent.
    std::function<void(std::string_view upstream, bool silent, framework::Duration silence)> onSilenceChanged;

private:
    struct ServiceProgress
    {
        framework::Instant lastAt{0};
        framework::Instant uninterruptedSince{0}; ///< Start of the period in which events arrived without a long gap.
        framework::Duration meanPause{0}; ///< Exponentially weighted time between two events of a stream, 0 before the first.
        framework::Instant fewStreamsUntil{0}; ///< Last time with fewer than MIN_STREAMS begun streams under way.
        int begun = 0; ///< Streams under way that have received something.
        int waiting = 0; ///< Streams under way that have received nothing.
        bool silent = false; ///< All streams have stopped.
    };

    struct Upstream
    {
        std::string service;
        framework::Instant lastAt{0}; ///< When the last head or event arrived.
        int begun = 0; ///< Streams under way that have received something.
        int waiting = 0; ///< Streams under way that have received nothing.
        bool silent = false;
        framework::Instant silentSince{0}; ///< Start of the silence, valid if silent.
        framework::Instant nextTestAt{0}; ///< When a request may test a silent upstream again.
        int tests = 0; ///< Requests that tested the upstream in vain since it was found silent.
    };

    struct Attempt
    {
        std::string upstream;
        framework::Instant lastAt{0}; ///< When it was sent, or something last arrived.
        bool begun = false;
    };

    /// The longer of @p minimum and @p pauses mean pauses between events.
    static framework::Duration limit(const ServiceProgress &progress, framework::Duration minimum, int pauses);
    static bool isProgressing(const ServiceProgress &progress, framework::Instant now);
    void changeCounts(Upstream &upstream, int begun, int waiting, framework::Instant now);
    /// Marks @p upstream as silent if it is.
    void update(std::string_view name, Upstream &upstream, framework::Instant now);
    /// When the oldest stream of @p upstream that has received nothing was sent, @p now if there is none.
    framework::Instant oldestWaiting(std::string_view upstream, framework::Instant now) const;
    Upstream *find(std::string_view upstream);

    std::map<std::string, ServiceProgress, std::less<>> services_;
    std::map<std::string, Upstream, std::less<>> upstreams_; ///< By id; only those with streams under way or found silent.
    std::map<AttemptId, Attempt> attempts_;
    AttemptId nextAttempt_ = 1;
};

} // namespace daisymount::dispatch

// Handles one request: routing, authentication, admission, attempts at upstreams and the final response.

#pragma once

#include "crashattribution/crashtypes.h"
#include "gateway/answerrelay.h"
#include "gateway/callerrequest.h"
#include "gateway/draintally.h"
#include "gateway/eventassembler.h"
#include "gateway/gatewaycontext.h"
#include "platform/headers.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisymount::gateway
{

/// Outcome of sending a request to one upstream.
enum class AttemptOutcome : uint8_t {
    Answered, ///< The complete response was delivered to the caller.
    NotRun, ///< The upstream did not execute the request and will not execute it later.
    MayHaveRun, ///< The attempt failed after bytes were sent, so the request may have been executed.
    FailureAnswer, ///< The upstream responded with an error, which is stored in case no retry succeeds.
    CallerGone,
    TimedOut,
    Stalled, ///< Nothing has arrived and the caller's patience is nearly used up; the request may be executed later.
    GatewayStopping, ///< This gateway is about to exit; the request may be executed later.
};

/// Name of an outcome for logs and metrics.
std::string_view toString(AttemptOutcome outcome);

class Exchange
{
public:
    Exchange(GatewayContext &context, transport::ConnectionPtr caller, CallerRequest request);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /// Processes the request and sends the response. Returns false when the connection cannot be reused for another request.
    transport::asio::awaitable<bool> run();
    /// Returns false when the response was truncated; the connection must then be closed in a way that the caller can detect.
    bool responseComplete() const;
    /// Logs and counts a response that is broken off, with what was known when the request was passed on. @p reason is a short name.
    void reportCut(std::string_view reason) const;

private:
    /// An upstream's error response, sent to the caller if no retry succeeds.
    struct FailureResponse
    {
        int status = 0;
        std::string fieldLines;
        std::string body;
    };

    /// State of one attempt to have the request executed by an upstream.
    struct Attempt
    {
        dispatch::Placement placement;
        std::string group; ///< Key of the upstream's rank group, or the service.
        PooledConnection pooled;
        transport::HttpReader reader;
        bool headReceived = false;
        bool forOtherRequest = false; ///< The response being read belongs to another request on the same connection.
        bool keptReported = false; ///< The log has the reason for which the attempt goes on although it makes no progress.
        bool truncated = false; ///< The stream has ended inside an event.
        bool streaming = false; ///< The response is relayed to the caller as a stream of server-sent events.
        AttemptOutcome headOutcome = AttemptOutcome::MayHaveRun; ///< Outcome according to the response head, valid once the head has been received.
        size_t bytesSent = 0;
        std::shared_ptr<bool> requestWritten = nullptr; ///< True once the whole request has been written; null before writing starts.
        bool callerOpenAtStart = true; ///< The caller's connection was open when the attempt started.
        int64_t eventsAtStart = 0; ///< Events with data that earlier attempts had delivered.
        std::optional<dispatch::SilenceDetector::AttemptId> silenceId = std::nullopt; ///< Set for streams of engines.
        Instant startedAt{0};
        Instant failoverAt{0}; ///< If no response head has arrived by then, the request is sent to another upstream.
        Duration timeToHead{0};
        Instant firstEventAt{0}; ///< When the first event that carries data arrived, 0 before.
        Instant lastProgressAt{0}; ///< When the last complete event that carries data arrived; before the first one, when the head arrived.
    };

    std::string chooseService();
    transport::asio::awaitable<bool> forwardRequest();
    /// Waits until the engines of the service admit the request. Returns an empty value on admission, else the Retry-After time.
    transport::asio::awaitable<std::optional<milliseconds>> waitForEngineSlot();
    /// The same for services with adaptive admission; chooses the rank group as well.
    transport::asio::awaitable<std::optional<milliseconds>> waitForGroup();
    /// Chooses another rank group for a retry if the service has several ones.
    void changeGroup(Instant now);
    /// Selects an upstream of the chosen rank group, or of any other if that one has none left.
    dispatch::PlacementDecision placeAttempt(bool firstAttempt, Instant now);
    transport::asio::awaitable<AttemptOutcome> runAttempt(dispatch::Placement placement);
    transport::asio::awaitable<AttemptOutcome> sendAndRelay(Attempt &attempt);
    transport::asio::awaitable<bool> sendRequest(Attempt &attempt);
    /// Applies the upstream's state headers (draining, Retry-After) to the dispatcher and logs unreadable ones.
    void recordUpstreamState(const Attempt &attempt, const platform::UpstreamHeaders &headers, Instant now);
    /// Evaluates the response head. Returns false when the rest of the response must not be read from this connection.
    bool processHead(Attempt &attempt);
    /// Returns false when a successful response cannot continue the stream that has already been relayed in part.
    bool canContinueStream(const Attempt &attempt) const;
    /// Ends a response that is complete by its framing. A stream that ends inside an event is truncated however its body is delimited.
    transport::asio::awaitable<AttemptOutcome> completeResponse(Attempt &attempt);
    /// True if the response is a stream of events. One whose Content-Type names something else is relayed like any other response.
    bool isEventStream(const Attempt &attempt) const;
    /// Decides whether to stop reading a response body that is not relayed, since it may never end. Returns an empty value to go on reading.
    std::optional<AttemptOutcome> abandonUnrelayedBody(Attempt &attempt, Instant now);
    /// Returns true when the stream has made no progress for so long that its caller has left.
    bool isStreamStalled(const Attempt &attempt, Instant now) const;
    /// Returns true when an attempt without progress should be followed by one at another upstream.
    bool isRetryDue(const Attempt &attempt, Instant now) const;
    /// Time without an event after which callers abandon a stream of the route.
    Duration streamPatience() const;
    /// Returns true when the upstream does not respond while others do, and the stream can be continued at one of these.
    bool shouldFailOver(const Attempt &attempt, Instant now) const;
    /// When a stream without any event is given up, since its caller is about to leave and the request could then run unattended.
    Instant firstEventLimit() const;
    /// Returns true when a stream has not begun, is not about to, and its caller is about to leave.
    bool isWaitingInVain(const Attempt &attempt, Instant now) const;
    void recordProgress(const Attempt &attempt, Instant now);
    transport::asio::awaitable<bool> relayAvailable(Attempt &attempt);
    /// Reports the time between events, from which the duration of an engine's forward pass is estimated.
    void recordEventTimes(const Attempt &attempt, Instant now);
    void finishAttempt(Attempt &attempt, AttemptOutcome outcome);
    bool canRetry(AttemptOutcome outcome) const;
    /// Returns the remaining quarantine time if the request or a part of its prompt is known to crash upstreams, else an empty value.
    std::optional<milliseconds> quarantineTimeLeft(Instant now);
    /// Returns the limit on trials of the request or of a part of its prompt, whichever was in flight at more crashes.
    std::optional<crashattribution::TrialLimit> trialLimit(Instant now) const;
    /// Waits briefly until the request is cleared or may be tried at this gateway. Returns an empty value then, else the Retry-After time.
    transport::asio::awaitable<std::optional<milliseconds>> waitForTrial();
    /// True if this gateway is among the @p entries that may try @p suspect.
    bool mayTry(crashattribution::Fingerprint suspect, size_t entries, Instant now) const;
    void endTrial();
    bool arePartsCleared(Instant now) const;
    /// After the upstream has closed the connection: returns true if the request may be sent to another upstream. If the upstream has
    /// crashed, a prompt with uncleared parts is not, unless an answer clears them.
    transport::asio::awaitable<bool> mayRetryAfterInterruption();
    /// Clears the request once its stream has outlived the time in which upstreams crash.
    void clearIfOutlived(const Attempt &attempt, Instant now);
    /// What the request tells about its end.
    dispatch::RequestLength length(Instant now) const;
    /// Time by which the request must be answered: its deadline or, if nothing has been relayed yet, shortly before this gateway exits.
    Instant answerLimit() const;
    /// If this gateway shuts down before the request would end, returns when the caller should try another gateway.
    std::optional<milliseconds> retryDelayBeforeExit(Instant now);
    /// Remembers and logs what a draining gateway knows of a request that it passes on.
    void recordPassedOn(Instant now);
    /// Updates crash attribution: a response clears the request, a broken connection makes it a suspect.
    void recordCrashEvidence(const Attempt &attempt, AttemptOutcome outcome, Instant now);
    /// Consumes one retry from the service's budget. Returns false when this gateway's share is used up.
    bool consumeRetryBudget(Instant now);
    /// Prepares to give up an attempt that makes no progress but may still end well: chooses the upstream for the next one and consumes the retry. Returns
    /// false if either cannot be had, so that the attempt must go on.
    bool reserveRetry(Attempt &attempt, Instant now);

    transport::asio::awaitable<bool> sendRefusal(framework::ResultCode code, milliseconds retryAfter);
    transport::asio::awaitable<bool> sendFailure(framework::ResultCode code, int status);
    transport::asio::awaitable<bool> finishUnsuccessful(AttemptOutcome outcome);
    transport::asio::awaitable<bool> sendGatewayResponse(int status, framework::ResultCode code, std::optional<milliseconds> retryAfter);
    void logCompletion(framework::ResultCode code, int status);
    void logAttempt(const Attempt &attempt, AttemptOutcome outcome);
    /// Shared parts of the prompt for the log, separated by commas.
    std::string promptPartsText() const;
    bool canKeepConnection() const;

    GatewayContext &context_;
    transport::ConnectionPtr caller_;
    CallerRequest request_;
    ResponseRelay relay_;
    EventAssembler events_;
    fleet::RouteMatch match_;
    std::string contentType_; ///< Of the stream that is being relayed.
    std::string service_;
    std::string group_; ///< Key of the rank group chosen by adaptive admission, else empty.
    std::string organisation_;
    std::optional<int> priority_;
    crashattribution::Fingerprint fingerprint_ = 0; ///< Identical when the caller sends the same request again.
    std::vector<crashattribution::Fingerprint> partFingerprints_; ///< Of the shared parts of the prompt, in order.
    std::optional<crashattribution::Fingerprint> trial_; ///< Suspect that this request is a trial of.
    std::shared_ptr<const ProbeResult> probeResult_; ///< Of the upstream that closed the connection of the last attempt; null if none did.
    bool outlivedCrashes_ = false; ///< The stream has gone on for so long that it does not crash upstreams.
    Instant callerDeadline_{0}; ///< When the caller stops waiting for the response.
    Instant deadline_{0}; ///< The earlier of the caller's deadline and the route's timeout.
    std::vector<std::string> triedUpstreams_;
    std::optional<dispatch::Placement> reservedRetry_; ///< Upstream of the next attempt, whose retry is consumed.
    Instant firstSentAt_{0}; ///< When the request was first passed on, 0 if it was not.
    std::optional<DrainEstimate> drainEstimate_; ///< Set if the request was passed on while this gateway was draining.
    size_t bytesRelayed_ = 0; ///< Of the response's body.
    std::optional<FailureResponse> failureResponse_;
    bool mayHaveRun_ = false;
    bool callerDisconnected_ = false; ///< The caller's connection ended, possibly together with the request.
    transport::ConnectionPtr upstreamConnection_; ///< Connection of the current attempt, reset when the caller disconnects.
    Duration timeToFirstByte_{0};
    int eventsRecorded_ = 0; ///< Events of events_ that recordEventTimes() has already processed.
    Instant lastRecordedAt_{0};
    Duration longestPause_{0}; ///< Longest time between two events of the stream.
};

} // namespace daisymount::gateway

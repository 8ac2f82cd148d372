// One caller request from its route to its final answer, over as many upstreams as its kind allows.

#pragma once

#include "crashattribution/crashtypes.h"
#include "gateway/answerrelay.h"
#include "gateway/callerrequest.h"
#include "gateway/gatewaycontext.h"
#include "platform/headers.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisymount::gateway
{

/// What is certain about a request at an upstream.
enum class AttemptOutcome : uint8_t {
    Answered, ///< The caller has the whole answer.
    NotRun, ///< The upstream has not run the request and never will.
    MayHaveRun, ///< It failed after bytes had left.
    FailureAnswer, ///< The upstream ran it and answered with a failure, which is kept for the caller.
    CallerGone,
    TimedOut,
};

class Exchange
{
public:
    Exchange(GatewayContext &context, transport::ConnectionPtr caller, CallerRequest request);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /// Answers the request. False when the connection cannot carry another one.
    transport::asio::awaitable<bool> run();
    /// False when the answer was cut: its connection must not end as if it were complete.
    bool responseComplete() const;

private:
    /// An upstream's failure that may still become the caller's answer.
    struct FailureResponse
    {
        int status = 0;
        std::string fieldLines;
        std::string body;
    };

    /// One upstream at work on the request.
    struct Attempt
    {
        dispatch::Placement placement;
        PooledConnection pooled;
        transport::HttpReader reader;
        bool headReceived = false;
        bool forOtherRequest = false; ///< The answer being read belongs to another request.
        bool streaming = false; ///< The answer goes to the caller event by event.
        AttemptOutcome headOutcome = AttemptOutcome::MayHaveRun; ///< What the head says, once it is seen.
        size_t bytesSent = 0;
        std::shared_ptr<bool> requestWritten = nullptr; ///< Whether the whole request has left; null before it is sent.
        Instant startedAt{0};
        Instant failoverAt{0}; ///< Without the head of an answer until then another upstream is tried.
        Duration timeToHead{0};
        Instant firstEventAt{0}; ///< When the first event with content came from it, 0 before.
        Instant lastProgressAt{0}; ///< When the upstream last brought a whole event, or the head before the first one.
    };

    std::string chooseService();
    transport::asio::awaitable<bool> forwardRequest();
    /// Waits for a place at the engines of the service. Empty when there is one, else the time to come back after.
    transport::asio::awaitable<std::optional<milliseconds>> waitForEngineSlot();
    transport::asio::awaitable<AttemptOutcome> runAttempt(dispatch::Placement placement);
    transport::asio::awaitable<AttemptOutcome> sendAndRelay(Attempt &attempt);
    transport::asio::awaitable<bool> sendRequest(Attempt &attempt);
    /// What the upstream says of itself beside its answer.
    void recordUpstreamState(const Attempt &attempt, const platform::UpstreamFacts &facts, Instant now);
    /// Judges the head of an answer. False when the connection cannot be trusted with the rest.
    bool processHead(Attempt &attempt);
    transport::asio::awaitable<AttemptOutcome> completeResponse(Attempt &attempt);
    /// An answer that is not passed on need not be read to its end: its bytes may have none. Empty while reading goes on.
    std::optional<AttemptOutcome> abandonUnrelayedBody(Attempt &attempt, Instant now);
    /// The stream makes no progress any more and has to end here.
    bool isStreamStalled(const Attempt &attempt, Instant now) const;
    transport::asio::awaitable<bool> relayAvailable(Attempt &attempt);
    /// Tells how long the passes of the engines last.
    void recordEventPace(Instant now);
    void finishAttempt(Attempt &attempt, AttemptOutcome outcome);
    bool canRetry(AttemptOutcome outcome) const;
    /// The time to come back after, when the request counts as one that crashes its upstreams.
    std::optional<milliseconds> quarantineTimeLeft(Instant now);
    /// What an ended attempt says of whether the request crashes its upstreams.
    void recordCrashEvidence(const Attempt &attempt, AttemptOutcome outcome, Instant now);
    /// Takes one repeat of the service's budget. False when this gateway's share is spent.
    bool consumeRetryBudget(Instant now);

    transport::asio::awaitable<bool> sendRefusal(framework::ResultCode code, milliseconds retryAfter);
    transport::asio::awaitable<bool> sendFailure(framework::ResultCode code, int status);
    transport::asio::awaitable<bool> finishUnsuccessful(AttemptOutcome outcome);
    transport::asio::awaitable<bool> sendGatewayResponse(int status, framework::ResultCode code, std::optional<milliseconds> retryAfter);
    void logCompletion(framework::ResultCode code, int status);
    void logAttempt(const Attempt &attempt, AttemptOutcome outcome);
    bool canKeepConnection() const;

    GatewayContext &context_;
    transport::ConnectionPtr caller_;
    CallerRequest request_;
    ResponseRelay relay_;
    EventAssembler events_;
    fleet::RouteMatch match_;
    std::string service_;
    std::string organisation_;
    std::optional<int> priority_;
    crashattribution::Fingerprint fingerprint_ = 0; ///< The same for each attempt of a caller that repeats its request.
    Instant callerDeadline_{0}; ///< When the caller gives up.
    Instant deadline_{0}; ///< The caller's deadline or the route's timeout, whichever comes first.
    std::vector<std::string> triedUpstreams_;
    std::optional<FailureResponse> failureResponse_;
    bool mayHaveRun_ = false;
    bool callerDisconnected_ = false;
    transport::ConnectionPtr upstreamConnection_; ///< The connection that is in use, to be closed when the caller leaves.
    Duration timeToFirstByte_{0};
    int eventsRecorded_ = 0; ///< Of events_, so far.
    Instant lastRecordedAt_{0};
};

} // namespace daisymount::gateway

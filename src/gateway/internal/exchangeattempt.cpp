// One attempt: sends the request to an upstream, reads the response and relays it to the caller.

#include "gateway/exchange.h"

#include "gateway/internal/exchangecommon.h"
#include "transport/tasks.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace daisymount::gateway
{

namespace
{
using framework::ResultCode;
namespace asio = transport::asio;

constexpr size_t RESPONSE_HEAD_LIMIT = 64 * 1024;
constexpr uint64_t RESPONSE_BODY_LIMIT = 256U << 20U;
/// Responses up to this size are buffered until they are complete, so that a truncated one can be replaced by a retry or an error.
constexpr size_t BUFFERED_RESPONSE_BYTES = 256 * 1024;
/// Larger requests are written concurrently with reading, since an upstream may respond before it has read the whole request.
constexpr size_t BACKGROUND_WRITE_THRESHOLD = 16 * 1024;
constexpr milliseconds UPSTREAM_WRITE_TIMEOUT{3'000};
/// Callers abandon a stream that is silent for the longest of 2 s, four times its latency objective and eight times its pause objective.
constexpr milliseconds MIN_STREAM_PATIENCE{2'000};
constexpr int STREAM_PATIENCE_OBJECTIVES = 4;
constexpr int STREAM_PATIENCE_PAUSES = 8;
/// Fraction of that time after which a stalled stream is resumed at another upstream, so that its next event arrives before the caller leaves.
constexpr int FAILOVER_NUMERATOR = 3;
constexpr int FAILOVER_DENOMINATOR = 4;
/// Fraction of the patience after which a stream without any event is given up, just before its caller would leave.
constexpr int GIVE_UP_NUMERATOR = 19;
constexpr int GIVE_UP_DENOMINATOR = 20;
constexpr milliseconds SHUTDOWN_CHECK_INTERVAL{500};
/// Interval at which a retry is asked for again for a request without a response head, if none was possible.
constexpr milliseconds RETRY_CHECK_INTERVAL{50};
/// Interval at which the silence of a stream's upstream is evaluated.
constexpr milliseconds SILENCE_CHECK_INTERVAL{50};
/// Maximum size of an error response's body that is passed on to the caller.
constexpr size_t FAILURE_BODY_LIMIT = 256 * 1024;
/// An incomplete event larger than this is treated as endless and ends the attempt.
constexpr size_t EVENT_LIMIT = 256 * 1024;
/// Time limit for reading a body that is not relayed; reading it to the end only allows the connection to be reused.
constexpr milliseconds UNRELAYED_BODY_TIMEOUT{250};
/// Time limit for reading the body of an error response, after which the gateway sends an error of its own instead.
constexpr milliseconds FAILURE_BODY_TIMEOUT{1'000};
/// Maximum number of late responses to earlier requests that are skipped on one connection.
constexpr int MAX_SKIPPED_RESPONSES = 4;
/// A safe request without a response head after this multiple of its latency objective is sent to another upstream, since the response may be
/// lost.
constexpr int HEAD_TIMEOUT_OBJECTIVES = 3;
constexpr milliseconds MIN_HEAD_TIMEOUT{500};
/// Non-idempotent requests use only recently used connections: an upstream may be closing one that was idle for longer, and the request
/// could then not be repeated safely.
constexpr milliseconds UNSAFE_MAX_IDLE{2'500};
constexpr milliseconds IDEMPOTENT_MAX_IDLE{60'000};
constexpr int OK = 200;
constexpr std::string_view EVENT_STREAM_TYPE = "text/event-stream";
constexpr std::string_view KEEP_ALIVE_TIMEOUT = "timeout=";
constexpr int64_t MAX_IDLE_LIMIT_S = 3'600;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

/// Returns the media type of a Content-Type field without parameters.
std::string mediaType(std::string_view contentType)
{
    return boost::algorithm::to_lower_copy(boost::algorithm::trim_copy(std::string(contentType.substr(0, contentType.find(';')))));
}

/// Returns the idle timeout of a "Keep-Alive: timeout=N" header field, 0 if there is none.
milliseconds statedIdleLimit(const transport::HeaderFields &fields)
{
    const std::string_view value = transport::findField(fields, "Keep-Alive");
    const size_t start = value.find(KEEP_ALIVE_TIMEOUT);
    int64_t seconds = 0;
    if (start != std::string_view::npos) {
        std::from_chars(value.data() + start + KEEP_ALIVE_TIMEOUT.size(), value.data() + value.size(), seconds);
    }
    return milliseconds{std::clamp<int64_t>(seconds, 0, MAX_IDLE_LIMIT_S) * 1000};
}

asio::awaitable<void> writeInBackground(transport::ConnectionPtr connection, std::shared_ptr<const std::string> bytes, std::shared_ptr<bool> done)
{
    *done = co_await connection->write(*bytes, UPSTREAM_WRITE_TIMEOUT);
}
} // namespace

asio::awaitable<AttemptOutcome> Exchange::runAttempt(dispatch::Placement placement)
{
    const bool nonIdempotent = !match_.route->idempotent();
    const std::string_view group = context_.dispatcher.groupOf(placement.upstream);
    Attempt attempt{placement,
                    std::string(group.empty() ? std::string_view(service_) : group),
                    {},
                    transport::HttpReader(transport::HttpReader::MessageType::Response, RESPONSE_HEAD_LIMIT, RESPONSE_BODY_LIMIT)};
    attempt.startedAt = framework::monotonicNow();
    attempt.callerOpenAtStart = caller_->open();
    attempt.eventsAtStart = events_.eventsWithData();
    attempt.failoverAt = deadline_;
    if (match_.route->kind == fleet::RequestKind::Safe && static_cast<int>(triedUpstreams_.size()) < match_.route->maxAttempts) {
        attempt.failoverAt = attempt.startedAt + std::max(MIN_HEAD_TIMEOUT, HEAD_TIMEOUT_OBJECTIVES * match_.route->latencyObjective);
    }
    if (request_.method == "HEAD") {
        attempt.reader.expectNoBody();
    }
    context_.dispatcher.onSent(placement.upstream, attempt.startedAt);
    attempt.pooled = co_await context_.pool.acquire(placement, nonIdempotent ? UNSAFE_MAX_IDLE : IDEMPOTENT_MAX_IDLE);
    AttemptOutcome outcome = AttemptOutcome::NotRun;
    const bool mayStillSend = context_.dispatcher.acceptsRequests(placement.upstream, framework::monotonicNow());
    if (attempt.pooled.connection && !callerDisconnected_ && mayStillSend) {
        upstreamConnection_ = attempt.pooled.connection;
        if (match_.route->kind == fleet::RequestKind::Stream && context_.dispatcher.hasEngines(service_)) {
            attempt.silenceId = context_.silenceDetector.onSent(attempt.group, placement.upstream, context_.listeningTime(framework::monotonicNow()));
        }
        outcome = co_await sendAndRelay(attempt);
    } else {
        outcome = callerDisconnected_ ? AttemptOutcome::CallerGone : AttemptOutcome::NotRun;
        if (attempt.pooled.connection) {
            context_.pool.release(placement, attempt.pooled.connection);
        }
    }
    finishAttempt(attempt, outcome);
    co_return outcome;
}

asio::awaitable<bool> Exchange::sendRequest(Attempt &attempt)
{
    platform::ForwardHeaders headers;
    headers.deadline = std::max(milliseconds{1}, toMilliseconds(deadline_ - framework::monotonicNow()));
    headers.expectedUpstream = attempt.placement.upstream;
    headers.organisation = organisation_;
    headers.lastEventId = events_.lastEventId();
    if (priority_) {
        headers.admissionPriority = std::clamp(*priority_, 0, 9);
    }
    auto bytes = std::make_shared<std::string>(request_.method + " " + request_.target + " HTTP/1.1\r\n");
    *bytes += platform::forwardedRequestFields(request_.fields, headers);
    if (!request_.body.empty() || request_.method == "POST" || request_.method == "PUT" || request_.method == "PATCH") {
        *bytes += "Content-Length: " + std::to_string(request_.body.size()) + "\r\n";
    }
    *bytes += "\r\n";
    *bytes += request_.body;

    transport::Connection &upstream = *attempt.pooled.connection;
    ++upstream.requestsSent;
    const size_t before = upstream.bytesWritten();
    bool sent = true;
    if (bytes->size() <= BACKGROUND_WRITE_THRESHOLD) {
        sent = co_await upstream.write(*bytes, UPSTREAM_WRITE_TIMEOUT);
        attempt.requestWritten = std::make_shared<bool>(sent);
    } else {
        attempt.requestWritten = std::make_shared<bool>(false);
        transport::spawnTask(context_.executor, "write_request", writeInBackground(attempt.pooled.connection, bytes, attempt.requestWritten),
                             [connection = attempt.pooled.connection] { connection->reset(); });
    }
    attempt.bytesSent = upstream.bytesWritten() - before;
    co_return sent;
}

asio::awaitable<AttemptOutcome> Exchange::sendAndRelay(Attempt &attempt)
{
    transport::Connection &upstream = *attempt.pooled.connection;
    const bool sent = co_await sendRequest(attempt);
    if (!sent) {
        const AttemptOutcome writeOutcome = attempt.bytesSent == 0 ? AttemptOutcome::NotRun : AttemptOutcome::MayHaveRun;
        co_return callerDisconnected_ ? AttemptOutcome::CallerGone : writeOutcome;
    }
    int skippedResponses = 0;
    while (true) {
        upstream.consume(attempt.reader.feed(upstream.receiveBuffer()));
        if (attempt.reader.failed()) {
            co_return attempt.headOutcome == AttemptOutcome::NotRun ? AttemptOutcome::NotRun : AttemptOutcome::MayHaveRun;
        }
        if (attempt.reader.headDone() && !attempt.headReceived) {
            attempt.headReceived = true;
            if (!processHead(attempt)) {
                co_return AttemptOutcome::MayHaveRun;
            }
        }
        if (attempt.reader.done() && attempt.forOtherRequest) {
            // A late response to an earlier request on this connection: the response to this request may follow.
            if (++skippedResponses > MAX_SKIPPED_RESPONSES) {
                co_return AttemptOutcome::MayHaveRun;
            }
            attempt.reader = transport::HttpReader(transport::HttpReader::MessageType::Response, RESPONSE_HEAD_LIMIT, RESPONSE_BODY_LIMIT);
            attempt.headReceived = false;
            attempt.forOtherRequest = false;
            continue;
        }
        if (attempt.headReceived && !attempt.forOtherRequest && attempt.headOutcome == AttemptOutcome::Answered) {
            const bool relayed = co_await relayAvailable(attempt);
            if (!relayed) {
                co_return AttemptOutcome::CallerGone;
            }
            if (events_.partial().size() > EVENT_LIMIT) {
                co_return AttemptOutcome::MayHaveRun;
            }
        }
        if (attempt.reader.done()) {
            co_return co_await completeResponse(attempt);
        }
        if (callerDisconnected_) {
            co_return AttemptOutcome::CallerGone;
        }
        if (upstream.readEnd() == transport::ReadEnd::Finished && attempt.headReceived && !attempt.forOtherRequest) {
            attempt.reader.feedEof();
            if (attempt.reader.done()) {
                co_return co_await completeResponse(attempt);
            }
        }
        if (upstream.readEnd() != transport::ReadEnd::Open) {
            co_return attempt.headOutcome == AttemptOutcome::NotRun ? AttemptOutcome::NotRun : AttemptOutcome::MayHaveRun;
        }
        const Instant now = framework::monotonicNow();
        if (now >= deadline_) {
            co_return AttemptOutcome::TimedOut;
        }
        if (now >= answerLimit()) {
            co_return AttemptOutcome::GatewayStopping;
        }
        if (const std::optional<AttemptOutcome> outcome = abandonUnrelayedBody(attempt, now)) {
            co_return *outcome;
        }
        if (isStreamStalled(attempt, now) || (isRetryDue(attempt, now) && reserveRetry(attempt, now))) {
            co_return AttemptOutcome::MayHaveRun;
        }
        if (isWaitingInVain(attempt, now)) {
            co_return AttemptOutcome::Stalled;
        }
        const Instant retryCheckAt = std::max<Instant>(attempt.failoverAt, now + RETRY_CHECK_INTERVAL);
        Instant waitUntil = attempt.headReceived ? deadline_ : std::min(deadline_, retryCheckAt);
        if (attempt.headReceived && (attempt.streaming || attempt.headOutcome != AttemptOutcome::Answered)) {
            waitUntil = std::min<Instant>(waitUntil, now + UNRELAYED_BODY_TIMEOUT);
        }
        if (match_.route->kind == fleet::RequestKind::Stream && !relay_.started()) {
            waitUntil = std::min(waitUntil, firstEventLimit());
        }
        if (attempt.silenceId) {
            waitUntil = std::min<Instant>(waitUntil, now + SILENCE_CHECK_INTERVAL);
        }
        // A shutdown may begin meanwhile.
        waitUntil = std::min({waitUntil, answerLimit(), Instant(now + SHUTDOWN_CHECK_INTERVAL)});
        co_await upstream.waitForBytes(upstream.receiveBuffer().size(), waitUntil);
    }
}

std::optional<AttemptOutcome> Exchange::abandonUnrelayedBody(Attempt &attempt, Instant now)
{
    if (!attempt.headReceived || (attempt.headOutcome == AttemptOutcome::Answered && !attempt.forOtherRequest)) {
        return std::nullopt;
    }
    const Duration sinceHead = now - attempt.startedAt - attempt.timeToHead;
    const bool tooLarge = attempt.reader.body().size() > FAILURE_BODY_LIMIT;
    if (attempt.forOtherRequest) {
        return tooLarge ? std::optional(AttemptOutcome::MayHaveRun) : std::nullopt;
    }
    if (attempt.headOutcome == AttemptOutcome::NotRun) {
        return tooLarge || sinceHead > UNRELAYED_BODY_TIMEOUT ? std::optional(AttemptOutcome::NotRun) : std::nullopt;
    }
    if (!tooLarge && sinceHead <= FAILURE_BODY_TIMEOUT) {
        return std::nullopt;
    }
    failureResponse_ = FailureResponse{BAD_GATEWAY, platform::localReplyFields(request_.headers.requestId), std::string()};
    return AttemptOutcome::FailureAnswer;
}

Duration Exchange::streamPatience() const
{
    const fleet::Route &route = *match_.route;
    return std::max<Duration>(MIN_STREAM_PATIENCE,
                              std::max<Duration>(STREAM_PATIENCE_OBJECTIVES * route.latencyObjective, STREAM_PATIENCE_PAUSES * route.pauseObjective));
}

bool Exchange::isStreamStalled(const Attempt &attempt, Instant now) const
{
    return attempt.streaming && now - attempt.lastProgressAt > std::max<Duration>(context_.streamStallTimeout, streamPatience());
}

bool Exchange::isRetryDue(const Attempt &attempt, Instant now) const
{
    if (!attempt.headReceived && now >= attempt.failoverAt) {
        return true;
    }
    // Streams of engines are continued elsewhere by shouldFailOver(), since the engines of a group may all be waiting for one of them.
    const bool isSilent = attempt.streaming && !context_.dispatcher.hasEngines(service_)
        && now - attempt.lastProgressAt > streamPatience() * FAILOVER_NUMERATOR / FAILOVER_DENOMINATOR;
    return isSilent || shouldFailOver(attempt, now);
}

bool Exchange::reserveRetry(Attempt &attempt, Instant now)
{
    if (!canRetry(AttemptOutcome::MayHaveRun) || static_cast<int>(triedUpstreams_.size()) >= match_.route->maxAttempts) {
        return false;
    }
    const bool hasBudget = context_.retryBudget.canRetry(service_, now);
    if (hasBudget) {
        const std::string group = group_;
        changeGroup(now);
        auto decision = placeAttempt(false, now);
        if (auto *placement = std::get_if<dispatch::Placement>(&decision)) {
            consumeRetryBudget(now);
            reservedRetry_ = std::move(*placement);
            return true;
        }
        group_ = group;
    }
    if (!std::exchange(attempt.keptReported, true)) {
        context_.log.report({"forwarding",
                             "attempt_kept",
                             hasBudget ? ResultCode::NoUpstream : ResultCode::RetryBudgetSpent,
                             request_.headers.requestId,
                             {{"upstream", attempt.placement.upstream},
                              {"service", service_},
                              {"silent_ms", std::to_string(toMilliseconds(now - std::max(attempt.startedAt, attempt.lastProgressAt)).count())}}});
    }
    return false;
}

bool Exchange::shouldFailOver(const Attempt &attempt, Instant now) const
{
    return attempt.silenceId && context_.silenceDetector.shouldFailOver(*attempt.silenceId, context_.listeningTime(now));
}

Instant Exchange::firstEventLimit() const
{
    return request_.receivedAt + streamPatience() * GIVE_UP_NUMERATOR / GIVE_UP_DENOMINATOR;
}

bool Exchange::isWaitingInVain(const Attempt &attempt, Instant now) const
{
    if (match_.route->kind != fleet::RequestKind::Stream || relay_.started()) {
        return false;
    }
    const bool isLate = now - request_.receivedAt > streamPatience() * FAILOVER_NUMERATOR / FAILOVER_DENOMINATOR;
    return now >= firstEventLimit()
        || (isLate && attempt.silenceId && context_.silenceDetector.isWaitingInVain(*attempt.silenceId, context_.listeningTime(now)));
}

void Exchange::recordProgress(const Attempt &attempt, Instant now)
{
    context_.dispatcher.onProgress(attempt.placement.upstream, now);
    if (attempt.silenceId) {
        context_.silenceDetector.onProgress(*attempt.silenceId, context_.listeningTime(now));
    }
}

bool Exchange::processHead(Attempt &attempt)
{
    const Instant now = framework::monotonicNow();
    const int status = attempt.reader.status();
    const platform::UpstreamHeaders headers = platform::parseUpstreamHeaders(attempt.reader.fields());
    recordUpstreamState(attempt, headers, now);
    const bool sameRequest = headers.requestId == request_.headers.requestId;
    const bool failureWithoutId = headers.requestId.empty() && !attempt.pooled.reused && !isSuccess(status);
    if (!sameRequest && !failureWithoutId) {
        attempt.forOtherRequest = true;
        return !headers.requestId.empty() && !attempt.reader.endsAtEof();
    }
    const std::string &upstream = attempt.placement.upstream;
    if (status != MISDIRECTED_REQUEST) {
        context_.crashDetector.onUpstreamAnswered(attempt.placement, attempt.startedAt);
    }
    recordProgress(attempt, now);
    attempt.timeToHead = now - attempt.startedAt;
    attempt.lastProgressAt = now;
    if (headers.load) {
        context_.dispatcher.onLoad(upstream, {headers.load->running, headers.load->waiting, headers.load->slots}, now);
    }
    if (headers.coldRemaining && headers.coldRemaining->count() > 0) {
        context_.dispatcher.onCold(upstream, *headers.coldRemaining, now);
    }
    if (!headers.faultyAddress.empty()) {
        context_.dispatcher.onReportedFaulty(headers.faultyAddress, now);
    }
    attempt.pooled.connection->peerIdleTimeout = statedIdleLimit(attempt.reader.fields());
    if (isSuccess(status)) {
        attempt.headOutcome = AttemptOutcome::Answered;
        attempt.streaming = isEventStream(attempt);
        return !headers.signature.empty() && !headers.encoded && canContinueStream(attempt);
    }
    attempt.headOutcome = headers.notRun || status == MISDIRECTED_REQUEST ? AttemptOutcome::NotRun : AttemptOutcome::FailureAnswer;
    return true;
}

bool Exchange::isEventStream(const Attempt &attempt) const
{
    const std::string type = mediaType(transport::findField(attempt.reader.fields(), "Content-Type"));
    return match_.route->kind == fleet::RequestKind::Stream && (type.empty() || type == EVENT_STREAM_TYPE);
}

bool Exchange::canContinueStream(const Attempt &attempt) const
{
    // An error page sent as a success would otherwise become part of the stream, or its end.
    return !relay_.started()
        || (attempt.reader.status() == OK && mediaType(transport::findField(attempt.reader.fields(), "Content-Type")) == mediaType(contentType_));
}

asio::awaitable<bool> Exchange::relayAvailable(Attempt &attempt)
{
    std::string &body = attempt.reader.body();
    if (!attempt.streaming && body.size() <= BUFFERED_RESPONSE_BYTES && !relay_.started()) {
        co_return true;
    }
    const int64_t known = events_.eventsWithData();
    std::string ready = attempt.streaming ? events_.append(body) : std::move(body);
    body.clear();
    const Instant now = framework::monotonicNow();
    if (events_.eventsWithData() > known) {
        attempt.lastProgressAt = now;
        recordProgress(attempt, now);
        if (attempt.firstEventAt == Instant{0}) {
            attempt.firstEventAt = now;
            if (attempt.streaming && context_.loadControl.isAdaptive(service_)) {
                context_.loadControl.admission(service_).onFirstEvent(now - attempt.startedAt);
            }
        }
        clearIfOutlived(attempt, now);
    }
    if (ready.empty()) {
        co_return true;
    }
    if (timeToFirstByte_.count() == 0) {
        timeToFirstByte_ = now - request_.receivedAt;
    }
    if (attempt.streaming) {
        recordEventTimes(attempt, now);
    }
    if (!relay_.started()) {
        contentType_ = transport::findField(attempt.reader.fields(), "Content-Type");
        const std::string fields = platform::forwardedResponseFields(attempt.reader.fields(), true);
        bytesRelayed_ += ready.size();
        co_return co_await relay_.start(attempt.reader.status(), fields, ready);
    }
    bytesRelayed_ += ready.size();
    co_return co_await relay_.sendChunk(ready);
}

void Exchange::recordEventTimes(const Attempt &attempt, Instant now)
{
    // The time before the first event is queueing and prompt processing and does not measure a forward pass.
    const int passes = eventsRecorded_ > 0 ? events_.eventCount() - eventsRecorded_ : 0;
    const Duration gap = now - lastRecordedAt_ - context_.loopPauses.within(lastRecordedAt_, now);
    context_.passTimeTracker.onEvents(attempt.group, gap, passes, context_.listeningTime(now));
    if (passes > 0) {
        if (context_.loadControl.isAdaptive(service_)) {
            context_.loadControl.onPass(service_, attempt.group, gap / passes, now);
        }
        longestPause_ = std::max(longestPause_, now - lastRecordedAt_);
    }
    eventsRecorded_ = events_.eventCount();
    lastRecordedAt_ = now;
}

asio::awaitable<AttemptOutcome> Exchange::completeResponse(Attempt &attempt)
{
    const int status = attempt.reader.status();
    if (attempt.headOutcome == AttemptOutcome::NotRun) {
        co_return AttemptOutcome::NotRun;
    }
    if (attempt.headOutcome == AttemptOutcome::FailureAnswer) {
        // The caller takes these statuses to mean that the request was not executed. Without the upstream's explicit statement that is not
        // certain, so the gateway sends 502 instead.
        const bool mayHaveRunDespiteRefusal = status == 408 || status == MISDIRECTED_REQUEST || status == 429 || status == SERVICE_UNAVAILABLE;
        failureResponse_ = FailureResponse{mayHaveRunDespiteRefusal ? BAD_GATEWAY : status,
                                           platform::forwardedResponseFields(attempt.reader.fields(), !mayHaveRunDespiteRefusal),
                                           mayHaveRunDespiteRefusal ? std::string() : std::move(attempt.reader.body())};
        co_return AttemptOutcome::FailureAnswer;
    }
    attempt.truncated = attempt.streaming && events_.isInsideEvent();
    if (attempt.truncated) {
        co_return AttemptOutcome::MayHaveRun;
    }
    bool delivered = false;
    if (!relay_.started() && !attempt.streaming) {
        const std::string fields = platform::forwardedResponseFields(attempt.reader.fields(), true);
        delivered = co_await relay_.sendComplete(status, fields, attempt.reader.body());
    } else {
        const std::string rest = events_.partial();
        if (relay_.started()) {
            delivered = co_await relay_.sendChunk(rest);
        } else {
            const std::string fields = platform::forwardedResponseFields(attempt.reader.fields(), true);
            delivered = co_await relay_.start(status, fields, rest);
        }
        if (delivered) {
            delivered = co_await relay_.finish();
        }
    }
    if (timeToFirstByte_.count() == 0) {
        timeToFirstByte_ = framework::monotonicNow() - request_.receivedAt;
    }
    co_return delivered ? AttemptOutcome::Answered : AttemptOutcome::CallerGone;
}

} // namespace daisymount::gateway

// Request processing: routing, authentication, admission, retries and the final response. For a single attempt see exchangeattempt.cpp.

#include "gateway/exchange.h"

#include "gateway/internal/exchangecommon.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace daisymount::gateway
{

namespace
{
using framework::ResultCode;
namespace asio = transport::asio;

/// Deadline of a request when neither the request nor its route sets one.
constexpr milliseconds DEFAULT_DEADLINE{30'000};
/// Deadline of a stream when neither the request nor its route sets one. Such a stream may run as long as it delivers events.
constexpr milliseconds MAX_STREAM_DURATION = std::chrono::hours{24};
/// With less time left than this, an attempt could not complete before the deadline.
constexpr milliseconds MIN_ATTEMPT_TIME{20};
/// Retry-After for a request that is refused when its time is over.
constexpr milliseconds LATE_RETRY_AFTER{300};
/// Assumed remaining time of a caller whose request states none, for the choice of its Retry-After.
constexpr milliseconds ASSUMED_TIME_LEFT{4'000};

dispatch::RefusalCause causeOf(ResultCode code)
{
    return code == ResultCode::NoUpstream || code == ResultCode::ConfigurationStale ? dispatch::RefusalCause::Outage : dispatch::RefusalCause::Busy;
}

std::string secondsText(milliseconds duration)
{
    const int64_t ms = duration.count();
    std::string fraction = std::to_string(ms % 1000);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(ms / 1000) + "." + fraction;
}
} // namespace

Exchange::Exchange(GatewayContext &context, transport::ConnectionPtr caller, CallerRequest request)
    : context_(context), caller_(std::move(caller)), request_(std::move(request)), relay_(*caller_, !request_.keepAlive || context.draining)
{
    context_.openExchanges.insert(this);
    callerDisconnected_ = caller_->readEnd() != transport::ReadEnd::Open;
    caller_->onReadEnd = [this] {
        callerDisconnected_ = true;
        if (upstreamConnection_) {
            // A reset discards bytes that a suspended upstream host has not read yet, so that it does not run the request when it resumes.
            upstreamConnection_->reset();
        }
    };
    if (request_.method == "HEAD") {
        relay_.omitBody();
    }
}

Exchange::~Exchange()
{
    caller_->onReadEnd = nullptr;
    endTrial();
    context_.openExchanges.erase(this);
}

asio::awaitable<bool> Exchange::run()
{
    if (!context_.view.hasConfig() || context_.awaitsPeerKeys || context_.mustRefuseAsStale(framework::monotonicNow())) {
        co_return co_await sendRefusal(ResultCode::ConfigurationStale,
                                       context_.retryDelay.choose(dispatch::RefusalCause::Outage, request_.headers.deadline.value_or(ASSUMED_TIME_LEFT)));
    }
    match_ = context_.view.findRoute(request_.host, request_.path());
    if (match_.route == nullptr) {
        co_return co_await sendFailure(ResultCode::UnknownPath, 404);
    }
    const fleet::Route &route = *match_.route;
    priority_ = route.priority;
    if (match_.config->apiKeysRequired && !route.isPublic) {
        const fleet::Organisation *organisation = request_.headers.apiKey.empty() ? nullptr : context_.view.organisationOf(request_.headers.apiKey);
        if (organisation == nullptr) {
            co_return co_await sendFailure(ResultCode::UnknownApiKey, 401);
        }
        organisation_ = organisation->name;
        priority_ = organisation->priority.value_or(route.priority);
    }
    fingerprint_ = crashattribution::fingerprintOf({request_.method, request_.host, request_.target, organisation_, request_.body});
    service_ = chooseService();
    for (const std::string &part : request_.headers.sharedPromptParts) {
        partFingerprints_.push_back(crashattribution::fingerprintOfPart(service_, part));
    }
    const milliseconds defaultTimeout = route.kind == fleet::RequestKind::Stream ? MAX_STREAM_DURATION : DEFAULT_DEADLINE;
    const milliseconds timeout = request_.headers.deadline.value_or(route.timeout.count() > 0 ? route.timeout : defaultTimeout);
    callerDeadline_ = request_.receivedAt + timeout;
    deadline_ = route.timeout.count() > 0 ? std::min(callerDeadline_, request_.receivedAt + route.timeout) : callerDeadline_;
    context_.retryBudget.onRequest(service_, framework::monotonicNow());
    co_return co_await forwardRequest();
}

std::string Exchange::chooseService()
{
    const auto &services = match_.route->services;
    double total = 0.0;
    for (const fleet::WeightedService &entry : services) {
        total += entry.weight;
    }
    double point = std::uniform_real_distribution<double>(0.0, std::max(total, 1e-9))(context_.random);
    for (const fleet::WeightedService &entry : services) {
        point -= entry.weight;
        if (point < 0.0) {
            return entry.service;
        }
    }
    return services.back().service;
}

asio::awaitable<bool> Exchange::forwardRequest()
{
    if (const std::optional<milliseconds> timeLeft = quarantineTimeLeft(framework::monotonicNow())) {
        co_return co_await sendRefusal(ResultCode::Quarantined, *timeLeft);
    }
    if (const std::optional<milliseconds> delay = retryDelayBeforeExit(framework::monotonicNow())) {
        co_return co_await sendRefusal(ResultCode::Draining, *delay);
    }
    if (const std::optional<milliseconds> delay = co_await waitForTrial()) {
        co_return co_await sendRefusal(ResultCode::AwaitingTrial, *delay);
    }
    if (context_.dispatcher.hasEngines(service_)) {
        std::optional<milliseconds> timeLeft;
        if (context_.loadControl.isAdaptive(service_)) {
            timeLeft = co_await waitForGroup();
        } else {
            timeLeft = co_await waitForEngineSlot();
        }
        if (timeLeft) {
            co_return co_await sendRefusal(ResultCode::UpstreamFull, *timeLeft);
        }
    }
    int sendCount = 0;
    AttemptOutcome last = AttemptOutcome::NotRun;
    ResultCode lastCode = ResultCode::NoUpstream;
    milliseconds minRetryAfter{0};
    while (true) {
        Instant now = framework::monotonicNow();
        if (callerDisconnected_) {
            last = AttemptOutcome::CallerGone;
            break;
        }
        const bool isCallerLeaving = match_.route->kind == fleet::RequestKind::Stream && !relay_.started() && now + MIN_ATTEMPT_TIME >= firstEventLimit();
        if (now + MIN_ATTEMPT_TIME >= deadline_ || isCallerLeaving) {
            last = AttemptOutcome::TimedOut;
            break;
        }
        if (const std::optional<milliseconds> timeLeft = quarantineTimeLeft(now)) {
            lastCode = ResultCode::Quarantined;
            minRetryAfter = *timeLeft;
            break;
        }
        // The request may have become a suspect while it waited.
        const std::optional<milliseconds> trialDelay = sendCount == 0 ? co_await waitForTrial() : std::nullopt;
        if (trialDelay) {
            lastCode = ResultCode::AwaitingTrial;
            minRetryAfter = *trialDelay;
            break;
        }
        now = framework::monotonicNow();
        // Draining may have begun while the request waited or was tried. A stream under way is continued for as long as possible.
        const std::optional<milliseconds> delayBeforeExit = mayHaveRun_ || relay_.started() ? std::nullopt : retryDelayBeforeExit(now);
        if (delayBeforeExit) {
            lastCode = ResultCode::Draining;
            minRetryAfter = *delayBeforeExit;
            break;
        }
        if (sendCount > 0 && !reservedRetry_) {
            changeGroup(now);
        }
        const bool isReserved = reservedRetry_.has_value();
        dispatch::PlacementDecision decision = isReserved ? *std::exchange(reservedRetry_, std::nullopt) : placeAttempt(sendCount == 0, now);
        if (const auto *refusal = std::get_if<dispatch::Refusal>(&decision)) {
            lastCode = sendCount == 0 ? refusal->code : ResultCode::UpstreamFull;
            minRetryAfter = refusal->retryAfter;
            break;
        }
        if (sendCount > 0 && !isReserved && !consumeRetryBudget(now)) {
            lastCode = ResultCode::RetryBudgetSpent;
            break;
        }
        auto &placement = std::get<dispatch::Placement>(decision);
        triedUpstreams_.push_back(placement.upstream);
        if (sendCount == 0 && firstSentAt_ == Instant{0}) {
            firstSentAt_ = now;
            context_.completionTimes.onSent(match_.route->name, now);
            if (context_.draining) {
                recordPassedOn(now);
            }
        }
        last = co_await runAttempt(std::move(placement));
        const bool sent = upstreamConnection_ != nullptr;
        upstreamConnection_ = nullptr;
        if (sent) {
            ++sendCount;
        }
        lastCode = last == AttemptOutcome::NotRun ? (sent ? ResultCode::UpstreamFull : ResultCode::UpstreamUnreachable) : ResultCode::UpstreamFailed;
        if (!canRetry(last) || sendCount >= match_.route->maxAttempts) {
            break;
        }
        if (last == AttemptOutcome::MayHaveRun && !co_await mayRetryAfterInterruption()) {
            break;
        }
    }
    if (firstSentAt_ != Instant{0}) {
        const Instant now = framework::monotonicNow();
        context_.completionTimes.onEnded(length(now), firstSentAt_, last == AttemptOutcome::Answered, now);
    }
    if (last == AttemptOutcome::Answered) {
        logCompletion(ResultCode::Ok, 200);
        co_return canKeepConnection();
    }
    if (last == AttemptOutcome::NotRun && !relay_.started() && !failureResponse_ && !mayHaveRun_) {
        const Duration left = callerDeadline_ - framework::monotonicNow();
        const bool elsewhere = lastCode == ResultCode::Draining || lastCode == ResultCode::AwaitingTrial;
        co_return co_await sendRefusal(lastCode, elsewhere ? minRetryAfter : std::max(minRetryAfter, context_.retryDelay.choose(causeOf(lastCode), left)));
    }
    co_return co_await finishUnsuccessful(last);
}

bool Exchange::consumeRetryBudget(Instant now)
{
    const bool allowed = context_.retryBudget.tryAcquireRetry(service_, now);
    context_.metrics.onRetry(service_, allowed);
    if (!allowed) {
        context_.log.report({"forwarding",
                             "repeat_denied",
                             ResultCode::RetryBudgetSpent,
                             request_.headers.requestId,
                             {{"service", service_},
                              {"entries", std::to_string(context_.retryBudget.entries())},
                              {"starting", context_.retryBudget.isStarting(now) ? "yes" : "no"},
                              {"attempts", std::to_string(triedUpstreams_.size())}}});
    }
    return allowed;
}

bool Exchange::canRetry(AttemptOutcome outcome) const
{
    switch (outcome) {
    case AttemptOutcome::NotRun:
        return true;
    case AttemptOutcome::MayHaveRun:
        if (context_.crashes.status(fingerprint_, framework::monotonicNow()) != crashattribution::CrashStatus::Clear) {
            return false;
        }
        return match_.route->idempotent() && (!relay_.started() || !events_.lastEventId().empty());
    case AttemptOutcome::FailureAnswer:
        return match_.route->idempotent() && failureResponse_ && failureResponse_->status >= 500 && failureResponse_->status != GATEWAY_TIMEOUT;
    case AttemptOutcome::Answered:
    case AttemptOutcome::CallerGone:
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::Stalled:
    case AttemptOutcome::GatewayStopping:
        return false;
    }
    return false;
}

asio::awaitable<bool> Exchange::sendRefusal(ResultCode code, milliseconds retryAfter)
{
    co_return co_await sendGatewayResponse(SERVICE_UNAVAILABLE, code, retryAfter);
}

asio::awaitable<bool> Exchange::sendFailure(ResultCode code, int status)
{
    co_return co_await sendGatewayResponse(status, code, std::nullopt);
}

asio::awaitable<bool> Exchange::finishUnsuccessful(AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::CallerGone) {
        logCompletion(ResultCode::Cancelled, 0);
        co_return false;
    }
    if (relay_.started()) {
        // The last chunk is not sent, so that the caller can detect the truncated response.
        reportCut(toString(outcome));
        logCompletion(outcome == AttemptOutcome::TimedOut ? ResultCode::DeadlinePassed : ResultCode::AnswerTruncated, 0);
        co_return false;
    }
    if (failureResponse_) {
        logCompletion(ResultCode::UpstreamFailed, failureResponse_->status);
        const bool delivered = co_await relay_.sendComplete(failureResponse_->status, failureResponse_->fieldLines, failureResponse_->body);
        co_return delivered &&canKeepConnection();
    }
    if (outcome == AttemptOutcome::TimedOut || outcome == AttemptOutcome::Stalled) {
        if (mayHaveRun_) {
            co_return co_await sendFailure(ResultCode::DeadlinePassed, GATEWAY_TIMEOUT);
        }
        co_return co_await sendRefusal(ResultCode::DeadlinePassed, LATE_RETRY_AFTER);
    }
    co_return co_await sendFailure(ResultCode::OutcomeUnknown, BAD_GATEWAY);
}

asio::awaitable<bool> Exchange::sendGatewayResponse(int status, ResultCode code, std::optional<milliseconds> retryAfter)
{
    logCompletion(code, status);
    std::string fields = platform::localReplyFields(request_.headers.requestId);
    fields += "Content-Type: application/json\r\n";
    if (retryAfter) {
        fields += "Retry-After: " + secondsText(*retryAfter) + "\r\n";
    }
    const std::string body = "{\"code\":" + std::to_string(static_cast<int>(code)) + ",\"error\":\"" + std::string(resultCodeInfo(code).name) + "\"}";
    const bool delivered = co_await relay_.sendComplete(status, fields, body);
    co_return delivered &&canKeepConnection();
}

bool Exchange::responseComplete() const
{
    return relay_.finished();
}

bool Exchange::canKeepConnection() const
{
    return request_.keepAlive && !relay_.closesConnection() && relay_.finished() && caller_->open();
}

void Exchange::logCompletion(ResultCode code, int status)
{
    const Instant now = framework::monotonicNow();
    const Duration total = now - request_.receivedAt;
    if (context_.draining && relay_.finished()) {
        context_.drainTally.lastEndAt = now;
    }
    const std::string_view route = match_.route != nullptr ? std::string_view(match_.route->name) : std::string_view("none");
    context_.metrics.onRequest(route, resultCodeInfo(code).name, timeToFirstByte_, total);
    if (longestPause_.count() > 0) {
        context_.metrics.onStreamPause(route, longestPause_);
    }
    context_.log.report({"forwarding",
                         "answered",
                         code,
                         request_.headers.requestId,
                         {{"route", std::string(route)},
                          {"service", service_},
                          {"organisation", organisation_},
                          {"status", std::to_string(status)},
                          {"attempts", std::to_string(triedUpstreams_.size())},
                          {"events", std::to_string(events_.eventCount())},
                          {"prompt_tokens", std::to_string(request_.headers.promptTokens)},
                          {"max_tokens", std::to_string(request_.headers.maxAnswerTokens)},
                          {"hint_tokens", std::to_string(request_.headers.answerTokensHint)},
                          {"first_ms", std::to_string(toMilliseconds(timeToFirstByte_).count())},
                          {"longest_pause_ms", std::to_string(toMilliseconds(longestPause_).count())},
                          {"ms", std::to_string(toMilliseconds(total).count())},
                          {"config_version", std::to_string(context_.view.config()->version)},
                          {"store_era", std::to_string(context_.storeEra.current())},
                          {"config_revision", std::to_string(context_.view.configRevision().revision)},
                          {"upstreams_revision", std::to_string(context_.view.upstreamsRevision().revision)}}});
}

} // namespace daisymount::gateway

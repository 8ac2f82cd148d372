// End of an attempt: updates upstream state and crash attribution, returns the connection to the pool and writes the log line.

#include "gateway/exchange.h"

#include "gateway/internal/exchangecommon.h"

#include <boost/algorithm/string/join.hpp>

namespace daisymount::gateway
{

namespace
{
using framework::ResultCode;

/// Returns the state of the upstream's side of a connection, as text for the log.
std::string_view connectionState(const transport::Connection *connection)
{
    if (connection == nullptr) {
        return "none";
    }
    switch (connection->readEnd()) {
    case transport::ReadEnd::Open:
        return "open";
    case transport::ReadEnd::Finished:
        return "closed";
    case transport::ReadEnd::Broken:
        return "reset";
    }
    return "unknown";
}

std::string millisecondsText(std::optional<Duration> duration)
{
    return duration ? std::to_string(toMilliseconds(*duration).count()) : std::string("never");
}
} // namespace

std::string_view toString(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::NotRun:
        return "not_run";
    case AttemptOutcome::MayHaveRun:
        return "may_have_run";
    case AttemptOutcome::FailureAnswer:
        return "failure_answer";
    case AttemptOutcome::CallerGone:
        return "caller_gone";
    case AttemptOutcome::TimedOut:
        return "timed_out";
    case AttemptOutcome::Stalled:
        return "stalled";
    case AttemptOutcome::GatewayStopping:
        return "gateway_stopping";
    }
    return "unknown";
}

void Exchange::recordUpstreamState(const Attempt &attempt, const platform::UpstreamHeaders &headers, Instant now)
{
    const dispatch::Placement &placement = attempt.placement;
    const int status = attempt.reader.status();
    // A response from another upstream at the same address contains no information about the addressed upstream.
    const bool fromThisUpstream = status != MISDIRECTED_REQUEST && (headers.upstreamId.empty() || headers.upstreamId == placement.upstream);
    if (fromThisUpstream && headers.leaving && context_.dispatcher.onLeaving(placement.upstream, placement.bornMs, milliseconds{0}, now)) {
        context_.log.report(
            {"upstreams", "leaving", ResultCode::Draining, request_.headers.requestId, {{"upstream", placement.upstream}, {"told_by", "itself"}}});
    }
    if (fromThisUpstream && status == SERVICE_UNAVAILABLE && headers.retryAfter) {
        const Instant until = context_.dispatcher.onBackoffRequested(placement.upstream, placement.bornMs, *headers.retryAfter, now);
        context_.log.report({"upstreams",
                             "paused",
                             ResultCode::UpstreamFull,
                             request_.headers.requestId,
                             {{"upstream", placement.upstream},
                              {"retry_after_ms", std::to_string(headers.retryAfter->count())},
                              {"pause_ms", std::to_string(toMilliseconds(until - now).count())}}});
    }
    if (!headers.malformedField.empty()) {
        context_.log.report({"upstreams",
                             "unreadable_field",
                             ResultCode::BadMessage,
                             request_.headers.requestId,
                             {{"upstream", placement.upstream}, {"field", headers.malformedField}}});
    }
}

void Exchange::finishAttempt(Attempt &attempt, AttemptOutcome outcome)
{
    const Instant now = framework::monotonicNow();
    const bool unreachable = outcome == AttemptOutcome::NotRun && !attempt.headReceived;
    const bool givenUp = outcome == AttemptOutcome::TimedOut || outcome == AttemptOutcome::Stalled || outcome == AttemptOutcome::GatewayStopping;
    dispatch::AttemptResult result = dispatch::AttemptResult::Failed;
    if (outcome == AttemptOutcome::Answered) {
        result = dispatch::AttemptResult::Served;
    } else if (outcome == AttemptOutcome::CallerGone || givenUp) {
        result = dispatch::AttemptResult::Abandoned;
    } else if (outcome == AttemptOutcome::NotRun) {
        const bool replaced = attempt.headReceived && attempt.reader.status() == MISDIRECTED_REQUEST;
        result = unreachable ? dispatch::AttemptResult::Unreachable : replaced ? dispatch::AttemptResult::Replaced : dispatch::AttemptResult::Refused;
    }
    context_.dispatcher.onFinished(attempt.placement.upstream, result, attempt.timeToHead, now);
    context_.metrics.onAttempt(service_, toString(outcome));
    if (outcome == AttemptOutcome::Answered && attempt.streaming && context_.loadControl.isAdaptive(service_)) {
        context_.loadControl.admission(service_).onCompleted(now - attempt.startedAt);
    }
    if (attempt.silenceId) {
        context_.silenceDetector.onEnded(*attempt.silenceId, context_.listeningTime(now));
    }
    if (outcome == AttemptOutcome::MayHaveRun) {
        mayHaveRun_ = true;
        events_.discardPartial();
    }
    if (givenUp && attempt.pooled.connection) {
        mayHaveRun_ = true;
    }
    recordCrashEvidence(attempt, outcome, now);
    logAttempt(attempt, outcome);
    if (!attempt.pooled.connection || upstreamConnection_ == nullptr) {
        return;
    }
    const bool reusable = attempt.reader.done() && attempt.reader.keepAlive() && !attempt.reader.endsAtEof() && attempt.requestWritten
        && *attempt.requestWritten && attempt.pooled.connection->receiveBuffer().empty() && attempt.pooled.connection->open();
    if (reusable) {
        context_.pool.release(attempt.placement, attempt.pooled.connection);
    } else {
        attempt.pooled.connection->reset();
    }
}

std::string Exchange::promptPartsText() const
{
    return boost::algorithm::join(request_.headers.sharedPromptParts, ",");
}

void Exchange::logAttempt(const Attempt &attempt, AttemptOutcome outcome)
{
    const Instant now = framework::monotonicNow();
    context_.log.report({"forwarding",
                         "attempt",
                         outcome == AttemptOutcome::Answered ? ResultCode::Ok : ResultCode::UpstreamFailed,
                         request_.headers.requestId,
                         {{"upstream", attempt.placement.upstream},
                          {"born_ms", std::to_string(attempt.placement.bornMs)},
                          {"address", attempt.placement.address},
                          {"group", attempt.group},
                          {"fingerprint", crashattribution::toText(fingerprint_)},
                          {"prompt_parts", promptPartsText()},
                          {"connection", std::string(connectionState(attempt.pooled.connection.get()))},
                          {"end", std::string(toString(outcome))},
                          {"status", std::to_string(attempt.headReceived ? attempt.reader.status() : 0)},
                          {"expected_load", std::to_string(attempt.placement.expectedLoad)},
                          {"load_age_ms", std::to_string(toMilliseconds(attempt.placement.loadAge).count())},
                          {"reused", attempt.pooled.reused ? "yes" : "no"},
                          {"caller_at_start", attempt.callerOpenAtStart ? "open" : "closed"},
                          {"head_ms", std::to_string(toMilliseconds(attempt.timeToHead).count())},
                          {"events", std::to_string(events_.eventsWithData() - attempt.eventsAtStart)},
                          {"ended_inside_event", attempt.truncated ? "yes" : "no"},
                          {"upstream_silent_ms", millisecondsText(context_.dispatcher.silence(attempt.placement.upstream, now))},
                          {"service_silent_ms", millisecondsText(context_.passTimeTracker.silence(attempt.group, context_.listeningTime(now)))},
                          {"ms", std::to_string(toMilliseconds(now - attempt.startedAt).count())}}});
}

} // namespace daisymount::gateway

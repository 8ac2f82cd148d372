// What follows from the end of an attempt: what is learnt of the upstream and of the request, what becomes of the connection, the log line.

#include "gateway/exchange.h"

#include "gateway/internal/exchangecommon.h"

namespace daisymount::gateway
{

namespace
{
using framework::ResultCode;

/// A request that brought events for so long is not what crashes its upstream: that happens as the request begins to run.
constexpr milliseconds RUNS_ON{1'000};

std::string_view toString(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::NotRun:
        return "not_run";
    case AttemptEnd::MayHaveRun:
        return "may_have_run";
    case AttemptEnd::FailureAnswer:
        return "failure_answer";
    case AttemptEnd::CallerGone:
        return "caller_gone";
    case AttemptEnd::TimedOut:
        return "timed_out";
    }
    return "unknown";
}

/// How the upstream's side of a connection stands at the end of an attempt.
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
} // namespace

void Exchange::noteUpstreamFacts(const Attempt &attempt, const platform::UpstreamHeaders &facts, Instant now)
{
    const dispatch::Placement &placement = attempt.placement;
    const int status = attempt.reader.status();
    // An answer of another upstream at the same address says nothing about the one that was meant.
    const bool itsOwn = status != MISDIRECTED && (facts.upstreamId.empty() || facts.upstreamId == placement.upstream);
    if (itsOwn && facts.leaving && context_.dispatcher.onLeaving(placement.upstream, placement.bornMs, milliseconds{0}, now)) {
        context_.log.report(
            {"upstreams", "leaving", ResultCode::Draining, request_.facts.requestId, {{"upstream", placement.upstream}, {"told_by", "itself"}}});
    }
    if (itsOwn && status == SERVICE_UNAVAILABLE && facts.retryAfter) {
        const Instant until = context_.dispatcher.onBackoffRequested(placement.upstream, placement.bornMs, *facts.retryAfter, now);
        context_.log.report({"upstreams",
                             "paused",
                             ResultCode::UpstreamFull,
                             request_.facts.requestId,
                             {{"upstream", placement.upstream},
                              {"retry_after_ms", std::to_string(facts.retryAfter->count())},
                              {"pause_ms", std::to_string(toMilliseconds(until - now).count())}}});
    }
    if (!facts.malformedField.empty()) {
        context_.log.report({"upstreams",
                             "unreadable_field",
                             ResultCode::BadMessage,
                             request_.facts.requestId,
                             {{"upstream", placement.upstream}, {"field", facts.malformedField}}});
    }
}

void Exchange::settle(Attempt &attempt, AttemptEnd end)
{
    const Instant now = framework::monotonicNow();
    const bool unreachable = end == AttemptEnd::NotRun && !attempt.headSeen;
    dispatch::AttemptResult result = dispatch::AttemptResult::Failed;
    if (end == AttemptEnd::Answered) {
        result = dispatch::AttemptResult::Served;
    } else if (end == AttemptEnd::CallerGone || end == AttemptEnd::TimedOut) {
        result = dispatch::AttemptResult::Abandoned;
    } else if (end == AttemptEnd::NotRun) {
        const bool replaced = attempt.headSeen && attempt.reader.status() == MISDIRECTED;
        result = unreachable ? dispatch::AttemptResult::Unreachable : replaced ? dispatch::AttemptResult::Replaced : dispatch::AttemptResult::Refused;
    }
    context_.dispatcher.onFinished(attempt.placement.upstream, result, attempt.firstAnswer, now);
    context_.metrics.onAttempt(service_, toString(end));
    if (end == AttemptEnd::MayHaveRun) {
        mayHaveRun_ = true;
        events_.dropPartial();
    }
    if (end == AttemptEnd::TimedOut && attempt.pooled.connection) {
        mayHaveRun_ = true;
    }
    noteCrashEvidence(attempt, end, now);
    logAttempt(attempt, end);
    if (!attempt.pooled.connection || upstream_ == nullptr) {
        return;
    }
    const bool reusable = attempt.reader.done() && attempt.reader.keepAlive() && !attempt.reader.endsAtEof() && attempt.requestWritten
        && *attempt.requestWritten && attempt.pooled.connection->receiveBuffer().empty() && attempt.pooled.connection->open();
    if (reusable) {
        context_.pool.give(attempt.placement, attempt.pooled.connection);
    } else {
        attempt.pooled.connection->reset();
    }
}

void Exchange::noteCrashEvidence(const Attempt &attempt, AttemptEnd end, Instant now)
{
    if (end == AttemptEnd::Answered || end == AttemptEnd::FailureAnswer) {
        const bool wasConvicted = context_.crashes.status(fingerprint_, now) == crashattribution::CrashStatus::Convicted;
        if (wasConvicted) {
            context_.onLifted(fingerprint_);
        }
        if (context_.crashes.onAnswered(fingerprint_, now)) {
            context_.metrics.onCrash("cleared");
            context_.log.report({"crashes",
                                 "cleared",
                                 ResultCode::Ok,
                                 request_.facts.requestId,
                                 {{"fingerprint", crashattribution::toText(fingerprint_)}, {"upstream", attempt.placement.upstream}}});
        }
        return;
    }
    const bool brokenOff = end == AttemptEnd::MayHaveRun && attempt.pooled.connection && attempt.pooled.connection->readEnd() != transport::ReadEnd::Open
        && !attempt.reader.done();
    const bool ranOn = attempt.firstEventAt != Instant{0} && now - attempt.firstEventAt >= RUNS_ON;
    if (brokenOff && !ranOn) {
        context_.crashWatch.onAttemptInterrupted(attempt.placement, {fingerprint_, request_.facts.requestId, attempt.startedAt, now});
    }
}

void Exchange::logAttempt(const Attempt &attempt, AttemptEnd end)
{
    context_.log.report({"forwarding",
                         "attempt",
                         end == AttemptEnd::Answered ? ResultCode::Ok : ResultCode::UpstreamFailed,
                         request_.facts.requestId,
                         {{"upstream", attempt.placement.upstream},
                          {"born_ms", std::to_string(attempt.placement.bornMs)},
                          {"address", attempt.placement.address},
                          {"fingerprint", crashattribution::toText(fingerprint_)},
                          {"connection", std::string(connectionState(attempt.pooled.connection.get()))},
                          {"end", std::string(toString(end))},
                          {"status", std::to_string(attempt.headSeen ? attempt.reader.status() : 0)},
                          {"expected_load", std::to_string(attempt.placement.expectedLoad)},
                          {"load_age_ms", std::to_string(toMilliseconds(attempt.placement.loadAge).count())},
                          {"reused", attempt.pooled.reused ? "yes" : "no"},
                          {"ms", std::to_string(toMilliseconds(framework::monotonicNow() - attempt.startedAt).count())}}});
}

} // namespace daisymount::gateway

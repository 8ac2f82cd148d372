// Entry core, second part: attempts, retries, resumption.

#include "entry/entrycore.h"

#include "framework/hash.h"

#include <algorithm>

namespace daisymount::entry
{

using attempts::AttemptEvent;
using attempts::AttemptId;
using attempts::Failure;
using claims::RevokeVerdict;
using quarantine::Standing;

namespace
{
constexpr Duration DEFAULT_RETRY_AFTER = framework::seconds{1};
constexpr unsigned ATTEMPT_COUNTER_BITS = 32;
} // namespace

EntryCore::EntryCore(EntryOptions options, EntryParts parts, EntryHooks hooks, Instant now)
    : options_(std::move(options))
    , parts_(parts)
    , hooks_(std::move(hooks))
    , budget_(config::RetryPolicy{}, now)
    , quarantine_(config::Quarantine{})
    , limiter_(options_.self)
    , billing_(options_.self)
    , repeats_(options_.self, parts.peers)
    , now_(now)
    , attemptPrefix_(framework::hash64(options_.self, options_.incarnation) << ATTEMPT_COUNTER_BITS)
{ }

void EntryCore::configure(const config::Config &config)
{
    config_ = config;
    budget_.setPolicy(config.retry);
    quarantine_.setSettings(config.quarantine);
    limiter_.configure(config);
    billing_.configure(config);
    parts_.router.configure(config);
    parts_.claims.configure(config);
}

organisations::OrganisationLimiter &EntryCore::limiter()
{
    return limiter_;
}

organisations::BillingMeter &EntryCore::billing()
{
    return billing_;
}

quarantine::Quarantine &EntryCore::quarantine()
{
    return quarantine_;
}

const EntryCounters &EntryCore::counters() const
{
    return counters_;
}

size_t EntryCore::openRequests() const
{
    return static_cast<size_t>(std::count_if(requests_.begin(), requests_.end(), [](const auto &item) { return !item.second.replied; }));
}

EntryCore::Request *EntryCore::find(std::string_view id)
{
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

void EntryCore::report(std::string_view name, ResultCode code, const Request &request) const
{
    const std::vector<std::pair<std::string_view, std::string>> fields{{"service", request.caller.service},
                                                                       {"organisation", request.organisation},
                                                                       {"upstream", request.upstream},
                                                                       {"attempts", std::to_string(request.attempts)},
                                                                       {"tokens", std::to_string(request.stream.nextOffset())},
                                                                       {"age_us", std::to_string((now_ - request.receivedAt).count())}};
    parts_.log.report({"entry", name, code, request.caller.id, fields});
}

void EntryCore::route(Request &request, Instant now)
{
    if (now >= request.deadline) {
        refuse(request, ResultCode::DeadlinePassed, runStateOf(request), Duration{0});
        return;
    }
    if (request.attempts >= options_.maxAttempts) {
        refuse(request, request.lastFailure.code, runStateOf(request), request.lastFailure.retryAfter);
        return;
    }
    const Standing standing = quarantine_.standing(request.fingerprint, now);
    if (standing == Standing::Convicted) {
        refuse(request, ResultCode::Quarantined, runStateOf(request), config_.quarantine.duration);
        return;
    }
    std::string designated;
    request.exclusive = standing == Standing::Suspect;
    if (request.exclusive) {
        designated = parts_.router.designatedUpstream(request.caller.service, request.tried);
    }
    const routing::RouteQuery query{request.caller.service, request.caller.prefixHash, designated, &request.tried};
    const std::optional<routing::Choice> choice = parts_.router.pick(query, now);
    if (!choice) {
        const bool tried = request.attempts > 0;
        const Duration retryAfter = tried && request.lastFailure.retryAfter > Duration{0} ? request.lastFailure.retryAfter : DEFAULT_RETRY_AFTER;
        refuse(request, tried ? request.lastFailure.code : ResultCode::NoUpstream, runStateOf(request), retryAfter);
        return;
    }
    send(request, *choice, now);
}

void EntryCore::send(Request &request, const routing::Choice &choice, Instant now)
{
    request.attempt = attemptPrefix_ | ++lastAttempt_;
    request.upstream = choice.upstream;
    request.address = choice.address;
    request.addressedTo = choice.incarnation;
    request.sentAt = now;
    request.lastEventAt = now;
    request.accepted = false;
    ++request.attempts;
    ++counters_.attemptsSent;
    if (request.stream.beginAttempt(request.attempt) > 0) {
        ++counters_.resumed;
    }
    requestOfAttempt_[request.attempt] = request.caller.id;
    parts_.router.onSent(request.upstream, now);
    parts_.transport.send(request.address, attemptRequest(request));
}

attempts::AttemptRequest EntryCore::attemptRequest(const Request &request) const
{
    attempts::AttemptRequest message;
    message.attempt = request.attempt;
    message.request = request.caller.id;
    message.service = request.caller.service;
    message.organisation = request.organisation;
    message.method = request.caller.method;
    message.path = request.caller.path;
    message.body = request.caller.body;
    message.model = request.caller.model;
    message.resumeFrom = request.stream.nextOffset();
    message.callerKey = request.caller.idempotencyKey;
    message.executionKey = request.executionKey;
    message.addressedTo = request.addressedTo;
    message.priority = request.caller.priority;
    message.timeLeft = request.deadline - now_;
    message.exclusive = request.exclusive;
    message.fingerprint = request.fingerprint;
    return message;
}

void EntryCore::endAttempt(Request &request, Instant now)
{
    requestOfAttempt_.erase(request.attempt);
    request.attempt = 0;
    parts_.router.onFinished(request.upstream, now);
}

void EntryCore::abandonAttempt(Request &request, Instant now)
{
    if (request.attempt != 0) {
        // The sidecar may hold the attempt and run it all the same.
        request.maybeRan = true;
        parts_.transport.cancel(request.attempt);
        endAttempt(request, now);
    }
}

void EntryCore::onAttemptEvent(AttemptId attempt, const AttemptEvent &event, Instant now)
{
    now_ = now;
    const auto live = requestOfAttempt_.find(attempt);
    if (live == requestOfAttempt_.end()) {
        ++counters_.staleEvents;
        return;
    }
    const std::string id = live->second;
    Request &request = requests_.find(id)->second;
    request.lastEventAt = now;
    if (const auto *accepted = std::get_if<attempts::Accepted>(&event)) {
        request.accepted = true;
        parts_.router.onHint(request.upstream, accepted->hint, now);
    } else if (const auto *token = std::get_if<attempts::Token>(&event)) {
        onToken(request, *token, now);
    } else if (const auto *end = std::get_if<attempts::End>(&event)) {
        onEnd(request, *end, now);
    } else if (const auto *answer = std::get_if<attempts::Answer>(&event)) {
        onAnswer(request, *answer, now);
    } else {
        onFailure(request, std::get<Failure>(event), now);
    }
    eraseIfDone(id);
}

void EntryCore::onToken(Request &request, const attempts::Token &token, Instant now)
{
    const streams::TokenVerdict verdict = request.stream.onToken(request.attempt, token.offset, token.text);
    if (verdict == streams::TokenVerdict::Gap) {
        abandonAttempt(request, now);
        afterBreak(request, ResultCode::AnswerTruncated, now);
        return;
    }
    if (verdict != streams::TokenVerdict::Accept) {
        ++counters_.droppedTokens;
        return;
    }
    if (request.firstTokenAt == Instant{0}) {
        request.firstTokenAt = now;
    } else {
        const Duration gap = now - request.lastTokenAt;
        request.slowGaps += gap > request.objectiveGap ? 1 : 0;
        if (hooks_.tokenGap) {
            hooks_.tokenGap(request.caller.service, gap);
        }
    }
    if (!request.attemptHasToken) {
        request.attemptHasToken = true;
        parts_.router.onFirstToken(request.upstream, now - request.sentAt, now);
    }
    request.lastTokenAt = now;
    if (request.caller.stream && !request.replied) {
        parts_.callers.onToken(request.caller.id, token.offset, token.text);
    }
}

void EntryCore::onEnd(Request &request, const attempts::End &end, Instant now)
{
    const bool complete = request.stream.onEnd(request.attempt, end.totalTokens);
    endAttempt(request, now);
    if (!complete) {
        afterBreak(request, ResultCode::AnswerTruncated, now);
        return;
    }
    budget_.onSuccess(now);
    if (request.exclusive) {
        quarantine_.onCompletedAlone(request.fingerprint);
    }
    CallerReply whole;
    whole.ran = RunState::Ran;
    whole.body = request.stream.text();
    whole.tokens = request.stream.nextOffset();
    finishKeyed(request, {whole.status, whole.contentType, whole.body});
    reply(request, whole);
}

void EntryCore::onAnswer(Request &request, const attempts::Answer &answer, Instant now)
{
    if (request.firstTokenAt == Instant{0}) {
        request.firstTokenAt = now;
    }
    parts_.router.onFirstToken(request.upstream, now - request.sentAt, now);
    endAttempt(request, now);
    budget_.onSuccess(now);
    if (request.exclusive) {
        quarantine_.onCompletedAlone(request.fingerprint);
    }
    CallerReply whole;
    whole.ran = RunState::Ran;
    whole.status = answer.status;
    whole.contentType = answer.contentType;
    whole.body = answer.body;
    finishKeyed(request, {answer.status, answer.contentType, answer.body});
    reply(request, whole);
}

void EntryCore::onFailure(Request &request, const Failure &failure, Instant now)
{
    if (failure.hint) {
        parts_.router.onHint(request.upstream, *failure.hint, now);
    }
    if (failure.crash) {
        onCrashReport(*failure.crash, now);
    }
    request.lastFailure = failure;
    endAttempt(request, now);
    if (failure.ran == RunState::NotRun) {
        afterNotRun(request, failure, now);
        return;
    }
    request.maybeRan = true;
    if (!failure.hint) {
        parts_.router.onRefused(request.upstream, ResultCode::UpstreamUnreachable, now);
    }
    const bool sidecarLost = !failure.hint;
    if (request.idempotent || !sidecarLost) {
        afterBreak(request, failure.code, now);
    } else {
        revokeThenDecide(request, failure.code, now);
    }
}

void EntryCore::afterNotRun(Request &request, const Failure &failure, Instant now)
{
    report("attempt_refused", failure.code, request);
    if (request.replied) {
        if (!request.claimId.empty()) {
            parts_.claims.release(request.caller.service, claimKey(request), request.claimId, now, hooks_.unixMs());
            requestOfClaim_.erase(request.claimId);
            request.claimId.clear();
        }
        return;
    }
    if (failure.code != ResultCode::IncarnationChanged) {
        parts_.router.onRefused(request.upstream, failure.code, now);
        request.tried.insert(request.upstream);
    }
    route(request, now);
}

void EntryCore::afterBreak(Request &request, ResultCode code, Instant now)
{
    report("attempt_broken", code, request);
    if (request.replied) {
        return;
    }
    if (!request.idempotent) {
        refuse(request, ResultCode::OutcomeUnknown, RunState::Unknown, Duration{0});
        return;
    }
    if (quarantine_.standing(request.fingerprint, now) == Standing::Convicted) {
        refuse(request, ResultCode::Quarantined, RunState::Ran, config_.quarantine.duration);
        return;
    }
    request.tried.insert(request.upstream);
    request.lastFailure.code = code;
    if (!budget_.tryTake(now)) {
        const bool truncated = request.stream.nextOffset() > 0;
        refuse(request, truncated ? ResultCode::AnswerTruncated : ResultCode::RetryBudgetSpent, runStateOf(request), DEFAULT_RETRY_AFTER);
        return;
    }
    ++counters_.retries;
    request.attemptHasToken = false;
    report("retry", code, request);
    route(request, now);
}

void EntryCore::revokeThenDecide(Request &request, ResultCode code, Instant now)
{
    report("revoke", code, request);
    request.revoking = true;
    const std::string id = request.caller.id;
    parts_.transport.revoke(request.address, request.executionKey, request.addressedTo, [this, id, code](RevokeVerdict verdict) {
        Request *revoked = find(id);
        if (revoked == nullptr) {
            return;
        }
        revoked->revoking = false;
        onRevoked(*revoked, code, verdict);
        eraseIfDone(id);
    });
    static_cast<void>(now);
}

void EntryCore::onRevoked(Request &request, ResultCode code, RevokeVerdict verdict)
{
    if (verdict != RevokeVerdict::NeverStarts) {
        afterBreak(request, code, now_);
        return;
    }
    // Another attempt is made only after all earlier ones were proven not to have run.
    request.maybeRan = false;
    const bool mayRetry = !request.claimId.empty() && now_ < request.deadline && !request.replied;
    if (mayRetry) {
        request.tried.insert(request.upstream);
        request.lastFailure.code = ResultCode::UpstreamUnreachable;
        route(request, now_);
        return;
    }
    const bool late = now_ >= request.deadline;
    refuse(request, late ? ResultCode::DeadlinePassed : ResultCode::UpstreamUnreachable, RunState::NotRun, DEFAULT_RETRY_AFTER);
}

void EntryCore::onCrashReport(const quarantine::CrashReport &report, Instant now)
{
    for (const quarantine::Fingerprint fingerprint : quarantine_.onCrash(report, now)) {
        const std::vector<std::pair<std::string_view, std::string>> fields{{"upstream", report.upstream}, {"fingerprint", std::to_string(fingerprint)}};
        parts_.log.report({"quarantine", "convicted", ResultCode::Quarantined, "", fields});
        if (hooks_.convicted) {
            hooks_.convicted(fingerprint);
        }
    }
}

void EntryCore::onConviction(const quarantine::Conviction &conviction, Instant now)
{
    quarantine_.onConviction(conviction, now);
}

} // namespace daisymount::entry

// Entry core, third part: the final answer, timers and the end of a request.

#include "entry/entrycore.h"

#include <vector>

namespace daisymount::entry
{

namespace
{
constexpr Duration RECENT_ANSWER_LIFETIME = std::chrono::minutes{2};
/// How long work whose caller has its answer is followed, for the stored answer.
constexpr Duration BACKGROUND_LIFETIME = std::chrono::minutes{10};
} // namespace

RunState EntryCore::runStateOf(const Request &request) const
{
    if (request.stream.nextOffset() > 0) {
        return RunState::Ran;
    }
    return request.maybeRan ? RunState::Unknown : RunState::NotRun;
}

std::string EntryCore::claimKey(const Request &request) const
{
    return request.organisation + "/" + request.caller.idempotencyKey;
}

void EntryCore::refuse(Request &request, ResultCode code, RunState ran, Duration retryAfter)
{
    CallerReply refusal;
    refusal.code = code;
    refusal.ran = ran;
    refusal.retryAfter = retryAfter;
    refusal.status = framework::resultCodeInfo(code).httpStatus;
    refusal.tokens = request.stream.nextOffset();
    if (!request.claimId.empty() && ran == RunState::NotRun) {
        parts_.claims.release(request.caller.service, claimKey(request), request.claimId, now_, hooks_.unixMs());
    }
    if (!request.claimId.empty() && request.attempt == 0) {
        requestOfClaim_.erase(request.claimId);
    }
    report("refused", code, request);
    reply(request, refusal);
}

void EntryCore::finishKeyed(Request &request, const claims::StoredAnswer &answer)
{
    if (request.claimId.empty()) {
        return;
    }
    requestOfClaim_.erase(request.claimId);
    recentAnswers_[request.claimId] = {answer, now_ + RECENT_ANSWER_LIFETIME};
    parts_.claims.complete(request.caller.service, claimKey(request), {request.claimId, answer, false}, now_, hooks_.unixMs());
}

void EntryCore::reply(Request &request, const CallerReply &reply)
{
    if (request.replied) {
        return;
    }
    request.replied = true;
    if (request.charged) {
        limiter_.settle(request.organisation, request.caller.estimatedTokens, static_cast<double>(request.stream.nextOffset()));
    }
    recordOutcome(request, reply.code);
    parts_.callers.onReply(request.caller.id, reply);
}

void EntryCore::recordOutcome(const Request &request, ResultCode code)
{
    if (!hooks_.outcome) {
        return;
    }
    RequestOutcome outcome;
    outcome.service = request.caller.service;
    outcome.organisation = request.organisation;
    outcome.code = code;
    outcome.firstToken = request.firstTokenAt > Instant{0} ? request.firstTokenAt - request.receivedAt : Duration{0};
    outcome.total = now_ - request.receivedAt;
    outcome.tokens = request.stream.nextOffset();
    outcome.slowGaps = request.slowGaps;
    outcome.attempts = request.attempts;
    hooks_.outcome(outcome);
}

void EntryCore::eraseIfDone(const std::string &id)
{
    const auto found = requests_.find(id);
    const bool done = found != requests_.end() && found->second.replied && found->second.attempt == 0 && !found->second.revoking;
    if (!done) {
        return;
    }
    const auto running = requestOfClaim_.find(found->second.claimId);
    if (running != requestOfClaim_.end() && running->second == id) {
        requestOfClaim_.erase(running);
    }
    requests_.erase(found);
}

void EntryCore::onCallerGone(std::string_view id, Instant now)
{
    now_ = now;
    Request *request = find(id);
    if (request == nullptr || request->replied) {
        return;
    }
    repeats_.forget(id);
    report("caller_gone", ResultCode::Cancelled, *request);
    const bool claiming = !request->idempotent && request->executionKey.empty();
    if (request->idempotent) {
        abandonAttempt(*request, now);
    }
    if (!claiming) {
        request->replied = true;
    }
    eraseIfDone(std::string(id));
}

void EntryCore::checkTimers(Request &request, Instant now)
{
    if (request.replied || request.revoking) {
        const bool forgotten = now >= request.deadline + BACKGROUND_LIFETIME;
        if (forgotten && request.attempt != 0) {
            requestOfClaim_.erase(request.claimId);
            abandonAttempt(request, now);
        }
        return;
    }
    if (now >= request.deadline && request.attempt != 0) {
        onDeadline(request, now);
        return;
    }
    const bool silent = request.attempt != 0 && now >= request.lastEventAt + options_.stallTimeout;
    if (silent && request.idempotent && budget_.balance() >= 1.0) {
        parts_.router.onStalled(request.upstream, now);
        abandonAttempt(request, now);
        afterBreak(request, ResultCode::UpstreamFailed, now);
    }
}

void EntryCore::onDeadline(Request &request, Instant now)
{
    if (request.idempotent) {
        abandonAttempt(request, now);
        const bool truncated = request.stream.nextOffset() > 0;
        refuse(request, truncated ? ResultCode::AnswerTruncated : ResultCode::DeadlinePassed, runStateOf(request), Duration{0});
    } else if (request.accepted) {
        // The attempt goes on: a repeat finds its answer.
        refuse(request, ResultCode::OutcomeUnknown, RunState::Unknown, Duration{0});
    } else {
        abandonAttempt(request, now);
        revokeThenDecide(request, ResultCode::DeadlinePassed, now);
    }
}

void EntryCore::tick(Instant now)
{
    now_ = now;
    const int64_t unixMs = hooks_.unixMs();
    parts_.claims.tick(now, unixMs);
    repeats_.tick(now);
    billing_.tick(unixMs);
    quarantine_.expire(now);
    std::erase_if(recentAnswers_, [now](const auto &item) { return item.second.until <= now; });
    std::vector<std::string> ids;
    for (const auto &[id, request] : requests_) {
        ids.push_back(id);
    }
    for (const std::string &id : ids) {
        if (Request *request = find(id)) {
            checkTimers(*request, now);
            eraseIfDone(id);
        }
    }
}

} // namespace daisymount::entry

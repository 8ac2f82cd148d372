// Entry core, first part: checks, limits and claims before anything is sent.

#include "entry/entrycore.h"

#include "framework/hash.h"

namespace daisymount::entry
{

using claims::ClaimOutcome;
using claims::ClaimVerdict;

namespace
{
constexpr Duration REFUSAL_RETRY_AFTER = framework::seconds{1};
constexpr Duration REPEAT_MARGIN = framework::milliseconds{100};

quarantine::Fingerprint fingerprintOf(const CallerRequest &request)
{
    return framework::hash64(request.body, framework::hash64(request.path, framework::hash64(request.service)));
}

} // namespace

void EntryCore::onRequest(const CallerRequest &caller, Instant now)
{
    now_ = now;
    ++counters_.received;
    Request &request = requests_[caller.id];
    request.caller = caller;
    request.receivedAt = now;
    request.fingerprint = fingerprintOf(caller);
    request.stream.setKeepText(!caller.stream);
    if (passesChecks(request, now) && passesLimits(request, now)) {
        claimThenRoute(request, now);
    }
    eraseIfDone(caller.id);
}

bool EntryCore::passesChecks(Request &request, Instant now)
{
    if (config_.services.empty()) {
        // Without a configuration nothing can be said about the caller.
        refuse(request, ResultCode::ConfigurationStale, RunState::NotRun, REFUSAL_RETRY_AFTER);
        return false;
    }
    request.organisation = config_.organisationOfKey(request.caller.apiKey);
    if (request.organisation.empty()) {
        refuse(request, ResultCode::UnknownApiKey, RunState::NotRun, Duration{0});
        return false;
    }
    const auto service = config_.services.find(request.caller.service);
    if (service == config_.services.end()) {
        refuse(request, ResultCode::UnknownService, RunState::NotRun, Duration{0});
        return false;
    }
    const config::Service &settings = service->second;
    const bool readOnly = request.caller.method == "GET" || request.caller.method == "HEAD";
    request.idempotent = settings.idempotent || readOnly;
    request.deadline = now + (request.caller.deadline > Duration{0} ? std::min(request.caller.deadline, settings.deadline) : settings.deadline);
    request.objectiveGap = settings.objectives.betweenTokens;
    request.deferrable = request.caller.deferrable.value_or(config_.organisations.at(request.organisation).deferrable);
    if (quarantine_.standing(request.fingerprint, now) == quarantine::Standing::Convicted) {
        refuse(request, ResultCode::Quarantined, RunState::NotRun, config_.quarantine.duration);
        return false;
    }
    return true;
}

bool EntryCore::passesLimits(Request &request, Instant now)
{
    const double tokens = request.caller.estimatedTokens;
    const int64_t unixMs = hooks_.unixMs();
    if (request.deferrable) {
        const organisations::HoldDecision hold = billing_.decide(tokens, unixMs);
        if (hold.held) {
            refuse(request, ResultCode::HeldForBillingPeak, RunState::NotRun, hold.retryAfter);
            return false;
        }
    }
    const organisations::LimitDecision decision = limiter_.admit(request.organisation, tokens, now);
    if (!decision.admitted) {
        refuse(request, ResultCode::OrganisationOverLimit, RunState::NotRun, decision.retryAfter);
        return false;
    }
    request.charged = true;
    billing_.charge(tokens, !request.deferrable, unixMs);
    return true;
}

void EntryCore::claimThenRoute(Request &request, Instant now)
{
    if (request.idempotent) {
        route(request, now);
        return;
    }
    if (request.caller.idempotencyKey.empty()) {
        request.executionKey = request.caller.id;
        route(request, now);
        return;
    }
    const std::string key = claimKey(request);
    const claims::Claim claim{key, request.fingerprint, request.caller.id, options_.self};
    parts_.claims.claim(
        request.caller.service, claim, [this, id = request.caller.id](const ClaimOutcome &outcome) { onClaimed(id, outcome); }, now, hooks_.unixMs());
}

void EntryCore::onClaimed(const std::string &id, const ClaimOutcome &outcome)
{
    Request *request = find(id);
    if (request == nullptr) {
        return;
    }
    if (outcome.verdict == ClaimVerdict::Granted) {
        request->claimId = outcome.existing.claimId;
        request->executionKey = outcome.existing.claimId;
        requestOfClaim_[request->claimId] = id;
        route(*request, now_);
    } else if (outcome.verdict == ClaimVerdict::Refused) {
        refuseClaim(*request, outcome);
    } else if (outcome.answer) {
        onRepeat(id, {RepeatVerdict::Answered, *outcome.answer});
        return;
    } else if (outcome.code == ResultCode::AnswerTruncated) {
        refuse(*request, ResultCode::OutcomeUnknown, RunState::Ran, Duration{0});
    } else {
        const Instant deadline = std::max(now_, request->deadline - REPEAT_MARGIN);
        repeats_.wait(
            id, request->caller.service, outcome.existing, deadline, [this, id](const RepeatOutcome &repeat) { onRepeat(id, repeat); }, now_);
    }
    eraseIfDone(id);
}

void EntryCore::refuseClaim(Request &request, const ClaimOutcome &outcome)
{
    const std::string key = claimKey(request);
    if (outcome.code == ResultCode::IdempotencyKeyReused) {
        refuse(request, outcome.code, RunState::NotRun, Duration{0});
        return;
    }
    // Where an earlier receipt of the key is known to have been claimed, "not run" could be taken to speak of that one.
    const RunState ran = parts_.claims.knows(request.caller.service, key) ? RunState::Unknown : RunState::NotRun;
    refuse(request, outcome.code, ran, REFUSAL_RETRY_AFTER);
}

void EntryCore::onRepeat(const std::string &id, const RepeatOutcome &outcome)
{
    Request *request = find(id);
    if (request == nullptr) {
        return;
    }
    if (outcome.verdict == RepeatVerdict::Answered) {
        CallerReply stored;
        stored.ran = RunState::Ran;
        stored.status = outcome.answer.status;
        stored.contentType = outcome.answer.contentType;
        stored.body = outcome.answer.body;
        stored.replayed = true;
        reply(*request, stored);
    } else if (outcome.verdict == RepeatVerdict::Unknown) {
        refuse(*request, ResultCode::OutcomeUnknown, RunState::Unknown, Duration{0});
    } else {
        claimThenRoute(*request, now_);
    }
    eraseIfDone(id);
}

OwnerAnswer EntryCore::onOwnerQuery(const OwnerQuery &query)
{
    OwnerAnswer answer;
    answer.claimId = query.claimId;
    if (requestOfClaim_.count(query.claimId) != 0) {
        answer.status = OwnerStatus::Running;
        return answer;
    }
    const auto recent = recentAnswers_.find(query.claimId);
    if (recent != recentAnswers_.end()) {
        answer.status = OwnerStatus::Done;
        answer.answerStatus = recent->second.answer.status;
        answer.answerType = recent->second.answer.contentType;
        answer.answerBody = recent->second.answer.body;
        return answer;
    }
    if (parts_.claims.isReleased(query.service, query.key, query.claimId)) {
        answer.status = OwnerStatus::Released;
    }
    return answer;
}

void EntryCore::onOwnerAnswer(const OwnerAnswer &answer, Instant now)
{
    now_ = now;
    repeats_.onAnswer(answer, now);
}

} // namespace daisymount::entry

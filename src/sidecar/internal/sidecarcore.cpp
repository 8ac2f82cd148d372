// Sidecar core.

#include "sidecar/sidecarcore.h"

#include <algorithm>
#include <vector>

namespace daisymount::sidecar
{

using admission::Decision;
using admission::Verdict;
using attempts::AttemptEvent;
using attempts::Failure;
using claims::StartVerdict;
using framework::Duration;
using framework::ResultCode;
using framework::RunState;

namespace
{
/// Longer than any deadline, so that a late request still meets its tombstone.
constexpr Duration GUARD_MEMORY = std::chrono::minutes{30};
constexpr Duration REFUSAL_RETRY_AFTER = framework::seconds{1};

std::string_view toString(admission::ColdReason reason)
{
    switch (reason) {
    case admission::ColdReason::Started:
        return "started";
    case admission::ColdReason::EngineRestarted:
        return "engine_restarted";
    case admission::ColdReason::LatencyJump:
        return "latency_jump";
    case admission::ColdReason::ReturnedToService:
        break;
    }
    return "returned_to_service";
}
} // namespace

SidecarCore::SidecarCore(SidecarOptions options, IEngineLink &engine, IAttemptReplies &replies, framework::IEventLog &log, Instant now)
    : options_(std::move(options))
    , engine_(engine)
    , replies_(replies)
    , log_(log)
    , admission_(config::AdmissionLimits{}, now)
    , guard_(options_.incarnation, GUARD_MEMORY)
{
    admission_.setColdHook([this](admission::ColdReason reason, int64_t coldLimit) {
        const std::vector<std::pair<std::string_view, std::string>> fields{{"reason", std::string(toString(reason))}, {"limit", std::to_string(coldLimit)}};
        log_.report({"admission", "cold_start", ResultCode::ColdLimit, "", fields});
    });
}

void SidecarCore::report(std::string_view name, ResultCode code, const std::string &request) const
{
    const routing::LoadHint load = admission_.hint();
    const std::vector<std::pair<std::string_view, std::string>> fields{{"upstream", options_.upstream},
                                                                       {"in_flight", std::to_string(load.inFlight)},
                                                                       {"queued", std::to_string(load.queued)},
                                                                       {"limit", std::to_string(load.limit)}};
    log_.report({"sidecar", name, code, request, fields});
}

void SidecarCore::configure(const config::Config &config, Instant now)
{
    const auto upstream = config.upstreams.find(options_.upstream);
    configured_ = upstream != config.upstreams.end();
    if (!configured_) {
        return;
    }
    const auto service = config.services.find(upstream->second.service);
    if (service != config.services.end()) {
        admission_.setLimits(service->second.admission);
    }
    const bool wasOut = out_;
    out_ = config.isOut(upstream->second);
    admission_.setOutOfService(out_);
    if (wasOut != out_) {
        report(out_ ? "taken_out" : "brought_back", out_ ? ResultCode::ZoneOutOfService : ResultCode::Ok, "");
    }
    pollAdmission(now);
}

void SidecarCore::setCrashHook(CrashHook hook)
{
    crashHook_ = std::move(hook);
}

void SidecarCore::setCutOff(bool cutOff, Instant /*now*/)
{
    if (cutOff_ != cutOff) {
        cutOff_ = cutOff;
        report(cutOff ? "cut_off" : "contact_restored", cutOff ? ResultCode::ConfigurationStale : ResultCode::Ok, "");
    }
}

void SidecarCore::setDraining(bool draining, Instant now)
{
    if (draining_ == draining) {
        return;
    }
    draining_ = draining;
    report(draining ? "drain" : "drain_ended", draining ? ResultCode::Draining : ResultCode::Ok, "");
    if (!draining) {
        return;
    }
    std::vector<AttemptId> waiting;
    for (const auto &[id, attempt] : attempts_) {
        if (!attempt.started) {
            waiting.push_back(id);
        }
    }
    for (const AttemptId id : waiting) {
        admission_.cancel(id);
        refuse(id, ResultCode::Draining, RunState::NotRun, REFUSAL_RETRY_AFTER);
    }
    pollAdmission(now);
}

ResultCode SidecarCore::serviceState() const
{
    if (draining_) {
        return ResultCode::Draining;
    }
    if (!configured_ || cutOff_) {
        return ResultCode::ConfigurationStale;
    }
    return out_ ? ResultCode::ZoneOutOfService : ResultCode::Ok;
}

bool SidecarCore::refusesAll() const
{
    return serviceState() != ResultCode::Ok;
}

routing::LoadHint SidecarCore::hint() const
{
    routing::LoadHint load = admission_.hint();
    load.incarnation = options_.incarnation;
    return load;
}

int64_t SidecarCore::inFlight() const
{
    return static_cast<int64_t>(attempts_.size());
}

const admission::AdmissionController &SidecarCore::admission() const
{
    return admission_;
}

void SidecarCore::refuse(AttemptId attempt, ResultCode code, RunState ran, Duration retryAfter)
{
    const auto found = attempts_.find(attempt);
    const std::string request = found == attempts_.end() ? std::string() : found->second.request.request;
    attempts_.erase(attempt);
    report("refused", code, request);
    replies_.send(attempt, Failure{code, ran, retryAfter, hint(), std::nullopt});
}

void SidecarCore::onAttempt(const attempts::AttemptRequest &request, Instant now)
{
    if (attempts_.count(request.attempt) != 0) {
        return;
    }
    attempts_[request.attempt] = {request, now + request.timeLeft, false, false, std::nullopt};
    if (const ResultCode state = serviceState(); state != ResultCode::Ok) {
        refuse(request.attempt, state, RunState::NotRun, REFUSAL_RETRY_AFTER);
        return;
    }
    const Decision decision = admission_.offer({request.attempt, request.priority, now + request.timeLeft, request.exclusive}, now);
    if (decision.verdict == Verdict::Refused) {
        refuse(request.attempt, decision.code, RunState::NotRun, decision.retryAfter);
    } else if (decision.verdict == Verdict::Admitted) {
        handOver(request.attempt, now);
    }
}

void SidecarCore::handOver(AttemptId id, Instant now)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        admission_.cancel(id);
        return;
    }
    Attempt &attempt = found->second;
    if (!attempt.request.executionKey.empty()) {
        const StartVerdict verdict = guard_.start(attempt.request.executionKey, attempt.request.addressedTo, now);
        if (verdict != StartVerdict::Start) {
            admission_.cancel(id);
            const bool started = verdict == StartVerdict::AlreadyStarted;
            const ResultCode code = started        ? ResultCode::OutcomeUnknown
                : verdict == StartVerdict::Revoked ? ResultCode::Revoked
                                                   : ResultCode::IncarnationChanged;
            refuse(id, code, started ? RunState::Ran : RunState::NotRun, Duration{0});
            return;
        }
    }
    attempt.started = true;
    replies_.send(id, attempts::Accepted{hint()});
    attempts::AttemptRequest request = attempt.request;
    request.timeLeft = std::max(Duration{0}, attempt.deadline - now);
    engine_.start(request);
}

void SidecarCore::onAttemptGone(AttemptId id, Instant now)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    const bool mustFinish = found->second.started && !found->second.request.executionKey.empty();
    if (mustFinish) {
        return;
    }
    if (found->second.started) {
        engine_.cancel(id);
    }
    admission_.cancel(id);
    attempts_.erase(id);
    pollAdmission(now);
}

claims::RevokeVerdict SidecarCore::onRevoke(std::string_view key, uint64_t addressedTo, Instant now)
{
    return guard_.revoke(key, addressedTo, now);
}

void SidecarCore::pollAdmission(Instant now)
{
    const admission::PollResult result = admission_.poll(now);
    for (const auto &[id, decision] : result.refused) {
        refuse(id, decision.code, RunState::NotRun, decision.retryAfter);
    }
    for (const AttemptId id : result.admitted) {
        handOver(id, now);
    }
}

void SidecarCore::finish(AttemptId id, const AttemptEvent &event, bool succeeded, Instant now)
{
    const bool wasCold = admission_.isCold();
    admission_.onFinished(id, succeeded, now);
    if (wasCold && !admission_.isCold()) {
        report("warmed_up", ResultCode::Ok, "");
    }
    attempts_.erase(id);
    replies_.send(id, event);
    pollAdmission(now);
}

void SidecarCore::onEngineEvent(AttemptId id, const AttemptEvent &event, Instant now)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    Attempt &attempt = found->second;
    if (std::holds_alternative<attempts::Token>(event)) {
        if (!attempt.firstToken) {
            attempt.firstToken = true;
            admission_.onFirstToken(id, now);
        }
        admission_.onTokens(1, now);
        replies_.send(id, event);
        return;
    }
    if (const auto *failure = std::get_if<Failure>(&event)) {
        if (failure->code != ResultCode::UpstreamUnreachable && failure->code != ResultCode::UpstreamFailed) {
            finish(id, event, false, now);
            return;
        }
        // Whether the engine died or only this call broke decides what its neighbours are suspected of.
        attempt.broken = failure->ran;
        if (!probing_) {
            probing_ = true;
            engine_.probe();
        }
        return;
    }
    if (attempts::isFinal(event)) {
        if (std::holds_alternative<attempts::Answer>(event)) {
            admission_.onFirstToken(id, now);
        }
        finish(id, event, true, now);
    }
}

void SidecarCore::onProbe(std::optional<uint64_t> incarnation, Instant now)
{
    probing_ = false;
    const bool restarted = engineIncarnation_ && incarnation && *incarnation != *engineIncarnation_;
    const bool died = !incarnation && engineIncarnation_;
    if (died || restarted) {
        declareCrash(now);
    } else {
        failBroken(now);
    }
    engineIncarnation_ = incarnation;
}

void SidecarCore::declareCrash(Instant now)
{
    quarantine::CrashReport crash{options_.upstream, engineIncarnation_.value_or(0), {}};
    std::vector<AttemptId> lost;
    for (const auto &[id, attempt] : attempts_) {
        if (attempt.started && attempt.broken != RunState::NotRun) {
            lost.push_back(id);
            crash.inFlight.push_back(attempt.request.fingerprint);
        }
    }
    report("engine_crashed", ResultCode::UpstreamFailed, "");
    admission_.onEngineRestarted();
    if (crashHook_) {
        crashHook_(crash);
    }
    for (const AttemptId id : lost) {
        engine_.cancel(id);
        attempts_.erase(id);
        replies_.send(id, Failure{ResultCode::UpstreamFailed, RunState::Unknown, Duration{0}, hint(), crash});
    }
    failBroken(now);
    pollAdmission(now);
}

void SidecarCore::failBroken(Instant now)
{
    std::vector<std::pair<AttemptId, RunState>> broken;
    for (const auto &[id, attempt] : attempts_) {
        if (attempt.broken) {
            broken.emplace_back(id, *attempt.broken);
        }
    }
    for (const auto &[id, ran] : broken) {
        const bool notRun = ran == RunState::NotRun;
        if (notRun) {
            guard_.withdraw(attempts_.find(id)->second.request.executionKey);
        }
        const ResultCode code = notRun ? ResultCode::UpstreamUnreachable : ResultCode::UpstreamFailed;
        finish(id, Failure{code, ran, Duration{0}, hint(), std::nullopt}, false, now);
    }
}

void SidecarCore::tick(Instant now)
{
    guard_.expire(now);
    pollAdmission(now);
}

} // namespace daisymount::sidecar

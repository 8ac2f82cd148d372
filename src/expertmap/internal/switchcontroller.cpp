// Controller side of the switch protocol.

#include "expertmap/switchcontroller.h"

#include <algorithm>

namespace daisymount::expertmap
{

namespace
{
/// Maximum number of restarts per lease; an epoch is the fencing number times this, plus the number of the restart.
constexpr int64_t RESTARTS_PER_LEASE = 1'000'000;
} // namespace

SwitchController::SwitchController(ControllerOptions options, ControllerHooks hooks) : options_(std::move(options)), hooks_(std::move(hooks))
{ }

bool SwitchController::idle() const
{
    return phase_ == Phase::Idle;
}

bool SwitchController::hasLease(Instant now) const
{
    return fencing_ > 0 && now < leaseUntil_;
}

void SwitchController::onLease(int64_t fencing, Instant validUntil, Instant now)
{
    now_ = now;
    if (fencing != fencing_ && phase_ != Phase::Idle) {
        finish(SwitchOutcome::LeaseLost);
    }
    fencing_ = fencing;
    leaseUntil_ = validUntil;
}

void SwitchController::enterPhase(Phase phase, Instant now)
{
    phase_ = phase;
    phaseSince_ = now;
    nextSendAt_ = now;
}

void SwitchController::broadcast(const SwitchMessage &message)
{
    for (const std::string &member : options_.members) {
        hooks_.send(member, message);
    }
}

bool SwitchController::propose(MapVersion version, Instant now)
{
    now_ = now;
    if (phase_ != Phase::Idle || !hasLease(now)) {
        return false;
    }
    proposal_ = {fencing_, version};
    prepared_.clear();
    votes_.clear();
    enterPhase(Phase::Preparing, now);
    tick(now);
    return true;
}

void SwitchController::resend()
{
    switch (phase_) {
    case Phase::Idle:
        break;
    case Phase::Preparing:
        broadcast(Propose{proposal_});
        break;
    case Phase::Holding:
        broadcast(hold_);
        break;
    case Phase::Stopping:
        broadcast(Stop{epoch_});
        break;
    case Phase::Restarting:
        broadcast(Restart{epoch_, restartVersion_});
        break;
    }
}

void SwitchController::onMessage(const SwitchMessage &message, Instant now)
{
    now_ = now;
    if (!hasLease(now)) {
        return;
    }
    if (const auto *prepared = std::get_if<Prepared>(&message)) {
        onPrepared(*prepared);
    } else if (const auto *vote = std::get_if<Vote>(&message)) {
        onVote(*vote, now);
    } else if (const auto *stopped = std::get_if<Stopped>(&message)) {
        onStopped(*stopped);
    } else if (const auto *started = std::get_if<Started>(&message)) {
        onStarted(*started);
    }
}

void SwitchController::onPrepared(const Prepared &message)
{
    if (phase_ != Phase::Preparing || message.proposal != proposal_) {
        return;
    }
    prepared_[message.member] = message;
    if (prepared_.size() < options_.members.size()) {
        return;
    }
    Step furthest = 0;
    hold_ = Hold{proposal_, message.epoch, 0, {}};
    for (const auto &[member, prepared] : prepared_) {
        if (prepared.epoch != message.epoch) {
            // Some ranks still run in an earlier epoch. Their next reply may show the current one.
            return;
        }
        furthest = std::max(furthest, prepared.step);
        hold_.incarnations[member] = prepared.incarnation;
    }
    hold_.step = furthest + options_.holdMargin;
    enterPhase(Phase::Holding, now_);
}

void SwitchController::onVote(const Vote &message, Instant now)
{
    if (phase_ == Phase::Idle && message.armed) {
        // A member is blocked at a hold of an earlier controller.
        blockedSince_ = blockedSince_.value_or(now);
        return;
    }
    if (phase_ != Phase::Holding || message.proposal != proposal_) {
        return;
    }
    votes_.try_emplace(message.member, message.armed);
    if (!message.armed) {
        finish(SwitchOutcome::Aborted);
    } else if (votes_.size() == options_.members.size()) {
        finish(SwitchOutcome::Committed);
    }
}

void SwitchController::restartGroup(Instant now)
{
    epoch_ = fencing_ * RESTARTS_PER_LEASE + ++restarts_;
    stopped_.clear();
    started_.clear();
    enterPhase(Phase::Stopping, now);
}

void SwitchController::onStopped(const Stopped &message)
{
    if (phase_ == Phase::Idle) {
        // An earlier controller stopped the group and did not start it again.
        blockedSince_ = blockedSince_.value_or(now_);
        return;
    }
    if (phase_ != Phase::Stopping || message.epoch != epoch_) {
        return;
    }
    stopped_[message.member] = message.committed;
    if (stopped_.size() < options_.members.size()) {
        return;
    }
    // A commit requires the votes of all members, so every member has loaded the highest committed map.
    restartVersion_ = 0;
    for (const auto &[member, committed] : stopped_) {
        restartVersion_ = std::max(restartVersion_, committed);
    }
    enterPhase(Phase::Restarting, now_);
}

void SwitchController::onStarted(const Started &message)
{
    if (phase_ != Phase::Restarting || message.epoch != epoch_) {
        return;
    }
    started_[message.member] = true;
    if (started_.size() == options_.members.size()) {
        finish(SwitchOutcome::Restarted);
    }
}

void SwitchController::finish(SwitchOutcome outcome)
{
    phase_ = Phase::Idle;
    blockedSince_.reset();
    hooks_.finished(proposal_.version, outcome);
}

void SwitchController::tick(Instant now)
{
    now_ = now;
    if (!hasLease(now)) {
        if (phase_ != Phase::Idle) {
            finish(SwitchOutcome::LeaseLost);
        }
        return;
    }
    const Duration inPhase = now - phaseSince_;
    if (phase_ == Phase::Preparing && inPhase >= options_.prepareTimeout) {
        finish(SwitchOutcome::NotPrepared);
    } else if (phase_ == Phase::Holding && inPhase >= options_.decideTimeout) {
        restartGroup(now);
    } else if (phase_ == Phase::Idle && blockedSince_ && now - *blockedSince_ >= options_.decideTimeout) {
        restartGroup(now);
    }
    if (phase_ != Phase::Idle && now >= nextSendAt_) {
        nextSendAt_ = now + options_.resend;
        resend();
    }
}

} // namespace daisymount::expertmap

// Evaluates the replies and reports of the ranks in a map change.

#include "expertmap/groupswitch.h"

#include <algorithm>

namespace daisymount::expertmap
{

namespace
{
/// So many unanswered orders in a row may mean that the rank is not reached this way, which a report tells.
constexpr int MAX_UNANSWERED_ORDERS = 5;
} // namespace

void GroupSwitch::onReply(const SwitchCommand &command, OrderOutcome outcome, Instant now)
{
    Rank &rank = ranks_[static_cast<size_t>(command.rank)];
    rank.callInFlight = false;
    rank.answeredAt = outcome == OrderOutcome::Unknown ? rank.answeredAt : now;
    rank.nextCallAt = outcome == OrderOutcome::Unknown || outcome == OrderOutcome::Conflict ? now + options_.retryDelay : now;
    if (outcome == OrderOutcome::Fenced) {
        superseded_ = true;
        reason_ = "a rank has seen a higher fencing number";
        return;
    }
    switch (command.order->kind) {
    case OrderKind::Prepare:
        rank.nextCallAt = now + options_.retryDelay;
        command.order->version == change_.version ? onPrepareReply(rank, outcome) : onSealReply(rank, *command.order, outcome);
        break;
    case OrderKind::Hold:
        phase_ == SwitchPhase::Claiming ? onClaimReply(rank, outcome, now) : onHoldReply(rank, outcome, now);
        break;
    case OrderKind::Arm:
        onArmReply(rank, outcome);
        break;
    case OrderKind::Go:
        onReleaseReply(rank, outcome, now);
        break;
    case OrderKind::Disarm:
        onDisarmReply(rank, outcome);
        break;
    }
    rank.unansweredOrders = outcome == OrderOutcome::Unknown ? rank.unansweredOrders + 1 : 0;
    if (phase_ != SwitchPhase::Preparing && rank.unansweredOrders >= MAX_UNANSWERED_ORDERS) {
        rank.unansweredOrders = 0;
        rank.readReportNext = true;
    }
}

void GroupSwitch::onSealReply(Rank &rank, const RankOrder &seal, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Begun || outcome == OrderOutcome::Done) {
        rank.sealedVersion = seal.version;
        rank.sequence += outcome == OrderOutcome::Begun ? 1 : 0;
        return;
    }
    if (outcome == OrderOutcome::Conflict) {
        // An unanswered prepare of this version was accepted, a late arm was executed in the meantime, or the sequence number is out of date.
        rank.arm = ArmState::Unknown;
        rank.readReportNext = true;
        phase_ = SwitchPhase::Disarming;
    }
}

void GroupSwitch::onPrepareReply(Rank &rank, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Unknown) {
        rank.prepareUnanswered = true;
    }
    // After an unanswered prepare, a conflict may mean that the prepare was accepted; the report shows it.
    if (outcome == OrderOutcome::Conflict && phase_ == SwitchPhase::Preparing && !rank.prepareUnanswered) {
        reason_ = "a rank refused to prepare";
        phase_ = SwitchPhase::GivenUp;
    }
}

void GroupSwitch::onClaimReply(Rank &rank, OrderOutcome outcome, Instant now)
{
    if (outcome == OrderOutcome::Begun || outcome == OrderOutcome::Done) {
        phase_ = SwitchPhase::Disarming;
        return;
    }
    rank.readReportNext = true;
    if (outcome == OrderOutcome::Conflict) {
        rank.nextCallAt = now;
        return;
    }
    // The group must not wait for a rank that does not answer; any other one will do.
    selectClaimRank(holdingRank_ + 1);
}

void GroupSwitch::onClaimReport(int index, const RankReport &report, Instant requestedAt)
{
    Rank &rank = ranks_[static_cast<size_t>(index)];
    if (report.lastPass >= heldPass_) {
        reason_ = "the held pass has already begun";
        phase_ = SwitchPhase::GivenUp;
        return;
    }
    rank.sequence = report.orderSequence;
    if (!report.heldPass || requestedAt <= rank.lastOrderAt) {
        return;
    }
    rank.heldPass = report.heldPass;
    if (report.heldPass == heldPass_) {
        phase_ = SwitchPhase::Disarming;
    } else {
        selectClaimRank(index + 1);
    }
}

void GroupSwitch::onHoldReply(Rank &holdingRank, OrderOutcome outcome, Instant now)
{
    if (phase_ != SwitchPhase::Holding) {
        return;
    }
    if (outcome == OrderOutcome::Begun || outcome == OrderOutcome::Done) {
        phase_ = SwitchPhase::Arming;
        phaseSince_ = now;
        return;
    }
    if (outcome == OrderOutcome::Conflict && !holdUnanswered_) {
        heldPass_ = 0;
        reason_ = "the pass to hold had already begun";
        phase_ = SwitchPhase::GivenUp;
        return;
    }
    holdUnanswered_ = true;
    // Sending the hold again is safe. A conflict may mean that the pass has already begun; the report shows it.
    holdingRank.readReportNext = outcome == OrderOutcome::Conflict;
    if (outcome == OrderOutcome::Unknown) {
        holdingRank.nextCallAt = Instant{0};
    }
}

void GroupSwitch::onArmReply(Rank &rank, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Begun || outcome == OrderOutcome::Done) {
        rank.arm = ArmState::Armed;
        return;
    }
    if (outcome == OrderOutcome::Unknown) {
        // While arming, the arm is sent again at once: a second arm is harmless, and its reply arrives sooner than a report.
        rank.readReportNext = phase_ != SwitchPhase::Arming;
        rank.nextCallAt = Instant{0};
        return;
    }
    if (phase_ == SwitchPhase::Arming) {
        giveUp("a rank refused to arm");
    }
}

void GroupSwitch::onReleaseReply(Rank &rank, OrderOutcome outcome, Instant now)
{
    if (outcome == OrderOutcome::Begun || outcome == OrderOutcome::Done) {
        rank.heldPass.reset();
        finishRelease();
        return;
    }
    // A conflict means that the pass has begun, that the group has a new epoch, or that the sequence number is out of date.
    rank.readReportNext = true;
    if (outcome == OrderOutcome::Conflict) {
        rank.nextCallAt = now;
    }
}

void GroupSwitch::onReleaseReport(Rank &rank, const RankReport &report, bool current)
{
    if (!rank.heldPass) {
        return;
    }
    if (report.lastPass >= *rank.heldPass || (current && report.heldPass != rank.heldPass)) {
        rank.heldPass.reset();
        finishRelease();
        return;
    }
    const bool sealed = phase_ == SwitchPhase::ReleasingOld;
    const bool otherPrepare = sealed ? report.preparedVersion.value_or(0) > rank.sealedVersion : report.orderSequence > rank.sequence;
    if (otherPrepare) {
        abandon("a rank accepted a prepare of another controller");
        return;
    }
    if (sealed && report.preparedVersion == rank.sealedVersion) {
        rank.sequence = report.orderSequence;
    }
}

void GroupSwitch::finishRelease()
{
    if (std::ranges::none_of(ranks_, [](const Rank &rank) { return rank.heldPass.has_value(); })) {
        phase_ = phase_ == SwitchPhase::Releasing ? SwitchPhase::Switched : SwitchPhase::GivenUp;
    }
}

void GroupSwitch::onDisarmReply(Rank &rank, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Begun || outcome == OrderOutcome::Done) {
        rank.arm = ArmState::Disarmed;
    } else {
        rank.readReportNext = true;
    }
}

void GroupSwitch::onReport(int index, const std::optional<RankReport> &report, Instant requestedAt, Instant now)
{
    Rank &rank = ranks_[static_cast<size_t>(index)];
    rank.callInFlight = false;
    rank.nextCallAt = now + options_.retryDelay;
    if (!report) {
        return;
    }
    rank.answeredAt = now;
    if (report->epoch != change_.epoch) {
        onNewEpoch();
        return;
    }
    lastPass_ = std::max(lastPass_, report->lastPass);
    const bool current = reflectsLastOrder(rank, requestedAt);
    switch (phase_) {
    case SwitchPhase::Preparing:
        if (report->preparedVersion == change_.version) {
            rank.prepared = true;
            rank.sequence = report->orderSequence;
        } else if (current && rank.prepareUnanswered && !report->copying) {
            rank.prepareSent = false;
        }
        break;
    case SwitchPhase::Holding:
        if (index == holdingRank_ && report->heldPass == heldPass_ && requestedAt > rank.lastOrderAt) {
            phase_ = SwitchPhase::Arming;
            phaseSince_ = now;
        }
        break;
    case SwitchPhase::Arming:
        if (report->armedVersion == change_.version) {
            rank.arm = ArmState::Armed;
        }
        break;
    case SwitchPhase::Disarming:
        rank.armedVersion = report->armedVersion;
        rank.sequence = report->orderSequence;
        if (current && !report->armedVersion) {
            rank.arm = ArmState::Disarmed;
        }
        break;
    case SwitchPhase::Claiming:
        onClaimReport(index, *report, requestedAt);
        break;
    case SwitchPhase::Releasing:
    case SwitchPhase::ReleasingOld:
        onReleaseReport(rank, *report, current);
        break;
    case SwitchPhase::Sealing:
    case SwitchPhase::Switched:
    case SwitchPhase::GivenUp:
        break;
    }
}

void GroupSwitch::onRankMissing()
{
    if (phase_ == SwitchPhase::Preparing && !finished()) {
        abandon("a rank left the group");
    }
}

void GroupSwitch::onNewEpoch()
{
    if (!finished()) {
        abandon("the group started a new epoch");
    }
}

void GroupSwitch::abandon(std::string_view reason)
{
    reason_ = reason;
    phase_ = SwitchPhase::GivenUp;
}

void GroupSwitch::giveUp(std::string_view reason)
{
    reason_ = reason;
    phase_ = SwitchPhase::Disarming;
    for (Rank &rank : ranks_) {
        rank.nextCallAt = Instant{0};
    }
    // A late hold has to be invalidated like a late arm, and the release names the sequence number of that prepare.
    ranks_[static_cast<size_t>(holdingRank_)].lateArmPossible = true;
}

} // namespace daisymount::expertmap

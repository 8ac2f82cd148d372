// State machine that switches a rank group to a new map.

#include "expertmap/groupswitch.h"

#include <algorithm>

namespace daisymount::expertmap
{

namespace
{
/// The arm time-out is extended when at most one rank in three is not armed.
constexpr size_t NEARLY_ARMED_DIVISOR = 3;
} // namespace

SwitchOptions SwitchOptions::lowLatency()
{
    SwitchOptions options;
    options.maxReportAge = milliseconds{30};
    options.holdLeadTime = milliseconds{120};
    options.armTimeout = milliseconds{180};
    options.retryDelay = milliseconds{40};
    options.minPassesAhead = 2;
    return options;
}

std::string_view toString(SwitchPhase phase)
{
    switch (phase) {
    case SwitchPhase::Claiming:
        return "claiming";
    case SwitchPhase::Preparing:
        return "preparing";
    case SwitchPhase::Holding:
        return "holding";
    case SwitchPhase::Arming:
        return "arming";
    case SwitchPhase::Releasing:
        return "releasing";
    case SwitchPhase::Disarming:
        return "disarming";
    case SwitchPhase::Sealing:
        return "sealing";
    case SwitchPhase::ReleasingOld:
        return "releasing_old";
    case SwitchPhase::Switched:
        return "switched";
    case SwitchPhase::GivenUp:
        return "given_up";
    }
    return "unknown";
}

SwitchOptions SwitchOptions::lossTolerant()
{
    SwitchOptions options = lowLatency();
    options.holdLeadTime = milliseconds{480};
    options.armTimeout = milliseconds{420};
    options.minPassesAhead = 5;
    return options;
}

GroupSwitch::GroupSwitch(const SwitchOptions &options, MapChange change, std::vector<RankReport> reports, milliseconds passTime, Instant now)
    : options_(options)
    , change_(std::move(change))
    , ranks_(reports.size())
    , phaseSince_(now)
    , passTime_(std::max(passTime, options.minPassTime))
    , sealVersion_(change_.version)
{
    for (size_t i = 0; i < reports.size(); ++i) {
        ranks_[i].sequence = reports[i].orderSequence;
        lastPass_ = std::max(lastPass_, reports[i].lastPass);
    }
}

GroupSwitch GroupSwitch::cleanUp(const SwitchOptions &options, MapChange change, std::vector<RankReport> reports, Instant now)
{
    GroupSwitch cleanUpSwitch(options, std::move(change), reports, options.minPassTime, now);
    cleanUpSwitch.phase_ = SwitchPhase::Claiming;
    cleanUpSwitch.reason_ = "cleaning up after an earlier controller";
    for (size_t i = 0; i < reports.size(); ++i) {
        Rank &rank = cleanUpSwitch.ranks_[i];
        rank.arm = reports[i].armedVersion ? ArmState::Armed : ArmState::None;
        // Arms of the earlier controller may still be executed.
        rank.lateArmPossible = true;
        rank.armedVersion = reports[i].armedVersion;
        if (reports[i].heldPass) {
            cleanUpSwitch.holdingRank_ = static_cast<int>(i);
            cleanUpSwitch.heldPass_ = *reports[i].heldPass;
            cleanUpSwitch.holdConfirmed_ = true;
        }
    }
    return cleanUpSwitch;
}

SwitchPhase GroupSwitch::phase() const
{
    return phase_;
}

bool GroupSwitch::finished() const
{
    return superseded_ || phase_ == SwitchPhase::Switched || phase_ == SwitchPhase::GivenUp;
}

bool GroupSwitch::superseded() const
{
    return superseded_;
}

std::string_view GroupSwitch::reason() const
{
    return reason_;
}

const MapChange &GroupSwitch::change() const
{
    return change_;
}

int64_t GroupSwitch::highestVersion() const
{
    return std::max(sealVersion_, change_.version);
}

std::vector<SwitchCommand> GroupSwitch::tick(Instant now)
{
    std::vector<SwitchCommand> calls;
    switch (phase_) {
    case SwitchPhase::Claiming:
        tickClaiming(calls, now);
        break;
    case SwitchPhase::Preparing:
        tickPreparing(calls, now);
        break;
    case SwitchPhase::Holding:
        tickHolding(calls, now);
        break;
    case SwitchPhase::Arming:
        tickArming(calls, now);
        break;
    case SwitchPhase::Releasing:
    case SwitchPhase::ReleasingOld:
        tickRelease(calls, now);
        break;
    case SwitchPhase::Disarming:
        tickDisarming(calls, now);
        break;
    case SwitchPhase::Sealing:
        tickSealing(calls, now);
        break;
    case SwitchPhase::Switched:
    case SwitchPhase::GivenUp:
        break;
    }
    return calls;
}

bool GroupSwitch::reserveCall(Rank &rank, Instant now)
{
    if (rank.callInFlight || now < rank.nextCallAt) {
        return false;
    }
    rank.callInFlight = true;
    return true;
}

SwitchCommand GroupSwitch::order(int rank, OrderKind kind)
{
    RankOrder rankOrder;
    rankOrder.kind = kind;
    rankOrder.epoch = change_.epoch;
    rankOrder.fencing = change_.fencing;
    rankOrder.version = change_.version;
    rankOrder.pass = heldPass_;
    if (kind == OrderKind::Disarm) {
        rankOrder.version = ranks_[static_cast<size_t>(rank)].armedVersion.value_or(change_.version);
    }
    if (kind == OrderKind::Prepare) {
        rankOrder.map = &change_.map;
        rankOrder.version = sealVersion_;
    }
    // The sequence number makes the rank reject late holds and arms after another prepare. Claiming repeats a hold that already exists, so it
    // carries no sequence number.
    if (kind == OrderKind::Arm || (kind == OrderKind::Hold && phase_ == SwitchPhase::Holding)) {
        rankOrder.expectedSequence = ranks_[static_cast<size_t>(rank)].sequence;
    }
    return {rank, rankOrder};
}

SwitchCommand GroupSwitch::orderOrReport(int index, OrderKind kind, Instant now)
{
    Rank &rank = ranks_[static_cast<size_t>(index)];
    if (rank.readReportNext) {
        rank.readReportNext = false;
        return {index, std::nullopt};
    }
    rank.lastOrderAt = now;
    return order(index, kind);
}

bool GroupSwitch::reflectsLastOrder(const Rank &rank, Instant requestedAt) const
{
    return requestedAt > rank.lastOrderAt + options_.maxReportAge;
}

void GroupSwitch::tickClaiming(std::vector<SwitchCommand> &calls, Instant now)
{
    if (heldPass_ == 0) {
        phase_ = SwitchPhase::Disarming;
        tickDisarming(calls, now);
        return;
    }
    if (reserveCall(ranks_[static_cast<size_t>(holdingRank_)], now)) {
        calls.push_back(orderOrReport(holdingRank_, OrderKind::Hold, now));
    }
}

void GroupSwitch::tickPreparing(std::vector<SwitchCommand> &calls, Instant now)
{
    if (now - phaseSince_ > options_.prepareTimeout) {
        reason_ = "not all ranks could prepare within the time limit";
        phase_ = SwitchPhase::GivenUp;
        return;
    }
    bool all = true;
    for (size_t i = 0; i < ranks_.size(); ++i) {
        Rank &rank = ranks_[i];
        all = all && rank.prepared;
        if (rank.prepared || !reserveCall(rank, now)) {
            continue;
        }
        if (!rank.prepareSent) {
            rank.prepareSent = true;
            calls.push_back(orderOrReport(static_cast<int>(i), OrderKind::Prepare, now));
        } else {
            calls.push_back({static_cast<int>(i), std::nullopt});
        }
    }
    if (all) {
        phase_ = SwitchPhase::Holding;
        phaseSince_ = now;
        for (Rank &rank : ranks_) {
            rank.nextCallAt = now;
        }
    }
}

int64_t GroupSwitch::passToHold() const
{
    const auto span = options_.holdLeadTime + options_.maxReportAge;
    return lastPass_ + std::max<int64_t>(options_.minPassesAhead, span / passTime_);
}

void GroupSwitch::tickHolding(std::vector<SwitchCommand> &calls, Instant now)
{
    Rank &rank = ranks_[static_cast<size_t>(holdingRank_)];
    if (holdUnanswered_ && now - holdSentAt_ > options_.armTimeout) {
        giveUp("no answer to the hold order within the time limit");
        return;
    }
    if (!reserveCall(rank, now)) {
        return;
    }
    if (heldPass_ == 0) {
        heldPass_ = passToHold();
        holdSentAt_ = now;
    }
    calls.push_back(orderOrReport(holdingRank_, OrderKind::Hold, now));
}

void GroupSwitch::tickArming(std::vector<SwitchCommand> &calls, Instant now)
{
    if (std::ranges::all_of(ranks_, [](const Rank &rank) { return rank.arm == ArmState::Armed; })) {
        phase_ = SwitchPhase::Releasing;
        phaseSince_ = now;
        ranks_[static_cast<size_t>(holdingRank_)].nextCallAt = now;
        tickRelease(calls, now);
        return;
    }
    // Cancelling a change takes two orders per rank while the group is held. If only a few ranks are not armed, arming them is faster.
    const auto missing = static_cast<size_t>(std::ranges::count_if(ranks_, [](const Rank &rank) { return rank.arm != ArmState::Armed; }));
    const bool nearlyArmed = missing * NEARLY_ARMED_DIVISOR <= ranks_.size();
    if (now - phaseSince_ > options_.armTimeout + (nearlyArmed ? options_.armTimeoutExtension : milliseconds{0})) {
        giveUp("not all ranks were armed within the time limit");
        return;
    }
    for (size_t i = 0; i < ranks_.size(); ++i) {
        Rank &rank = ranks_[i];
        if (rank.arm == ArmState::Armed || !reserveCall(rank, now)) {
            continue;
        }
        // Sending the arm again is safe because both copies name the same version and pass. Without a reply it may be executed at any time.
        rank.arm = ArmState::Unknown;
        rank.lateArmPossible = true;
        calls.push_back(orderOrReport(static_cast<int>(i), OrderKind::Arm, now));
    }
}

void GroupSwitch::tickRelease(std::vector<SwitchCommand> &calls, Instant now)
{
    if (reserveCall(ranks_[static_cast<size_t>(holdingRank_)], now)) {
        calls.push_back(orderOrReport(holdingRank_, OrderKind::Go, now));
    }
}

void GroupSwitch::tickDisarming(std::vector<SwitchCommand> &calls, Instant now)
{
    bool all = true;
    for (size_t i = 0; i < ranks_.size(); ++i) {
        Rank &rank = ranks_[i];
        const bool pending = rank.arm == ArmState::Armed || rank.arm == ArmState::Unknown;
        all = all && !pending;
        if (pending && reserveCall(rank, now)) {
            calls.push_back(orderOrReport(static_cast<int>(i), OrderKind::Disarm, now));
        }
    }
    if (all) {
        ++sealVersion_;
        phase_ = SwitchPhase::Sealing;
        phaseSince_ = now;
        tickSealing(calls, now);
    }
}

void GroupSwitch::tickSealing(std::vector<SwitchCommand> &calls, Instant now)
{
    bool all = true;
    for (size_t i = 0; i < ranks_.size(); ++i) {
        Rank &rank = ranks_[i];
        const bool pending = rank.lateArmPossible && !rank.sealed;
        all = all && !pending;
        if (pending && reserveCall(rank, now)) {
            calls.push_back(orderOrReport(static_cast<int>(i), OrderKind::Prepare, now));
        }
    }
    if (!all) {
        return;
    }
    if (heldPass_ == 0) {
        phase_ = SwitchPhase::GivenUp;
        return;
    }
    phase_ = SwitchPhase::ReleasingOld;
    phaseSince_ = now;
    tickRelease(calls, now);
}

void GroupSwitch::onReply(const SwitchCommand &command, OrderOutcome outcome, Instant now)
{
    Rank &rank = ranks_[static_cast<size_t>(command.rank)];
    rank.callInFlight = false;
    rank.nextCallAt = outcome == OrderOutcome::Unknown || outcome == OrderOutcome::Conflict ? now + options_.retryDelay : now;
    if (outcome == OrderOutcome::Fenced) {
        superseded_ = true;
        reason_ = "a rank has seen a higher fencing number";
        return;
    }
    switch (command.order->kind) {
    case OrderKind::Prepare:
        rank.nextCallAt = now + options_.retryDelay;
        phase_ == SwitchPhase::Sealing ? onSealReply(rank, outcome) : onPrepareReply(rank, outcome);
        break;
    case OrderKind::Hold:
        onHoldReply(outcome, now);
        break;
    case OrderKind::Arm:
        onArmReply(rank, outcome);
        break;
    case OrderKind::Go:
        onReleaseReply(outcome);
        break;
    case OrderKind::Disarm:
        onDisarmReply(rank, outcome);
        break;
    }
}

void GroupSwitch::onSealReply(Rank &rank, OrderOutcome outcome)
{
    rank.sealed = outcome == OrderOutcome::Begun || outcome == OrderOutcome::Done;
    if (outcome == OrderOutcome::Conflict) {
        // Either an unanswered prepare of this version was accepted, or a late arm was executed in the meantime.
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

void GroupSwitch::onHoldReply(OrderOutcome outcome, Instant now)
{
    Rank &holdingRank = ranks_[static_cast<size_t>(holdingRank_)];
    if (phase_ == SwitchPhase::Claiming) {
        holdingRank.readReportNext = outcome == OrderOutcome::Unknown;
        if (outcome == OrderOutcome::Conflict) {
            reason_ = "the held pass has already begun";
            phase_ = SwitchPhase::GivenUp;
        } else if (outcome != OrderOutcome::Unknown) {
            phase_ = SwitchPhase::Disarming;
        }
        return;
    }
    if (phase_ != SwitchPhase::Holding) {
        return;
    }
    if (outcome == OrderOutcome::Begun || outcome == OrderOutcome::Done) {
        holdConfirmed_ = true;
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

void GroupSwitch::onReleaseReply(OrderOutcome outcome)
{
    // A rank replies "done" if the pass is no longer held, and "conflict" if the pass has begun. Both mean that the hold is released.
    if (outcome == OrderOutcome::Unknown) {
        ranks_[static_cast<size_t>(holdingRank_)].readReportNext = true;
        return;
    }
    phase_ = phase_ == SwitchPhase::Releasing ? SwitchPhase::Switched : SwitchPhase::GivenUp;
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
    if (report->epoch != change_.epoch) {
        // A new epoch discards everything that was prepared, armed or held.
        reason_ = "the group started a new epoch";
        phase_ = SwitchPhase::GivenUp;
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
            holdConfirmed_ = true;
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
        if (current && !report->armedVersion) {
            rank.arm = ArmState::Disarmed;
        }
        break;
    case SwitchPhase::Claiming:
    case SwitchPhase::Releasing:
    case SwitchPhase::ReleasingOld:
    case SwitchPhase::Sealing:
    case SwitchPhase::Switched:
    case SwitchPhase::GivenUp:
        break;
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
    if (holdUnanswered_) {
        // The unanswered hold may still be executed and has to be invalidated like a late arm.
        ranks_[static_cast<size_t>(holdingRank_)].lateArmPossible = true;
    }
}

} // namespace daisymount::expertmap

// State machine of a map change.

#include "expertmap/groupswitch.h"

#include <algorithm>

namespace daisymount::expertmap
{

namespace
{
/// A change is nearly done when no more than this part of the ranks is missing.
constexpr size_t NEARLY_DONE_DIVISOR = 3;
} // namespace

SwitchOptions SwitchOptions::prompt()
{
    SwitchOptions options;
    options.reportLag = milliseconds{30};
    options.holdAhead = milliseconds{120};
    options.armWithin = milliseconds{180};
    options.retryAfter = milliseconds{40};
    options.leastPassesAhead = 3;
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

SwitchOptions SwitchOptions::careful()
{
    SwitchOptions options = prompt();
    options.holdAhead = milliseconds{480};
    options.armWithin = milliseconds{420};
    options.leastPassesAhead = 5;
    return options;
}

GroupSwitch::GroupSwitch(const SwitchOptions &options, MapChange change, std::vector<RankReport> reports, milliseconds passTime, Instant now)
    : options_(options)
    , change_(std::move(change))
    , ranks_(reports.size())
    , phaseSince_(now)
    , passTime_(std::max(passTime, options.shortestPass))
    , sealVersion_(change_.version)
{
    for (size_t i = 0; i < reports.size(); ++i) {
        ranks_[i].sequence = reports[i].orderSequence;
        lastPass_ = std::max(lastPass_, reports[i].lastPass);
    }
}

GroupSwitch GroupSwitch::cleanUp(const SwitchOptions &options, MapChange change, std::vector<RankReport> reports, Instant now)
{
    GroupSwitch cleaning(options, std::move(change), reports, options.shortestPass, now);
    cleaning.phase_ = SwitchPhase::Claiming;
    cleaning.reason_ = "left by an earlier controller";
    for (size_t i = 0; i < reports.size(); ++i) {
        Rank &rank = cleaning.ranks_[i];
        rank.arm = reports[i].armedVersion ? ArmState::Armed : ArmState::None;
        // The earlier controller may have sent arms that are still to come.
        rank.armMayComeLate = true;
        rank.armedVersion = reports[i].armedVersion;
        if (reports[i].heldPass) {
            cleaning.holder_ = static_cast<int>(i);
            cleaning.heldPass_ = *reports[i].heldPass;
            cleaning.holdKnown_ = true;
        }
    }
    return cleaning;
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

bool GroupSwitch::takeTurn(Rank &rank, Instant now)
{
    if (rank.callOut || now < rank.nextCall) {
        return false;
    }
    rank.callOut = true;
    return true;
}

SwitchCommand GroupSwitch::order(int rank, OrderKind kind)
{
    RankOrder made;
    made.kind = kind;
    made.epoch = change_.epoch;
    made.fencing = change_.fencing;
    made.version = change_.version;
    made.pass = heldPass_;
    if (kind == OrderKind::Disarm) {
        made.version = ranks_[static_cast<size_t>(rank)].armedVersion.value_or(change_.version);
    }
    if (kind == OrderKind::Prepare) {
        made.map = &change_.map;
        made.version = sealVersion_;
    }
    // Late holds and arms are void once another prepare has been accepted. A claim repeats a hold that already stands.
    if (kind == OrderKind::Arm || (kind == OrderKind::Hold && phase_ == SwitchPhase::Holding)) {
        made.expectedSequence = ranks_[static_cast<size_t>(rank)].sequence;
    }
    return {rank, made};
}

SwitchCommand GroupSwitch::orderOrReport(int index, OrderKind kind, Instant now)
{
    Rank &rank = ranks_[static_cast<size_t>(index)];
    if (rank.askNext) {
        rank.askNext = false;
        return {index, std::nullopt};
    }
    rank.changedAt = now;
    return order(index, kind);
}

bool GroupSwitch::reportsState(const Rank &rank, Instant askedAt) const
{
    return askedAt > rank.changedAt + options_.reportLag;
}

void GroupSwitch::tickClaiming(std::vector<SwitchCommand> &calls, Instant now)
{
    if (heldPass_ == 0) {
        phase_ = SwitchPhase::Disarming;
        tickDisarming(calls, now);
        return;
    }
    if (takeTurn(ranks_[static_cast<size_t>(holder_)], now)) {
        calls.push_back(orderOrReport(holder_, OrderKind::Hold, now));
    }
}

void GroupSwitch::tickPreparing(std::vector<SwitchCommand> &calls, Instant now)
{
    if (now - phaseSince_ > options_.prepareWithin) {
        reason_ = "ranks did not prepare in time";
        phase_ = SwitchPhase::GivenUp;
        return;
    }
    bool all = true;
    for (size_t i = 0; i < ranks_.size(); ++i) {
        Rank &rank = ranks_[i];
        all = all && rank.prepared;
        if (rank.prepared || !takeTurn(rank, now)) {
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
            rank.nextCall = now;
        }
    }
}

int64_t GroupSwitch::passAhead() const
{
    const auto span = options_.holdAhead + options_.reportLag;
    return lastPass_ + std::max<int64_t>(options_.leastPassesAhead, span / passTime_);
}

void GroupSwitch::tickHolding(std::vector<SwitchCommand> &calls, Instant now)
{
    Rank &rank = ranks_[static_cast<size_t>(holder_)];
    if (holdUnknown_ && now - heldSince_ > options_.armWithin) {
        giveUp("no answer to the hold");
        return;
    }
    if (!takeTurn(rank, now)) {
        return;
    }
    if (heldPass_ == 0) {
        heldPass_ = passAhead();
        heldSince_ = now;
    }
    calls.push_back(orderOrReport(holder_, OrderKind::Hold, now));
}

void GroupSwitch::tickArming(std::vector<SwitchCommand> &calls, Instant now)
{
    if (std::ranges::all_of(ranks_, [](const Rank &rank) { return rank.arm == ArmState::Armed; })) {
        phase_ = SwitchPhase::Releasing;
        phaseSince_ = now;
        ranks_[static_cast<size_t>(holder_)].nextCall = now;
        tickRelease(calls, now);
        return;
    }
    // Taking a change back orders every rank twice while the group is held: with few ranks left it is sooner to arm them.
    const auto missing = static_cast<size_t>(std::ranges::count_if(ranks_, [](const Rank &rank) { return rank.arm != ArmState::Armed; }));
    const bool nearlyDone = missing * NEARLY_DONE_DIVISOR <= ranks_.size();
    if (now - phaseSince_ > options_.armWithin + (nearlyDone ? options_.finishWithin : milliseconds{0})) {
        giveUp("not every rank was armed in time");
        return;
    }
    for (size_t i = 0; i < ranks_.size(); ++i) {
        Rank &rank = ranks_[i];
        if (rank.arm == ArmState::Armed || !takeTurn(rank, now)) {
            continue;
        }
        // A second arm of the same version is harmless: both name the same pass. Until an answer tells, it may come at any time.
        rank.arm = ArmState::Unknown;
        rank.armMayComeLate = true;
        calls.push_back(orderOrReport(static_cast<int>(i), OrderKind::Arm, now));
    }
}

void GroupSwitch::tickRelease(std::vector<SwitchCommand> &calls, Instant now)
{
    if (takeTurn(ranks_[static_cast<size_t>(holder_)], now)) {
        calls.push_back(orderOrReport(holder_, OrderKind::Go, now));
    }
}

void GroupSwitch::tickDisarming(std::vector<SwitchCommand> &calls, Instant now)
{
    bool all = true;
    for (size_t i = 0; i < ranks_.size(); ++i) {
        Rank &rank = ranks_[i];
        const bool pending = rank.arm == ArmState::Armed || rank.arm == ArmState::Unknown;
        all = all && !pending;
        if (pending && takeTurn(rank, now)) {
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
        const bool pending = rank.armMayComeLate && !rank.sealed;
        all = all && !pending;
        if (pending && takeTurn(rank, now)) {
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
    rank.callOut = false;
    rank.nextCall = outcome == OrderOutcome::Unknown || outcome == OrderOutcome::Conflict ? now + options_.retryAfter : now;
    if (outcome == OrderOutcome::Fenced) {
        superseded_ = true;
        reason_ = "a higher fencing number was seen";
        return;
    }
    switch (command.order->kind) {
    case OrderKind::Prepare:
        rank.nextCall = now + options_.retryAfter;
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
        // Either this version has been taken by a sending that got no answer, or a late arm has come.
        rank.arm = ArmState::Unknown;
        rank.askNext = true;
        phase_ = SwitchPhase::Disarming;
    }
}

void GroupSwitch::onPrepareReply(Rank &rank, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Unknown) {
        rank.prepareUnknown = true;
    }
    // After a sending without an answer, a conflict may mean that it was accepted: the report tells.
    if (outcome == OrderOutcome::Conflict && phase_ == SwitchPhase::Preparing && !rank.prepareUnknown) {
        reason_ = "a rank refused to prepare";
        phase_ = SwitchPhase::GivenUp;
    }
}

void GroupSwitch::onHoldReply(OrderOutcome outcome, Instant now)
{
    Rank &holder = ranks_[static_cast<size_t>(holder_)];
    if (phase_ == SwitchPhase::Claiming) {
        holder.askNext = outcome == OrderOutcome::Unknown;
        if (outcome == OrderOutcome::Conflict) {
            reason_ = "the held pass has begun";
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
        holdKnown_ = true;
        phase_ = SwitchPhase::Arming;
        phaseSince_ = now;
        return;
    }
    if (outcome == OrderOutcome::Conflict && !holdUnknown_) {
        heldPass_ = 0;
        reason_ = "the pass to hold had begun";
        phase_ = SwitchPhase::GivenUp;
        return;
    }
    holdUnknown_ = true;
    // A second hold of the same pass is harmless. A conflict may mean that it has begun: the report tells.
    holder.askNext = outcome == OrderOutcome::Conflict;
    if (outcome == OrderOutcome::Unknown) {
        holder.nextCall = Instant{0};
    }
}

void GroupSwitch::onArmReply(Rank &rank, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Begun || outcome == OrderOutcome::Done) {
        rank.arm = ArmState::Armed;
        return;
    }
    if (outcome == OrderOutcome::Unknown) {
        // While arming it is sent again at once: a second arm is harmless and settles the matter sooner than a report.
        rank.askNext = phase_ != SwitchPhase::Arming;
        rank.nextCall = Instant{0};
        return;
    }
    if (phase_ == SwitchPhase::Arming) {
        giveUp("a rank refused to arm");
    }
}

void GroupSwitch::onReleaseReply(OrderOutcome outcome)
{
    // A pass that is not held any more answers as done; a conflict means that it has begun.
    if (outcome == OrderOutcome::Unknown) {
        ranks_[static_cast<size_t>(holder_)].askNext = true;
        return;
    }
    phase_ = phase_ == SwitchPhase::Releasing ? SwitchPhase::Switched : SwitchPhase::GivenUp;
}

void GroupSwitch::onDisarmReply(Rank &rank, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Begun || outcome == OrderOutcome::Done) {
        rank.arm = ArmState::Disarmed;
    } else {
        rank.askNext = true;
    }
}

void GroupSwitch::onReport(int index, const std::optional<RankReport> &report, Instant askedAt, Instant now)
{
    Rank &rank = ranks_[static_cast<size_t>(index)];
    rank.callOut = false;
    rank.nextCall = now + options_.retryAfter;
    if (!report) {
        return;
    }
    if (report->epoch != change_.epoch) {
        // The group has formed anew: nothing is prepared, armed or held any more.
        reason_ = "the group formed anew";
        phase_ = SwitchPhase::GivenUp;
        return;
    }
    lastPass_ = std::max(lastPass_, report->lastPass);
    const bool current = reportsState(rank, askedAt);
    switch (phase_) {
    case SwitchPhase::Preparing:
        if (report->preparedVersion == change_.version) {
            rank.prepared = true;
            rank.sequence = report->orderSequence;
        } else if (current && rank.prepareUnknown && !report->copying) {
            rank.prepareSent = false;
        }
        break;
    case SwitchPhase::Holding:
        if (index == holder_ && report->heldPass == heldPass_ && askedAt > rank.changedAt) {
            holdKnown_ = true;
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
        rank.nextCall = Instant{0};
    }
    if (holdUnknown_) {
        // The hold may still come late, like an arm.
        ranks_[static_cast<size_t>(holder_)].armMayComeLate = true;
    }
}

} // namespace daisymount::expertmap

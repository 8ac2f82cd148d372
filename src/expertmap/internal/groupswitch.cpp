// State machine that switches a rank group to a new map: its phases and the calls that they make. For replies see groupswitchreplies.cpp.

#include "expertmap/groupswitch.h"

#include <algorithm>

namespace daisymount::expertmap
{

namespace
{
/// A rank whose last answer is older is asked for its report before the group is held.
constexpr milliseconds MAX_SILENCE{250};
/// Time allowed for asking all ranks, after which the first answers are too old.
constexpr milliseconds CHECK_DURATION_PER_RANK{10};
} // namespace

SwitchOptions SwitchOptions::lowLatency()
{
    SwitchOptions options;
    options.maxReportAge = milliseconds{30};
    options.holdLeadTime = milliseconds{120};
    options.holdTimeout = milliseconds{180};
    options.retryDelay = milliseconds{40};
    options.minPassesAhead = 2;
    return options;
}

SwitchOptions SwitchOptions::busyController()
{
    SwitchOptions options = lowLatency();
    options.holdLeadTime = milliseconds{270};
    options.holdTimeout = milliseconds{300};
    options.minPassesAhead = 4;
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
    options.holdTimeout = milliseconds{420};
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
        rank.heldPass = reports[i].heldPass;
        // The group stops at the lowest held pass.
        if (rank.heldPass && (cleanUpSwitch.heldPass_ == 0 || *rank.heldPass < cleanUpSwitch.heldPass_)) {
            cleanUpSwitch.heldPass_ = *rank.heldPass;
        }
    }
    cleanUpSwitch.selectClaimRank(1);
    return cleanUpSwitch;
}

void GroupSwitch::selectClaimRank(int first)
{
    const int count = static_cast<int>(ranks_.size());
    holdingRank_ = 0;
    for (int i = 0; i < count && holdingRank_ == 0; ++i) {
        const int candidate = (first + i) % count;
        const std::optional<int64_t> &held = ranks_[static_cast<size_t>(candidate)].heldPass;
        if (!held || *held == heldPass_) {
            holdingRank_ = candidate;
        }
    }
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

SwitchState GroupSwitch::state() const
{
    SwitchState state;
    state.heldPass = heldPass_;
    for (const Rank &rank : ranks_) {
        state.holdingRanks += rank.heldPass ? 1 : 0;
        state.armed += rank.arm == ArmState::Armed ? 1 : 0;
        state.armUnknown += rank.arm == ArmState::Unknown ? 1 : 0;
        state.unanswered += rank.callInFlight ? 1 : 0;
    }
    return state;
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
    const Rank &target = ranks_[static_cast<size_t>(rank)];
    if (kind == OrderKind::Disarm) {
        rankOrder.version = target.armedVersion.value_or(change_.version);
    }
    if (kind == OrderKind::Go) {
        rankOrder.pass = target.heldPass.value_or(heldPass_);
    }
    if (kind == OrderKind::Prepare) {
        rankOrder.map = &change_.map;
        rankOrder.version = sealVersion_;
    }
    // Makes the rank reject the order after another prepare. The first prepare of a change has to be accepted whatever came before it.
    if (kind != OrderKind::Prepare || phase_ == SwitchPhase::Sealing) {
        rankOrder.expectedSequence = target.sequence;
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
    Rank &rank = ranks_[static_cast<size_t>(holdingRank_)];
    if (reserveCall(rank, now)) {
        rank.heldPass = heldPass_;
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
    if (all && haveAllAnswered(calls, now)) {
        phase_ = SwitchPhase::Holding;
        phaseSince_ = now;
        for (Rank &rank : ranks_) {
            rank.nextCallAt = now;
        }
    }
}

bool GroupSwitch::haveAllAnswered(std::vector<SwitchCommand> &calls, Instant now)
{
    const milliseconds maxDuration = MAX_SILENCE + CHECK_DURATION_PER_RANK * ranks_.size();
    if (now - checkSince_ > maxDuration) {
        checkSince_ = now;
    }
    bool all = true;
    for (size_t i = 0; i < ranks_.size(); ++i) {
        Rank &rank = ranks_[i];
        const bool answered = rank.answeredAt + MAX_SILENCE >= checkSince_;
        all = all && answered;
        if (!answered && reserveCall(rank, now)) {
            calls.push_back({static_cast<int>(i), std::nullopt});
        }
    }
    return all;
}

int64_t GroupSwitch::passToHold() const
{
    const auto span = options_.holdLeadTime + options_.maxReportAge;
    return lastPass_ + std::max<int64_t>(options_.minPassesAhead, span / passTime_);
}

void GroupSwitch::tickHolding(std::vector<SwitchCommand> &calls, Instant now)
{
    Rank &rank = ranks_[static_cast<size_t>(holdingRank_)];
    if (holdUnanswered_ && now - holdSentAt_ > options_.holdTimeout) {
        giveUp("no answer to the hold order within the time limit");
        return;
    }
    if (!reserveCall(rank, now)) {
        return;
    }
    if (heldPass_ == 0) {
        heldPass_ = passToHold();
        rank.heldPass = heldPass_;
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
    // There is no time limit: a rank that does not answer would have to be disarmed before the group could go on, which takes its answer as well.
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
    for (size_t i = 0; i < ranks_.size(); ++i) {
        if (ranks_[i].heldPass && reserveCall(ranks_[i], now)) {
            calls.push_back(orderOrReport(static_cast<int>(i), OrderKind::Go, now));
        }
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
        const bool pending = rank.lateArmPossible && rank.sealedVersion == 0;
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

} // namespace daisymount::expertmap

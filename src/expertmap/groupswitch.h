// Brings one new map into force on all ranks of a live group at the same pass, or on none.
//
// Protocol: prepare everywhere; hold a pass H that lies well ahead on one rank; arm all ranks at H; when every rank is armed, go. H is far
// enough ahead that the group is not stopped when all answers come. An arm carries the rank's order sequence, which only a prepare
// increases: a lost arm that is carried out late is void once another prepare has been accepted. Orders may be lost, doubled by a retry, or
// carried out seconds after their time-out.

#pragma once

#include "expertmap/grouptypes.h"
#include "framework/clock.h"

#include <optional>
#include <string_view>
#include <vector>

namespace daisymount::expertmap
{

using framework::Duration;
using framework::Instant;
using framework::milliseconds;

/// One call that the driver makes for the protocol. Each is answered by exactly one onReply or onReport.
struct SwitchCommand
{
    int rank = 0;
    std::optional<RankOrder> order; ///< Empty: read the rank's report.
};

enum class SwitchPhase : uint8_t {
    Claiming, ///< The holder of an earlier controller's hold learns the new fencing number first.
    Preparing,
    Holding,
    Arming,
    Releasing, ///< Every rank is armed.
    Disarming, ///< Given up; arms are being taken back.
    Sealing, ///< Arms that may still come late are being made void.
    ReleasingOld, ///< Given up; the held pass is let go.
    Switched,
    GivenUp,
};

std::string_view toString(SwitchPhase phase);

struct SwitchOptions
{
    milliseconds maxReportAge{250}; ///< Age that a report may have.
    milliseconds holdLeadTime{900}; ///< The held pass lies about this far ahead.
    milliseconds armTimeout{650}; ///< From the accepted hold; afterwards the change is given up.
    milliseconds armTimeoutExtension{400}; ///< Further time when few ranks are missing.
    milliseconds prepareTimeout{4'000};
    milliseconds retryDelay{120}; ///< Pause before an order without an answer is sent again.
    milliseconds minPassTime{30}; ///< Bounds how many passes lie ahead.
    int64_t minPassesAhead = 8;

    /// For ranks whose reports are fresh and that answer at once: the change comes into force within a few passes. An order without an
    /// answer holds the group until it is settled, so this is for times without such orders.
    static SwitchOptions lowLatency();
    /// For ranks with fresh reports while some orders get no answer: the held pass lies far enough ahead to send two of them again.
    static SwitchOptions lossTolerant();
};

/// The map to switch to.
struct MapChange
{
    int64_t epoch = 0;
    int64_t fencing = 0;
    int64_t version = 0; ///< Higher than all versions that any rank has had.
    GroupMap map;
};

class GroupSwitch
{
public:
    /// Begins a change. @p reports: one by rank.
    GroupSwitch(const SwitchOptions &options, MapChange change, std::vector<RankReport> reports, milliseconds passTime, Instant now);

    /// Begins by taking back what an earlier controller has left: holds and arms that @p reports show. @p change.version is used to make
    /// late arms void.
    static GroupSwitch cleanUp(const SwitchOptions &options, MapChange change, std::vector<RankReport> reports, Instant now);

    /// Calls to make now.
    std::vector<SwitchCommand> tick(Instant now);
    void onReply(const SwitchCommand &command, OrderOutcome outcome, Instant now);
    /// @p askedAt: when the report was asked for. An empty report: no answer.
    void onReport(int rank, const std::optional<RankReport> &report, Instant requestedAt, Instant now);

    SwitchPhase phase() const;
    bool finished() const;
    /// A higher fencing number was seen: this controller has been replaced and must send nothing more.
    bool superseded() const;
    /// The ranks of the group have changed: nothing of this change can be in force any more.
    void abandon(std::string_view reason);
    /// Why the change was given up, empty when it was not.
    std::string_view reason() const;
    const MapChange &change() const;
    /// Highest version that was used, with those that made arms void.
    int64_t highestVersion() const;

private:
    enum class ArmState : uint8_t {
        None,
        Unknown, ///< Sent without an answer that tells.
        Armed,
        Disarmed,
    };

    struct Rank
    {
        bool prepared = false;
        bool prepareSent = false;
        bool prepareUnanswered = false; ///< It got no answer.
        bool readReportNext = false; ///< Read the report before the next order: the last answer did not tell enough.
        int64_t sequence = 0; ///< Of accepted orders, exact once prepared.
        ArmState arm = ArmState::None;
        std::optional<int64_t> armedVersion; ///< That its report showed: an earlier change's arm may come late.
        bool lateArmPossible = false; ///< An arm was sent that got no answer.
        bool sealed = false;
        bool callInFlight = false; ///< A call waits for its answer.
        Instant nextCallAt{0};
        Instant lastOrderAt{0}; ///< Of the last order; reports from before it say nothing about it.
    };

    void tickClaiming(std::vector<SwitchCommand> &calls, Instant now);
    void tickPreparing(std::vector<SwitchCommand> &calls, Instant now);
    void tickHolding(std::vector<SwitchCommand> &calls, Instant now);
    void tickArming(std::vector<SwitchCommand> &calls, Instant now);
    void tickRelease(std::vector<SwitchCommand> &calls, Instant now);
    void tickDisarming(std::vector<SwitchCommand> &calls, Instant now);
    void tickSealing(std::vector<SwitchCommand> &calls, Instant now);

    void onPrepareReply(Rank &rank, OrderOutcome outcome);
    void onSealReply(Rank &rank, OrderOutcome outcome);
    void onHoldReply(OrderOutcome outcome, Instant now);
    void onArmReply(Rank &rank, OrderOutcome outcome);
    void onReleaseReply(OrderOutcome outcome);
    void onDisarmReply(Rank &rank, OrderOutcome outcome);
    void giveUp(std::string_view reason);
    bool reserveCall(Rank &rank, Instant now);
    /// The order to send next, or the report where the last answer did not tell enough.
    SwitchCommand orderOrReport(int rank, OrderKind kind, Instant now);
    bool reflectsLastOrder(const Rank &rank, Instant requestedAt) const;
    SwitchCommand order(int rank, OrderKind kind);
    int64_t passToHold() const;

    SwitchOptions options_;
    MapChange change_;
    std::vector<Rank> ranks_;
    SwitchPhase phase_ = SwitchPhase::Preparing;
    Instant phaseSince_{0};
    int64_t lastPass_ = 0;
    milliseconds passTime_{60};
    int holdingRank_ = 0;
    int64_t heldPass_ = 0; ///< 0: no pass was asked to be held.
    bool holdConfirmed_ = false; ///< The hold was confirmed.
    bool holdUnanswered_ = false; ///< It was sent without an answer.
    Instant holdSentAt_{0};
    int64_t sealVersion_ = 0;
    bool superseded_ = false;
    std::string_view reason_;
};

} // namespace daisymount::expertmap

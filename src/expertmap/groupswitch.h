// Switches all ranks of a running group to a new map at the same pass, or leaves all of them on the old one.
//
// Protocol: 1. Prepare: every rank copies the weights of the new map. 2. Hold: one rank is ordered not to begin a future pass H, which stops
// the whole group there because the ranks run in lock-step. 3. Arm: every rank is ordered to switch maps at H. 4. Go: once all ranks are
// armed, the hold is released. H lies far enough ahead that the group does not wait if all replies arrive in time.
//
// An order may be lost, executed twice because of a retry, or executed seconds after its time-out. Orders therefore carry the rank's order
// sequence number, which only a prepare increments: late ones are rejected once the rank has accepted another prepare. An armed rank accepts
// no prepare, so that a late go cannot be rejected while its change is taken back. A change is therefore held at rank 0 only, and a clean-up
// first holds the same pass at another rank, where no go for it can be pending before all ranks are disarmed.

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

/// A call to a rank, made by the driver of the protocol. The driver answers each command with exactly one onReply or onReport.
struct SwitchCommand
{
    int rank = 0;
    std::optional<RankOrder> order; ///< Empty to read the rank's report.
};

enum class SwitchPhase : uint8_t {
    Claiming, ///< Clean-up only: the pass is held at a second rank, where no late go of the change can release it.
    Preparing,
    Holding,
    Arming,
    Releasing, ///< All ranks are armed; the hold is being released.
    Disarming, ///< Change cancelled; ranks are being disarmed.
    Sealing, ///< Change cancelled; a further prepare invalidates arms that may still be executed late.
    ReleasingOld, ///< Change cancelled; the hold is being released with the old map in use.
    Switched,
    GivenUp, ///< Change cancelled; no rank switches to the new map.
};

std::string_view toString(SwitchPhase phase);

struct SwitchOptions
{
    milliseconds maxReportAge{250}; ///< Maximum age of the state in a report when the report is received.
    milliseconds holdLeadTime{900}; ///< Approximate time from the hold order to the held pass.
    milliseconds holdTimeout{650}; ///< For the answer to the hold order; the change is cancelled afterwards.
    milliseconds prepareTimeout{4'000};
    milliseconds retryDelay{120}; ///< Delay before an unanswered order is sent again.
    milliseconds minPassTime{30}; ///< Lower bound on the pass time, which limits the number of passes up to the held one.
    int64_t minPassesAhead = 8;

    /// For ranks that reply at once and report current state: the switch takes a few passes. An unanswered order stops the group until its
    /// outcome is known, so these options suit periods without lost orders.
    static SwitchOptions lowLatency();
    /// For a controller that plans for other groups at the same time: its orders leave some passes later, and a change whose copies took long is
    /// not to be cancelled because the pass to hold has begun.
    static SwitchOptions busyController();
    /// For ranks that report current state while some orders go unanswered: the held pass leaves time for two retries.
    static SwitchOptions lossTolerant();
};

/// What is known of a change, for the log.
struct SwitchState
{
    int64_t heldPass = 0; ///< 0 if no hold was ordered.
    int holdingRanks = 0; ///< Ranks that hold the pass or may come to hold it.
    int armed = 0;
    int armUnknown = 0; ///< Ranks that may be armed.
    int unanswered = 0; ///< Calls under way.
};

/// The map to switch to.
struct MapChange
{
    int64_t epoch = 0;
    int64_t fencing = 0;
    int64_t version = 0; ///< Higher than every version that any rank of the group has received.
    GroupMap map;
};

class GroupSwitch
{
public:
    /// Begins a change. @p reports holds one report per rank, ordered by rank.
    GroupSwitch(const SwitchOptions &options, MapChange change, std::vector<RankReport> reports, milliseconds passTime, Instant now);

    /// Removes the holds and arms that an earlier controller left, as shown by @p reports. @p change.version is the version of the prepare
    /// that invalidates late arms.
    static GroupSwitch cleanUp(const SwitchOptions &options, MapChange change, std::vector<RankReport> reports, Instant now);

    /// Returns the calls to make now.
    std::vector<SwitchCommand> tick(Instant now);
    void onReply(const SwitchCommand &command, OrderOutcome outcome, Instant now);
    /// @p requestedAt is the time of the request. @p report is empty if the rank did not reply.
    void onReport(int rank, const std::optional<RankReport> &report, Instant requestedAt, Instant now);

    SwitchPhase phase() const;
    bool finished() const;
    /// True if a rank has seen a higher fencing number: another controller has taken over, and this one must send no more orders.
    bool superseded() const;
    /// A rank is no longer registered. Ends the change if its ranks only copy weights. Later the group may be held, and going on as soon as the
    /// rank answers again takes fewer orders than a clean-up; if it restarts, the group has a new epoch.
    void onRankMissing();
    /// The group has a new epoch, which discards all orders of the change.
    void onNewEpoch();
    SwitchState state() const;
    /// Why the change was cancelled; empty if it was not.
    std::string_view reason() const;
    const MapChange &change() const;
    /// Highest version sent to any rank, including the prepares that invalidate late arms.
    int64_t highestVersion() const;

private:
    enum class ArmState : uint8_t {
        None,
        Unknown, ///< An arm was sent, but its outcome is not known.
        Armed,
        Disarmed,
    };

    struct Rank
    {
        bool prepared = false;
        bool prepareSent = false;
        bool prepareUnanswered = false;
        bool readReportNext = false; ///< The last reply left the rank's state open: read its report before the next order.
        int64_t sequence = 0; ///< Sequence number of the accepted orders; exact once the rank is prepared or sealed.
        std::optional<int64_t> heldPass; ///< Pass that the rank holds or may come to hold, and that has to be released.
        ArmState arm = ArmState::None;
        std::optional<int64_t> armedVersion; ///< From its last report; may belong to an earlier change.
        bool lateArmPossible = false; ///< An arm or hold may still be executed, so a further prepare has to invalidate it.
        int64_t sealedVersion = 0; ///< Version of the prepare that invalidated late orders, 0 if there was none.
        bool callInFlight = false;
        int unansweredOrders = 0; ///< In a row.
        Instant nextCallAt{0};
        Instant answeredAt{0}; ///< When the last reply or report arrived.
        Instant lastOrderAt{0}; ///< Reports requested earlier do not reflect the last order.
    };

    void tickClaiming(std::vector<SwitchCommand> &calls, Instant now);
    void tickPreparing(std::vector<SwitchCommand> &calls, Instant now);
    void tickHolding(std::vector<SwitchCommand> &calls, Instant now);
    void tickArming(std::vector<SwitchCommand> &calls, Instant now);
    void tickRelease(std::vector<SwitchCommand> &calls, Instant now);
    void tickDisarming(std::vector<SwitchCommand> &calls, Instant now);
    void tickSealing(std::vector<SwitchCommand> &calls, Instant now);

    void onPrepareReply(Rank &rank, OrderOutcome outcome);
    void onSealReply(Rank &rank, const RankOrder &seal, OrderOutcome outcome);
    void onHoldReply(Rank &rank, OrderOutcome outcome, Instant now);
    void onClaimReply(Rank &rank, OrderOutcome outcome, Instant now);
    void onArmReply(Rank &rank, OrderOutcome outcome);
    void onReleaseReply(Rank &rank, OrderOutcome outcome, Instant now);
    void onClaimReport(int index, const RankReport &report, Instant requestedAt);
    void onReleaseReport(Rank &rank, const RankReport &report, bool current);
    /// Ends the release if all holds are released.
    void finishRelease();
    /// Selects the rank at which a clean-up holds the pass next.
    void selectClaimRank(int first);
    void onDisarmReply(Rank &rank, OrderOutcome outcome);
    /// Takes back what was ordered.
    void giveUp(std::string_view reason);
    /// Ends the change without further orders.
    void abandon(std::string_view reason);
    bool reserveCall(Rank &rank, Instant now);
    /// True if all ranks have answered recently; asks the others for their reports. A rank that does not answer would keep the group held.
    bool haveAllAnswered(std::vector<SwitchCommand> &calls, Instant now);
    /// Returns the given order, or a report request if the last reply left the rank's state open.
    SwitchCommand orderOrReport(int rank, OrderKind kind, Instant now);
    bool reflectsLastOrder(const Rank &rank, Instant requestedAt) const;
    SwitchCommand order(int rank, OrderKind kind);
    int64_t passToHold() const;

    SwitchOptions options_;
    MapChange change_;
    std::vector<Rank> ranks_;
    SwitchPhase phase_ = SwitchPhase::Preparing;
    Instant phaseSince_{0};
    Instant checkSince_{0}; ///< When the ranks were last checked for an answer.
    int64_t lastPass_ = 0;
    milliseconds passTime_{60};
    int holdingRank_ = 0; ///< 0 for a change; for a clean-up any other rank.
    int64_t heldPass_ = 0; ///< 0 if no hold was ordered.
    bool holdUnanswered_ = false; ///< The hold may have been executed, or may be executed late.
    Instant holdSentAt_{0};
    int64_t sealVersion_ = 0;
    bool superseded_ = false;
    std::string_view reason_;
};

} // namespace daisymount::expertmap

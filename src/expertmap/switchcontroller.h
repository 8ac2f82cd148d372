// Drives one group's switches under a lease: proposes, sets the hold, restarts a group that cannot decide.

#pragma once

#include "expertmap/switchmessages.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::expertmap
{

struct ControllerOptions
{
    std::vector<std::string> members;
    Duration resend = framework::milliseconds{100};
    Duration prepareTimeout = framework::seconds{60}; ///< Bound on the loading of weights; then the proposal is dropped.
    Duration decideTimeout = framework::seconds{2}; ///< Bound on a group's wait at a hold; then it is restarted.
    Step holdMargin = 8; ///< Steps from the furthest rank to the hold, so that the hold arrives first.
};

enum class SwitchOutcome : uint8_t {
    Committed,
    Aborted,
    NotPrepared,
    Restarted,
    LeaseLost,
};

struct ControllerHooks
{
    std::function<void(std::string_view member, const SwitchMessage &message)> send;
    std::function<void(MapVersion version, SwitchOutcome outcome)> finished;
};

/// Deterministic core. Holds no promise by itself: two controllers at once, or one that wakes up late, cannot break a step.
class SwitchController
{
public:
    SwitchController(ControllerOptions options, ControllerHooks hooks);

    /// The lease was granted or renewed. @p validUntil counts from before the request was sent.
    void onLease(int64_t fencing, Instant validUntil, Instant now);
    /// Starts a switch; returns false while one is under way or without a lease.
    bool propose(MapVersion version, Instant now);
    void onMessage(const SwitchMessage &message, Instant now);
    void tick(Instant now);
    bool idle() const;

private:
    enum class Phase : uint8_t {
        Idle,
        Preparing,
        Holding,
        Stopping,
        Restarting,
    };

    bool hasLease(Instant now) const;
    void enterPhase(Phase phase, Instant now);
    void broadcast(const SwitchMessage &message);
    void resend();
    void onPrepared(const Prepared &message);
    void onVote(const Vote &message, Instant now);
    void onStopped(const Stopped &message);
    void onStarted(const Started &message);
    void restartGroup(Instant now);
    void finish(SwitchOutcome outcome);

    ControllerOptions options_;
    ControllerHooks hooks_;
    int64_t fencing_ = 0;
    Instant leaseUntil_{0};
    Phase phase_ = Phase::Idle;
    Instant phaseSince_{0};
    Instant nextSendAt_{0};
    Instant now_{0};
    ProposalId proposal_;
    Hold hold_;
    std::map<std::string, Prepared> prepared_;
    std::map<std::string, bool> votes_;
    std::map<std::string, MapVersion> stopped_;
    std::map<std::string, bool> started_;
    int64_t epoch_ = 0; ///< Highest epoch asked for.
    int64_t restarts_ = 0;
    MapVersion restartVersion_ = 0;
    std::optional<Instant> blockedSince_; ///< Votes on a proposal that is not this controller's came in since then.
};

} // namespace daisymount::expertmap

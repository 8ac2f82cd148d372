// Controller of the switch protocol for one group: proposes maps, chooses the step of the switch and restarts a group that cannot decide.

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
    Duration prepareTimeout = framework::seconds{60}; ///< Time limit for loading the weights; the proposal is dropped afterwards.
    Duration decideTimeout = framework::seconds{2}; ///< Time limit for the votes on a hold; the group is restarted afterwards.
    Step holdMargin = 8; ///< Steps between the most advanced rank and the hold, so that the message arrives before the ranks reach the step.
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

/// Deterministic: time and messages are passed in. The safety of a switch rests on the participants' votes alone, so two concurrent controllers,
/// or one that resumes after its lease has expired, cannot cause a step with two maps.
class SwitchController
{
public:
    SwitchController(ControllerOptions options, ControllerHooks hooks);

    /// Called when the lease is granted or renewed. @p validUntil is computed from the time before the request was sent.
    void onLease(int64_t fencing, Instant validUntil, Instant now);
    /// Starts a switch. Returns false if a switch is in progress or this controller has no lease.
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
    int64_t epoch_ = 0; ///< Highest epoch requested by this controller.
    int64_t restarts_ = 0;
    MapVersion restartVersion_ = 0;
    std::optional<Instant> blockedSince_; ///< When the first sign arrived that another controller left the group stopped or at a hold.
};

} // namespace daisymount::expertmap

// Participant of the switch protocol, one per sidecar. Its vote is final, and its ranks do not go beyond an armed hold before the outcome is
// known.

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

/// Armed hold, stored by the engine so that it survives a restart of the sidecar.
struct PlacedHold
{
    ProposalId proposal;
    int64_t epoch = 0;
    Step step = 0;
};

/// Interface to the ranks of one sidecar. Calls take effect at once, except load(), whose completion is reported by
/// SwitchParticipant::onLoaded().
class IRankEngine
{
public:
    virtual ~IRankEngine() = default;
    virtual void load(MapVersion version) = 0;
    /// Step that the ranks will make next.
    virtual Step nextStep() const = 0;
    /// Stops the ranks before the step of @p hold until release() or cancelHold() is called.
    virtual void placeHold(const PlacedHold &hold) = 0;
    virtual std::optional<PlacedHold> readHold() const = 0;
    /// Continues; the ranks use @p version from the held step on.
    virtual void release(MapVersion version) = 0;
    /// True until the ranks have reached the step from which the released map is used.
    virtual bool switchPending() const = 0;
    /// Continues with the map in use.
    virtual void cancelHold() = 0;
    virtual void stopRanks() = 0;
    virtual bool isStopped() const = 0;
    virtual void startRanks(int64_t epoch, MapVersion version) = 0;
    /// Map in use.
    virtual MapVersion current() const = 0;
    /// Epoch in which the ranks run.
    virtual int64_t epoch() const = 0;
};

struct ParticipantOptions
{
    std::string self;
    uint64_t incarnation = 1; ///< Identifies this process; never reused.
    std::vector<std::string> members; ///< All sidecars of the group, this one included.
    Duration resend = framework::milliseconds{50}; ///< Interval at which an undecided vote is sent again.
    // Safety checks that tests disable to show the failure each one prevents.
    bool restoreHold = true;
    bool checkIncarnation = true;
};

struct ParticipantHooks
{
    std::function<void(std::string_view member, const SwitchMessage &message)> send;
    std::function<void(const SwitchMessage &message)> sendController;
};

/// Deterministic: time and messages are passed in. A new object represents a restarted sidecar, whose only persistent state is the hold stored
/// by the engine.
class SwitchParticipant
{
public:
    SwitchParticipant(ParticipantOptions options, IRankEngine &engine, ParticipantHooks hooks);

    void onMessage(const SwitchMessage &message, Instant now);
    void onLoaded(MapVersion version, Instant now);
    void tick(Instant now);

    /// True while this participant has voted to switch and does not know the outcome.
    bool isBlocked() const;

private:
    struct OpenProposal
    {
        ProposalId proposal;
        bool loaded = false;
        int64_t epoch = 0; ///< Epoch of the hold.
        Step step = 0; ///< Step of the hold; 0 before the hold is received.
        std::optional<bool> vote; ///< Own vote, true if armed; final once set.
        std::map<std::string, bool> votes; ///< Votes by member, including the own vote.
    };

    void onPropose(const Propose &message);
    void onHold(const Hold &message);
    void onVote(const Vote &message);
    void onStop(const Stop &message);
    void onRestart(const Restart &message);
    void reportStopped();
    void castVote(bool armed);
    void broadcastVote();
    void decide();
    void closeProposal(bool committed);
    Vote ownVote() const;
    /// Replies with an armed vote if the proposal is already committed, even if by an earlier process of this sidecar.
    bool answerCommitted(const ProposalId &proposal, int64_t epoch, Step step, const std::string &requester);
    Prepared prepared() const;

    ParticipantOptions options_;
    IRankEngine &engine_;
    ParticipantHooks hooks_;
    std::optional<OpenProposal> openProposal_;
    ProposalId highestProposal_; ///< Highest proposal received; lower ones are ignored.
    std::map<ProposalId, Vote> pastVotes_; ///< Own votes on earlier proposals, repeated to members that have not seen the outcome.
    std::map<ProposalId, std::vector<Vote>> earlyVotes_; ///< Votes received before the hold they refer to.
    int64_t highestStopEpoch_ = 0; ///< Highest epoch of the received stop requests.
    Instant now_{0};
    Instant nextSendAt_{0};
};

} // namespace daisymount::expertmap

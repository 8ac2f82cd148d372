// A sidecar's side of the switch protocol: its vote is final, and its ranks do not pass an armed hold without the outcome.

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

/// What the engine remembers of an armed hold across a restart of its sidecar.
struct PlacedHold
{
    ProposalId proposal;
    int64_t epoch = 0;
    Step step = 0;
};

/// Orders to the ranks behind one sidecar. Calls take effect at once; loading ends with SwitchParticipant::onLoaded.
class IRankEngine
{
public:
    virtual ~IRankEngine() = default;
    virtual void load(MapVersion version) = 0;
    /// Step that the ranks will make next.
    virtual Step nextStep() const = 0;
    /// The ranks do not make @p step until released or the hold is lifted.
    virtual void placeHold(const PlacedHold &hold) = 0;
    virtual std::optional<PlacedHold> readHold() const = 0;
    /// From the held step on the ranks use @p version.
    virtual void release(MapVersion version) = 0;
    /// True until the ranks have made the step from which a released map is used.
    virtual bool switchPending() const = 0;
    /// The ranks go on with the map in use.
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
    uint64_t incarnation = 1; ///< Of this process, never reused.
    std::vector<std::string> members; ///< All sidecars of the group, this one included.
    Duration resend = framework::milliseconds{50}; ///< Between two sendings of an open vote.
    // Guards that tests switch off to show what each of them is for.
    bool restoreHold = true;
    bool checkIncarnation = true;
};

struct ParticipantHooks
{
    std::function<void(std::string_view member, const SwitchMessage &message)> send;
    std::function<void(const SwitchMessage &message)> sendController;
};

/// Deterministic core; one per sidecar of a group. A new object is a restarted sidecar: what it knows is what the engine tells.
class SwitchParticipant
{
public:
    SwitchParticipant(ParticipantOptions options, IRankEngine &engine, ParticipantHooks hooks);

    void onMessage(const SwitchMessage &message, Instant now);
    void onLoaded(MapVersion version, Instant now);
    void tick(Instant now);

    /// True while a hold is armed and its outcome is not known.
    bool isBlocked() const;

private:
    struct OpenProposal
    {
        ProposalId proposal;
        bool loaded = false;
        int64_t epoch = 0; ///< Of the hold.
        Step step = 0; ///< Of the hold; 0 before it.
        std::optional<bool> vote; ///< True for armed; final once set.
        std::map<std::string, bool> votes; ///< By member, own vote included.
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
    /// Answers for a proposal that was committed before this process started.
    bool answerCommitted(const ProposalId &proposal, int64_t epoch, Step step, const std::string &requester);
    Prepared prepared() const;

    ParticipantOptions options_;
    IRankEngine &engine_;
    ParticipantHooks hooks_;
    std::optional<OpenProposal> openProposal_;
    ProposalId highestProposal_; ///< Highest proposal seen; older ones are dropped.
    std::map<ProposalId, Vote> pastVotes_; ///< Own votes of earlier proposals, answered again when others still ask.
    std::map<ProposalId, std::vector<Vote>> earlyVotes_; ///< Votes that arrived before the hold.
    int64_t highestStopEpoch_ = 0; ///< Highest epoch that asked to stop.
    Instant now_{0};
    Instant nextSendAt_{0};
};

} // namespace daisymount::expertmap

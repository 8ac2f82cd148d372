// Participant side of the switch protocol.

#include "expertmap/switchparticipant.h"

#include <algorithm>

namespace daisymount::expertmap
{

namespace
{
constexpr size_t MAX_KEPT_VOTES = 32;
}

SwitchParticipant::SwitchParticipant(ParticipantOptions options, IRankEngine &engine, ParticipantHooks hooks)
    : options_(std::move(options)), engine_(engine), hooks_(std::move(hooks))
{
    const std::optional<PlacedHold> hold = options_.restoreHold ? engine_.readHold() : std::nullopt;
    if (!hold) {
        return;
    }
    // The previous process may have sent its vote, so the vote remains in force as long as the hold exists.
    openProposal_ = OpenProposal{hold->proposal, true, hold->epoch, hold->step, true, {{options_.self, true}}};
    highestProposal_ = hold->proposal;
}

bool SwitchParticipant::isBlocked() const
{
    return openProposal_ && openProposal_->vote == true;
}

void SwitchParticipant::onMessage(const SwitchMessage &message, Instant now)
{
    now_ = now;
    if (const auto *propose = std::get_if<Propose>(&message)) {
        onPropose(*propose);
    } else if (const auto *hold = std::get_if<Hold>(&message)) {
        onHold(*hold);
    } else if (const auto *vote = std::get_if<Vote>(&message)) {
        onVote(*vote);
    } else if (const auto *stop = std::get_if<Stop>(&message)) {
        onStop(*stop);
    } else if (const auto *restart = std::get_if<Restart>(&message)) {
        onRestart(*restart);
    }
}

void SwitchParticipant::onPropose(const Propose &message)
{
    if (message.proposal < highestProposal_ || message.proposal.version <= engine_.current()) {
        return;
    }
    if (openProposal_ && openProposal_->proposal == message.proposal) {
        if (openProposal_->loaded) {
            hooks_.sendController(prepared());
        }
        return;
    }
    // An armed vote is binding until its outcome is known, so no other proposal is accepted before.
    if (isBlocked() || pastVotes_.count(message.proposal) != 0) {
        return;
    }
    highestProposal_ = message.proposal;
    openProposal_ = OpenProposal{message.proposal, false, 0, 0, std::nullopt, {}};
    engine_.load(message.proposal.version);
}

Prepared SwitchParticipant::prepared() const
{
    return Prepared{openProposal_->proposal, options_.self, options_.incarnation, engine_.epoch(), engine_.nextStep()};
}

void SwitchParticipant::onLoaded(MapVersion version, Instant now)
{
    now_ = now;
    if (openProposal_ && openProposal_->proposal.version == version && !openProposal_->loaded) {
        openProposal_->loaded = true;
        hooks_.sendController(prepared());
    }
}

bool SwitchParticipant::answerCommitted(const ProposalId &proposal, int64_t epoch, Step step, const std::string &requester)
{
    // A map comes into use only by a unanimous vote, so this member must have voted to arm it.
    if (proposal.version != engine_.current() || epoch != engine_.epoch()) {
        return false;
    }
    const Vote vote{proposal, options_.self, epoch, step, true};
    if (requester.empty()) {
        hooks_.sendController(vote);
    } else {
        hooks_.send(requester, vote);
    }
    return true;
}

void SwitchParticipant::onHold(const Hold &message)
{
    const bool known = pastVotes_.count(message.proposal) != 0 || message.proposal.version <= engine_.current();
    if (answerCommitted(message.proposal, message.epoch, message.step, "") || known) {
        return;
    }
    if (!openProposal_ || openProposal_->proposal != message.proposal) {
        if (isBlocked() || message.proposal < highestProposal_) {
            return;
        }
        highestProposal_ = message.proposal;
        openProposal_ = OpenProposal{message.proposal, false, 0, 0, std::nullopt, {}};
    }
    if (openProposal_->vote) {
        return;
    }
    openProposal_->epoch = message.epoch;
    openProposal_->step = message.step;
    for (const Vote &earlyVote : earlyVotes_[message.proposal]) {
        if (earlyVote.epoch == message.epoch) {
            openProposal_->votes.try_emplace(earlyVote.member, earlyVote.armed);
        }
    }
    earlyVotes_.erase(message.proposal);
    const auto incarnation = message.incarnations.find(options_.self);
    const bool sameProcess = incarnation != message.incarnations.end() && incarnation->second == options_.incarnation;
    const bool beforeStep = message.epoch == engine_.epoch() && engine_.nextStep() < message.step;
    // At most one switch may be pending at a time, because an engine stores only the current and the next map.
    castVote(openProposal_->loaded && beforeStep && !engine_.switchPending() && (sameProcess || !options_.checkIncarnation));
}

void SwitchParticipant::castVote(bool armed)
{
    if (armed) {
        // The hold is stored before the vote is sent, so that a restarted process can restore the vote.
        engine_.placeHold({openProposal_->proposal, openProposal_->epoch, openProposal_->step});
    }
    openProposal_->vote = armed;
    openProposal_->votes[options_.self] = armed;
    broadcastVote();
    decide();
}

Vote SwitchParticipant::ownVote() const
{
    return Vote{openProposal_->proposal, options_.self, openProposal_->epoch, openProposal_->step, *openProposal_->vote};
}

void SwitchParticipant::broadcastVote()
{
    nextSendAt_ = now_ + options_.resend;
    for (const std::string &member : options_.members) {
        if (member != options_.self) {
            hooks_.send(member, ownVote());
        }
    }
    hooks_.sendController(ownVote());
}

void SwitchParticipant::onVote(const Vote &message)
{
    const auto pastVote = pastVotes_.find(message.proposal);
    if (pastVote != pastVotes_.end()) {
        // The sender does not know the outcome yet.
        if (message.member != options_.self) {
            hooks_.send(message.member, pastVote->second);
        }
        return;
    }
    const bool holdSeen = openProposal_ && openProposal_->proposal == message.proposal && openProposal_->vote;
    if (!holdSeen) {
        if (answerCommitted(message.proposal, message.epoch, message.step, message.member)) {
            return;
        }
        std::vector<Vote> &earlyVote = earlyVotes_[message.proposal];
        if (earlyVote.size() < options_.members.size()) {
            earlyVote.push_back(message);
        }
        if (earlyVotes_.size() > MAX_KEPT_VOTES) {
            earlyVotes_.erase(earlyVotes_.begin());
        }
        return;
    }
    if (message.epoch == openProposal_->epoch) {
        openProposal_->votes.try_emplace(message.member, message.armed);
        decide();
    }
}

void SwitchParticipant::decide()
{
    if (!openProposal_ || !openProposal_->vote) {
        return;
    }
    const bool refused = std::any_of(openProposal_->votes.begin(), openProposal_->votes.end(), [](const auto &vote) { return !vote.second; });
    if (refused) {
        closeProposal(false);
        return;
    }
    const bool unanimous = openProposal_->vote == true && openProposal_->votes.size() == options_.members.size();
    if (unanimous) {
        closeProposal(true);
    }
}

void SwitchParticipant::closeProposal(bool committed)
{
    if (committed) {
        engine_.release(openProposal_->proposal.version);
    } else if (openProposal_->vote == true) {
        engine_.cancelHold();
    }
    pastVotes_[openProposal_->proposal] = ownVote();
    if (pastVotes_.size() > MAX_KEPT_VOTES) {
        pastVotes_.erase(pastVotes_.begin());
    }
    openProposal_.reset();
}

void SwitchParticipant::onStop(const Stop &message)
{
    if (message.epoch < highestStopEpoch_ || message.epoch <= engine_.epoch()) {
        return;
    }
    highestStopEpoch_ = message.epoch;
    engine_.stopRanks();
    reportStopped();
}

void SwitchParticipant::reportStopped()
{
    nextSendAt_ = now_ + options_.resend;
    hooks_.sendController(Stopped{highestStopEpoch_, options_.self, engine_.current()});
}

void SwitchParticipant::onRestart(const Restart &message)
{
    if (message.epoch == engine_.epoch()) {
        hooks_.sendController(Started{message.epoch, options_.self});
        return;
    }
    if (message.epoch < highestStopEpoch_ || message.epoch < engine_.epoch()) {
        return;
    }
    // A restart invalidates the holds of earlier epochs on all members.
    openProposal_.reset();
    earlyVotes_.clear();
    engine_.startRanks(message.epoch, message.version);
    hooks_.sendController(Started{message.epoch, options_.self});
}

void SwitchParticipant::tick(Instant now)
{
    now_ = now;
    if (now < nextSendAt_) {
        return;
    }
    if (engine_.isStopped()) {
        reportStopped();
    } else if (openProposal_ && openProposal_->vote) {
        broadcastVote();
    }
}

} // namespace daisymount::expertmap

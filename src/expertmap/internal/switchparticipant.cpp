// Switch participant.

#include "expertmap/switchparticipant.h"

#include <algorithm>

namespace daisymount::expertmap
{

namespace
{
constexpr size_t KEPT_VOTES = 32;
}

SwitchParticipant::SwitchParticipant(ParticipantOptions options, IRankEngine &engine, ParticipantHooks hooks)
    : options_(std::move(options)), engine_(engine), hooks_(std::move(hooks))
{
    const std::optional<PlacedHold> hold = options_.readHoldBack ? engine_.readHold() : std::nullopt;
    if (!hold) {
        return;
    }
    // The vote may have been sent: it stands as long as the hold does.
    open_ = Open{hold->proposal, true, hold->epoch, hold->step, true, {{options_.self, true}}};
    highest_ = hold->proposal;
}

bool SwitchParticipant::isBlocked() const
{
    return open_ && open_->vote == true;
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
    if (message.proposal < highest_ || message.proposal.version <= engine_.current()) {
        return;
    }
    if (open_ && open_->proposal == message.proposal) {
        if (open_->loaded) {
            hooks_.sendController(prepared());
        }
        return;
    }
    // An armed vote binds until its outcome: no rival proposal is taken up before that.
    if (isBlocked() || cast_.count(message.proposal) != 0) {
        return;
    }
    highest_ = message.proposal;
    open_ = Open{message.proposal, false, 0, 0, std::nullopt, {}};
    engine_.load(message.proposal.version);
}

Prepared SwitchParticipant::prepared() const
{
    return Prepared{open_->proposal, options_.self, options_.incarnation, engine_.epoch(), engine_.nextStep()};
}

void SwitchParticipant::onLoaded(MapVersion version, Instant now)
{
    now_ = now;
    if (open_ && open_->proposal.version == version && !open_->loaded) {
        open_->loaded = true;
        hooks_.sendController(prepared());
    }
}

bool SwitchParticipant::answerCommitted(const ProposalId &proposal, int64_t epoch, Step step, const std::string &asker)
{
    // The map in use can only have come from unanimity, this member's own armed vote included.
    if (proposal.version != engine_.current() || epoch != engine_.epoch()) {
        return false;
    }
    const Vote vote{proposal, options_.self, epoch, step, true};
    if (asker.empty()) {
        hooks_.sendController(vote);
    } else {
        hooks_.send(asker, vote);
    }
    return true;
}

void SwitchParticipant::onHold(const Hold &message)
{
    const bool known = cast_.count(message.proposal) != 0 || message.proposal.version <= engine_.current();
    if (answerCommitted(message.proposal, message.epoch, message.step, "") || known) {
        return;
    }
    if (!open_ || open_->proposal != message.proposal) {
        if (isBlocked() || message.proposal < highest_) {
            return;
        }
        highest_ = message.proposal;
        open_ = Open{message.proposal, false, 0, 0, std::nullopt, {}};
    }
    if (open_->vote) {
        return;
    }
    open_->epoch = message.epoch;
    open_->step = message.step;
    for (const Vote &early : early_[message.proposal]) {
        if (early.epoch == message.epoch) {
            open_->votes.try_emplace(early.member, early.armed);
        }
    }
    early_.erase(message.proposal);
    const auto incarnation = message.incarnations.find(options_.self);
    const bool sameProcess = incarnation != message.incarnations.end() && incarnation->second == options_.incarnation;
    const bool inTime = message.epoch == engine_.epoch() && engine_.nextStep() < message.step;
    // Two switches may never lie ahead of the ranks at once: an engine knows one map in use and one to come.
    castVote(open_->loaded && inTime && !engine_.switchPending() && (sameProcess || !options_.checkIncarnation));
}

void SwitchParticipant::castVote(bool armed)
{
    if (armed) {
        // The hold comes before the vote, so that a vote that was sent outlives this process.
        engine_.placeHold({open_->proposal, open_->epoch, open_->step});
    }
    open_->vote = armed;
    open_->votes[options_.self] = armed;
    broadcastVote();
    decide();
}

Vote SwitchParticipant::ownVote() const
{
    return Vote{open_->proposal, options_.self, open_->epoch, open_->step, *open_->vote};
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
    const auto cast = cast_.find(message.proposal);
    if (cast != cast_.end()) {
        // The sender still waits for the outcome.
        if (message.member != options_.self) {
            hooks_.send(message.member, cast->second);
        }
        return;
    }
    const bool holdSeen = open_ && open_->proposal == message.proposal && open_->vote;
    if (!holdSeen) {
        if (answerCommitted(message.proposal, message.epoch, message.step, message.member)) {
            return;
        }
        std::vector<Vote> &early = early_[message.proposal];
        if (early.size() < options_.members.size()) {
            early.push_back(message);
        }
        if (early_.size() > KEPT_VOTES) {
            early_.erase(early_.begin());
        }
        return;
    }
    if (message.epoch == open_->epoch) {
        open_->votes.try_emplace(message.member, message.armed);
        decide();
    }
}

void SwitchParticipant::decide()
{
    if (!open_ || !open_->vote) {
        return;
    }
    const bool refused = std::any_of(open_->votes.begin(), open_->votes.end(), [](const auto &vote) { return !vote.second; });
    if (refused) {
        close(false);
        return;
    }
    const bool unanimous = open_->vote == true && open_->votes.size() == options_.members.size();
    if (unanimous) {
        close(true);
    }
}

void SwitchParticipant::close(bool committed)
{
    if (committed) {
        engine_.release(open_->proposal.version);
    } else if (open_->vote == true) {
        engine_.liftHold();
    }
    cast_[open_->proposal] = ownVote();
    if (cast_.size() > KEPT_VOTES) {
        cast_.erase(cast_.begin());
    }
    open_.reset();
}

void SwitchParticipant::onStop(const Stop &message)
{
    if (message.epoch < stoppedEpoch_ || message.epoch <= engine_.epoch()) {
        return;
    }
    stoppedEpoch_ = message.epoch;
    engine_.stopRanks();
    reportStopped();
}

void SwitchParticipant::reportStopped()
{
    nextSendAt_ = now_ + options_.resend;
    hooks_.sendController(Stopped{stoppedEpoch_, options_.self, engine_.current()});
}

void SwitchParticipant::onRestart(const Restart &message)
{
    if (message.epoch == engine_.epoch()) {
        hooks_.sendController(Started{message.epoch, options_.self});
        return;
    }
    if (message.epoch < stoppedEpoch_ || message.epoch < engine_.epoch()) {
        return;
    }
    // Holds of the earlier epoch are void for all.
    open_.reset();
    early_.clear();
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
    } else if (open_ && open_->vote) {
        broadcastVote();
    }
}

} // namespace daisymount::expertmap

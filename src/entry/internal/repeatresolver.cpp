// Repeat resolver.

#include "entry/repeatresolver.h"

#include <vector>

namespace daisymount::entry
{

namespace
{
constexpr Duration QUERY_INTERVAL = framework::milliseconds{200};
/// Queries in a row without an answer after which the owner counts as lost.
constexpr int MAX_UNANSWERED = 5;
} // namespace

RepeatResolver::RepeatResolver(std::string self, IEntryPeers &peers) : self_(std::move(self)), peers_(peers)
{ }

void RepeatResolver::wait(std::string_view request, std::string_view service, const claims::Claim &claim, Instant deadline, RepeatHandler handler, Instant now)
{
    Waiting waiting;
    waiting.query = {claim.claimId, std::string(service), claim.key, self_};
    waiting.owner = claim.owner;
    waiting.handler = std::move(handler);
    waiting.deadline = deadline;
    waiting.nextQueryAt = now;
    waiting_[std::string(request)] = std::move(waiting);
}

void RepeatResolver::forget(std::string_view request)
{
    const auto found = waiting_.find(request);
    if (found != waiting_.end()) {
        waiting_.erase(found);
    }
}

void RepeatResolver::settle(const std::string &request, const RepeatOutcome &outcome)
{
    const auto found = waiting_.find(request);
    if (found == waiting_.end()) {
        return;
    }
    const RepeatHandler handler = std::move(found->second.handler);
    waiting_.erase(found);
    handler(outcome);
}

void RepeatResolver::onAnswer(const OwnerAnswer &answer, Instant now)
{
    std::vector<std::string> settled;
    for (auto &[request, waiting] : waiting_) {
        if (waiting.query.claimId != answer.claimId) {
            continue;
        }
        waiting.unanswered = 0;
        waiting.nextQueryAt = now + QUERY_INTERVAL;
        if (answer.status != OwnerStatus::Running) {
            settled.push_back(request);
        }
    }
    RepeatOutcome outcome{RepeatVerdict::Unknown, {answer.answerStatus, answer.answerType, answer.answerBody}};
    if (answer.status == OwnerStatus::Done) {
        outcome.verdict = RepeatVerdict::Answered;
    } else if (answer.status == OwnerStatus::Released) {
        outcome.verdict = RepeatVerdict::Released;
    }
    for (const std::string &request : settled) {
        settle(request, outcome);
    }
}

void RepeatResolver::tick(Instant now)
{
    std::vector<std::string> lost;
    for (auto &[request, waiting] : waiting_) {
        if (now < waiting.nextQueryAt && now < waiting.deadline) {
            continue;
        }
        const bool ownerLost = waiting.unanswered >= MAX_UNANSWERED || !peers_.isAlive(waiting.owner);
        if (ownerLost || now >= waiting.deadline) {
            lost.push_back(request);
            continue;
        }
        ++waiting.unanswered;
        waiting.nextQueryAt = now + QUERY_INTERVAL;
        peers_.query(waiting.owner, waiting.query);
    }
    for (const std::string &request : lost) {
        settle(request, {});
    }
}

} // namespace daisymount::entry

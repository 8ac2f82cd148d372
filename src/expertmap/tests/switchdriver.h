// Performs changes on a simulated group.

#pragma once

#include "simulatedgroup.h"

#include <memory>

namespace daisymount::expertmap::tests
{

constexpr milliseconds STEP{10};
constexpr milliseconds REPLY_TIMEOUT{100};

/// Performs a change on a simulated group. Unanswered calls are reported to the change after the reply time-out.
class Driver
{
public:
    Driver(SimulatedGroup &group, std::unique_ptr<GroupSwitch> change, milliseconds replyTimeout = REPLY_TIMEOUT)
        : group_(group), change_(std::move(change)), replyTimeout_(replyTimeout)
    { }

    void step(Instant now)
    {
        for (auto call = unanswered_.begin(); call != unanswered_.end();) {
            if (call->first > now) {
                ++call;
                continue;
            }
            change_->onReply(call->second, OrderOutcome::Unknown, now);
            call = unanswered_.erase(call);
        }
        for (const SwitchCommand &command : change_->tick(now)) {
            send(command, now);
        }
    }

    void send(const SwitchCommand &command, Instant now)
    {
        if (!command.order) {
            const bool silent = command.rank == group_.unresponsiveRank;
            change_->onReport(command.rank, silent ? std::nullopt : std::optional(group_.report(command.rank)), now, now);
            return;
        }
        const std::optional<OrderOutcome> outcome = group_.order(command.rank, *command.order, now);
        if (outcome) {
            change_->onReply(command, *outcome, now);
        } else {
            unanswered_.emplace_back(now + replyTimeout_, command);
        }
    }

    GroupSwitch &change()
    {
        return *change_;
    }

private:
    SimulatedGroup &group_;
    std::unique_ptr<GroupSwitch> change_;
    milliseconds replyTimeout_;
    std::vector<std::pair<Instant, SwitchCommand>> unanswered_;
};

inline MapChange changeTo(int64_t version, int64_t fencing, int64_t epoch, size_t ranks)
{
    return {epoch, fencing, version, GroupMap(1, std::vector<RankExperts>(ranks))};
}

inline Instant runUntilFinished(SimulatedGroup &group, Driver &driver, Instant now, Instant limit)
{
    while (!driver.change().finished() && now < limit) {
        group.advance(now);
        driver.step(now);
        now += STEP;
    }
    return now;
}

} // namespace daisymount::expertmap::tests

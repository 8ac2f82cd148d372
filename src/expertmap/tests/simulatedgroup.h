// Simulation of a lock-step group: orders may be executed without a reply, at once or seconds later.

#pragma once

#include "expertmap/groupswitch.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace daisymount::expertmap::tests
{

class SimulatedGroup
{
public:
    struct Faults
    {
        double executedLate = 0.0; ///< Probability that an order is unanswered and executed seconds later.
        double replyLost = 0.0; ///< Probability that an order is executed at once, but its reply is lost.
        double executedAgain = 0.0; ///< Probability that a late order is executed once more.
        bool lateUnfenced = false; ///< Late orders are not checked against the fencing number.
        std::chrono::milliseconds minDelay{2'000}; ///< Of late orders.
        std::chrono::milliseconds maxDelay{12'000};
    };

    SimulatedGroup(int ranks, const Faults &faults, uint64_t seed) : ranks_(static_cast<size_t>(ranks)), faults_(faults), random_(seed)
    { }

    /// Returns the outcome, or nothing if the order is unanswered.
    std::optional<OrderOutcome> order(int rank, const RankOrder &order, Instant now)
    {
        if (rank == unresponsiveRank) {
            return std::nullopt;
        }
        if (chance(faults_.executedLate)) {
            executeLater(rank, order, now);
            if (chance(faults_.executedAgain)) {
                executeLater(rank, order, now);
            }
            return std::nullopt;
        }
        const OrderOutcome outcome = execute(rank, order);
        return chance(faults_.replyLost) ? std::nullopt : std::optional(outcome);
    }

    RankReport report(int rank) const
    {
        const Rank &state = ranks_[static_cast<size_t>(rank)];
        RankReport report;
        report.group = "g";
        report.epoch = epoch_;
        report.rank = rank;
        report.groupSize = static_cast<int>(ranks_.size());
        report.open = true;
        report.lastPass = pass_;
        report.mapVersion = state.map;
        report.preparedVersion = state.prepared;
        report.armedVersion = state.armed;
        report.heldPass = state.held;
        report.orderSequence = state.sequence;
        return report;
    }

    std::vector<RankReport> reports() const
    {
        std::vector<RankReport> all;
        for (size_t rank = 0; rank < ranks_.size(); ++rank) {
            all.push_back(report(static_cast<int>(rank)));
        }
        return all;
    }

    /// Executes late orders that are due and begins the next pass if it is due and not held.
    void advance(Instant now)
    {
        for (auto order = lateOrders_.begin(); order != lateOrders_.end();) {
            if (order->at > now) {
                ++order;
                continue;
            }
            execute(order->rank, order->order, !faults_.lateUnfenced);
            order = lateOrders_.erase(order);
        }
        if (idle || now < nextPass_) {
            return;
        }
        const int64_t next = pass_ + 1;
        const bool held = std::ranges::any_of(ranks_, [&](const Rank &rank) { return rank.held == next; });
        if (held) {
            heldTime_ += now - std::max(lastHoldCheck_, nextPass_);
            lastHoldCheck_ = now;
            return;
        }
        for (Rank &rank : ranks_) {
            if (rank.armed && rank.armedPass == next) {
                rank.map = *rank.armed;
                rank.armed.reset();
                rank.prepared.reset();
            }
        }
        pass_ = next;
        nextPass_ = now + std::chrono::milliseconds(50);
        lastHoldCheck_ = nextPass_;
        mixedMaps_ = mixedMaps_ || std::ranges::any_of(ranks_, [&](const Rank &rank) { return rank.map != ranks_.front().map; });
    }

    /// Starts a new epoch, which discards the maps, arms and holds of all ranks, as after a rank's restart.
    void reform()
    {
        ++epoch_;
        for (Rank &rank : ranks_) {
            rank.map = 0;
            rank.prepared.reset();
            rank.armed.reset();
            rank.held.reset();
        }
    }

    bool mixedMaps() const
    {
        return mixedMaps_;
    }
    int64_t mapVersion() const
    {
        return ranks_.front().map;
    }
    bool hasArmOrHold() const
    {
        return std::ranges::any_of(ranks_, [](const Rank &rank) { return rank.armed || rank.held; });
    }
    bool isHeld() const
    {
        return std::ranges::any_of(ranks_, [](const Rank &rank) { return rank.held.has_value(); });
    }
    int armedRanks() const
    {
        return static_cast<int>(std::ranges::count_if(ranks_, [](const Rank &rank) { return rank.armed.has_value(); }));
    }
    Duration heldTime() const
    {
        return heldTime_;
    }
    int64_t epoch() const
    {
        return epoch_;
    }

    int unresponsiveRank = -1; ///< This rank neither executes nor answers orders; -1 for none.
    bool idle = false; ///< While true, the group makes no passes.

private:
    struct Rank
    {
        int64_t map = 0;
        std::optional<int64_t> prepared;
        std::optional<int64_t> armed;
        int64_t armedPass = 0;
        std::optional<int64_t> held;
        int64_t sequence = 0;
        int64_t highestVersion = 0;
        int64_t highestFencing = 0;
    };

    struct LateOrder
    {
        Instant at;
        int rank;
        RankOrder order;
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < probability;
    }

    void executeLater(int rank, const RankOrder &order, Instant now)
    {
        const auto range = static_cast<uint64_t>((faults_.maxDelay - faults_.minDelay).count());
        lateOrders_.push_back({now + faults_.minDelay + std::chrono::milliseconds(random_() % range), rank, copyOf(order)});
    }

    static RankOrder copyOf(const RankOrder &order)
    {
        RankOrder copy = order;
        copy.map = nullptr;
        return copy;
    }

    OrderOutcome execute(int index, const RankOrder &order, bool fenced = true)
    {
        Rank &rank = ranks_[static_cast<size_t>(index)];
        if (fenced && order.fencing < rank.highestFencing) {
            return OrderOutcome::Fenced;
        }
        rank.highestFencing = std::max(rank.highestFencing, order.fencing);
        if (order.epoch != epoch_ || (order.expectedSequence && *order.expectedSequence != rank.sequence)) {
            return OrderOutcome::Conflict;
        }
        switch (order.kind) {
        case OrderKind::Prepare:
            if (rank.armed || order.version <= rank.highestVersion) {
                return OrderOutcome::Conflict;
            }
            rank.highestVersion = order.version;
            rank.prepared = order.version;
            ++rank.sequence;
            return OrderOutcome::Begun;
        case OrderKind::Arm:
            if (rank.armed == order.version) {
                return OrderOutcome::Done;
            }
            if (rank.prepared != order.version || order.pass <= pass_) {
                return OrderOutcome::Conflict;
            }
            rank.armed = order.version;
            rank.armedPass = order.pass;
            return OrderOutcome::Done;
        case OrderKind::Disarm:
            if (rank.map == order.version && order.version != 0) {
                return OrderOutcome::Conflict;
            }
            if (rank.armed == order.version) {
                rank.armed.reset();
            }
            return OrderOutcome::Done;
        case OrderKind::Hold:
            if (rank.held == order.pass) {
                return OrderOutcome::Done;
            }
            if (rank.held || order.pass <= pass_) {
                return OrderOutcome::Conflict;
            }
            rank.held = order.pass;
            return OrderOutcome::Done;
        case OrderKind::Go:
            if (rank.held == order.pass) {
                rank.held.reset();
            }
            return OrderOutcome::Done;
        }
        return OrderOutcome::Conflict;
    }

    std::vector<Rank> ranks_;
    Faults faults_;
    std::mt19937_64 random_;
    std::vector<LateOrder> lateOrders_;
    int64_t pass_ = 1;
    int64_t epoch_ = 1;
    Instant nextPass_{0};
    Instant lastHoldCheck_{0};
    Duration heldTime_{0};
    bool mixedMaps_ = false;
};

} // namespace daisymount::expertmap::tests

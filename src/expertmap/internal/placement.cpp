// Incremental placement search and the baseline placement policies.

#include "expertmap/placement.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <queue>

namespace daisymount::expertmap
{

namespace
{
/// A step must lower the highest load by at least this share of the mean load per move; less does not justify the transferred weights.
constexpr double MIN_GAIN_PER_MOVE = 0.0005;

/// One change of the map: places @ref expert into @ref slot. A swap also moves the slot's former expert into @ref otherSlot.
struct Step
{
    int slot = -1;
    int expert = -1;
    int otherSlot = -1; ///< Second slot of a swap; -1 otherwise.
    double peak = 0.0; ///< Highest load of the changed ranks after the step.
    int moves() const
    {
        return otherSlot < 0 ? 1 : 2;
    }
};

/// Search state of one layer.
class IncrementalSearch
{
public:
    IncrementalSearch(LayerMap map, std::span<const double> expertLoads, const PlacementOptions &options)
        : map_(std::move(map))
        , expertLoads_(expertLoads)
        , options_(options)
        , loads_(rankLoads(map_, expertLoads))
        , mean_(std::accumulate(loads_.begin(), loads_.end(), 0.0) / static_cast<double>(loads_.size()))
    {
        for (int slot = 0; slot < map_.slots(); ++slot) {
            slotsOfExpert_.resize(static_cast<size_t>(map_.experts()));
            slotsOfExpert_[static_cast<size_t>(map_.expertAt(slot))].push_back(slot);
        }
    }

    LayerMap run()
    {
        int moves = 0;
        while (mean_ > 0.0 && moves < options_.maxMoves) {
            const int hottest = static_cast<int>(std::max_element(loads_.begin(), loads_.end()) - loads_.begin());
            if (loadOf(hottest) <= mean_ * options_.targetSkew) {
                break;
            }
            const std::optional<Step> step = bestStep(hottest);
            if (!step || moves + step->moves() > options_.maxMoves) {
                break;
            }
            moves += step->moves();
            apply(*step);
        }
        return map_;
    }

private:
    double loadOf(int rank) const
    {
        return loads_[static_cast<size_t>(rank)];
    }

    double shareOf(int expert) const
    {
        return expertLoads_[static_cast<size_t>(expert)] / map_.replicas(expert);
    }

    int vmOf(int rank) const
    {
        return rank / options_.ranksPerVm;
    }

    /// True if a copy of @p expert may be placed on @p rank, ignoring the copy in @p exceptSlot: no rank holds an expert twice, and the copies
    /// of an expert are not all on one VM.
    bool canPlace(int rank, int expert, int exceptSlot) const
    {
        bool onlyCopy = true;
        bool spread = options_.ranksPerVm >= map_.ranks();
        for (const int slot : slotsOfExpert_[static_cast<size_t>(expert)]) {
            if (slot == exceptSlot) {
                continue;
            }
            const int holder = map_.rankOf(slot);
            if (holder == rank) {
                return false;
            }
            onlyCopy = false;
            spread = spread || vmOf(holder) != vmOf(rank);
        }
        return onlyCopy || spread;
    }

    /// True if the copy of @p expert in @p slot may be removed: one copy remains, or several on at least two VMs.
    bool canRemove(int expert, int slot) const
    {
        int firstVm = -1;
        int copies = 0;
        bool spread = options_.ranksPerVm >= map_.ranks();
        for (const int other : slotsOfExpert_[static_cast<size_t>(expert)]) {
            if (other == slot) {
                continue;
            }
            const int vm = vmOf(map_.rankOf(other));
            spread = spread || (firstVm >= 0 && vm != firstVm);
            firstVm = firstVm < 0 ? vm : firstVm;
            ++copies;
        }
        return copies == 1 || (copies > 1 && spread);
    }

    std::optional<Step> bestStep(int hottest) const
    {
        std::optional<Step> best;
        double bestGain = 0.0;
        const auto consider = [&](const Step &step) {
            const double gain = (loadOf(hottest) - step.peak) / step.moves();
            if (gain > bestGain && gain >= MIN_GAIN_PER_MOVE * mean_) {
                bestGain = gain;
                best = step;
            }
        };
        const int first = hottest * map_.slotsPerRank();
        for (int slot = first; slot < first + map_.slotsPerRank(); ++slot) {
            considerReplications(hottest, map_.expertAt(slot), consider);
            considerSwaps(hottest, slot, consider);
            considerReplacement(hottest, slot, consider);
        }
        return best;
    }

    /// Considers replacing a redundant copy on another rank by a replica of @p hot.
    template<typename Consider>
    void considerReplications(int hottest, int hot, const Consider &consider) const
    {
        const double hotBefore = shareOf(hot);
        const double hotAfter = expertLoads_[static_cast<size_t>(hot)] / (map_.replicas(hot) + 1);
        for (int slot = 0; slot < map_.slots(); ++slot) {
            const int target = map_.rankOf(slot);
            const int displaced = map_.expertAt(slot);
            if (target == hottest || displaced == hot || !canRemove(displaced, slot) || !canPlace(target, hot, -1)) {
                continue;
            }
            const double displacedBefore = shareOf(displaced);
            const double displacedAfter = expertLoads_[static_cast<size_t>(displaced)] / (map_.replicas(displaced) - 1);
            double peak = loadOf(target) - displacedBefore + hotAfter;
            const auto changed = [&](int rank) {
                double load = loadOf(rank);
                load += map_.holds(rank, hot) ? hotAfter - hotBefore : 0.0;
                load += map_.holds(rank, displaced) ? displacedAfter - displacedBefore : 0.0;
                return load;
            };
            peak = std::max(peak, changed(hottest));
            for (const int other : slotsOfExpert_[static_cast<size_t>(displaced)]) {
                if (other != slot) {
                    peak = std::max(peak, changed(map_.rankOf(other)));
                }
            }
            consider(Step{slot, hot, -1, peak});
        }
    }

    /// Considers replacing a redundant copy on the hottest rank by a replica of another expert.
    template<typename Consider>
    void considerReplacement(int hottest, int slot, const Consider &consider) const
    {
        const int replaced = map_.expertAt(slot);
        if (!canRemove(replaced, slot)) {
            return;
        }
        const double replacedBefore = shareOf(replaced);
        const double replacedAfter = expertLoads_[static_cast<size_t>(replaced)] / (map_.replicas(replaced) - 1);
        double othersPeak = 0.0;
        for (const int other : slotsOfExpert_[static_cast<size_t>(replaced)]) {
            if (other != slot) {
                othersPeak = std::max(othersPeak, loadOf(map_.rankOf(other)) - replacedBefore + replacedAfter);
            }
        }
        for (int expert = 0; expert < map_.experts(); ++expert) {
            if (expert == replaced || !canPlace(hottest, expert, -1)) {
                continue;
            }
            const double added = expertLoads_[static_cast<size_t>(expert)] / (map_.replicas(expert) + 1);
            consider(Step{slot, expert, -1, std::max(othersPeak, loadOf(hottest) - replacedBefore + added)});
        }
    }

    template<typename Consider>
    void considerSwaps(int hottest, int slot, const Consider &consider) const
    {
        const int hot = map_.expertAt(slot);
        const double hotShare = shareOf(hot);
        for (int other = 0; other < map_.slots(); ++other) {
            const int target = map_.rankOf(other);
            const int cold = map_.expertAt(other);
            const double coldShare = shareOf(cold);
            if (target == hottest || hot == cold || coldShare >= hotShare) {
                continue;
            }
            if (!canPlace(target, hot, slot) || !canPlace(hottest, cold, other)) {
                continue;
            }
            const double delta = hotShare - coldShare;
            consider(Step{slot, cold, other, std::max(loadOf(hottest) - delta, loadOf(target) + delta)});
        }
    }

    void place(int slot, int expert)
    {
        std::erase(slotsOfExpert_[static_cast<size_t>(map_.expertAt(slot))], slot);
        slotsOfExpert_[static_cast<size_t>(expert)].push_back(slot);
        map_.setExpert(slot, expert);
    }

    void apply(const Step &step)
    {
        const int leaving = map_.expertAt(step.slot);
        place(step.slot, step.expert);
        if (step.otherSlot >= 0) {
            place(step.otherSlot, leaving);
        }
        loads_ = rankLoads(map_, expertLoads_);
    }

    LayerMap map_;
    std::span<const double> expertLoads_;
    const PlacementOptions &options_;
    std::vector<double> loads_;
    double mean_;
    std::vector<std::vector<int>> slotsOfExpert_;
};

/// Returns the number of copies per expert, assigning each spare slot to the expert with the highest load per copy.
std::vector<int> copiesByLoad(std::span<const double> expertLoads, int slots, int maxCopies)
{
    std::vector<int> copies(expertLoads.size(), 1);
    std::priority_queue<std::pair<double, size_t>> queue;
    for (size_t expert = 0; expert < expertLoads.size(); ++expert) {
        queue.emplace(expertLoads[expert], expert);
    }
    for (int spare = slots - static_cast<int>(expertLoads.size()); spare > 0 && !queue.empty();) {
        const size_t expert = queue.top().second;
        queue.pop();
        if (copies[expert] >= maxCopies) {
            continue;
        }
        ++copies[expert];
        --spare;
        queue.emplace(expertLoads[expert] / copies[expert], expert);
    }
    return copies;
}
} // namespace

PlacementPolicy incrementalPlacement(const PlacementOptions &options)
{
    return [options](const LayerMap &current, std::span<const double> expertLoads) { return IncrementalSearch(current, expertLoads, options).run(); };
}

PlacementPolicy fullRecompute(const PlacementOptions &options)
{
    return [options](const LayerMap &current, std::span<const double> expertLoads) {
        const int ranks = current.ranks();
        const int vms = std::max(1, (ranks + options.ranksPerVm - 1) / options.ranksPerVm);
        const std::vector<int> copies = copiesByLoad(expertLoads, current.slots(), ranks);
        std::vector<std::pair<double, int>> items;
        for (size_t expert = 0; expert < expertLoads.size(); ++expert) {
            for (int copy = 0; copy < copies[expert]; ++copy) {
                items.emplace_back(expertLoads[expert] / copies[expert], static_cast<int>(expert));
            }
        }
        std::stable_sort(items.begin(), items.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
        LayerMap next(ranks, current.slotsPerRank(), current.experts());
        std::vector<double> loads(static_cast<size_t>(ranks), 0.0);
        std::vector<std::vector<int>> held(static_cast<size_t>(ranks));
        for (const auto &[load, expert] : items) {
            // True if the rank already holds the expert, or if all copies of the expert would be on one VM.
            const auto conflicts = [&, wanted = expert](int rank) {
                int holders = 0;
                bool sameVmOnly = true;
                for (int other = 0; other < ranks; ++other) {
                    const auto &experts = held[static_cast<size_t>(other)];
                    if (std::find(experts.begin(), experts.end(), wanted) == experts.end()) {
                        continue;
                    }
                    if (other == rank) {
                        return true;
                    }
                    ++holders;
                    sameVmOnly = sameVmOnly && other / options.ranksPerVm == rank / options.ranksPerVm;
                }
                return vms > 1 && holders > 0 && sameVmOnly;
            };
            int best = -1;
            bool bestConflicts = true;
            for (int rank = 0; rank < ranks; ++rank) {
                const auto index = static_cast<size_t>(rank);
                if (static_cast<int>(held[index].size()) >= current.slotsPerRank()) {
                    continue;
                }
                const bool conflict = conflicts(rank);
                const bool better = best < 0 || (bestConflicts && !conflict) || (bestConflicts == conflict && loads[index] < loads[static_cast<size_t>(best)]);
                if (better) {
                    best = rank;
                    bestConflicts = conflict;
                }
            }
            held[static_cast<size_t>(best)].push_back(expert);
            loads[static_cast<size_t>(best)] += load;
        }
        for (int rank = 0; rank < ranks; ++rank) {
            for (int slot = 0; slot < current.slotsPerRank(); ++slot) {
                next.setExpert(rank * current.slotsPerRank() + slot, held[static_cast<size_t>(rank)][static_cast<size_t>(slot)]);
            }
        }
        PlacementOptions refinement = options;
        refinement.maxMoves = current.slots();
        return IncrementalSearch(next, expertLoads, refinement).run();
    };
}

PlacementPolicy staticPlacement()
{
    return [](const LayerMap &current, std::span<const double> /*expertLoads*/) { return current; };
}

bool survivesVmLoss(const LayerMap &map, int ranksPerVm)
{
    for (int expert = 0; expert < map.experts(); ++expert) {
        if (map.replicas(expert) < 2) {
            continue;
        }
        int firstVm = -1;
        bool spread = false;
        for (int rank = 0; rank < map.ranks(); ++rank) {
            if (!map.holds(rank, expert)) {
                continue;
            }
            const int vm = rank / ranksPerVm;
            spread = spread || (firstVm >= 0 && vm != firstVm);
            firstVm = firstVm < 0 ? vm : firstVm;
        }
        if (!spread) {
            return false;
        }
    }
    return true;
}

} // namespace daisymount::expertmap

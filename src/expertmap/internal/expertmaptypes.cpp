// Layer maps and the load of their ranks.

#include "expertmap/expertmaptypes.h"

#include <algorithm>
#include <numeric>

namespace daisymount::expertmap
{

LayerMap::LayerMap(int ranks, int slotsPerRank, int experts)
    : ranks_(ranks)
    , slotsPerRank_(slotsPerRank)
    , expertOfSlot_(static_cast<size_t>(ranks) * static_cast<size_t>(slotsPerRank), 0)
    , replicas_(static_cast<size_t>(experts), 0)
{
    replicas_[0] = slots();
}

int LayerMap::ranks() const
{
    return ranks_;
}

int LayerMap::slotsPerRank() const
{
    return slotsPerRank_;
}

int LayerMap::experts() const
{
    return static_cast<int>(replicas_.size());
}

int LayerMap::slots() const
{
    return static_cast<int>(expertOfSlot_.size());
}

int LayerMap::rankOf(int slot) const
{
    return slot / slotsPerRank_;
}

int LayerMap::expertAt(int slot) const
{
    return expertOfSlot_[static_cast<size_t>(slot)];
}

void LayerMap::setExpert(int slot, int expert)
{
    int &currentExpert = expertOfSlot_[static_cast<size_t>(slot)];
    --replicas_[static_cast<size_t>(currentExpert)];
    ++replicas_[static_cast<size_t>(expert)];
    currentExpert = expert;
}

int LayerMap::replicas(int expert) const
{
    return replicas_[static_cast<size_t>(expert)];
}

bool LayerMap::holds(int rank, int expert) const
{
    const auto first = expertOfSlot_.begin() + static_cast<std::ptrdiff_t>(rank) * slotsPerRank_;
    return std::find(first, first + slotsPerRank_, expert) != first + slotsPerRank_;
}

LayerMap LayerMap::contiguous(int ranks, int slotsPerRank, int experts)
{
    LayerMap map(ranks, slotsPerRank, experts);
    const int primary = experts / ranks;
    for (int rank = 0; rank < ranks; ++rank) {
        for (int slot = 0; slot < slotsPerRank; ++slot) {
            const bool spare = slot >= primary;
            const int expert = spare ? (rank * primary + experts / 2 + slot - primary) % experts : rank * primary + slot;
            map.setExpert(rank * slotsPerRank + slot, expert);
        }
    }
    return map;
}

std::vector<double> rankLoads(const LayerMap &map, std::span<const double> expertLoads)
{
    std::vector<double> loads(static_cast<size_t>(map.ranks()), 0.0);
    for (int slot = 0; slot < map.slots(); ++slot) {
        const int expert = map.expertAt(slot);
        loads[static_cast<size_t>(map.rankOf(slot))] += expertLoads[static_cast<size_t>(expert)] / map.replicas(expert);
    }
    return loads;
}

double skewOf(std::span<const double> loads)
{
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    if (total <= 0.0) {
        return 1.0;
    }
    return *std::max_element(loads.begin(), loads.end()) * static_cast<double>(loads.size()) / total;
}

int movedExperts(const LayerMap &current, const LayerMap &next)
{
    int moved = 0;
    for (int slot = 0; slot < next.slots(); ++slot) {
        moved += current.holds(next.rankOf(slot), next.expertAt(slot)) ? 0 : 1;
    }
    return moved;
}

} // namespace daisymount::expertmap

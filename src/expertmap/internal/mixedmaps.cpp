// Detection and repair of different maps in one group.

#include "expertmap/mixedmaps.h"

#include <algorithm>

namespace daisymount::expertmap
{

void MixedMapsDetector::onReports(bool sameMap, bool ordersPending, framework::Instant now)
{
    if (sameMap || ordersPending) {
        mixedSince_.reset();
    } else if (!mixedSince_) {
        mixedSince_ = now;
    }
}

bool MixedMapsDetector::needsRepair(framework::Instant now) const
{
    return mixedSince_ && now - *mixedSince_ >= REPAIR_AFTER;
}

std::optional<GroupMap> combinedMap(GroupMap held, int experts, int maxExpertsPerRank, int maxAddedPerRankAndSet)
{
    for (std::vector<RankExperts> &set : held) {
        std::vector<int> added(set.size());
        for (int expert = 0; expert < experts; ++expert) {
            const auto holds = [expert](const RankExperts &rank) { return std::ranges::find(rank, expert) != rank.end(); };
            if (std::ranges::any_of(set, holds)) {
                continue;
            }
            RankExperts *emptiest = nullptr;
            for (RankExperts &rank : set) {
                const bool room = static_cast<int>(rank.size()) < maxExpertsPerRank && added[static_cast<size_t>(&rank - set.data())] < maxAddedPerRankAndSet;
                if (room && (emptiest == nullptr || rank.size() < emptiest->size())) {
                    emptiest = &rank;
                }
            }
            if (emptiest == nullptr) {
                return std::nullopt;
            }
            ++added[static_cast<size_t>(emptiest - set.data())];
            emptiest->insert(std::ranges::lower_bound(*emptiest, expert), expert);
        }
    }
    return held;
}

} // namespace daisymount::expertmap

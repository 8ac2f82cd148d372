// Brings a group whose ranks use different maps back to one map.
//
// Expected load: a rank that switched alone, because an order of an earlier change was carried out seconds late. Each pass then mixes two maps.

#pragma once

#include "expertmap/grouptypes.h"
#include "framework/clock.h"

#include <optional>

namespace daisymount::expertmap
{

/// Decides when different maps are no longer a change in progress.
class MixedMapsDetector
{
public:
    /// The reports of all ranks were read. @p ordersPending is true if a rank is armed and will switch by itself.
    void onReports(bool sameMap, bool ordersPending, framework::Instant now);
    /// True if the ranks have used different maps for REPAIR_AFTER and none is about to switch.
    bool needsRepair(framework::Instant now) const;

    /// Several times the interval at which such a group is read again. The repair then takes about two seconds, and a group has to be on one map
    /// within 5 s of the last late order.
    static constexpr framework::Duration REPAIR_AFTER = framework::milliseconds{800};

private:
    std::optional<framework::Instant> mixedSince_;
};

/// The map that the ranks make up together, by the experts that each of them holds now: every rank can prepare it with few copies or none.
/// Experts that no rank holds are added where there is room. Returns an empty value if there is no room for one.
std::optional<GroupMap> combinedMap(GroupMap held, int experts, int maxExpertsPerRank, int maxAddedPerRankAndSet);

} // namespace daisymount::expertmap

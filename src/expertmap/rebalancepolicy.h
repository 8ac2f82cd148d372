// Decides whether to switch to a better map, comparing the expected gain with the cost of loading weights.

#pragma once

#include "expertmap/expertmaptypes.h"

#include <string_view>

namespace daisymount::expertmap
{

struct RebalanceSettings
{
    double triggerSkew = 1.05; ///< No change is made below this skew.
    Duration horizon = std::chrono::minutes{10}; ///< Time span over which the gain is summed up.
    Duration minInterval = framework::seconds{30}; ///< Minimum time between two changes of one group.
    double bytesPerSecond = 2e9; ///< Rate limit of the weight store.
    double bytesPerExpert = 50e6;
    double loadSlowdown = 0.1; ///< Fraction by which steps are slower while weights are loaded.
    double minGainRatio = 2.0; ///< Minimum ratio of gain to cost.
};

/// State of the group and the fleet on which the decision is based.
struct RebalanceInput
{
    double currentSkew = 1.0; ///< Mean of all layers.
    double predictedSkew = 1.0;
    int movedExperts = 0; ///< Sum of all layers.
    Instant lastChange{0}; ///< Last change of this group; 0 if there was none.
    Instant now{0};
    bool otherGroupChanging = false; ///< Another group of the service is changing its map.
    bool atBillingPeak = false;
    bool zoneLeaving = false;
    bool storeDown = false;
    bool rankStalled = false; ///< A stalled rank invalidates the predicted skew.
};

enum class RebalanceReason : uint8_t {
    Apply,
    BelowTrigger,
    TooSoon,
    NotWorthIt,
    OtherGroup,
    BillingPeak,
    ZoneLeaving,
    StoreDown,
    RankStalled,
};

std::string_view toString(RebalanceReason reason);

struct RebalanceDecision
{
    RebalanceReason reason = RebalanceReason::BelowTrigger;
    double gainSeconds = 0.0; ///< Step time saved within the horizon.
    double costSeconds = 0.0; ///< Step time lost by the change.
};

RebalanceDecision decideRebalance(const RebalanceSettings &settings, const RebalanceInput &input);

} // namespace daisymount::expertmap

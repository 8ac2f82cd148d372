// Whether a better map is worth its cost now.

#pragma once

#include "expertmap/expertmaptypes.h"

#include <string_view>

namespace daisymount::expertmap
{

struct RebalanceSettings
{
    double triggerSkew = 1.05; ///< Below this nothing is done.
    Duration horizon = std::chrono::minutes{10}; ///< Time over which a gain is counted.
    Duration minInterval = framework::seconds{30}; ///< Between two changes of one group.
    double bytesPerSecond = 2e9; ///< Rate limit of the weight store.
    double bytesPerExpert = 50e6;
    double loadSlowdown = 0.1; ///< Share by which steps slow down while weights are loaded.
    double minGainRatio = 2.0; ///< Gain over cost that is asked for.
};

/// What the controller knows when it decides.
struct RebalanceInput
{
    double currentSkew = 1.0; ///< Mean over the layers.
    double predictedSkew = 1.0;
    int movedExperts = 0; ///< Over all layers.
    Instant lastChange{0}; ///< Of this group; 0 when there was none.
    Instant now{0};
    bool otherGroupChanging = false; ///< Another group of the service is in a change.
    bool atBillingPeak = false;
    bool zoneLeaving = false;
    bool storeDown = false;
    bool rankStalled = false; ///< A stalled rank would make any prediction wrong.
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
    double gainSeconds = 0.0; ///< Step time saved over the horizon.
    double costSeconds = 0.0; ///< Step time lost by the change.
};

RebalanceDecision decideRebalance(const RebalanceSettings &settings, const RebalanceInput &view);

} // namespace daisymount::expertmap

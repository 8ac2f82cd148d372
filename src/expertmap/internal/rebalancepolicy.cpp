// Order of the checks that allow or defer a map change.

#include "expertmap/rebalancepolicy.h"

namespace daisymount::expertmap
{

std::string_view toString(RebalanceReason reason)
{
    switch (reason) {
    case RebalanceReason::Apply:
        return "apply";
    case RebalanceReason::BelowTrigger:
        return "below_trigger";
    case RebalanceReason::TooSoon:
        return "too_soon";
    case RebalanceReason::NotWorthIt:
        return "not_worth_it";
    case RebalanceReason::OtherGroup:
        return "other_group";
    case RebalanceReason::BillingPeak:
        return "billing_peak";
    case RebalanceReason::ZoneLeaving:
        return "zone_leaving";
    case RebalanceReason::StoreDown:
        return "store_down";
    case RebalanceReason::RankStalled:
        break;
    }
    return "rank_stalled";
}

RebalanceDecision decideRebalance(const RebalanceSettings &settings, const RebalanceInput &input)
{
    RebalanceDecision decision;
    const double horizonSeconds = std::chrono::duration<double>(settings.horizon).count();
    const double loadSeconds = input.movedExperts * settings.bytesPerExpert / settings.bytesPerSecond;
    decision.gainSeconds = horizonSeconds * (input.currentSkew - input.predictedSkew) / input.currentSkew;
    decision.costSeconds = loadSeconds * settings.loadSlowdown;
    const bool tooSoon = input.lastChange > Instant{0} && input.now - input.lastChange < settings.minInterval;
    if (input.storeDown) {
        decision.reason = RebalanceReason::StoreDown;
    } else if (input.zoneLeaving) {
        decision.reason = RebalanceReason::ZoneLeaving;
    } else if (input.rankStalled) {
        decision.reason = RebalanceReason::RankStalled;
    } else if (input.currentSkew < settings.triggerSkew) {
        decision.reason = RebalanceReason::BelowTrigger;
    } else if (tooSoon) {
        decision.reason = RebalanceReason::TooSoon;
    } else if (input.otherGroupChanging) {
        decision.reason = RebalanceReason::OtherGroup;
    } else if (input.atBillingPeak) {
        decision.reason = RebalanceReason::BillingPeak;
    } else if (decision.gainSeconds < decision.costSeconds * settings.minGainRatio || decision.gainSeconds <= 0.0) {
        decision.reason = RebalanceReason::NotWorthIt;
    } else {
        decision.reason = RebalanceReason::Apply;
    }
    return decision;
}

} // namespace daisymount::expertmap

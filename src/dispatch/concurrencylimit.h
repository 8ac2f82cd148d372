// Limits the requests that a rank group gets, over all entries, so that its passes stay within the permitted pause of its streams.
//
// Expected load: groups of some tens of ranks whose load skew changes every few seconds, when demand moves to other experts. A stream is late
// if a single one of its passes is too long, so the tail of the pass time counts and not its mean.

#pragma once

#include "fleet/fleettypes.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

namespace daisymount::dispatch
{

using framework::Duration;
using framework::Instant;
using framework::milliseconds;

/// Published figures of a group and what its callers need.
struct GroupCapacity
{
    fleet::EngineProfile engine;
    int ranks = 0;
    Duration pauseObjective{0}; ///< Shortest of the routes to the service; 0 if none has one.
};

enum class LimitReason : uint8_t {
    Unmeasured, ///< No recent passes; the model with an assumed factor.
    PassTime, ///< The measured passes set the limit.
    Growing, ///< The limit is rising to what the passes permit.
    Slots, ///< The published slots set the limit.
    Floor, ///< One request per rank.
};

std::string_view toString(LimitReason reason);

struct ConcurrencyDecision
{
    double limit = 0.0; ///< Requests in flight over all entries.
    LimitReason reason = LimitReason::Unmeasured;
    Duration tailPassTime{0}; ///< Expected tail of the pass time at the limit; 0 if unmeasured.
};

struct ConcurrencyLimitOptions
{
    Duration observationTime = milliseconds{4'000}; ///< Passes within this time count; covers an interval between two shifts of demand.
    double tailQuantile = 0.9; ///< Of the ratios of measured to modelled pass time, by observation window.
    double assumedFactor = 2.5; ///< Ratio before any pass is measured: round-robin placement of experts.
    double growth = 1.1; ///< Maximum growth per growthInterval: what was admitted shows in the passes only after its prompts were read.
    Duration growthInterval = milliseconds{300};
    double usedFraction = 0.85; ///< The limit grows only while at least this fraction of it is in use.
};

class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(const ConcurrencyLimitOptions &options);

    /// @p passTime is the time between two consecutive events of a stream, @p inFlight the requests at the group over all entries.
    void onPass(Duration passTime, int inFlight, Instant now);
    /// Requests at the group over all entries, as far as reported.
    void onInFlight(int inFlight);
    /// The group has opened again in a new epoch: its experts are placed in turn and nothing is measured.
    void onReopened(Instant now);
    ConcurrencyDecision decide(const GroupCapacity &capacity, Instant now);

private:
    /// Passes observed within WINDOW.
    struct Window
    {
        Instant start{0};
        double longestSeconds = 0.0; ///< The longest pass: one of them makes a stream late.
        int passes = 0;
        double inFlight = 0.0; ///< Sum over the passes.
    };

    ConcurrencyLimitOptions options_;
    std::deque<Window> windows_; ///< Oldest first.
    double limit_ = 0.0; ///< 0 before the first decision.
    Instant grownAt_{0};
    int inFlight_ = 0;

    /// High quantile of the ratios of measured to modelled pass time; empty if too little was measured.
    std::optional<double> tailFactor(const GroupCapacity &capacity) const;
};

/// Modelled pass time with @p inFlight requests at a group with evenly loaded ranks.
Duration modelledPassTime(const GroupCapacity &capacity, double inFlight);

} // namespace daisymount::dispatch

// Tokens per billing window over the whole fleet, and the decision to hold deferrable work back at the billed peak.

#pragma once

#include "config/configtypes.h"
#include "framework/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace daisymount::organisations
{

using framework::Duration;
using framework::Instant;

/// One entry's usage of one window, as other entries hear of it. Cumulative, so a lost report costs nothing.
struct WindowUsage
{
    int64_t window = 0; ///< Number of the window: Unix time over the window's length.
    double tokens = 0.0;
    double urgentTokens = 0.0; ///< Of them, tokens of work that could not wait.
};

struct HoldDecision
{
    bool held = false;
    Duration retryAfter{0};
};

/// Deterministic core; one per entry. Windows follow the wall clock so that all entries and the supplier agree on them.
class BillingMeter
{
public:
    explicit BillingMeter(std::string self);

    void configure(const config::Config &config);

    /// Counts tokens that this entry has let through. @p urgent: the work could not wait.
    void charge(double tokens, bool urgent, int64_t unixMs);
    /// Whether deferrable work of @p tokens must wait. Urgent work is never asked about.
    HoldDecision decide(double tokens, int64_t unixMs);

    WindowUsage usage(int64_t unixMs) const;
    void onPeerUsage(std::string_view peer, const WindowUsage &usage);

    /// Highest total of a finished window, by this entry's knowledge.
    double billedPeak() const;
    /// Takes over a peak that was kept in the platform's store.
    void restorePeak(double peak);
    /// Closes windows that have ended. Call at least once per window.
    void tick(int64_t unixMs);

private:
    int64_t windowOf(int64_t unixMs) const;
    void advanceTo(int64_t current);
    /// Tokens of deferrable work that fit beside urgent work below the peak, by what is known now.
    double room(int64_t unixMs) const;
    double fleetTokens() const;
    double fleetUrgentTokens() const;

    std::string self_;
    config::Billing settings_;
    size_t entryCount_ = 1;
    int64_t window_ = 0; ///< Never goes back.
    std::map<std::string, WindowUsage, std::less<>> usage_; ///< Of the running window, by entry.
    int64_t slot_ = 0; ///< Time slot of the allowance: in it this entry does not yet see what the others let through.
    double allowance_ = 0.0; ///< This entry's part of the room at the start of the slot.
    double granted_ = 0.0; ///< Deferrable tokens let through in the slot.
    double peak_ = 0.0;
    double lastUrgent_ = 0.0; ///< Urgent total of the last finished window.
    double urgentPeak_ = 0.0; ///< Highest urgent total of a window, the running one included.
};

} // namespace daisymount::organisations

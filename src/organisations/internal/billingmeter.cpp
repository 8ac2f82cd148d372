// Billing meter.

#include "organisations/billingmeter.h"

#include <algorithm>

namespace daisymount::organisations
{

namespace
{
/// Share of a window from which its rate of urgent work is taken as a forecast.
constexpr double MIN_ELAPSED_FOR_RATE = 0.1;
/// Time in which entries may not have heard of each other's deferrable work.
constexpr int64_t ALLOWANCE_SLOT_MS = 2000;
/// Growth of urgent work from one window to the next that is allowed for.
constexpr double URGENT_GROWTH = 1.05;
} // namespace

BillingMeter::BillingMeter(std::string self) : self_(std::move(self))
{ }

void BillingMeter::configure(const config::Config &config)
{
    settings_ = config.billing;
    entryCount_ = std::max<size_t>(1, config.entries.size());
}

int64_t BillingMeter::windowOf(int64_t unixMs) const
{
    const int64_t lengthMs = std::max<int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(settings_.window).count());
    return unixMs / lengthMs;
}

double BillingMeter::fleetTokens() const
{
    double total = 0.0;
    for (const auto &[entry, usage] : usage_) {
        total += usage.tokens;
    }
    return total;
}

double BillingMeter::fleetUrgentTokens() const
{
    double total = 0.0;
    for (const auto &[entry, usage] : usage_) {
        total += usage.urgentTokens;
    }
    return total;
}

void BillingMeter::tick(int64_t unixMs)
{
    advanceTo(windowOf(unixMs));
}

void BillingMeter::advanceTo(int64_t current)
{
    if (current <= window_) {
        return;
    }
    peak_ = std::max(peak_, fleetTokens());
    lastUrgent_ = fleetUrgentTokens();
    urgentPeak_ = std::max(urgentPeak_, lastUrgent_);
    window_ = current;
    std::erase_if(usage_, [current](const auto &item) { return item.second.window < current; });
}

void BillingMeter::charge(double tokens, bool urgent, int64_t unixMs)
{
    tick(unixMs);
    WindowUsage &own = usage_[self_];
    own.window = window_;
    own.tokens += tokens;
    own.urgentTokens += urgent ? tokens : 0.0;
    granted_ += urgent ? 0.0 : tokens;
}

double BillingMeter::room(int64_t unixMs) const
{
    const int64_t lengthMs = std::max<int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(settings_.window).count());
    const double elapsedShare = static_cast<double>(unixMs % lengthMs) / static_cast<double>(lengthMs);
    const double used = fleetTokens();
    const double urgentUsed = fleetUrgentTokens();
    // Urgent work goes on for the rest of the window, at the higher of its present rate and that of the last window. Early in a
    // window the present rate says little.
    const double presentRate = elapsedShare >= MIN_ELAPSED_FOR_RATE ? urgentUsed / elapsedShare : 0.0;
    const double urgentToCome = std::max(presentRate, lastUrgent_ * URGENT_GROWTH) * (1.0 - elapsedShare);
    return std::max(peak_, urgentPeak_) - used - urgentToCome;
}

HoldDecision BillingMeter::decide(double tokens, int64_t unixMs)
{
    if (!settings_.holdDeferrable) {
        return {};
    }
    tick(unixMs);
    const int64_t slot = unixMs / ALLOWANCE_SLOT_MS;
    if (slot != slot_) {
        slot_ = slot;
        allowance_ = std::max(0.0, room(unixMs)) / static_cast<double>(entryCount_);
        granted_ = 0.0;
    }
    if (granted_ + tokens <= allowance_) {
        return {};
    }
    const int64_t lengthMs = std::max<int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(settings_.window).count());
    return {true, std::chrono::milliseconds{lengthMs - unixMs % lengthMs}};
}

WindowUsage BillingMeter::usage(int64_t unixMs) const
{
    const auto own = usage_.find(self_);
    if (own == usage_.end() || own->second.window != windowOf(unixMs)) {
        return {windowOf(unixMs), 0.0, 0.0};
    }
    return own->second;
}

void BillingMeter::onPeerUsage(std::string_view peer, const WindowUsage &usage)
{
    if (peer == self_ || usage.window < window_) {
        return;
    }
    // A peer may enter a window first; usage of two windows is never added up.
    advanceTo(usage.window);
    WindowUsage &known = usage_[std::string(peer)];
    const bool newer = usage.window > known.window || (usage.window == known.window && usage.tokens > known.tokens);
    if (newer) {
        known = usage;
    }
}

double BillingMeter::billedPeak() const
{
    return peak_;
}

void BillingMeter::restorePeak(double peak)
{
    peak_ = std::max(peak_, peak);
}

} // namespace daisymount::organisations

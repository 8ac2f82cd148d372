// Billing meter.

#include "organisations/billingmeter.h"

#include <algorithm>

namespace daisymount::organisations
{

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
    const int64_t current = windowOf(unixMs);
    if (current <= window_) {
        return;
    }
    peak_ = std::max(peak_, fleetTokens());
    urgentPeak_ = std::max(urgentPeak_, fleetUrgentTokens());
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
}

HoldDecision BillingMeter::decide(double tokens, int64_t unixMs) const
{
    if (!settings_.holdDeferrable) {
        return {};
    }
    const int64_t lengthMs = std::max<int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(settings_.window).count());
    const int64_t intoWindowMs = unixMs % lengthMs;
    const bool newWindow = windowOf(unixMs) > window_;
    const double used = newWindow ? 0.0 : fleetTokens();
    const double urgentUsed = newWindow ? 0.0 : fleetUrgentTokens();
    // Urgent work goes on at its present rate for the rest of the window; only the room beside it is for deferrable work.
    const double elapsedShare = std::max(0.05, static_cast<double>(intoWindowMs) / static_cast<double>(lengthMs));
    const double urgentToCome = urgentUsed * (1.0 - elapsedShare) / elapsedShare;
    const double ceiling = std::max(peak_, urgentPeak_);
    const double room = ceiling - used - urgentToCome;
    // Entries hear of each other with a lag: each uses its part of the room.
    if (tokens <= room / static_cast<double>(entryCount_) || (entryCount_ == 1 && tokens <= room)) {
        return {};
    }
    return {true, std::chrono::milliseconds{lengthMs - intoWindowMs}};
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

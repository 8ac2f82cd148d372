// Keeps the longest recent time to completion of each route.

#include "dispatch/completiontimes.h"

#include <algorithm>

namespace daisymount::dispatch
{

namespace
{
using framework::Duration;
using framework::Instant;

/// Observations are kept for one to two periods.
constexpr framework::seconds PERIOD{15};
/// Load shifts to the remaining gateways while others restart, which makes requests slower than the slowest so far.
constexpr int SPREAD_NUMERATOR = 5;
constexpr int SPREAD_DENOMINATOR = 4;
} // namespace

void CompletionTimes::onSent(std::string_view route, Instant now)
{
    auto found = routes_.find(route);
    if (found == routes_.end()) {
        found = routes_.emplace(std::string(route), RouteTimes{}).first;
    }
    found->second.sentAt.insert(now);
}

void CompletionTimes::onEnded(std::string_view route, Instant sentAt, bool complete, Instant now)
{
    const auto found = routes_.find(route);
    if (found == routes_.end()) {
        return;
    }
    RouteTimes &times = found->second;
    const auto underWay = times.sentAt.find(sentAt);
    if (underWay != times.sentAt.end()) {
        times.sentAt.erase(underWay);
    }
    if (!complete) {
        return;
    }
    if (now - times.periodStart >= PERIOD) {
        times.longestBefore = now - times.periodStart < 2 * PERIOD ? times.longest : Duration{0};
        times.longest = Duration{0};
        times.periodStart = now;
    }
    times.longest = std::max(times.longest, now - sentAt);
}

std::optional<Duration> CompletionTimes::upperBound(std::string_view route, Instant now) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end()) {
        return std::nullopt;
    }
    const RouteTimes &times = found->second;
    Duration longest{0};
    if (now - times.periodStart < 2 * PERIOD) {
        longest = std::max(times.longest, now - times.periodStart < PERIOD ? times.longestBefore : Duration{0});
    }
    if (longest == Duration{0}) {
        return std::nullopt;
    }
    if (!times.sentAt.empty()) {
        longest = std::max(longest, now - *times.sentAt.begin());
    }
    return longest * SPREAD_NUMERATOR / SPREAD_DENOMINATOR;
}

bool CompletionTimes::canEndBefore(Instant end, std::string_view route, Instant deadline, Instant now) const
{
    if (deadline <= end) {
        return true;
    }
    const std::optional<Duration> needed = upperBound(route, now);
    return needed && now + *needed <= end;
}

} // namespace daisymount::dispatch

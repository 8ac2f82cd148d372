// Keeps the longest recent time to completion of each route, and the longest answer that was asked for.

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
constexpr double SPREAD = 1.25;
/// Added to SPREAD after division by the number of observations, since the slowest of a few tells little.
constexpr double SPREAD_OF_FEW = 4.0;
/// Mean pause of a stream under load as a fraction of the longest one with which it is on time.
constexpr int MEAN_PAUSE_NUMERATOR = 2;
constexpr int MEAN_PAUSE_DENOMINATOR = 3;
/// A process that has passed requests on for this time has seen the usual load and relies on it.
constexpr framework::seconds FULL_HISTORY{15};
/// Without a statement of the request: a process that has passed requests on for less than this multiple of its longest observation has not seen the long ones
/// end.
constexpr int MIN_HISTORY_MULTIPLE = 2;
} // namespace

void CompletionTimes::onSent(std::string_view route, Instant now)
{
    auto found = routes_.find(route);
    if (found == routes_.end()) {
        found = routes_.emplace(std::string(route), RouteTimes{}).first;
        found->second.firstSentAt = now;
    }
    found->second.sentAt.insert(now);
}

void CompletionTimes::Observations::merge(const Observations &other)
{
    longest = std::max(longest, other.longest);
    count += other.count;
    longestStatedTokens = std::max(longestStatedTokens, other.longestStatedTokens);
}

void CompletionTimes::onEnded(const RequestLength &request, Instant sentAt, bool complete, Instant now)
{
    const auto found = routes_.find(request.route);
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
        times.before = now - times.periodStart < 2 * PERIOD ? times.current : Observations{};
        times.current = {};
        times.periodStart = now;
    }
    times.current.merge({now - sentAt, 1, request.statedTokens});
}

CompletionTimes::Observations CompletionTimes::recentObservations(const RouteTimes &times, Instant now)
{
    Observations recent;
    if (now - times.periodStart < 2 * PERIOD) {
        recent = times.current;
    }
    if (now - times.periodStart < PERIOD) {
        recent.merge(times.before);
    }
    return recent;
}

std::optional<Duration> CompletionTimes::upperBound(std::string_view route, Instant now) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end()) {
        return std::nullopt;
    }
    const RouteTimes &times = found->second;
    Observations recent = recentObservations(times, now);
    if (recent.count == 0 || now - times.firstSentAt < MIN_HISTORY_MULTIPLE * recent.longest) {
        return std::nullopt;
    }
    if (!times.sentAt.empty()) {
        recent.longest = std::max(recent.longest, now - *times.sentAt.begin());
    }
    return std::chrono::duration_cast<Duration>(recent.longest * (SPREAD + SPREAD_OF_FEW / recent.count));
}

std::optional<Duration> CompletionTimes::needed(const RequestLength &request, Instant now) const
{
    const auto found = routes_.find(request.route);
    const std::optional<Duration> seen = upperBound(request.route, now);
    if (!seen) {
        return request.stated;
    }
    const int64_t seenTokens = recentObservations(found->second, now).longestStatedTokens;
    const bool longerThanSeen = request.statedTokens > seenTokens;
    if (longerThanSeen && seenTokens > 0) {
        const double ratio = static_cast<double>(request.statedTokens) / static_cast<double>(seenTokens);
        return std::max(request.stated.value_or(Duration{0}), std::chrono::duration_cast<Duration>(*seen * ratio));
    }
    const bool knows = now - found->second.firstSentAt >= FULL_HISTORY && !longerThanSeen;
    return knows ? seen : std::max(*seen, request.stated.value_or(Duration{0}));
}

bool CompletionTimes::canEndBefore(Instant end, const RequestLength &request, Instant now) const
{
    if (request.deadline <= end) {
        return true;
    }
    const std::optional<Duration> duration = needed(request, now);
    return duration && now + *duration <= end;
}

bool CompletionTimes::mustEndBefore(Instant end, const RequestLength &request, Instant now) const
{
    if (request.deadline <= end) {
        return true;
    }
    if (!request.isStream) {
        return canEndBefore(end, request, now);
    }
    return request.slowest && now + std::max(*request.slowest, needed(request, now).value_or(Duration{0})) <= end;
}

namespace
{
int64_t passesOf(const StreamLength &stream)
{
    const int tokensPerPass = std::max(1, stream.tokensPerPass);
    return (stream.maxTokens + tokensPerPass - 1) / tokensPerPass;
}
} // namespace

std::optional<Duration> longestStream(const StreamLength &stream)
{
    const auto observed = std::chrono::duration_cast<Duration>(stream.passTime.value_or(Duration{0}) * SPREAD);
    // Passes are fast while callers are away, for example because all gateways restart, and slow down as they come back.
    const Duration pause = std::max(observed, stream.pauseObjective * MEAN_PAUSE_NUMERATOR / MEAN_PAUSE_DENOMINATOR);
    if (pause == Duration{0}) {
        return std::nullopt;
    }
    return stream.timeToFirstEvent + passesOf(stream) * pause;
}

std::optional<Duration> slowestStream(const StreamLength &stream)
{
    // A prediction from the passes of the moment alone is no bound.
    if (stream.pauseObjective == Duration{0}) {
        return std::nullopt;
    }
    const auto observed = std::chrono::duration_cast<Duration>(stream.passTime.value_or(Duration{0}) * SPREAD);
    return stream.patience + passesOf(stream) * std::max(observed, stream.pauseObjective);
}

} // namespace daisymount::dispatch

// Learns the range of deadlines of first attempts.

#include "dispatch/retrydetector.h"

#include <algorithm>
#include <vector>

namespace daisymount::dispatch
{

namespace
{
/// Assumed before enough first attempts were observed. Callers who return wait for a part of their time first.
constexpr double ASSUMED_FRACTION = 0.8;
/// Deadlines just below the longest one always count as those of first attempts: some time passes on the way.
constexpr double MAX_FRACTION = 0.95;
constexpr double MIN_FRACTION = 0.5;
constexpr size_t MIN_OBSERVED = 12;
constexpr size_t MAX_OBSERVED = 96;
/// One in this many observations may be the return of a caller whose first attempt failed elsewhere.
constexpr size_t OUTLIER_DIVISOR = 24;
/// A longer deadline from an earlier configuration is discarded after this time.
constexpr Duration DEADLINE_RETENTION = framework::seconds{20};
} // namespace

RetryDetector::RetryDetector() : firstAttemptFraction_(ASSUMED_FRACTION)
{ }

void RetryDetector::onRefused(Instant now)
{
    refusedAt_ = now;
}

milliseconds RetryDetector::longestDeadline(std::string_view route, milliseconds deadline, Instant now)
{
    if (now - expiredAt_ > DEADLINE_RETENTION) {
        // Routes come and go with each configuration.
        std::erase_if(longest_, [now](const auto &entry) { return now - entry.second.seenAt > 2 * DEADLINE_RETENTION; });
        expiredAt_ = now;
    }
    auto found = longest_.find(route);
    if (found == longest_.end()) {
        found = longest_.emplace(std::string(route), LongestDeadline{}).first;
    }
    LongestDeadline &longest = found->second;
    if (deadline >= longest.deadline || now - longest.seenAt > DEADLINE_RETENTION) {
        longest = {deadline, now};
    }
    return longest.deadline;
}

void RetryDetector::learn(double fraction)
{
    observed_.push_back(fraction);
    if (observed_.size() > MAX_OBSERVED) {
        observed_.pop_front();
    }
    if (observed_.size() < MIN_OBSERVED) {
        return;
    }
    std::vector<double> sorted(observed_.begin(), observed_.end());
    std::ranges::sort(sorted);
    const double smallest = sorted[sorted.size() / OUTLIER_DIVISOR];
    // The smallest of a few observations lies above the end of the range.
    const double unseen = (1.0 - smallest) / static_cast<double>(sorted.size());
    firstAttemptFraction_ = std::clamp(smallest - unseen, MIN_FRACTION, MAX_FRACTION);
}

bool RetryDetector::isRetry(std::string_view route, milliseconds deadline, Instant now)
{
    const milliseconds longest = longestDeadline(route, deadline, now);
    if (deadline.count() <= 0 || longest.count() <= 0) {
        return false;
    }
    const double fraction = static_cast<double>(deadline.count()) / static_cast<double>(longest.count());
    if (now - refusedAt_ > RETURN_WINDOW) {
        learn(fraction);
    }
    return fraction < firstAttemptFraction_;
}

Duration RetryDetector::timeSinceFirstAttempt(std::string_view route, milliseconds deadline, Instant now)
{
    if (!isRetry(route, deadline, now)) {
        return Duration{0};
    }
    // In the mean, first attempts state the middle of their range.
    const Duration stated = std::chrono::duration_cast<Duration>(longest_.find(route)->second.deadline * (1.0 + firstAttemptFraction_) / 2.0);
    return std::max<Duration>(Duration{0}, stated - deadline);
}

double RetryDetector::firstAttemptFraction() const
{
    return firstAttemptFraction_;
}

} // namespace daisymount::dispatch

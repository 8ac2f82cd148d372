// Sliding-window accounting of retries.

#include "dispatch/retryshare.h"

#include <algorithm>

namespace daisymount::dispatch
{

namespace
{
/// Fraction of the budget that is granted; the rest covers the width of a window slot and requests that never reach an upstream.
constexpr double USABLE_FRACTION = 0.8;
/// Time for which the share of a silent entry stays reserved: it may be partitioned and still send retries.
constexpr framework::seconds SHARE_RETENTION{120};
} // namespace

RetryBudgetShare::RetryBudgetShare(const RetryBudgetOptions &options, framework::Instant startedAt) : options_(options), startedAt_(startedAt)
{ }

void RetryBudgetShare::setEntries(int entries, framework::Instant now)
{
    // Before the other entries are discovered, the number is an assumption and not recorded.
    if (isStarting(now)) {
        return;
    }
    while (!entryCounts_.empty() && entryCounts_.back().entries <= entries) {
        entryCounts_.pop_back();
    }
    entryCounts_.push_back({std::max(1, entries), now});
    while (now - entryCounts_.front().at > SHARE_RETENTION) {
        entryCounts_.pop_front();
    }
}

int RetryBudgetShare::entries() const
{
    return entryCounts_.empty() ? 1 : entryCounts_.front().entries;
}

void RetryBudgetShare::onRequest(std::string_view service, framework::Instant now)
{
    counts(service).requests.add(now);
}

bool RetryBudgetShare::canRetry(std::string_view service, framework::Instant now)
{
    const Counts &known = counts(service);
    // A previous process of this entry may have used its share of the slack in the same window.
    const double slack = isStarting(now) ? 0.0 : options_.slack / entries();
    const double budget = options_.ratio * static_cast<double>(known.requests.total(now)) + slack;
    return static_cast<double>(known.retries.total(now) + 1) <= USABLE_FRACTION * budget;
}

bool RetryBudgetShare::tryAcquireRetry(std::string_view service, framework::Instant now)
{
    if (!canRetry(service, now)) {
        return false;
    }
    counts(service).retries.add(now);
    return true;
}

bool RetryBudgetShare::isStarting(framework::Instant now) const
{
    return now - startedAt_ < options_.window;
}

RetryBudgetShare::Counts &RetryBudgetShare::counts(std::string_view service)
{
    const auto found = counts_.find(service);
    if (found != counts_.end()) {
        return found->second;
    }
    return counts_.emplace(std::string(service), Counts{SlidingCount(options_.window), SlidingCount(options_.window)}).first->second;
}

} // namespace daisymount::dispatch

// Sliding-window accounting of repeats.

#include "dispatch/retryshare.h"

#include <algorithm>

namespace daisymount::dispatch
{

namespace
{
/// Part of the budget that is used; the rest covers the width of a window slot and requests that never arrive.
constexpr double USABLE_FRACTION = 0.8;
/// Entries that are heard no more may only be cut off and go on spending: their part stays theirs for this long.
constexpr framework::seconds SHARE_RETENTION{120};
} // namespace

RetryBudgetShare::RetryBudgetShare(const RetryBudgetOptions &options, framework::Instant startedAt) : options_(options), startedAt_(startedAt)
{ }

void RetryBudgetShare::setEntries(int entries, framework::Instant now)
{
    // What is assumed before the other entries have been met is no count.
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

bool RetryBudgetShare::tryAcquireRetry(std::string_view service, framework::Instant now)
{
    Counts &known = counts(service);
    // An earlier process at this entry may have spent its part of the slack in the same window.
    const double slack = isStarting(now) ? 0.0 : options_.slack / entries();
    const double budget = options_.ratio * static_cast<double>(known.requests.total(now)) + slack;
    if (static_cast<double>(known.retries.total(now) + 1) > USABLE_FRACTION * budget) {
        return false;
    }
    known.retries.add(now);
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

// Share of this entry in the retry budget of a service. The sum over all entries must not exceed the budget.

#pragma once

#include "dispatch/slidingcount.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace daisymount::dispatch
{

struct RetryBudgetOptions
{
    double ratio = 0.2; ///< Retries per request.
    double slack = 0.0; ///< Additional retries per window over all entries.
    framework::Duration window = framework::seconds{10};
};

class RetryBudgetShare
{
public:
    /// @p startedAt is the start time of the process. Retries sent in the window by a previous process are unknown.
    RetryBudgetShare(const RetryBudgetOptions &options, framework::Instant startedAt);

    /// Sets the number of possibly live entries including this one, at least 1. Must be called several times a second.
    void setEntries(int entries, framework::Instant now);
    void onRequest(std::string_view service, framework::Instant now);
    /// True if tryAcquireRetry() would succeed.
    bool canRetry(std::string_view service, framework::Instant now);
    /// Consumes one retry; returns false if the share of this entry is used up.
    bool tryAcquireRetry(std::string_view service, framework::Instant now);
    /// Number of entries by which the slack is divided.
    int entries() const;
    /// True during the first window after the start, in which no slack is granted.
    bool isStarting(framework::Instant now) const;

private:
    struct Counts
    {
        SlidingCount requests;
        SlidingCount retries;
    };

    Counts &counts(std::string_view service);

    struct EntryCount
    {
        int entries = 1;
        framework::Instant at{0};
    };

    RetryBudgetOptions options_;
    framework::Instant startedAt_;
    std::deque<EntryCount> entryCounts_; ///< Maxima over the last SHARE_RETENTION, in decreasing order.
    std::map<std::string, Counts, std::less<>> counts_;
};

} // namespace daisymount::dispatch

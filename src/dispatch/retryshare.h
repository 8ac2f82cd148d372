// This entry's share of the repeats that a service bears, so that the sum over all entries stays in the budget.

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
    double ratio = 0.2; ///< Repeats per request.
    double slack = 0.0; ///< Further repeats per window over all entries.
    framework::Duration window = framework::seconds{10};
};

class RetryBudgetShare
{
public:
    /// @p startedAt: start of the process. What an earlier one had spent in the window is not known.
    RetryBudgetShare(const RetryBudgetOptions &options, framework::Instant startedAt);

    /// Entries that may be alive, this one among them, at least 1. Call several times a second.
    void setEntries(int entries, framework::Instant now);
    void onRequest(std::string_view service, framework::Instant now);
    /// Takes one repeat; false when this entry's share is spent.
    bool tryAcquireRetry(std::string_view service, framework::Instant now);
    /// Entries that the slack is divided by.
    int entries() const;
    /// Less than a window has passed since the start: there is no slack yet.
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
    std::deque<EntryCount> entryCounts_; ///< Of the last while, decreasing: the first is the largest.
    std::map<std::string, Counts, std::less<>> counts_;
};

} // namespace daisymount::dispatch

// Tells callers that return after a refusal from those that come for the first time, by the time that they still wait.
//
// Expected load: callers that state how long they wait, first attempts within a range that is not published (some wait a little less than others), and
// returns of refused callers within a third of their time. While nobody is refused, all attempts are first ones and show their range.

#pragma once

#include "framework/clock.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace daisymount::dispatch
{

using framework::Duration;
using framework::Instant;
using framework::milliseconds;

class RetryDetector
{
public:
    RetryDetector();

    /// A caller was refused, and may return within RETURN_WINDOW.
    void onRefused(Instant now);
    /// @p deadline is the value stated in the request, 0 if there is none.
    bool isRetry(std::string_view route, milliseconds deadline, Instant now);
    /// Estimated time since the caller's first attempt; 0 for a first attempt.
    Duration timeSinceFirstAttempt(std::string_view route, milliseconds deadline, Instant now);
    /// Smallest deadline that a first attempt states, as a fraction of the longest one of its route.
    double firstAttemptFraction() const;

    static constexpr Duration RETURN_WINDOW = framework::seconds{4};

private:
    struct LongestDeadline
    {
        milliseconds deadline{0};
        Instant seenAt{0};
    };

    /// Longest deadline that was stated on the route lately, including @p deadline.
    milliseconds longestDeadline(std::string_view route, milliseconds deadline, Instant now);
    void learn(double fraction);

    std::map<std::string, LongestDeadline, std::less<>> longest_; ///< By route; none older than twice its retention.
    Instant expiredAt_{0}; ///< When old entries of longest_ were last removed.
    std::deque<double> observed_; ///< Fractions stated by first attempts of all routes, newest last.
    double firstAttemptFraction_;
    Instant refusedAt_ = -RETURN_WINDOW;
};

} // namespace daisymount::dispatch

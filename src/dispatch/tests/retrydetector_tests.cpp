// Tests of the detection of callers that return after a refusal.

#include "dispatch/retrydetector.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <string>

using namespace daisymount::dispatch;

namespace
{
constexpr Instant START{std::chrono::seconds{100}};
}

TEST_GROUP(RetryDetector)
{
    RetryDetector callers;
};

TEST(RetryDetector, detectsRetriesByAShorterDeadline)
{
    CHECK_FALSE(callers.isRetry("r", milliseconds{8'000}, START));
    CHECK(callers.isRetry("r", milliseconds{5'600}, START));
    CHECK_FALSE(callers.isRetry("r", milliseconds{7'950}, START));
    CHECK_FALSE(callers.isRetry("other", milliseconds{3'000}, START));
    CHECK_FALSE(callers.isRetry("none", milliseconds{0}, START));
}

TEST(RetryDetector, discardsALongerDeadlineAfterItsRetention)
{
    callers.isRetry("r", milliseconds{8'000}, START);
    const Instant later = START + std::chrono::seconds{30};
    CHECK_FALSE(callers.isRetry("r", milliseconds{4'000}, later));
}

/// Guards against taking callers that wait a little less than others for late returns, which are served last.
TEST(RetryDetector, firstAttemptsThatStateDifferentDeadlinesAreNoReturns)
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        RetryDetector learning;
        std::mt19937_64 random(seed);
        const double lowest = std::uniform_real_distribution<double>(0.7, 0.99)(random);
        std::uniform_real_distribution<double> first(lowest * 8'000.0, 8'000.0);
        Instant now = START;
        int mistaken = 0;
        for (int i = 0; i < 400; ++i) {
            now += milliseconds{50};
            const milliseconds stated{static_cast<int64_t>(first(random))};
            const bool isRetry = learning.isRetry("r" + std::to_string(i % 3), stated, now);
            mistaken += i >= 100 && isRetry ? 1 : 0;
        }
        CHECK_TEXT(mistaken <= 30, ("seed " + std::to_string(seed) + ": " + std::to_string(mistaken) + " of 300").c_str());
        // Callers that were refused return after some of their time.
        learning.onRefused(now);
        const milliseconds returned{static_cast<int64_t>(0.95 * lowest * 8'000.0)};
        CHECK(learning.isRetry("r1", returned, now));
        CHECK(learning.timeSinceFirstAttempt("r1", returned, now) > milliseconds{200});
    }
}

/// Guards against learning from the returns that refusals cause.
TEST(RetryDetector, nothingIsLearntWhileRefusedCallersMayReturn)
{
    Instant now = START;
    for (int i = 0; i < 100; ++i) {
        callers.isRetry("r", milliseconds{i % 2 == 0 ? 8'000 : 7'600}, now);
        now += milliseconds{20};
    }
    const double learnt = callers.firstAttemptFraction();
    for (int i = 0; i < 300; ++i) {
        callers.onRefused(now);
        CHECK(callers.isRetry("r", milliseconds{5'000}, now));
        now += milliseconds{20};
    }
    DOUBLES_EQUAL(learnt, callers.firstAttemptFraction(), 1e-9);
}

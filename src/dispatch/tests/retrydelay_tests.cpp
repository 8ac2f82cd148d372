// Tests of the delays after which refused callers come back, with a played outage.

#include "dispatch/retrydelay.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisymount::dispatch;
using daisymount::framework::seconds;

namespace
{
constexpr milliseconds DEADLINE{8'000};
/// Callers come evenly, wait as told and return once.
constexpr int ARRIVALS_PER_SECOND = 80;

/// Plays an outage of @p length during which every attempt is refused. Returns the share of the callers in it whose return falls after it.
double servedAfterOutage(RefusalCause cause, milliseconds length, uint64_t seed)
{
    RetryDelay delay(seed);
    int served = 0;
    int arrived = 0;
    for (milliseconds at{0}; at < length; at += milliseconds{1'000 / ARRIVALS_PER_SECOND}) {
        ++arrived;
        served += at + delay.choose(cause, DEADLINE) >= length ? 1 : 0;
    }
    return static_cast<double>(served) / arrived;
}
} // namespace

TEST_GROUP(RetryDelay){};

TEST(RetryDelay, staysBelowTheLongestDelayThatCallersAccept)
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        RetryDelay delay(seed);
        for (const RefusalCause cause : {RefusalCause::Busy, RefusalCause::Outage}) {
            const milliseconds chosen = delay.choose(cause, DEADLINE);
            CHECK(chosen.count() > 0);
            CHECK(chosen < DEADLINE / 3);
        }
    }
}

// All machines restart while the store is down: for two seconds no entry knows a configuration, and callers return once.
TEST(RetryDelay, callersOfAShortOutageReturnAfterIt)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        CHECK(servedAfterOutage(RefusalCause::Outage, milliseconds{2'000}, seed) > 0.99);
    }
}

TEST(RetryDelay, longerOutageIsSurvivedByThoseWhoCameLate)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        CHECK(servedAfterOutage(RefusalCause::Outage, milliseconds{4'000}, seed) > 0.5);
    }
}

TEST(RetryDelay, returnsOfBusyCallersAreSpread)
{
    RetryDelay delay(1);
    std::vector<int> perTenth(10);
    for (int i = 0; i < 1'000; ++i) {
        ++perTenth[static_cast<size_t>(delay.choose(RefusalCause::Busy, DEADLINE) / milliseconds{267})];
    }
    CHECK(std::ranges::max(perTenth) < 250);
}

TEST(RetryDelay, expiredCallerGetsNoNegativeDelay)
{
    RetryDelay delay(1);
    CHECK(delay.choose(RefusalCause::Outage, seconds{-1}).count() >= 0);
}

// Tests of the concurrency limit against a model of a group: passes lengthen with the requests in flight and with an uneven map.

#include "dispatch/concurrencylimit.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

using namespace daisymount;
using namespace daisymount::dispatch;

namespace
{
constexpr Instant START{std::chrono::seconds{100}};
constexpr int RANKS = 24;
constexpr int EVENTS = 20;

GroupCapacity capacity()
{
    GroupCapacity group;
    group.engine.slots = 10;
    group.engine.stepMs = 4.55;
    group.engine.stepMsPerSequence = 1.09;
    group.engine.stepMsPerThousandContextTokens = 0.022;
    group.engine.usualPromptTokens = 868;
    group.engine.usualAnswerTokens = 96;
    group.engine.stepsPerPass = 5;
    group.ranks = RANKS;
    group.pauseObjective = milliseconds{150};
    return group;
}

struct Stream
{
    int eventsLeft = EVENTS;
    bool late = false;
};

/// Plays a group whose passes take @p factorAt(now) times the modelled time, with @p arrivals requests a second, admitted below the limit.
/// Returns the streams a second that ended without a late pass.
template<typename FactorAt>
double goodput(double arrivals, FactorAt factorAt, bool limited)
{
    ConcurrencyLimit limit({});
    std::vector<Stream> streams;
    double second = 0.0;
    double waiting = 0.0;
    int inTime = 0;
    while (second < 40.0) {
        const Instant now = START + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(second));
        const auto modelled = modelledPassTime(capacity(), static_cast<double>(streams.size()));
        const double pass = std::chrono::duration<double>(modelled).count() * factorAt(second);
        const Duration passTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pass));
        for (Stream &stream : streams) {
            stream.late = stream.late || passTime > capacity().pauseObjective;
            --stream.eventsLeft;
        }
        if (!streams.empty()) {
            limit.onPass(passTime, static_cast<int>(streams.size()), now);
        }
        inTime += static_cast<int>(std::ranges::count_if(streams, [](const Stream &stream) { return stream.eventsLeft == 0 && !stream.late; }));
        std::erase_if(streams, [](const Stream &stream) { return stream.eventsLeft == 0; });
        limit.onInFlight(static_cast<int>(streams.size()));
        const double most = limited ? limit.decide(capacity(), now).limit : 240.0;
        waiting += arrivals * pass;
        while (waiting >= 1.0) {
            waiting -= 1.0;
            if (static_cast<double>(streams.size()) < most) {
                streams.push_back({});
            }
        }
        second += pass;
    }
    return inTime / second;
}
} // namespace

TEST_GROUP(ConcurrencyLimit)
{
    ConcurrencyLimit limit{{}};

    void observe(double factor, int inFlight, Instant from, int passes)
    {
        const auto passTime = std::chrono::duration_cast<Duration>(modelledPassTime(capacity(), inFlight) * factor);
        for (int i = 0; i < passes; ++i) {
            limit.onPass(passTime, inFlight, from + i * milliseconds{100});
        }
        limit.onInFlight(inFlight);
    }
};

TEST(ConcurrencyLimit, anEvenMapUsesTheSlotsAndAnUnevenOneFewerRequests)
{
    observe(1.1, 200, START, 20);
    const ConcurrencyDecision even = limit.decide(capacity(), START + milliseconds{2'000});
    DOUBLES_EQUAL(240.0, even.limit, 0.1);
    CHECK(even.reason == LimitReason::Slots);
    observe(2.7, 200, START + milliseconds{5'000}, 20);
    const ConcurrencyDecision uneven = limit.decide(capacity(), START + milliseconds{7'000});
    CHECK(uneven.limit < 0.65 * even.limit);
    CHECK(uneven.tailPassTime <= capacity().pauseObjective);
}

TEST(ConcurrencyLimit, growsByStepsWhileInUseAndNeverFallsBelowOneRequestPerRank)
{
    observe(9.0, 200, START, 20);
    CHECK_EQUAL(static_cast<double>(RANKS), limit.decide(capacity(), START + milliseconds{2'000}).limit);
    observe(1.0, 24, START + milliseconds{7'000}, 20);
    const double first = limit.decide(capacity(), START + milliseconds{9'000}).limit;
    CHECK(first <= RANKS * 1.1 + 0.01);
    CHECK(limit.decide(capacity(), START + milliseconds{9'100}).limit == first);
    limit.onInFlight(2);
    CHECK(limit.decide(capacity(), START + milliseconds{9'900}).limit == first);
}

TEST(ConcurrencyLimit, aReopenedGroupBeginsBelowWhatItHadBefore)
{
    observe(1.1, 200, START, 20);
    const double before = limit.decide(capacity(), START + milliseconds{2'000}).limit;
    limit.onReopened(START + milliseconds{2'500});
    const ConcurrencyDecision reopened = limit.decide(capacity(), START + milliseconds{2'600});
    CHECK(reopened.reason == LimitReason::Unmeasured);
    CHECK(reopened.limit < 0.75 * before);
}

/// Guards against congestion collapse: admission by slots alone serves everybody late at twice the load.
TEST(ConcurrencyLimit, goodputAtTwiceTheLoadIsNineTenthsOfItsBest)
{
    for (uint64_t seed = 0; seed < 200; ++seed) {
        std::mt19937_64 random(seed);
        const double low = std::uniform_real_distribution<double>(1.2, 1.8)(random);
        const double high = low + std::uniform_real_distribution<double>(0.0, 1.0)(random);
        const double period = std::uniform_real_distribution<double>(2.5, 4.0)(random);
        const auto factorAt = [=](double second) { return std::fmod(second, period) < 0.4 * period ? high : low; };
        double best = 0.0;
        for (const double arrivals : {20.0, 40.0, 60.0, 80.0, 100.0}) {
            best = std::max(best, goodput(arrivals, factorAt, true));
        }
        CHECK_TEXT(goodput(160.0, factorAt, true) >= 0.9 * best, ("seed " + std::to_string(seed)).c_str());
    }
    const auto uneven = [](double) { return 2.5; };
    CHECK(goodput(160.0, uneven, false) < 0.1 * goodput(160.0, uneven, true));
}

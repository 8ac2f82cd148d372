// Tests of the pauses of an event loop.

#include "framework/looppauses.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount::framework;

namespace
{
constexpr Instant START{seconds{100}};
}

TEST_GROUP(LoopPauses)
{
    LoopPauses pauses;

    void tick(milliseconds at)
    {
        pauses.onTick(START + at);
    }

    long pausedMs(milliseconds from, milliseconds to)
    {
        return static_cast<long>(std::chrono::duration_cast<milliseconds>(pauses.within(START + from, START + to)).count());
    }
};

TEST(LoopPauses, timelyTicksAreNoPause)
{
    for (int i = 0; i < 50; ++i) {
        tick(i * milliseconds{150});
    }
    LONGS_EQUAL(0, pausedMs(milliseconds{0}, milliseconds{7'500}));
    LONGS_EQUAL(0, pauses.longest(START + milliseconds{7'500}).count());
}

TEST(LoopPauses, aLateTickIsAPauseOfWhichSpansCountTheirPart)
{
    long reported = 0;
    pauses.onPause = [&](Duration pause) { reported = std::chrono::duration_cast<milliseconds>(pause).count(); };
    tick(milliseconds{0});
    tick(milliseconds{1'300});
    tick(milliseconds{1'400});
    LONGS_EQUAL(1'100, reported);
    LONGS_EQUAL(1'100, pausedMs(milliseconds{0}, milliseconds{1'400}));
    LONGS_EQUAL(300, pausedMs(milliseconds{1'000}, milliseconds{1'400}));
    LONGS_EQUAL(0, pausedMs(milliseconds{1'300}, milliseconds{1'400}));
}

/// Guards against judging others as silent in the first handler after a pause, before the late tick itself.
TEST(LoopPauses, aPauseCountsBeforeTheTickThatEndsIt)
{
    tick(milliseconds{0});
    LONGS_EQUAL(1'800, pausedMs(milliseconds{0}, milliseconds{2'000}));
    LONGS_EQUAL(0, pausedMs(milliseconds{0}, milliseconds{150}));
}

TEST(LoopPauses, listeningTimeStandsStillDuringPausesAndNeverGoesBack)
{
    tick(milliseconds{0});
    Instant last = pauses.listeningTime(START);
    for (int at = 10; at < 3'000; at += 10) {
        if (at % 100 == 0 && (at < 500 || at > 2'000)) {
            tick(milliseconds{at});
        }
        const Instant listening = pauses.listeningTime(START + milliseconds{at});
        CHECK(listening >= last);
        last = listening;
    }
    LONGS_EQUAL(2'990 - 1'500, std::chrono::duration_cast<milliseconds>(last - START).count());
}

TEST(LoopPauses, whatIsReadAfterAPauseMayHaveArrivedAtItsBeginning)
{
    tick(milliseconds{0});
    const Instant begin = START + milliseconds{200};
    CHECK(begin == pauses.earliestArrival(START + milliseconds{900}));
    tick(milliseconds{1'000});
    CHECK(begin == pauses.earliestArrival(START + milliseconds{1'050}));
    tick(milliseconds{1'100});
    CHECK(START + milliseconds{1'150} == pauses.earliestArrival(START + milliseconds{1'150}));
}

TEST(LoopPauses, oldPausesAreForgotten)
{
    tick(milliseconds{0});
    tick(milliseconds{1'000});
    for (int i = 0; i < 320; ++i) {
        tick(milliseconds{1'000} + i * milliseconds{100});
    }
    LONGS_EQUAL(0, pausedMs(milliseconds{0}, milliseconds{33'000}));
}

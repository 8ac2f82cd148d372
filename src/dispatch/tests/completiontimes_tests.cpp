// Tests of the estimate of how long requests take, with played routes.

#include "dispatch/completiontimes.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace daisymount::dispatch;
using daisymount::framework::Duration;
using daisymount::framework::Instant;
using daisymount::framework::milliseconds;
using daisymount::framework::seconds;

TEST_GROUP(CompletionTimes)
{
    CompletionTimes times;
    Instant now{seconds{100}};

    void play(const char *route, milliseconds duration)
    {
        times.onSent(route, now);
        times.onEnded(route, now, true, now + duration);
    }
};

TEST(CompletionTimes, requestIsExpectedToTakeAsLongAsTheSlowestRecentOneAndMore)
{
    CHECK_FALSE(times.upperBound("a", now).has_value());
    play("a", milliseconds{400});
    play("a", milliseconds{2'000});
    play("a", milliseconds{100});
    now += seconds{3};
    CHECK(*times.upperBound("a", now) == Duration{milliseconds{2'500}});
    CHECK_FALSE(times.upperBound("b", now).has_value());
}

TEST(CompletionTimes, oldObservationsAreForgotten)
{
    play("a", milliseconds{5'000});
    now += seconds{20};
    play("a", milliseconds{100});
    CHECK(*times.upperBound("a", now + seconds{1}) >= Duration{milliseconds{5'000}});
    now += seconds{20};
    play("a", milliseconds{100});
    CHECK(*times.upperBound("a", now + seconds{1}) < Duration{milliseconds{1'000}});
    CHECK_FALSE(times.upperBound("a", now + seconds{60}).has_value());
}

TEST(CompletionTimes, requestsUnderWayCountWithTheirAge)
{
    play("a", milliseconds{500});
    times.onSent("a", now);
    CHECK(*times.upperBound("a", now + seconds{4}) >= Duration{seconds{4}});
    times.onEnded("a", now, false, now + seconds{4});
    CHECK(*times.upperBound("a", now + seconds{4}) < Duration{seconds{1}});
}

TEST(CompletionTimes, withoutObservationsOnlyTheDeadlineTells)
{
    CHECK(times.canEndBefore(now + seconds{5}, "a", now + seconds{3}, now));
    CHECK_FALSE(times.canEndBefore(now + seconds{5}, "a", now + seconds{8}, now));
    play("a", milliseconds{1'000});
    CHECK(times.canEndBefore(now + seconds{5}, "a", now + seconds{8}, now));
    CHECK_FALSE(times.canEndBefore(now + seconds{1}, "a", now + seconds{8}, now));
}

TEST(CompletionTimes, fewRequestsPassedOnBeforeAShutdownAreCut)
{
    // Streams of 1 to 6 s, 40 a second, and a shutdown in 7.5 s: what is passed on while canEndBefore() holds ends in time, and streams are accepted
    // for the second in which all of them can.
    std::mt19937_64 random(1);
    const auto length = [&] { return milliseconds{1'000 + static_cast<int64_t>(random() % 5'000)}; };
    for (int i = 0; i < 400; ++i, now += milliseconds{25}) {
        play("a", length());
    }
    const Instant end = now + milliseconds{7'500};
    int accepted = 0;
    int cut = 0;
    for (; now < end; now += milliseconds{25}) {
        if (times.canEndBefore(end, "a", now + seconds{8}, now)) {
            ++accepted;
            cut += now + length() > end ? 1 : 0;
        }
    }
    LONGS_EQUAL(0, cut);
    CHECK(accepted > 0);
}

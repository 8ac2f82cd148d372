// Tests of the estimate of how long requests take, with played routes.

#include "dispatch/completiontimes.h"

#include <map>
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
        times.onEnded({route, now}, now, true, now + duration);
    }

    void playMany(const char *route, milliseconds duration)
    {
        for (int i = 0; i < 1'000; ++i) {
            play(route, duration);
        }
    }
};

TEST(CompletionTimes, requestIsExpectedToTakeAsLongAsTheSlowestRecentOneAndMore)
{
    CHECK_FALSE(times.upperBound("a", now).has_value());
    playMany("a", milliseconds{400});
    play("a", milliseconds{2'000});
    now += seconds{5};
    CHECK(*times.upperBound("a", now) >= Duration{milliseconds{2'500}});
    CHECK(*times.upperBound("a", now) <= Duration{milliseconds{2'600}});
    CHECK_FALSE(times.upperBound("b", now).has_value());
}

TEST(CompletionTimes, fewObservationsTellLess)
{
    for (int i = 0; i < 8; ++i) {
        play("a", milliseconds{2'000});
    }
    now += seconds{5};
    CHECK(*times.upperBound("a", now) >= Duration{milliseconds{3'400}});
}

TEST(CompletionTimes, youngProcessHasNotSeenTheLongRequestsEnd)
{
    playMany("a", milliseconds{2'000});
    CHECK_FALSE(times.upperBound("a", now + seconds{3}).has_value());
    CHECK(times.upperBound("a", now + seconds{5}).has_value());
}

TEST(CompletionTimes, oldObservationsAreForgotten)
{
    playMany("a", milliseconds{5'000});
    now += seconds{20};
    playMany("a", milliseconds{100});
    CHECK(*times.upperBound("a", now + seconds{1}) >= Duration{milliseconds{5'000}});
    now += seconds{20};
    playMany("a", milliseconds{100});
    CHECK(*times.upperBound("a", now + seconds{1}) < Duration{milliseconds{1'000}});
    CHECK_FALSE(times.upperBound("a", now + seconds{60}).has_value());
}

TEST(CompletionTimes, requestsUnderWayCountWithTheirAge)
{
    playMany("a", milliseconds{500});
    now += seconds{2};
    times.onSent("a", now);
    CHECK(*times.upperBound("a", now + seconds{4}) >= Duration{seconds{4}});
    times.onEnded({"a", now}, now, false, now + seconds{4});
    CHECK(*times.upperBound("a", now + seconds{4}) < Duration{seconds{1}});
}

TEST(CompletionTimes, withoutObservationsOnlyTheDeadlineTells)
{
    CHECK(times.canEndBefore(now + seconds{5}, {"a", now + seconds{3}}, now));
    CHECK_FALSE(times.canEndBefore(now + seconds{5}, {"a", now + seconds{8}}, now));
    playMany("a", milliseconds{1'000});
    now += seconds{3};
    CHECK(times.canEndBefore(now + seconds{5}, {"a", now + seconds{8}}, now));
    CHECK_FALSE(times.canEndBefore(now + seconds{1}, {"a", now + seconds{8}}, now));
}

TEST(CompletionTimes, nothingPassedOnBeforeAShutdownIsCut)
{
    // Streams of 1 to 5 s, 40 a second, and a shutdown in 7.5 s. Gateways that have just started have seen few of them end.
    for (const milliseconds age : {milliseconds{1'500}, milliseconds{4'000}, milliseconds{8'000}, milliseconds{30'000}}) {
        for (unsigned seed = 1; seed <= 50; ++seed) {
            CompletionTimes seen;
            std::mt19937_64 random(seed);
            std::multimap<Instant, Instant> underWay; // By end: when it was sent.
            Instant at{seconds{100}};
            const Instant stop = at + age;
            const Instant exit = stop + milliseconds{7'500};
            int accepted = 0;
            int cut = 0;
            for (; at < exit; at += milliseconds{25}) {
                while (!underWay.empty() && underWay.begin()->first <= at) {
                    seen.onEnded({"a", now}, underWay.begin()->second, true, underWay.begin()->first);
                    underWay.erase(underWay.begin());
                }
                if (at >= stop && !seen.canEndBefore(exit, {"a", at + seconds{8}}, at)) {
                    continue;
                }
                seen.onSent("a", at);
                const Instant end = at + milliseconds{1'000 + static_cast<int64_t>(random() % 4'000)};
                underWay.emplace(end, at);
                accepted += at >= stop ? 1 : 0;
                cut += at >= stop && end > exit ? 1 : 0;
            }
            LONGS_EQUAL(0, cut);
            CHECK(age < seconds{30} || accepted > 0);
        }
    }
}

TEST(CompletionTimes, youngProcessReliesOnTheLengthThatARequestStates)
{
    playMany("a", milliseconds{500});
    now += seconds{4};
    const RequestLength request{"a", now + seconds{8}, Duration{seconds{3}}};
    CHECK(*times.needed(request, now) == Duration{seconds{3}});
    CHECK(times.canEndBefore(now + seconds{4}, request, now));
    CHECK_FALSE(times.canEndBefore(now + seconds{2}, request, now));
    now += seconds{15};
    playMany("a", milliseconds{500});
    CHECK(*times.needed(request, now) < Duration{seconds{1}});
}

TEST(CompletionTimes, youngProcessDoesNotExpectLessThanItHasSeen)
{
    // The pass time, on which the stated length rests, is short at the moment.
    playMany("a", milliseconds{2'900});
    now += seconds{14};
    const RequestLength request{"a", now + seconds{8}, Duration{milliseconds{3'300}}};
    CHECK(*times.needed(request, now) >= Duration{milliseconds{3'600}});
}

// Guards against a stream that a gateway passes on although it exits before the stream ends, since all streams before it were shorter.
TEST(CompletionTimes, requestThatStatesALongerAnswerThanAllBeforeIsNotExpectedToEndAsSoon)
{
    const auto playStream = [this](int64_t tokens, milliseconds duration) {
        times.onSent("a", now);
        times.onEnded({"a", now, {}, tokens}, now, true, now + duration);
    };
    for (int i = 0; i < 20'000; ++i) {
        now += milliseconds{1};
        playStream(100, milliseconds{1'200});
    }
    const RequestLength usual{"a", now + seconds{8}, Duration{milliseconds{1'700}}, 100};
    const RequestLength longer{"a", now + seconds{8}, Duration{milliseconds{5'600}}, 347};
    const RequestLength unknownPace{"a", now + seconds{8}, std::nullopt, 347};
    CHECK(times.canEndBefore(now + milliseconds{3'700}, usual, now));
    CHECK_FALSE(times.canEndBefore(now + milliseconds{3'700}, longer, now));
    CHECK_FALSE(times.canEndBefore(now + milliseconds{3'700}, unknownPace, now));
    // Once such a stream has been seen to its end, its time is known.
    playStream(347, milliseconds{2'000});
    CHECK(times.canEndBefore(now + milliseconds{3'700}, longer, now));
}

TEST(CompletionTimes, streamTakesAPassForTheTokensOfEachEvent)
{
    StreamLength stream{140, 5, milliseconds{80}, Duration{0}, milliseconds{400}};
    const Duration bound = *longestStream(stream);
    CHECK(bound >= Duration{milliseconds{400 + 28 * 80}});
    CHECK(bound <= Duration{milliseconds{400 + 28 * 100}});
    stream.maxTokens = 141;
    CHECK(*longestStream(stream) > bound);
    stream.passTime.reset();
    CHECK_FALSE(longestStream(stream).has_value());
}

TEST(CompletionTimes, fastPassesWhileCallersAreAwayDoNotShortenAStream)
{
    const StreamLength stream{140, 5, milliseconds{60}, milliseconds{120}, milliseconds{400}};
    CHECK(*longestStream(stream) == Duration{milliseconds{400 + 28 * 80}});
    const StreamLength slow{140, 5, milliseconds{160}, milliseconds{120}, milliseconds{400}};
    CHECK(*longestStream(slow) == Duration{milliseconds{400 + 28 * 200}});
}

// Guards against a stream that a gateway passes on late in its grace period and cuts, since the passes get slower than in the last half minute.
TEST(CompletionTimes, lateStreamIsNotCutByPassesThatBecomeSlower)
{
    // All streams so far took 30 ms a pass. From the shutdown on, passes take up to the longest pause with which a stream is on time.
    const auto at = [](int64_t ms) { return Instant{milliseconds{ms}}; };
    std::mt19937_64 random(1);
    int passedOn = 0;
    int cut = 0;
    for (int play = 0; play < 200; ++play) {
        CompletionTimes seen;
        int64_t ms = 100'000;
        for (; ms < 120'000; ms += 25) {
            const auto events = static_cast<int64_t>(1 + random() % 60);
            seen.onSent("a", at(ms));
            seen.onEnded({.route = "a", .deadline = at(ms + 8'000), .statedTokens = 240}, at(ms), true, at(ms + 150 + events * 30));
        }
        const Instant exit = at(ms + 4'800);
        const auto passMs = static_cast<int64_t>(30 + random() % 91);
        for (; at(ms) < exit; ms += 25) {
            const auto events = static_cast<int64_t>(1 + random() % 60);
            const int64_t statedTokens = play % 2 == 0 ? 240 : events * 4;
            const StreamLength stream{.maxTokens = statedTokens,
                                      .tokensPerPass = 4,
                                      .passTime = milliseconds{30},
                                      .pauseObjective = milliseconds{120},
                                      .timeToFirstEvent = milliseconds{500},
                                      .patience = milliseconds{2'000}};
            const RequestLength request{.route = "a",
                                        .deadline = at(ms + 8'000),
                                        .stated = longestStream(stream),
                                        .statedTokens = statedTokens,
                                        .isStream = true,
                                        .slowest = slowestStream(stream)};
            if (seen.mustEndBefore(exit, request, at(ms))) {
                ++passedOn;
                cut += at(ms + 150 + events * passMs) > exit ? 1 : 0;
            }
        }
    }
    LONGS_EQUAL(0, cut);
    CHECK(passedOn > 0);
}

TEST(CompletionTimes, lateStreamThatStatesNoLengthIsPassedOnOnlyByItsDeadline)
{
    playMany("a", milliseconds{100});
    now += seconds{16};
    playMany("a", milliseconds{100});
    RequestLength request{.route = "a", .deadline = now + seconds{8}, .isStream = true};
    CHECK(times.canEndBefore(now + seconds{4}, request, now));
    CHECK_FALSE(times.mustEndBefore(now + seconds{4}, request, now));
    request.deadline = now + seconds{3};
    CHECK(times.mustEndBefore(now + seconds{4}, request, now));
}

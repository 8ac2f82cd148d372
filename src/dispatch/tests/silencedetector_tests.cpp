// Tests of the detection of silent upstreams.

#include "dispatch/silencedetector.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace daisymount::dispatch;

namespace
{
using daisymount::framework::Instant;
using std::chrono::milliseconds;

constexpr Instant START{1'000'000'000};
constexpr milliseconds PASS_TIME{60};
} // namespace

TEST_GROUP(SilenceDetector)
{
    SilenceDetector detector;
    Instant now = START;
    std::vector<SilenceDetector::AttemptId> others; ///< Streams at upstreams that respond.

    void setup() override
    {
        others = {detector.onSent("s", "b", now), detector.onSent("s", "c", now)};
    }

    /// Advances the time by passes in which the streams at other upstreams, and @p further ones, get an event.
    void passes(int count, const std::vector<SilenceDetector::AttemptId> &further = {}, milliseconds passTime = PASS_TIME)
    {
        for (int i = 0; i < count; ++i) {
            now += passTime;
            for (const auto &attempts : {others, further}) {
                for (const SilenceDetector::AttemptId attempt : attempts) {
                    detector.onProgress(attempt, now);
                }
            }
        }
    }

    bool isSilent(const std::string &upstream)
    {
        const std::vector<std::string> silent = detector.silentUpstreams("s", now);
        return std::find(silent.begin(), silent.end(), upstream) != silent.end();
    }
};

TEST(SilenceDetector, upstreamWhoseStreamsStopWhileOthersGoOnIsSilentWithin300Milliseconds)
{
    const auto stream = detector.onSent("s", "a", now);
    passes(5, {stream});
    CHECK_FALSE(isSilent("a"));
    passes(3);
    CHECK_FALSE(isSilent("a"));
    passes(2);
    CHECK(isSilent("a"));
    CHECK_FALSE(isSilent("b"));
    passes(2);
    CHECK(detector.shouldFailOver(stream, now));
}

TEST(SilenceDetector, streamsThatAllStopTogetherDoNotMakeAnUpstreamSilent)
{
    const auto stream = detector.onSent("s", "a", now);
    passes(5, {stream});
    now += milliseconds{3'000};
    CHECK_FALSE(isSilent("a"));
    CHECK_FALSE(detector.shouldFailOver(stream, now));
    // The events that had piled up arrive one after the other.
    detector.onProgress(others.front(), now);
    CHECK_FALSE(isSilent("a"));
    CHECK_FALSE(detector.shouldFailOver(stream, now));
}

TEST(SilenceDetector, upstreamWithLongPassesIsNotSilent)
{
    const auto stream = detector.onSent("s", "a", now);
    passes(40, {stream}, milliseconds{700});
    now += milliseconds{600};
    detector.onProgress(others.front(), now);
    CHECK_FALSE(isSilent("a"));
    CHECK_FALSE(detector.shouldFailOver(stream, now));
}

TEST(SilenceDetector, requestThatWaitsForItsFirstEventIsGivenMoreTime)
{
    passes(5);
    const auto stream = detector.onSent("s", "a", now);
    passes(10);
    CHECK_FALSE(isSilent("a"));
    passes(3);
    CHECK(isSilent("a"));
    CHECK(detector.shouldFailOver(stream, now));
}

TEST(SilenceDetector, silentUpstreamIsTestedBySingleRequestsAndTrustedWhenItResponds)
{
    const auto stream = detector.onSent("s", "a", now);
    passes(5, {stream});
    passes(8);
    CHECK(isSilent("a"));
    detector.onEnded(stream, now);
    CHECK(isSilent("a"));
    passes(17);
    CHECK_FALSE(isSilent("a"));
    const auto test = detector.onSent("s", "a", now);
    CHECK(isSilent("a"));
    detector.onProgress(test, now);
    CHECK_FALSE(isSilent("a"));
}

TEST(SilenceDetector, silentUpstreamIsTestedLessOftenAfterEachTestInVain)
{
    const auto stream = detector.onSent("s", "a", now);
    passes(5, {stream});
    passes(8);
    CHECK(isSilent("a"));
    detector.onEnded(stream, now);
    int tests = 0;
    for (int pass = 0; pass < 100; ++pass) {
        passes(1);
        if (!isSilent("a")) {
            ++tests;
            detector.onEnded(detector.onSent("s", "a", now), now);
        }
    }
    CHECK(tests >= 2);
    CHECK(tests <= 4);
}

TEST(SilenceDetector, serviceWhoseStreamsAllStopIsSilentWithin300MillisecondsUntilOneGoesOn)
{
    CHECK_FALSE(detector.isServiceSilent("s", now));
    passes(5);
    now += milliseconds{200};
    CHECK_FALSE(detector.isServiceSilent("s", now));
    now += milliseconds{100};
    CHECK(detector.isServiceSilent("s", now));
    CHECK_FALSE(detector.isServiceSilent("other", now));
    detector.onProgress(others.front(), now);
    CHECK_FALSE(detector.isServiceSilent("s", now));
}

TEST(SilenceDetector, silentServiceWithoutStreamsIsTestedByOneRequest)
{
    passes(5);
    now += milliseconds{300};
    CHECK(detector.isServiceSilent("s", now));
    for (const SilenceDetector::AttemptId attempt : others) {
        detector.onEnded(attempt, now);
    }
    CHECK_FALSE(detector.isServiceSilent("s", now));
    const auto test = detector.onSent("s", "a", now);
    CHECK(detector.isServiceSilent("s", now));
    detector.onProgress(test, now);
    CHECK_FALSE(detector.isServiceSilent("s", now));
}

TEST(SilenceDetector, serviceWithLongPassesOrASingleStreamIsNotSilent)
{
    passes(40, {}, milliseconds{700});
    now += milliseconds{800};
    CHECK_FALSE(detector.isServiceSilent("s", now));
    detector.onProgress(others.front(), now);
    detector.onEnded(others.back(), now);
    now += milliseconds{5'000};
    CHECK_FALSE(detector.isServiceSilent("s", now));
}

TEST(SilenceDetector, requestAtASilentGroupWaitsInVain)
{
    passes(5);
    const auto stream = detector.onSent("s", "a", now);
    now += milliseconds{600};
    CHECK_FALSE(detector.isWaitingInVain(stream, now));
    now += milliseconds{200};
    CHECK(detector.isWaitingInVain(stream, now));
    detector.onProgress(stream, now);
    CHECK_FALSE(detector.isWaitingInVain(stream, now));
}

TEST(SilenceDetector, changesAreReportedOnce)
{
    std::vector<bool> changes;
    detector.onSilenceChanged = [&](std::string_view upstream, bool silent, daisymount::framework::Duration) {
        CHECK(upstream == "a");
        changes.push_back(silent);
    };
    const auto stream = detector.onSent("s", "a", now);
    passes(5, {stream});
    passes(10);
    CHECK(isSilent("a"));
    CHECK(isSilent("a"));
    passes(2, {stream});
    CHECK(changes == std::vector<bool>({true, false}));
}

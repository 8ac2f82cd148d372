// Tests of admission control for lock-step engines and of the pass time measurement it uses.

#include "dispatch/engineadmission.h"
#include "dispatch/passpace.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount::dispatch;

namespace
{
constexpr Instant START{std::chrono::seconds{100}};
} // namespace

TEST_GROUP(EngineAdmission)
{
    EngineAdmission admission{{}, 3};
    AdmissionView view;

    void setup() override
    {
        view.engines = 12;
        view.slotsPerEngine = 12;
        view.passTimeKnown = true;
        view.left = std::chrono::seconds{8};
    }
};

TEST(EngineAdmission, admitsBelowTheLimitAndWaitsAtIt)
{
    view.inFlight = 12 * 11 - 1;
    CHECK(admission.decide(view).admission == Admission::Admit);
    view.inFlight = 12 * 11;
    CHECK(admission.decide(view).admission == Admission::Wait);
}

TEST(EngineAdmission, rejectsAfterMaxWaitWithARetryDelayThatCallersAccept)
{
    view.inFlight = 12 * 11;
    view.waited = std::chrono::milliseconds{200};
    for (int i = 0; i < 100; ++i) {
        const AdmissionDecision decision = admission.decide(view);
        CHECK(decision.admission == Admission::Refuse);
        CHECK(decision.retryAfter > milliseconds{100});
        CHECK(decision.retryAfter <= milliseconds{8'000 / 3});
    }
}

TEST(EngineAdmission, retriesTakePrecedenceOverFirstAttempts)
{
    view.inFlight = 12 * 11;
    view.isRetry = true;
    CHECK(admission.decide(view).admission == Admission::Admit);
}

TEST(EngineAdmission, admitsWhileStreamsProgressThoughARankIsReportedMissing)
{
    view.groupDown = true;
    CHECK(admission.decide(view).admission == Admission::Refuse);
    view.groupProgressing = true;
    CHECK(admission.decide(view).admission == Admission::Admit);
}

TEST(EngineAdmission, holdsFirstAttemptsShortlyWhileAllStreamsAreSilentThenRefuses)
{
    view.groupSilent = true;
    CHECK(admission.decide(view).admission == Admission::Wait);
    view.waited = std::chrono::milliseconds{120};
    CHECK(admission.decide(view).admission == Admission::Refuse);
    view.isRetry = true;
    CHECK(admission.decide(view).admission == Admission::Wait);
    view.waited = std::chrono::milliseconds{1'400};
    CHECK(admission.decide(view).admission == Admission::Refuse);
}

TEST(EngineAdmission, engineSlotsLimitRequestsInFlight)
{
    view.engines = 63;
    view.slotsPerEngine = 10;
    view.inFlight = 63 * 10;
    view.isRetry = true;
    CHECK(admission.decide(view).admission == Admission::Wait);
    view.isRetry = false;
    view.inFlight = 63 * 9 - 1;
    CHECK(admission.decide(view).admission == Admission::Admit);
    view.inFlight = 63 * 10 - 30;
    CHECK(admission.decide(view).admission == Admission::Wait);
}

TEST(EngineAdmission, unknownPassTimeLowersTheLimit)
{
    view.passTimeKnown = false;
    view.inFlight = 12 * 8;
    CHECK(admission.decide(view).admission == Admission::Wait);
    view.inFlight = 12 * 8 - 1;
    CHECK(admission.decide(view).admission == Admission::Admit);
}

TEST(EngineAdmission, unknownPassTimeLimitsEachEntryToItsShare)
{
    view.passTimeKnown = false;
    view.entries = 6;
    view.inFlight = 20;
    view.ownInFlight = 20;
    CHECK(admission.decide(view).admission == Admission::Wait);
    view.ownInFlight = 19;
    CHECK(admission.decide(view).admission == Admission::Admit);
    view.passTimeKnown = true;
    view.ownInFlight = 40;
    CHECK(admission.decide(view).admission == Admission::Admit);
}

TEST(EngineAdmission, retriesWaitForASlotUntilTheCallerWouldDisconnect)
{
    view.inFlight = 12 * 12;
    view.isRetry = true;
    view.waited = milliseconds{1'200};
    CHECK(admission.decide(view).admission == Admission::Wait);
    view.waited = milliseconds{1'400};
    CHECK(admission.decide(view).admission == Admission::Refuse);
    view.groupDown = true;
    CHECK(admission.decide(view).admission == Admission::Refuse);
}

TEST(EngineAdmission, firstAttemptDuringAGroupOutageIsRejectedAtOnce)
{
    view.groupDown = true;
    const AdmissionDecision decision = admission.decide(view);
    CHECK(decision.admission == Admission::Refuse);
    CHECK(decision.retryAfter >= milliseconds{2'000});
    CHECK(decision.retryAfter <= milliseconds{8'000 / 3});
}

TEST(EngineAdmission, retryDuringAGroupOutageWaitsWhileItCanStillBeServed)
{
    view.groupDown = true;
    view.isRetry = true;
    view.left = std::chrono::milliseconds{5'000};
    CHECK(admission.decide(view).admission == Admission::Wait);
    view.left = std::chrono::milliseconds{2'000};
    CHECK(admission.decide(view).admission == Admission::Refuse);
}

TEST_GROUP(PassTimeTracker)
{
    PassTimeTracker pace;

    void pass(Instant at, milliseconds length, int streams)
    {
        for (int i = 0; i < streams; ++i) {
            pace.onEvents("s", length, 1, at);
        }
    }
};

TEST(PassTimeTracker, passTimeIsUnknownBeforeEnoughEvents)
{
    CHECK_FALSE(pace.passTime("s", START).has_value());
    pass(START, milliseconds{60}, 3);
    CHECK_FALSE(pace.passTime("s", START).has_value());
}

TEST(PassTimeTracker, passTimeIsTheMeanOfRecentPasses)
{
    pass(START, milliseconds{60}, 10);
    pass(START + milliseconds{80}, milliseconds{80}, 10);
    const auto mean = pace.passTime("s", START + milliseconds{100});
    CHECK(mean.has_value());
    LONGS_EQUAL(70, std::chrono::duration_cast<milliseconds>(*mean).count());
    CHECK_FALSE(pace.passTime("other", START).has_value());
}

TEST(PassTimeTracker, intervalIsDividedByTheNumberOfEvents)
{
    for (int i = 0; i < 10; ++i) {
        pace.onEvents("s", milliseconds{120}, 2, START);
    }
    LONGS_EQUAL(60, std::chrono::duration_cast<milliseconds>(*pace.passTime("s", START)).count());
}

TEST(PassTimeTracker, discardsPassesWithinASecondAndIgnoresOutages)
{
    pass(START, milliseconds{60}, 10);
    pass(START, milliseconds{2'000}, 10);
    LONGS_EQUAL(60, std::chrono::duration_cast<milliseconds>(*pace.passTime("s", START)).count());
    CHECK_FALSE(pace.passTime("s", START + milliseconds{1'000}).has_value());
}

TEST(PassTimeTracker, groupWithoutEventsIsStalled)
{
    pace.onRequests("s", 3, START);
    pace.onRequests("s", 4, START + milliseconds{100});
    CHECK_FALSE(pace.stalled("s", START + milliseconds{600}));
    CHECK(pace.stalled("s", START + milliseconds{900}));
    pass(START + milliseconds{950}, milliseconds{1'200}, 1);
    CHECK_FALSE(pace.stalled("s", START + milliseconds{1'000}));
    CHECK(pace.stalled("s", START + milliseconds{1'700}));
}

TEST(PassTimeTracker, groupIsProgressingForAFewPassesAfterAnEvent)
{
    CHECK_FALSE(pace.progressing("s", START));
    pass(START, milliseconds{60}, 1);
    CHECK(pace.progressing("s", START + milliseconds{250}));
    CHECK_FALSE(pace.progressing("s", START + milliseconds{350}));
}

TEST(PassTimeTracker, tooFewRequestsDoNotIndicateAStall)
{
    pace.onRequests("s", 2, START);
    CHECK_FALSE(pace.stalled("s", START + milliseconds{2'000}));
    CHECK_FALSE(pace.stalled("other", START));
}

// Tests of the admission library.

#include "admission/admissioncontroller.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using admission::AdmissionController;
using admission::Decision;
using admission::Verdict;
using framework::Instant;
using framework::milliseconds;
using framework::ResultCode;
using framework::seconds;

TEST_GROUP(Admission)
{
    config::AdmissionLimits limits{8, 2, 0, 2, 4};
    Instant now = seconds{100};
    AdmissionController controller{limits, now};
    uint64_t nextId = 0;

    Decision offer(int priority = 0, framework::Duration timeLeft = seconds{30}, bool exclusive = false)
    {
        return controller.offer({++nextId, priority, now + timeLeft, exclusive}, now);
    }

    /// Runs one request that takes @p time to its first token and end.
    void runBatch(int count, framework::Duration time)
    {
        std::vector<uint64_t> ids;
        for (int i = 0; i < count; ++i) {
            if (offer().verdict == Verdict::Admitted) {
                ids.push_back(nextId);
            } else {
                controller.cancel(nextId);
            }
        }
        now += time;
        for (const uint64_t id : ids) {
            controller.onFirstToken(id, now);
            controller.onFinished(id, true, now);
        }
    }

    void warmUp()
    {
        for (int i = 0; i < 100 && controller.isCold(); ++i) {
            runBatch(8, milliseconds{20});
        }
        CHECK(!controller.isCold());
    }

    static void expectCode(ResultCode code, const Decision &decision)
    {
        LONGS_EQUAL(static_cast<int>(Verdict::Refused), static_cast<int>(decision.verdict));
        LONGS_EQUAL(static_cast<int>(code), static_cast<int>(decision.code));
        CHECK(decision.retryAfter > framework::Duration{0});
    }
};

TEST(Admission, aFreshUpstreamNeverRunsMoreThanTheColdLimitWhenManyRush)
{
    for (int i = 0; i < 70; ++i) {
        offer();
        controller.poll(now);
        CHECK(controller.inFlight() <= limits.coldConcurrency);
    }
    expectCode(ResultCode::ColdLimit, offer());
}

TEST(Admission, rampsByCompletedWorkAndNotByTime)
{
    now += seconds{3600};
    controller.poll(now);
    LONGS_EQUAL(2, controller.limit());
    runBatch(2, milliseconds{20});
    LONGS_EQUAL(3, controller.limit());
    warmUp();
    LONGS_EQUAL(8, controller.limit());
}

TEST(Admission, completionsAtLowLoadDoNotRaiseTheLimit)
{
    warmUp();
    controller.onEngineRestarted();
    runBatch(2, milliseconds{20});
    runBatch(2, milliseconds{20});
    runBatch(2, milliseconds{20});
    const int64_t reached = controller.limit();
    CHECK(reached >= 3);
    for (int i = 0; i < 20; ++i) {
        runBatch(1, milliseconds{20});
    }
    LONGS_EQUAL(reached, controller.limit());
}

TEST(Admission, failedWorkDoesNotRamp)
{
    for (int i = 0; i < 20; ++i) {
        offer();
        controller.onFinished(nextId, false, now);
    }
    LONGS_EQUAL(2, controller.limit());
}

TEST(Admission, aLastingLatencyJumpMeansCold)
{
    warmUp();
    for (int i = 0; i < 3; ++i) {
        runBatch(8, milliseconds{20});
    }
    runBatch(3, milliseconds{400});
    LONGS_EQUAL(8, controller.limit());
    runBatch(1, milliseconds{400});
    LONGS_EQUAL(2, controller.limit());
}

TEST(Admission, promptsThatAreNotCachedDoNotMeanCold)
{
    warmUp();
    for (int i = 0; i < 20; ++i) {
        runBatch(8, milliseconds{20});
    }
    // A prefix's requests arrive together after its upstream was changed.
    runBatch(8, milliseconds{100});
    LONGS_EQUAL(8, controller.limit());
}

TEST(Admission, recoversToFullRateWithoutASecondFall)
{
    warmUp();
    runBatch(8, milliseconds{20});
    runBatch(4, milliseconds{400});
    LONGS_EQUAL(2, controller.limit());
    int falls = 0;
    controller.setColdHook([&](admission::ColdReason, int64_t) { ++falls; });
    for (int i = 0; i < 40; ++i) {
        runBatch(8, milliseconds{400 - std::min(i, 19) * 20});
    }
    LONGS_EQUAL(0, falls);
    LONGS_EQUAL(8, controller.limit());
}

TEST(Admission, anEngineRestartMeansCold)
{
    warmUp();
    offer();
    controller.onEngineRestarted();
    LONGS_EQUAL(0, controller.inFlight());
    LONGS_EQUAL(2, controller.limit());
}

TEST(Admission, higherPriorityLeavesTheQueueFirst)
{
    offer();
    offer();
    offer(0);
    const uint64_t low = nextId;
    offer(5);
    const uint64_t high = nextId;
    controller.onFinished(1, true, now);
    const auto result = controller.poll(now);
    LONGS_EQUAL(1, result.admitted.size());
    LONGS_EQUAL(high, result.admitted.front());
    controller.onFinished(2, true, now);
    LONGS_EQUAL(low, controller.poll(now).admitted.front());
}

TEST(Admission, dropsAQueuedRequestAtItsDeadlineAsNotRun)
{
    offer();
    offer();
    LONGS_EQUAL(static_cast<int>(Verdict::Queued), static_cast<int>(offer(0, milliseconds{50}).verdict));
    now += milliseconds{60};
    const auto result = controller.poll(now);
    LONGS_EQUAL(1, result.refused.size());
    LONGS_EQUAL(static_cast<int>(ResultCode::DeadlinePassed), static_cast<int>(result.refused.front().second.code));
}

TEST(Admission, refusesAtOnceWhatCannotMeetItsDeadline)
{
    warmUp();
    for (int i = 0; i < 8; ++i) {
        offer();
    }
    // A request takes 20 ms and eight run at once: the next slot is 2.5 ms away.
    expectCode(ResultCode::UpstreamFull, offer(0, milliseconds{1}));
    LONGS_EQUAL(static_cast<int>(Verdict::Queued), static_cast<int>(offer(0, milliseconds{10}).verdict));
}

TEST(Admission, theQueueIsBounded)
{
    for (int i = 0; i < 6; ++i) {
        offer();
    }
    expectCode(ResultCode::ColdLimit, offer());
}

TEST(Admission, theTokenRateHoldsNewWorkBackUntilTheDebtIsPaid)
{
    limits.tokensPerSecond = 100;
    AdmissionController limited(limits, now);
    LONGS_EQUAL(static_cast<int>(Verdict::Admitted), static_cast<int>(limited.offer({1, 0, now + seconds{30}, false}, now).verdict));
    limited.onTokens(300, now);
    LONGS_EQUAL(static_cast<int>(Verdict::Queued), static_cast<int>(limited.offer({2, 0, now + seconds{30}, false}, now).verdict));
    now += milliseconds{1900};
    LONGS_EQUAL(0, limited.poll(now).admitted.size());
    now += milliseconds{200};
    LONGS_EQUAL(1, limited.poll(now).admitted.size());
}

TEST(Admission, anExclusiveRequestRunsAlone)
{
    warmUp();
    offer();
    const uint64_t running = nextId;
    LONGS_EQUAL(static_cast<int>(Verdict::Queued), static_cast<int>(offer(0, seconds{30}, true).verdict));
    const uint64_t alone = nextId;
    LONGS_EQUAL(static_cast<int>(Verdict::Queued), static_cast<int>(offer().verdict));
    controller.onFinished(running, true, now);
    LONGS_EQUAL(alone, controller.poll(now).admitted.front());
    LONGS_EQUAL(1, controller.inFlight());
    LONGS_EQUAL(static_cast<int>(Verdict::Queued), static_cast<int>(offer().verdict));
    controller.onFinished(alone, true, now);
    LONGS_EQUAL(2, controller.poll(now).admitted.size());
}

TEST(Admission, outOfServiceRefusesAndEmptiesTheQueueAndComesBackCold)
{
    warmUp();
    for (int i = 0; i < 9; ++i) {
        offer();
    }
    controller.setOutOfService(true);
    LONGS_EQUAL(1, controller.poll(now).refused.size());
    expectCode(ResultCode::ZoneOutOfService, offer());
    controller.setOutOfService(false);
    LONGS_EQUAL(2, controller.limit());
}

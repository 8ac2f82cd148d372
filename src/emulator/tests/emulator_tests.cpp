// Tests of the emulated engine group and of the service quality under the map and admission policies.

#include "emulator/experiment.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount::emulator;

namespace
{
GroupShape uniformShape()
{
    GroupShape shape;
    shape.subjectExponent = 0.0;
    return shape;
}

ExperimentResult runWith(MapPolicy policy, double requestsPerSecond, uint64_t seed)
{
    ExperimentOptions options;
    options.policy = policy;
    options.requestsPerSecond = requestsPerSecond;
    options.seed = seed;
    return runExperiment(options);
}
} // namespace

TEST_GROUP(LockStepGroup){};

TEST(LockStepGroup, passOfUniformGroupTakesPublishedTime)
{
    LockStepGroup group(uniformShape(), 1);
    for (int i = 0; i < 12; ++i) {
        CHECK(group.admit({i, 61, 3, 0}));
    }
    const PassResult pass = group.pass();
    // Each rank executes five steps with one decoding request and processes 61 prompt tokens.
    DOUBLES_EQUAL(5 * (5.85 + 0.355) + 61 / 61.2, pass.length.count() / 1e3, 0.1);
    DOUBLES_EQUAL(1.0, pass.skew, 1e-6);
    LONGS_EQUAL(12, pass.events.size());
}

TEST(LockStepGroup, processesLongPromptOverSeveralPasses)
{
    LockStepGroup group(uniformShape(), 1);
    CHECK(group.admit({1, 512 * 5 + 1, 2, 0}));
    CHECK(group.pass().events.empty());
    LONGS_EQUAL(1, group.pass().events.size());
    const PassResult last = group.pass();
    CHECK(last.events.front().last);
    LONGS_EQUAL(0, group.running());
}

TEST(LockStepGroup, rejectsRequestsWhenAllRanksAreFull)
{
    LockStepGroup group(uniformShape(), 1);
    for (int i = 0; i < 144; ++i) {
        CHECK(group.admit({i, 10, 2, 0}));
    }
    CHECK_FALSE(group.admit({144, 10, 2, 0}));
}

TEST(LockStepGroup, expertSkewIncreasesPassDuration)
{
    GroupShape shape;
    LockStepGroup group(shape, 3);
    for (int i = 0; i < 12; ++i) {
        CHECK(group.admit({i, 500, 3, 0}));
    }
    const PassResult pass = group.pass();
    CHECK(pass.skew > 1.5);
    const double even = 5 * (5.85 + 0.355) + 500 / 61.2;
    DOUBLES_EQUAL(even * (0.15 + 0.85 * pass.skew), pass.length.count() / 1e3, 0.1);
}

TEST_GROUP(Experiment){};

TEST(Experiment, sameSeedGivesSameResult)
{
    const ExperimentResult first = runWith(MapPolicy::Samples, 50.0, 5);
    const ExperimentResult second = runWith(MapPolicy::Samples, 50.0, 5);
    LONGS_EQUAL(first.onTime, second.onTime);
    LONGS_EQUAL(first.copies, second.copies);
    DOUBLES_EQUAL(first.meanSkew, second.meanSkew, 0.0);
}

TEST(Experiment, samplesPolicyServesMoreRequestsInTimeThanOthers)
{
    // Load: a calm day of the cooperative deployment, with demand shifts about every three seconds.
    int samples = 0;
    int summedCounts = 0;
    int roundRobin = 0;
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        samples += runWith(MapPolicy::Samples, 50.0, seed).onTime;
        summedCounts += runWith(MapPolicy::SummedCounts, 50.0, seed).onTime;
        roundRobin += runWith(MapPolicy::RoundRobin, 50.0, seed).onTime;
    }
    CHECK(samples > summedCounts);
    CHECK(summedCounts >= roundRobin);
}

TEST(Experiment, lowerSlotLimitServesMoreRequestsInTimeOnSkewedGroup)
{
    // Load: a heavy day of the cooperative deployment, before its first planned map is in force.
    int bounded = 0;
    int unbounded = 0;
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        ExperimentOptions options;
        options.policy = MapPolicy::RoundRobin;
        options.requestsPerSecond = 60.0;
        options.seed = seed;
        options.admission.slotFraction = 0.5;
        bounded += runExperiment(options).onTime;
        options.admission.slotFraction = 1.0;
        unbounded += runExperiment(options).onTime;
    }
    CHECK(bounded > unbounded);
}

TEST(Experiment, refusesRequestsUnderOverloadToMeetObjectives)
{
    ExperimentOptions options;
    options.requestsPerSecond = 110.0;
    options.shiftInterval = milliseconds{0};
    const ExperimentResult result = runExperiment(options);
    CHECK(result.refused > 0);
    CHECK(result.onTime > 10 * result.late);
    CHECK(result.firstP99 <= options.firstObjective);
}

// Experts that take long to copy: a change of many experts is outdated when the slowest rank has copied its part.
TEST(Experiment, shortChangesServeMoreRequestsOnTimeWhenCopiesAreSlow)
{
    ExperimentOptions options;
    options.shape.ranks = 16;
    options.shape.experts = 64;
    options.shape.placements = 5;
    options.shape.spares = 2;
    options.shape.stepMs = 4.55;
    options.shape.stepMsPerSequence = 0.905;
    options.shape.stepsPerPass = 4;
    options.shape.copyTime = daisymount::framework::milliseconds{110};
    options.requestsPerSecond = 65.0;
    options.meanEvents = 24.0;
    int bounded = 0;
    int unbounded = 0;
    for (options.seed = 1; options.seed <= 6; ++options.seed) {
        options.maxCopyTime = daisymount::framework::milliseconds{250};
        bounded += runExperiment(options).onTime;
        options.maxCopyTime = daisymount::framework::seconds{10};
        unbounded += runExperiment(options).onTime;
    }
    CHECK(bounded > unbounded);
}

// Tests of the switch protocol: one map in each step, whatever the link, the sidecars and the controllers do.

#include "switchworld.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using namespace daisymount::expertmap;
using framework::milliseconds;
using framework::seconds;

TEST_GROUP(Switch){static bool sawOutcome(const SwitchWorld &world, SwitchOutcome outcome){for (const auto &[version, seen]
                                                                                                : world.outcomes){if (seen == outcome){return true;
}
}
return false;
}

static void expectOneMap(const SwitchWorld &world)
{
    const auto violations = world.ledger.violations();
    CHECK_TEXT(violations.empty(), violations.empty() ? "" : violations.front().detail.c_str());
}

/// A sidecar refuses, restarts, and gets late copies of the proposal and the hold; returns the violations.
static size_t votesTwice(bool checkIncarnation)
{
    SwitchWorld world(3, 9);
    world.checkIncarnation = checkIncarnation;
    for (const std::string &name : world.names) {
        world.start(name);
    }
    const Propose propose{{1, 2}};
    Hold hold{{1, 2}, 0, 200, {{"s0", 4}, {"s1", 5}, {"s2", 6}}};
    world.participants["s0"]->onMessage(propose, world.now);
    world.participants["s1"]->onMessage(propose, world.now);
    world.advance(milliseconds{5});
    for (const std::string &name : world.names) {
        world.participants[name]->onMessage(hold, world.now);
    }
    world.advance(milliseconds{20});
    CHECK(!world.participants["s0"]->isBlocked());
    world.start("s2");
    world.participants["s2"]->onMessage(propose, world.now);
    world.advance(milliseconds{5});
    world.participants["s2"]->onMessage(hold, world.now);
    world.advance(milliseconds{500});
    return world.ledger.violations().size();
}

/// A seeded run with every fault; returns the violations.
static size_t randomRun(uint64_t seed, bool readHoldBack, bool checkIncarnation)
{
    SwitchWorld world(4, seed);
    world.readHoldBack = readHoldBack;
    world.checkIncarnation = checkIncarnation;
    for (const std::string &name : world.names) {
        world.start(name);
    }
    world.addController("c2");
    std::mt19937_64 random(seed * 7919);
    world.faults = {0.2, 0.2, milliseconds{40}};
    int64_t fencing = 0;
    MapVersion version = 1;
    std::string leader = "c1";
    for (int round = 0; round < 60; ++round) {
        if (round % 6 == 0) {
            leader = random() % 2 == 0 ? "c1" : "c2";
            world.lease(leader, ++fencing, seconds{2});
        }
        world.controllers[leader]->propose(++version, world.now);
        for (int fault = 0; fault < 3; ++fault) {
            const std::string &victim = world.names[random() % world.names.size()];
            if (random() % 3 == 0) {
                world.start(victim);
            }
            if (random() % 8 == 0) {
                world.paused.insert(random() % 2 == 0 ? victim : leader);
            }
            world.engines[victim].stalled = random() % 10 == 0;
            world.advance(milliseconds{static_cast<int64_t>(random() % 90)});
        }
        for (const std::string &name : std::set<std::string>(world.paused)) {
            world.wake(name);
        }
    }
    return world.ledger.violations().size();
}
}
;

TEST(Switch, allRanksSwitchAtTheSameStepAndTheGroupHardlyWaits)
{
    SwitchWorld world(4, 1);
    world.lease("c1", 1, seconds{100});
    world.advance(milliseconds{50});
    const int64_t blockedBefore = world.blockedMs;
    CHECK(world.controllers["c1"]->propose(2, world.now));
    world.advance(milliseconds{500});
    CHECK(sawOutcome(world, SwitchOutcome::Committed));
    for (const std::string &name : world.names) {
        LONGS_EQUAL(2, world.engines[name].map);
    }
    // A step takes 1 ms here.
    CHECK(world.blockedMs - blockedBefore <= 1);
    expectOneMap(world);
}

TEST(Switch, oneRefusalMeansNobodySwitches)
{
    SwitchWorld world(4, 2);
    world.lease("c1", 1, seconds{100});
    CHECK(world.controllers["c1"]->propose(2, world.now));
    world.advance(milliseconds{2});
    world.start("s2");
    world.advance(milliseconds{500});
    for (const std::string &name : world.names) {
        CHECK_EQUAL(world.engines["s0"].map, world.engines[name].map);
    }
    CHECK(world.steps > 100);
    expectOneMap(world);
}

TEST(Switch, aSidecarRestartedBetweenVoteAndHoldIsStillArmed)
{
    SwitchWorld world(3, 3);
    world.lease("c1", 1, seconds{100});
    world.controllers["c1"]->propose(2, world.now);
    for (int i = 0; i < 200 && !world.participants["s1"]->isBlocked(); ++i) {
        world.advance(milliseconds{1});
    }
    CHECK(world.participants["s1"]->isBlocked());
    world.start("s1");
    CHECK(world.participants["s1"]->isBlocked());
    world.advance(milliseconds{500});
    for (const std::string &name : world.names) {
        LONGS_EQUAL(2, world.engines[name].map);
    }
    expectOneMap(world);
}

TEST(Switch, withoutTheWeightsTheProposalIsDroppedInBoundedTime)
{
    SwitchWorld world(3, 4);
    world.weightsReachable = false;
    world.lease("c1", 1, seconds{1000});
    world.controllers["c1"]->propose(2, world.now);
    world.advance(seconds{61});
    CHECK(sawOutcome(world, SwitchOutcome::NotPrepared));
    CHECK(world.steps > 60'000);
    expectOneMap(world);
}

TEST(Switch, lostVotesEndInARestartOnOneMapInBoundedTime)
{
    SwitchWorld world(3, 5);
    world.lease("c1", 1, seconds{1000});
    world.controllers["c1"]->propose(2, world.now);
    for (int i = 0; i < 200 && !world.participants["s1"]->isBlocked(); ++i) {
        world.advance(milliseconds{1});
    }
    world.paused.insert("s2");
    world.inFlight.clear();
    world.advance(seconds{3});
    world.wake("s2");
    world.advance(seconds{2});
    const int64_t steps = world.steps;
    world.advance(seconds{1});
    CHECK(world.steps > steps + 900);
    expectOneMap(world);
}

TEST(Switch, aControllerThatWakesAfterItsLeaseSendsNothing)
{
    SwitchWorld world(3, 6);
    world.addController("c2");
    world.lease("c1", 1, seconds{1});
    world.controllers["c1"]->propose(2, world.now);
    world.paused.insert("c1");
    world.advance(seconds{2});
    world.lease("c2", 2, seconds{100});
    world.wake("c1");
    world.controllers["c2"]->propose(3, world.now);
    world.advance(seconds{2});
    CHECK(sawOutcome(world, SwitchOutcome::LeaseLost));
    CHECK(sawOutcome(world, SwitchOutcome::Committed));
    for (const std::string &name : world.names) {
        LONGS_EQUAL(3, world.engines[name].map);
    }
    expectOneMap(world);
}

TEST(Switch, aNewControllerFreesAGroupThatTheOldOneLeftAtItsHold)
{
    SwitchWorld world(3, 7);
    world.addController("c2");
    world.lease("c1", 1, seconds{100});
    world.controllers["c1"]->propose(2, world.now);
    for (int i = 0; i < 200 && !world.participants["s1"]->isBlocked(); ++i) {
        world.advance(milliseconds{1});
    }
    // The controller dies; one sidecar lost what the others sent it and then its process.
    world.paused.insert("c1");
    world.inFlight.clear();
    world.engines["s2"].hold.reset();
    world.start("s2");
    world.lease("c2", 2, seconds{100});
    world.advance(seconds{8});
    const int64_t steps = world.steps;
    world.advance(seconds{1});
    CHECK(world.steps > steps);
    expectOneMap(world);
}

TEST(Switch, aGroupThatAnEarlierControllerStoppedIsStartedAgain)
{
    SwitchWorld world(3, 8);
    world.addController("c2");
    for (const std::string &name : world.names) {
        world.participants[name]->onMessage(Stop{5}, world.now);
    }
    world.lease("c2", 2, seconds{100});
    world.advance(seconds{4});
    CHECK(world.steps > 500);
    expectOneMap(world);
}

TEST(Switch, noSeedOfAThousandFaultsEverMixesTwoMaps)
{
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        LONGS_EQUAL_TEXT(0, randomRun(seed, true, true), ("seed " + std::to_string(seed)).c_str());
    }
}

TEST(Switch, aSidecarThatForgetsItsVoteMixesMaps)
{
    size_t violations = 0;
    for (uint64_t seed = 1; seed <= 60 && violations == 0; ++seed) {
        violations += randomRun(seed, false, true);
    }
    CHECK(violations > 0);
}

TEST(Switch, aRestartedSidecarDoesNotVoteAgain)
{
    LONGS_EQUAL(0, votesTwice(true));
}

TEST(Switch, aRestartedSidecarThatVotesAgainMixesMaps)
{
    CHECK(votesTwice(false) > 0);
}

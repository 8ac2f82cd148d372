// Tests of the switch protocol: all ranks use the same map in each step, despite link faults and restarted or paused processes.

#include "switchworld.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using namespace daisymount::expertmap;
using framework::milliseconds;
using framework::seconds;

TEST_GROUP(Switch){
    static bool hasOutcome(const SwitchSimulation &simulation, SwitchOutcome outcome){for (const auto &[version, seen]
                                                                                           : simulation.outcomes){if (seen == outcome){return true;
}
}
return false;
}

static void expectOneMap(const SwitchSimulation &simulation)
{
    const auto violations = simulation.ledger.violations();
    CHECK_TEXT(violations.empty(), violations.empty() ? "" : violations.front().detail.c_str());
}

/// A sidecar votes against a hold, restarts and receives late copies of the proposal and the hold. Returns the number of violations.
static size_t violationsAfterSecondVote(bool checkIncarnation)
{
    SwitchSimulation simulation(3, 9);
    simulation.checkIncarnation = checkIncarnation;
    for (const std::string &name : simulation.names) {
        simulation.startSidecar(name);
    }
    const Propose propose{{1, 2}};
    Hold hold{{1, 2}, 0, 200, {{"s0", 4}, {"s1", 5}, {"s2", 6}}};
    simulation.participants["s0"]->onMessage(propose, simulation.now);
    simulation.participants["s1"]->onMessage(propose, simulation.now);
    simulation.advance(milliseconds{5});
    for (const std::string &name : simulation.names) {
        simulation.participants[name]->onMessage(hold, simulation.now);
    }
    simulation.advance(milliseconds{20});
    CHECK(!simulation.participants["s0"]->isBlocked());
    simulation.startSidecar("s2");
    simulation.participants["s2"]->onMessage(propose, simulation.now);
    simulation.advance(milliseconds{5});
    simulation.participants["s2"]->onMessage(hold, simulation.now);
    simulation.advance(milliseconds{500});
    return simulation.ledger.violations().size();
}

/// Runs switches with random link faults, restarts, pauses and stalls. Returns the number of violations.
static size_t violationsOfRandomRun(uint64_t seed, bool restoreHold, bool checkIncarnation)
{
    SwitchSimulation simulation(4, seed);
    simulation.restoreHold = restoreHold;
    simulation.checkIncarnation = checkIncarnation;
    for (const std::string &name : simulation.names) {
        simulation.startSidecar(name);
    }
    simulation.addController("c2");
    std::mt19937_64 random(seed * 7919);
    simulation.faults = {0.2, 0.2, milliseconds{40}};
    int64_t fencing = 0;
    MapVersion version = 1;
    std::string leader = "c1";
    for (int round = 0; round < 60; ++round) {
        if (round % 6 == 0) {
            leader = random() % 2 == 0 ? "c1" : "c2";
            simulation.lease(leader, ++fencing, seconds{2});
        }
        simulation.controllers[leader]->propose(++version, simulation.now);
        for (int fault = 0; fault < 3; ++fault) {
            const std::string &victim = simulation.names[random() % simulation.names.size()];
            if (random() % 3 == 0) {
                simulation.startSidecar(victim);
            }
            if (random() % 8 == 0) {
                simulation.paused.insert(random() % 2 == 0 ? victim : leader);
            }
            simulation.engines[victim].stalled = random() % 10 == 0;
            simulation.advance(milliseconds{static_cast<int64_t>(random() % 90)});
        }
        for (const std::string &name : std::set<std::string>(simulation.paused)) {
            simulation.resume(name);
        }
    }
    return simulation.ledger.violations().size();
}
}
;

TEST(Switch, allRanksSwitchAtTheSameStepWithAtMostOneStepOfDelay)
{
    SwitchSimulation simulation(4, 1);
    simulation.lease("c1", 1, seconds{100});
    simulation.advance(milliseconds{50});
    const int64_t blockedBefore = simulation.blockedMs;
    CHECK(simulation.controllers["c1"]->propose(2, simulation.now));
    simulation.advance(milliseconds{500});
    CHECK(hasOutcome(simulation, SwitchOutcome::Committed));
    for (const std::string &name : simulation.names) {
        LONGS_EQUAL(2, simulation.engines[name].map);
    }
    // A simulated step takes 1 ms.
    CHECK(simulation.blockedMs - blockedBefore <= 1);
    expectOneMap(simulation);
}

TEST(Switch, refusalKeepsAllRanksOnOneMap)
{
    SwitchSimulation simulation(4, 2);
    simulation.lease("c1", 1, seconds{100});
    CHECK(simulation.controllers["c1"]->propose(2, simulation.now));
    simulation.advance(milliseconds{2});
    simulation.startSidecar("s2");
    simulation.advance(milliseconds{500});
    for (const std::string &name : simulation.names) {
        CHECK_EQUAL(simulation.engines["s0"].map, simulation.engines[name].map);
    }
    CHECK(simulation.steps > 100);
    expectOneMap(simulation);
}

TEST(Switch, restartedSidecarRestoresItsArmedVote)
{
    SwitchSimulation simulation(3, 3);
    simulation.lease("c1", 1, seconds{100});
    simulation.controllers["c1"]->propose(2, simulation.now);
    for (int i = 0; i < 200 && !simulation.participants["s1"]->isBlocked(); ++i) {
        simulation.advance(milliseconds{1});
    }
    CHECK(simulation.participants["s1"]->isBlocked());
    simulation.startSidecar("s1");
    CHECK(simulation.participants["s1"]->isBlocked());
    simulation.advance(milliseconds{500});
    for (const std::string &name : simulation.names) {
        LONGS_EQUAL(2, simulation.engines[name].map);
    }
    expectOneMap(simulation);
}

TEST(Switch, proposalTimesOutWhenWeightsAreUnreachable)
{
    SwitchSimulation simulation(3, 4);
    simulation.weightStoreReachable = false;
    simulation.lease("c1", 1, seconds{1000});
    simulation.controllers["c1"]->propose(2, simulation.now);
    simulation.advance(seconds{61});
    CHECK(hasOutcome(simulation, SwitchOutcome::NotPrepared));
    CHECK(simulation.steps > 60'000);
    expectOneMap(simulation);
}

TEST(Switch, groupRestartsOnOneMapAfterLostVotes)
{
    SwitchSimulation simulation(3, 5);
    simulation.lease("c1", 1, seconds{1000});
    simulation.controllers["c1"]->propose(2, simulation.now);
    for (int i = 0; i < 200 && !simulation.participants["s1"]->isBlocked(); ++i) {
        simulation.advance(milliseconds{1});
    }
    simulation.paused.insert("s2");
    simulation.inFlight.clear();
    simulation.advance(seconds{3});
    simulation.resume("s2");
    simulation.advance(seconds{2});
    const int64_t steps = simulation.steps;
    simulation.advance(seconds{1});
    CHECK(simulation.steps > steps + 900);
    expectOneMap(simulation);
}

TEST(Switch, controllerResumedAfterLeaseExpirySendsNothing)
{
    SwitchSimulation simulation(3, 6);
    simulation.addController("c2");
    simulation.lease("c1", 1, seconds{1});
    simulation.controllers["c1"]->propose(2, simulation.now);
    simulation.paused.insert("c1");
    simulation.advance(seconds{2});
    simulation.lease("c2", 2, seconds{100});
    simulation.resume("c1");
    simulation.controllers["c2"]->propose(3, simulation.now);
    simulation.advance(seconds{2});
    CHECK(hasOutcome(simulation, SwitchOutcome::LeaseLost));
    CHECK(hasOutcome(simulation, SwitchOutcome::Committed));
    for (const std::string &name : simulation.names) {
        LONGS_EQUAL(3, simulation.engines[name].map);
    }
    expectOneMap(simulation);
}

TEST(Switch, newControllerRestartsAGroupBlockedAtAnOldHold)
{
    SwitchSimulation simulation(3, 7);
    simulation.addController("c2");
    simulation.lease("c1", 1, seconds{100});
    simulation.controllers["c1"]->propose(2, simulation.now);
    for (int i = 0; i < 200 && !simulation.participants["s1"]->isBlocked(); ++i) {
        simulation.advance(milliseconds{1});
    }
    // The controller is paused for good; messages in flight are lost, and sidecar s2 restarts without its hold.
    simulation.paused.insert("c1");
    simulation.inFlight.clear();
    simulation.engines["s2"].hold.reset();
    simulation.startSidecar("s2");
    simulation.lease("c2", 2, seconds{100});
    simulation.advance(seconds{8});
    const int64_t steps = simulation.steps;
    simulation.advance(seconds{1});
    CHECK(simulation.steps > steps);
    expectOneMap(simulation);
}

TEST(Switch, newControllerRestartsAGroupStoppedByItsPredecessor)
{
    SwitchSimulation simulation(3, 8);
    simulation.addController("c2");
    for (const std::string &name : simulation.names) {
        simulation.participants[name]->onMessage(Stop{5}, simulation.now);
    }
    simulation.lease("c2", 2, seconds{100});
    simulation.advance(seconds{4});
    CHECK(simulation.steps > 500);
    expectOneMap(simulation);
}

TEST(Switch, randomFaultsNeverMixMaps)
{
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        LONGS_EQUAL_TEXT(0, violationsOfRandomRun(seed, true, true), ("seed " + std::to_string(seed)).c_str());
    }
}

TEST(Switch, mapsMixWithoutRestoringTheHold)
{
    size_t violations = 0;
    for (uint64_t seed = 1; seed <= 60 && violations == 0; ++seed) {
        violations += violationsOfRandomRun(seed, false, true);
    }
    CHECK(violations > 0);
}

TEST(Switch, restartedSidecarDoesNotVoteTwice)
{
    LONGS_EQUAL(0, violationsAfterSecondVote(true));
}

TEST(Switch, mapsMixWithoutTheIncarnationCheck)
{
    CHECK(violationsAfterSecondVote(false) > 0);
}

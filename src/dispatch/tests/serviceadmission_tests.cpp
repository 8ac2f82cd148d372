// Tests of the admission to a service with several rank groups.

#include "dispatch/serviceadmission.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace daisymount;
using namespace daisymount::dispatch;

namespace
{
constexpr Instant START{std::chrono::seconds{100}};
constexpr int RANKS = 24;

GroupCapacity capacity()
{
    GroupCapacity group;
    group.engine.slots = 10;
    group.engine.stepMs = 4.55;
    group.engine.stepMsPerSequence = 1.09;
    group.engine.usualAnswerTokens = 96;
    group.engine.stepsPerPass = 5;
    group.ranks = RANKS;
    group.pauseObjective = milliseconds{150};
    return group;
}

std::vector<GroupView> groupsOf(int count)
{
    std::vector<GroupView> groups;
    for (int i = 0; i < count; ++i) {
        groups.push_back({"llm/g" + std::to_string(i), capacity(), 0, 0, true});
    }
    return groups;
}

AdmissionRequest firstAttempt()
{
    AdmissionRequest request;
    request.key = {0, "a"};
    request.objective = milliseconds{500};
    request.left = std::chrono::seconds{8};
    return request;
}
} // namespace

TEST_GROUP(ServiceAdmission)
{
    ServiceAdmission admission{{}};

    ServiceDecision decide(std::vector<GroupView> & groups, Duration waited = Duration{0}, Instant now = START)
    {
        AdmissionRequest request = firstAttempt();
        request.waited = waited;
        admission.onArrival(request, now);
        return admission.decide(request, groups, now);
    }
};

/// Guards against refusing the callers of a whole service because one of its groups is down.
TEST(ServiceAdmission, noCallerIsRefusedWhileAnyGroupHasRoom)
{
    for (uint64_t seed = 0; seed < 200; ++seed) {
        std::mt19937_64 random(seed);
        ServiceAdmission own({.seed = seed});
        std::vector<GroupView> groups = groupsOf(2 + static_cast<int>(random() % 18));
        const size_t open = random() % groups.size();
        for (size_t i = 0; i < groups.size(); ++i) {
            groups[i].usable = i == open;
        }
        AdmissionRequest request = firstAttempt();
        own.onArrival(request, START);
        const ServiceDecision decision = own.decide(request, groups, START);
        CHECK(decision.admission == Admission::Admit);
        STRCMP_EQUAL(groups[open].key.c_str(), decision.group.c_str());
    }
}

/// Guards against a herd: all entries would choose the group that their old reports show as the emptiest one.
TEST(ServiceAdmission, requestsAreSpreadByFreeRoom)
{
    std::vector<GroupView> groups = groupsOf(3);
    groups[0].inFlight = groups[0].ownInFlight = 100;
    std::map<std::string, int> chosen;
    for (int i = 0; i < 3'000; ++i) {
        ++chosen[decide(groups, Duration{0}, START + i * milliseconds{1}).group];
    }
    CHECK(chosen["llm/g0"] < chosen["llm/g1"]);
    DOUBLES_EQUAL(1.0, static_cast<double>(chosen["llm/g1"]) / chosen["llm/g2"], 0.2);
}

TEST(ServiceAdmission, loadOfALostGroupDoesNotExceedTheLimitsOfTheOthers)
{
    std::vector<GroupView> groups = groupsOf(3);
    groups[0].usable = false;
    for (int i = 0; i < 2'000; ++i) {
        const ServiceDecision decision = decide(groups, Duration{0}, START + i * milliseconds{1});
        for (GroupView &group : groups) {
            if (group.key == decision.group) {
                ++group.inFlight;
                ++group.ownInFlight;
            }
        }
    }
    for (size_t i = 1; i < groups.size(); ++i) {
        CHECK(groups[i].inFlight <= admission.limits().at(groups[i].key).limit + 1.0);
    }
}

TEST(ServiceAdmission, waitsWithinTheObjectiveAndThenRefuses)
{
    std::vector<GroupView> groups = groupsOf(2);
    for (GroupView &group : groups) {
        group.inFlight = group.ownInFlight = 240;
    }
    CHECK(decide(groups).admission == Admission::Wait);
    const ServiceDecision late = decide(groups, milliseconds{490});
    CHECK(late.admission == Admission::Refuse);
    CHECK(late.retryAfter > milliseconds{0});
    CHECK(late.retryAfter <= milliseconds{8'000 / 3});
}

TEST(ServiceAdmission, refusesAtOnceWhileNoGroupIsUsable)
{
    std::vector<GroupView> groups = groupsOf(2);
    groups[0].usable = groups[1].usable = false;
    CHECK(decide(groups).admission == Admission::Refuse);
}

TEST(ServiceAdmission, aRetryLeavesTheGroupThatFailed)
{
    std::vector<GroupView> groups = groupsOf(3);
    decide(groups);
    for (int i = 0; i < 100; ++i) {
        CHECK(admission.chooseOtherGroup(groups, "llm/g1", START) != "llm/g1");
    }
    groups[0].usable = groups[2].usable = false;
    STRCMP_EQUAL("", admission.chooseOtherGroup(groups, "llm/g1", START).c_str());
}

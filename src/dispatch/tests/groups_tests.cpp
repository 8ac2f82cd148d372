// Tests of the directory of rank groups and of the rule that decides which services use adaptive admission.

#include "dispatch/groupdirectory.h"
#include "dispatch/loadpolicy.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using namespace daisymount::dispatch;

namespace
{
GroupList twoGroups(int64_t term, int64_t revision)
{
    return {term, revision, {{"llm", "g1", {upstreamHash("a"), upstreamHash("b")}}, {"llm", "g2", {upstreamHash("c")}}, {"other", "g3", {upstreamHash("d")}}}};
}

fleet::FleetConfig configWithEngine()
{
    fleet::FleetConfig config;
    config.services["llm"].engine = fleet::EngineProfile{};
    config.services["plain"] = {};
    for (const int priority : {1, 1}) {
        fleet::Route route;
        route.priority = priority;
        route.services = {{"llm", 1.0}, {"plain", 1.0}};
        config.routes.push_back(route);
    }
    return config;
}
} // namespace

TEST_GROUP(GroupDirectory)
{
    GroupDirectory groups;
};

TEST(GroupDirectory, servicesWithOneGroupKeepTheKeyOfTheService)
{
    CHECK(groups.update(twoGroups(3, 1)));
    CHECK_FALSE(groups.hasSeveralGroups("other"));
    STRCMP_EQUAL("other", groups.keyOf("other", "d").c_str());
    LONGS_EQUAL(1, groups.keysOf("other").size());
}

TEST(GroupDirectory, ranksOfSeveralGroupsAreToldApartAndUnknownOnesBelongToTheService)
{
    groups.update(twoGroups(3, 1));
    STRCMP_EQUAL("llm/g1", groups.keyOf("llm", "b").c_str());
    STRCMP_EQUAL("llm/g2", groups.keyOf("llm", "c").c_str());
    STRCMP_EQUAL("llm", groups.keyOf("llm", "replaced").c_str());
    LONGS_EQUAL(2, groups.keysOf("llm").size());
    LONGS_EQUAL(2, groups.ranksOf("llm/g1"));
    CHECK(isKeyOf("llm/g1", "llm"));
    CHECK_FALSE(isKeyOf("llm2/g1", "llm"));
}

TEST(GroupDirectory, aListOfAnEarlierTermDoesNotReplaceThatOfALaterOne)
{
    CHECK(groups.update(twoGroups(4, 1)));
    CHECK_FALSE(groups.update(twoGroups(3, 9)));
    CHECK_FALSE(groups.update(twoGroups(4, 1)));
    CHECK(groups.update(twoGroups(4, 2)));
}

TEST(GroupDirectory, onlyServicesThatCallForItAreAdaptive)
{
    fleet::FleetConfig config = configWithEngine();
    CHECK_FALSE(isAdaptive(fleet::AdmissionMode::Auto, config, groups, "llm"));
    CHECK(isAdaptive(fleet::AdmissionMode::Adaptive, config, groups, "llm"));
    CHECK_FALSE(isAdaptive(fleet::AdmissionMode::Adaptive, config, groups, "plain"));
    config.routes[0].priority = 0;
    CHECK(isAdaptive(fleet::AdmissionMode::Auto, config, groups, "llm"));
    CHECK_FALSE(isAdaptive(fleet::AdmissionMode::Slots, config, groups, "llm"));
    config.routes[0].priority = 1;
    groups.update(twoGroups(1, 1));
    CHECK(isAdaptive(fleet::AdmissionMode::Auto, config, groups, "llm"));
}

// Tests of the routing library.

#include "routing/pickpolicies.h"
#include "routing/router.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace daisymount;
using framework::milliseconds;
using framework::ResultCode;
using framework::seconds;
using routing::Choice;
using routing::RouteQuery;

namespace
{
config::Config fleet(int count)
{
    config::Config config;
    config.zones["a"] = {"r", false};
    config.zones["b"] = {"r", false};
    config.services["s"] = {};
    for (int i = 0; i < count; ++i) {
        config.upstreams["u" + std::to_string(i)] = {"s", i % 2 == 0 ? "a" : "b", "127.0.0.1:" + std::to_string(1000 + i), false, true, ""};
    }
    return config;
}
} // namespace

TEST_GROUP(Router)
{
    routing::Router router{{"entry-1", "a", 5, 40, {}}};
    config::Config config = fleet(6);
    framework::Instant now = seconds{10};

    void setup() override
    {
        router.configure(config);
        for (const auto &[name, upstream] : config.upstreams) {
            router.onHint(name, {0, 0, 16, false, 1}, now);
        }
    }

    std::map<std::string, int> picks(int count, uint64_t prefix = 0)
    {
        std::map<std::string, int> result;
        for (int i = 0; i < count; ++i) {
            const RouteQuery query{"s", prefix, "", nullptr};
            ++result[router.pick(query, now)->upstream];
        }
        return result;
    }
};

TEST(Router, choosesNothingForAnUnknownService)
{
    CHECK(!router.pick({"none", 0, "", nullptr}, now));
}

TEST(Router, avoidsUpstreamsThatAreOutLeavingOrDead)
{
    config.zones["b"].out = true;
    router.configure(config);
    router.setLeaving("u0", true);
    router.setAlive("u2", false);
    const auto chosen = picks(50);
    LONGS_EQUAL(1, chosen.size());
    LONGS_EQUAL(50, chosen.at("u4"));
}

TEST(Router, choosesNothingWhenEverythingIsOut)
{
    config.zones["a"].out = true;
    config.zones["b"].out = true;
    router.configure(config);
    CHECK(!router.pick({"s", 0, "", nullptr}, now));
}

TEST(Router, neverChoosesAnExcludedUpstream)
{
    routing::UpstreamNames tried{"u0", "u1", "u2", "u3", "u4"};
    for (int i = 0; i < 20; ++i) {
        STRCMP_EQUAL("u5", router.pick({"s", 0, "", &tried}, now)->upstream.c_str());
    }
}

TEST(Router, keepsAPrefixOnOneUpstreamWhileItsLoadIsBounded)
{
    const auto chosen = picks(30, 12345);
    LONGS_EQUAL(1, chosen.size());
}

TEST(Router, movesAPrefixAwayFromAnOverloadedUpstream)
{
    const std::string first = picks(1, 12345).begin()->first;
    router.onHint(first, {16, 8, 16, false, 1}, now);
    CHECK_EQUAL(0U, picks(20, 12345).count(first));
}

TEST(Router, sendsLittleToAColdUpstream)
{
    router.onHint("u0", {2, 0, 2, true, 1}, now);
    CHECK_EQUAL(0U, picks(200).count("u0"));
}

TEST(Router, avoidsASlowUpstreamAndComesBackAfterItHeals)
{
    for (const auto &[name, upstream] : config.upstreams) {
        router.onFirstToken(name, milliseconds{name == "u0" ? 2000 : 40}, now);
        router.onHint(name, {4, 0, 16, false, 1}, now);
    }
    const int slowPicks = picks(300)["u0"];
    CHECK(slowPicks < 10);
    now += seconds{30};
    CHECK(picks(300)["u0"] > 20);
}

TEST(Router, countsOthersWorkFromHintsAndItsOwnAtOnce)
{
    router.onHint("u0", {8, 0, 16, false, 1}, now);
    for (int i = 0; i < 8; ++i) {
        router.onSent("u2", now);
    }
    const auto chosen = picks(300);
    CHECK_EQUAL(0U, chosen.count("u0"));
    CHECK_EQUAL(0U, chosen.count("u2"));
}

TEST(Router, avoidsAFullUpstreamForAShortTime)
{
    router.onRefused("u0", ResultCode::UpstreamFull, now);
    CHECK_EQUAL(0U, picks(200).count("u0"));
    now += milliseconds{60};
    CHECK(picks(200)["u0"] > 0);
}

TEST(Router, entriesAgreeOnTheDesignatedUpstream)
{
    routing::Router other({"entry-2", "b", 6, 40, {}});
    other.configure(config);
    const std::string first = router.designatedUpstream("s", {});
    STRCMP_EQUAL(first.c_str(), other.designatedUpstream("s", {}).c_str());
    const std::string second = router.designatedUpstream("s", {first});
    CHECK(second != first);
    STRCMP_EQUAL(second.c_str(), other.designatedUpstream("s", {first}).c_str());
    STRCMP_EQUAL(first.c_str(), router.pick({"s", 0, first, nullptr}, now)->upstream.c_str());
}

TEST(Router, usesASubsetOfALargeFleetThatIsItsOwnAndStable)
{
    routing::RouterOptions options{"entry-1", "a", 5, 8, {}};
    routing::Router small(options);
    small.configure(fleet(100));
    std::map<std::string, int> used;
    for (int i = 0; i < 400; ++i) {
        ++used[small.pick({"s", 0, "", nullptr}, now)->upstream];
    }
    LONGS_EQUAL(8, used.size());
    small.configure(fleet(99));
    int kept = 0;
    for (int i = 0; i < 400; ++i) {
        kept += used.count(small.pick({"s", 0, "", nullptr}, now)->upstream) != 0 ? 1 : 0;
    }
    CHECK(kept >= 300);
}

TEST_GROUP(PickPolicies){};

TEST(PickPolicies, baselinesCoverAllCandidates)
{
    const std::vector<routing::Candidate> candidates{{"x", true, 3, 0, 1, false}, {"y", true, 0, 0, 1, false}, {"z", true, 5, 0, 1, false}};
    routing::RandomEngine random(1);
    const RouteQuery query{"s", 0, "", nullptr};
    std::set<size_t> seen;
    const routing::PickPolicy turn = routing::roundRobinPolicy();
    const routing::PickPolicy any = routing::randomPolicy();
    for (int i = 0; i < 3; ++i) {
        seen.insert(turn(candidates, query, random));
    }
    LONGS_EQUAL(3, seen.size());
    LONGS_EQUAL(1, routing::leastOutstandingPolicy()(candidates, query, random));
    CHECK(any(candidates, query, random) < candidates.size());
}

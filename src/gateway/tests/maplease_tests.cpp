// Tests of gateways that contend for the map controller's lease while the store comes back from an older copy of itself.

#include "gateway/maplease.h"
#include "storestandin.h"
#include "transport/tasks.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

using namespace daisymount;
using namespace daisymount::gateway;
using namespace daisymount::gateway::tests;

namespace
{
using framework::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string CONFIG = R"({"version":1,"routes":[],"services":[{"name":"model","health_path":"/healthz","max_connections":408,"cold_start_s":0,
"cold_per_s":0,"engine":{"slots":12,"kv_capacity":372000,"link_mbps":180000.0,"stride":5,"step_ms":5.85,"sets":4,"experts":72,"placements":8,"spares":3,
"expert_mb":780.0,"expert_share":0.85,"form_ms":600.0}}],"limits":{},"tenants":[]})";
const std::string LEASE_KEY = "daisymount/maps/controller";
constexpr int64_t FIRST_ERA = 7;
/// From the return of the store until a holder has heard of it by its next renewal.
constexpr milliseconds HEARS_OF_RETURN{1'000};
constexpr milliseconds STEP{10};

/// A gateway that hears of others only through the store.
struct Contender
{
    Contender(asio::io_context &reactor, const std::string &name, const std::string &store)
        : context(settings(name, store), reactor.get_executor(), self(name), 1), lease(context, [this] { return changeInProgress; })
    {
        context.view.applyConfig({"c", CONFIG, {0, 1}});
    }

    void start()
    {
        transport::spawnLoop(context.executor, "map_lease", [this] { return lease.run(); });
    }

    static fleet::NodeSettings settings(const std::string &name, const std::string &store)
    {
        fleet::NodeSettings settings;
        settings.name = name;
        settings.zone = "z";
        settings.store.address = store;
        return settings;
    }

    static peers::Peer self(const std::string &name)
    {
        peers::Peer peer;
        peer.name = name;
        return peer;
    }

    GatewayContext context;
    bool changeInProgress = false;
    MapLease lease;
};

/// Never destroyed, because suspended coroutines refer to it.
struct ContentionFixture
{
    ContentionFixture()
    {
        store.setEra(FIRST_ERA);
        store.put("op/config", CONFIG);
    }

    bool runUntil(const std::function<bool()> &condition, milliseconds limit)
    {
        const Instant deadline = framework::monotonicNow() + limit;
        while (!condition() && framework::monotonicNow() < deadline) {
            reactor.run_for(STEP);
        }
        return condition();
    }

    /// True if @p condition held at every step.
    bool holdsFor(const std::function<bool()> &condition, milliseconds duration)
    {
        return !runUntil([&] { return !condition(); }, duration);
    }

    asio::io_context reactor;
    FakeStore store{reactor.get_executor()};
    Contender first{reactor, "first", store.address()};
    Contender second{reactor, "second", store.address()};
};
} // namespace

TEST_GROUP(MapLease)
{
    ContentionFixture *fixture = nullptr;

    void setup() override
    {
        static auto &fixtures = *new std::vector<ContentionFixture *>;
        fixtures.push_back(new ContentionFixture);
        fixture = fixtures.back();
    }

    void acquire(Contender & contender)
    {
        contender.start();
        CHECK_TRUE(fixture->runUntil([&] { return contender.lease.held(); }, seconds{5}));
    }

    /// The first gateway holds the lease; the store then comes back from a copy that does not have it, and the second one acquires it.
    void loseLeaseToSecond()
    {
        fixture->store.takeCopy();
        acquire(fixture->first);
        fixture->store.goAway();
        fixture->store.comeBackFromCopy();
        acquire(fixture->second);
    }
};

TEST(MapLease, holderAfterAReturnHasAHigherNumberThanTheOneThatTheStoreLost)
{
    loseLeaseToSecond();
    CHECK(fixture->second.lease.fencing() > fixture->first.lease.fencing());
}

TEST(MapLease, onlyOneGatewayHoldsALeaseWhoseIdIsGivenOutAgain)
{
    loseLeaseToSecond();
    fixture->runUntil([] { return false; }, HEARS_OF_RETURN);
    CHECK_TRUE(fixture->holdsFor([this] { return fixture->second.lease.held() && !fixture->first.lease.held(); }, seconds{4}));
    STRCMP_EQUAL("second", fixture->store.get(LEASE_KEY).c_str());
}

TEST(MapLease, holderThatLeavesEndsNoLeaseOfALaterEra)
{
    loseLeaseToSecond();
    fixture->first.context.draining = true;
    CHECK_TRUE(fixture->holdsFor([this] { return fixture->store.get(LEASE_KEY) == "second"; }, seconds{2}));
    CHECK_FALSE(fixture->first.lease.held());
}

TEST(MapLease, holderWhoseLeaseTheCopyHasGoesOnWithItsNumber)
{
    acquire(fixture->first);
    fixture->second.start();
    const int64_t number = fixture->first.lease.fencing();
    fixture->store.takeCopy();
    fixture->store.goAway();
    fixture->runUntil([] { return false; }, milliseconds{900});
    fixture->store.comeBackFromCopy();
    fixture->runUntil([] { return false; }, HEARS_OF_RETURN + HEARS_OF_RETURN);
    CHECK_TRUE(fixture->holdsFor([this] { return fixture->first.lease.held() && !fixture->second.lease.held(); }, seconds{3}));
    LONGS_EQUAL(number, fixture->first.lease.fencing());
}

TEST(MapLease, twoReturnsWithinOneLeaseLeaveOneHolderWithTheHighestNumber)
{
    fixture->store.takeCopy();
    acquire(fixture->first);
    fixture->store.comeBackFromCopy();
    acquire(fixture->second);
    const int64_t second = fixture->second.lease.fencing();
    fixture->store.comeBackFromCopy();
    const auto oneHolds = [this] { return fixture->first.lease.held() != fixture->second.lease.held(); };
    fixture->runUntil([] { return false; }, HEARS_OF_RETURN + HEARS_OF_RETURN);
    CHECK_TRUE(fixture->holdsFor(oneHolds, seconds{3}));
    const Contender &holder = fixture->first.lease.held() ? fixture->first : fixture->second;
    CHECK(holder.lease.fencing() > second);
}

TEST(MapLease, holderThatLeavesPassesControlOnAtOnce)
{
    acquire(fixture->first);
    const int64_t number = fixture->first.lease.fencing();
    fixture->second.start();
    fixture->runUntil([] { return false; }, HEARS_OF_RETURN);
    fixture->first.context.draining = true;
    CHECK_TRUE(fixture->runUntil([this] { return fixture->second.lease.held(); }, milliseconds{2'000}));
    CHECK(fixture->second.lease.fencing() > number);
}

TEST(MapLease, keyOfAWriteWhoseReplyWasLostIsTakenOverByItsWriterOnly)
{
    fixture->store.put(LEASE_KEY, "first");
    fixture->second.start();
    CHECK_FALSE(fixture->runUntil([this] { return fixture->second.lease.held(); }, seconds{1}));
    acquire(fixture->first);
}

TEST(MapLease, refusalByARankLeadsToATermWithAHigherNumber)
{
    acquire(fixture->first);
    const int64_t number = fixture->first.lease.fencing();
    fixture->first.lease.onFenced();
    CHECK_FALSE(fixture->first.lease.held());
    CHECK_TRUE(fixture->runUntil([this] { return fixture->first.lease.held(); }, seconds{5}));
    CHECK(fixture->first.lease.fencing() > number + FencingCounter::RECOVERY_STEP);
}

TEST(MapLease, numberIsAboveThoseThatPeersTell)
{
    constexpr int64_t TOLD = 900'000'000;
    peers::Peer teller = Contender::self("teller");
    teller.revisions.groupsTerm = TOLD;
    fixture->first.context.peers.onHeartbeat({teller, {}}, framework::monotonicNow());
    acquire(fixture->first);
    CHECK(fixture->first.lease.fencing() > TOLD);
}

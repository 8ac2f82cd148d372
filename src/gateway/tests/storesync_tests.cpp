// Tests of store synchronisation: compacted history, closed or dead watch connections, lost replies and the fallback to a peer.

#include "gateway/storesync.h"
#include "gatewayfixture.h"
#include "peers/peercodec.h"
#include "platform/storecodec.h"
#include "transport/tasks.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <stdexcept>
#include <thread>

using namespace daisymount;
using namespace daisymount::gateway;
using namespace daisymount::gateway::tests;

namespace
{
std::string configOf(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[],"limits":{},"tenants":[]})";
}

std::string itemOf(const std::string &key, const std::string &value, int revision)
{
    return R"({"key":")" + key + R"(","value":")" + platform::encodeBase64(value) + R"(","revision":)" + std::to_string(revision) + R"(,"lease":0})";
}

std::string reply(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Response of the simulated store to one call.
enum class Behaviour {
    Answer,
    Close, ///< Closes the connection without a reply.
    Silent, ///< Never replies.
    HistoryCompacted,
};

/// Simulated store with one configuration and scripted failures.
struct ScriptedStore
{
    int revision = 10;
    int configVersion = 1;
    int watchesAnswered = 0;
    int ranges = 0;
    int upstreamReads = 0;
    int registrations = 0;
    std::vector<std::string> upstreams; ///< Items of the registered upstreams.
    std::vector<std::pair<int, std::string>> zoneChanges; ///< Events of zones out of service, with their revision.
    framework::milliseconds rangeDelay{0}; ///< Time after which a read of the operators' keys is answered, as of when it arrived.
    bool watchesWait = false; ///< Watches are answered when their wait ends, as by a store without changes.
    framework::Instant answeredAt{0}; ///< When the last call was answered.
    std::deque<Behaviour> watches; ///< Behaviour of the next watches; Answer once empty.
    std::deque<Behaviour> leases;

    static Behaviour next(std::deque<Behaviour> &queue)
    {
        if (queue.empty()) {
            return Behaviour::Answer;
        }
        const Behaviour first = queue.front();
        queue.pop_front();
        return first;
    }

    std::string config() const
    {
        return itemOf("op/config", configOf(configVersion), revision);
    }

    std::string upstreamItems() const
    {
        std::string items;
        for (const std::string &item : upstreams) {
            items += (items.empty() ? "" : ",") + item;
        }
        return items;
    }

    asio::awaitable<void> serve(transport::ConnectionPtr connection, ReceivedRequest request)
    {
        const bool watch = request.target.starts_with("/-/kv-watch");
        const bool lease = request.target == "/-/kv-lease";
        const Behaviour behaviour = watch ? next(watches) : lease ? next(leases) : Behaviour::Answer;
        if (behaviour == Behaviour::Close) {
            connection->close();
            co_return;
        }
        if (behaviour == Behaviour::Silent) {
            co_await connection->waitForBytes(0, framework::monotonicNow() + std::chrono::seconds{5});
            co_return;
        }
        if (behaviour == Behaviour::HistoryCompacted) {
            co_await send(connection, reply(410, "{}"));
            co_return;
        }
        co_await answer(connection, request);
    }

    asio::awaitable<void> answer(transport::ConnectionPtr connection, ReceivedRequest request)
    {
        const std::string now = std::to_string(revision);
        const bool watch = request.target.starts_with("/-/kv-watch");
        answeredAt = watch ? answeredAt : framework::monotonicNow();
        if (watch) {
            const int64_t wait = watchesWait ? std::stoll(transport::queryValue(request.target, "wait_ms")) : 30;
            co_await transport::sleepFor(std::chrono::milliseconds{wait});
            answeredAt = framework::monotonicNow();
            const int after = std::stoi(transport::queryValue(request.target, "after"));
            std::string events = after < revision ? config() : "";
            for (const auto &[changedAt, event] : zoneChanges) {
                events += after < changedAt ? (events.empty() ? "" : ",") + event : "";
            }
            ++watchesAnswered;
            co_await send(connection, reply(200, R"({"events":[)" + events + R"(],"store_revision":)" + std::to_string(revision) + "}"));
        } else if (request.target.starts_with("/-/kv-range?prefix=op/")) {
            ++ranges;
            const std::string items = config();
            co_await transport::sleepFor(rangeDelay);
            co_await send(connection, reply(200, R"({"items":[)" + items + R"(],"has_more":false,"store_revision":)" + now + "}"));
        } else if (request.target.starts_with("/-/kv-range?prefix=servers/")) {
            ++upstreamReads;
            co_await send(connection, reply(200, R"({"items":[)" + upstreamItems() + R"(],"has_more":false,"store_revision":)" + now + "}"));
        } else if (request.target.starts_with("/-/kv-range")) {
            co_await send(connection, reply(200, R"({"items":[],"has_more":false,"store_revision":)" + now + "}"));
        } else if (request.target == "/-/kv-lease") {
            co_await send(connection, reply(200, R"({"lease":7,"ttl_ms":9000})"));
        } else if (request.target == "/-/kv-txn") {
            ++registrations;
            co_await send(connection, reply(200, R"({"revision":11})"));
        } else {
            co_await send(connection, reply(200, R"({"ttl_ms":9000})"));
        }
    }
};

/// Never destroyed, because suspended coroutines refer to it.
struct StoreSyncFixture
{
    GatewayFixture world;
    ScriptedStore store;
    std::unique_ptr<ScriptedUpstream> listener;
    std::unique_ptr<StoreSync> sync;
    int changes = 0;

    StoreSyncFixture()
    {
        listener = std::make_unique<ScriptedUpstream>(world.reactor.get_executor(), [this](transport::ConnectionPtr connection, ReceivedRequest request) {
            return store.serve(std::move(connection), std::move(request));
        });
        world.context.settings.store.address = listener->address();
        sync = std::make_unique<StoreSync>(world.context, [this] { ++changes; });
    }

    int64_t version() const
    {
        return world.context.view.config()->version;
    }
};

StoreSyncFixture &createFixture()
{
    static auto &kept = *new std::vector<std::unique_ptr<StoreSyncFixture>>;
    kept.push_back(std::make_unique<StoreSyncFixture>());
    return *kept.back();
}

/// An exception ends the second reading of the upstreams; the process gets no processor for @p stop after the third one.
void checkReadAgainAfterAnException(StoreSyncFixture &fixture, std::chrono::milliseconds stop)
{
    const ScriptedStore &store = fixture.store;
    bool thrown = false;
    bool stopped = false;
    fixture.sync = std::make_unique<StoreSync>(fixture.world.context, [&, stop] {
        if (store.upstreamReads == 2 && !thrown) {
            thrown = true;
            throw std::out_of_range("map::at");
        }
        if (store.upstreamReads == 3 && !stopped) {
            stopped = true;
            std::this_thread::sleep_for(stop);
        }
    });
    std::vector<std::string> failed;
    transport::setTaskFailureHandler([&failed](const transport::TaskFailure &failure) { failed.push_back(std::string(failure.task) + ": " + failure.what); });
    fixture.sync->start();
    fixture.world.runUntilInOwnTime([&] { return store.upstreamReads >= 8; }, std::chrono::seconds{4});
    transport::setTaskFailureHandler([](const transport::TaskFailure &) {});
    CHECK(store.upstreamReads >= 8);
    LONGS_EQUAL(1, failed.size());
    STRCMP_EQUAL("poll_upstreams: map::at", failed.front().c_str());
}
} // namespace

TEST_GROUP(StoreSync)
{
    StoreSyncFixture &fixture = createFixture();
};

TEST(StoreSync, readsTheConfigurationAndFollowsItsChanges)
{
    fixture.sync->start();
    fixture.world.runUntil([&] { return fixture.version() == 1; }, std::chrono::seconds{3});
    LONGS_EQUAL(1, fixture.version());
    fixture.store.configVersion = 4;
    fixture.store.revision = 20;
    fixture.world.runUntil([&] { return fixture.version() == 4; }, std::chrono::seconds{2});
    LONGS_EQUAL(4, fixture.version());
    CHECK(fixture.sync->storeReachable());
}

TEST(StoreSync, rereadsTheRangeAfterHistoryCompaction)
{
    fixture.sync->start();
    fixture.world.runUntil([&] { return fixture.version() == 1; }, std::chrono::seconds{3});
    fixture.store.watches = {Behaviour::HistoryCompacted};
    fixture.store.configVersion = 5;
    fixture.store.revision = 90;
    fixture.world.runUntil([&] { return fixture.store.ranges >= 2; }, std::chrono::seconds{3});
    fixture.world.runUntil([&] { return fixture.version() == 5; }, std::chrono::seconds{2});
    LONGS_EQUAL(5, fixture.version());
    CHECK(fixture.store.ranges >= 2);
}

// Guards against requests to an emptied zone: a read of the operators' keys that was answered late cleared the zones that peers had told meanwhile,
// and the next change of any zone put the old set in force.
TEST(StoreSync, zoneThatWasEmptiedDuringALateReadStaysOutOfService)
{
    GatewayContext &context = fixture.world.context;
    fixture.sync->start();
    fixture.world.runUntil([&] { return fixture.version() == 1 && fixture.store.watchesAnswered > 0; }, std::chrono::seconds{3});
    fixture.store.rangeDelay = std::chrono::milliseconds{240};
    fixture.store.watches = {Behaviour::HistoryCompacted};
    fixture.world.runUntil([&] { return fixture.store.ranges == 2; }, std::chrono::seconds{3});
    LONGS_EQUAL(2, fixture.store.ranges);
    // While the read is under way, zone b is emptied and a peer tells of it.
    const int64_t emptiedAt = fixture.store.revision + 1;
    context.view.applyZonesOut({"b"}, {0, emptiedAt});
    const configsync::KeyRevisions own = keyRevisions(context.view);
    context.currency.onApplied(own);
    const framework::Instant now = framework::monotonicNow();
    context.currency.onPeerReport({own, 0, emptiedAt, std::chrono::milliseconds{0}}, now, now);
    fixture.world.runUntil([] { return false; }, std::chrono::milliseconds{400});
    CHECK(context.view.zonesOut() == (std::set<std::string>{"b"}));
    fixture.store.revision += 5;
    fixture.store.zoneChanges = {{fixture.store.revision, itemOf("op/evacuate/a", "1", fixture.store.revision)}};
    fixture.world.runUntil([&] { return context.view.zoneOut("a"); }, std::chrono::seconds{2});
    CHECK(context.view.zonesOut() == (std::set<std::string>{"a", "b"}));
}

TEST(StoreSync, watchResumesAfterConnectionLoss)
{
    fixture.store.watches = {Behaviour::Close, Behaviour::Close};
    fixture.sync->start();
    fixture.world.runUntil([&] { return fixture.store.watchesAnswered > 0; }, std::chrono::seconds{4});
    fixture.store.configVersion = 6;
    fixture.store.revision = 30;
    fixture.world.runUntil([&] { return fixture.version() == 6; }, std::chrono::seconds{2});
    LONGS_EQUAL(6, fixture.version());
    LONGS_EQUAL(1, fixture.store.ranges);
}

TEST(StoreSync, deadWatchConnectionIsDetectedInTime)
{
    fixture.sync->start();
    fixture.world.runUntil([&] { return fixture.version() == 1; }, std::chrono::seconds{3});
    fixture.store.watches = {Behaviour::Silent};
    fixture.world.runUntil([&] { return fixture.store.watches.empty(); }, std::chrono::seconds{3});
    fixture.store.configVersion = 7;
    fixture.store.revision = 40;
    // Detection takes the watch timeout plus half a call timeout. The first 3 s of a dead connection count as a disturbance.
    fixture.world.runUntil([&] { return fixture.version() == 7; }, std::chrono::seconds{4});
    LONGS_EQUAL(7, fixture.version());
}

// Guards against a gateway that never reads its upstreams again, since an exception has ended the coroutine that polls them.
TEST(StoreSync, upstreamsAreReadAgainAfterAnExceptionInTheirLoop)
{
    checkReadAgainAfterAnException(fixture, std::chrono::milliseconds{0});
}

// Guards against a check that takes time without a processor for a loop that has ended.
TEST(StoreSync, upstreamsAreReadAgainAfterAnExceptionIfTheProcessIsStopped)
{
    checkReadAgainAfterAnException(fixture, std::chrono::milliseconds{3'000});
}

TEST(StoreSync, registrationIsRetriedAfterLostReplies)
{
    fixture.store.leases = {Behaviour::Close, Behaviour::Close};
    fixture.sync->start();
    fixture.world.runUntil([&] { return fixture.store.registrations > 0; }, std::chrono::seconds{5});
    CHECK(fixture.store.registrations > 0);
}

TEST(StoreSync, appliesConfigurationOfAPeerWhileTheStoreIsUnreachable)
{
    GatewayContext &context = fixture.world.context;
    context.settings.store.address = "127.0.0.1:1";
    peers::FleetSnapshot snapshot;
    snapshot.config = {"op/config", configOf(8), {0, 50}};
    const std::string body = peers::encodeSnapshot(snapshot);
    auto peer = std::make_unique<ScriptedUpstream>(
        fixture.world.reactor.get_executor(),
        [body](transport::ConnectionPtr connection, ReceivedRequest) -> asio::awaitable<void> { co_await send(connection, reply(200, body)); });
    peers::Peer informed;
    informed.name = "other";
    informed.ip = "127.0.0.1";
    informed.serving = true;
    informed.revisions.config.revision = {0, 50};
    const std::string address = peer->address();
    context.settings.firstPeerPort = static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    fixture.sync->start();
    fixture.world.runUntil(
        [&] {
            context.peers.onHeartbeat({informed, {}}, framework::monotonicNow());
            return fixture.version() == 8;
        },
        std::chrono::seconds{5});
    LONGS_EQUAL(8, fixture.version());
    CHECK_FALSE(fixture.sync->storeReachable());
    // Never destroyed, because suspended coroutines refer to it.
    static auto &kept = *new std::vector<std::unique_ptr<ScriptedUpstream>>;
    kept.push_back(std::move(peer));
}

/// Guards against a gateway that relies on the watches of others and fetches their newer configuration in vain for ever.
TEST(StoreSync, readsTheStoreWhenPeersWithANewerConfigurationDoNotAnswer)
{
    GatewayContext &context = fixture.world.context;
    context.settings.bounds.configApply = std::chrono::seconds{3};
    static auto &silent
        = *new ScriptedUpstream(fixture.world.reactor.get_executor(), [](transport::ConnectionPtr connection, ReceivedRequest) -> asio::awaitable<void> {
              co_await connection->waitForBytes(0, framework::monotonicNow() + std::chrono::seconds{10});
          });
    const std::string address = silent.address();
    context.settings.firstPeerPort = static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    // Enough watchers of the same zone that this gateway leaves the watch to them.
    context.peers.self().name = "gateway";
    context.peers.self().zone = context.settings.zone;
    int64_t revision = 10;
    const auto hearPeers = [&] {
        for (int i = 0; i < 20; ++i) {
            peers::Peer peer;
            peer.name = "a" + std::to_string(i);
            peer.zone = context.settings.zone;
            peer.ip = "127.0.0.1";
            peer.serving = peer.watchesStore = true;
            peer.revisions.config.revision = {0, revision};
            context.peers.onHeartbeat({peer, {}}, framework::monotonicNow());
        }
    };
    hearPeers();
    fixture.sync->start();
    fixture.world.runUntil(
        [&] {
            hearPeers();
            return !context.peers.self().watchesStore && fixture.version() == 1;
        },
        std::chrono::seconds{8});
    LONGS_EQUAL(1, fixture.version());
    CHECK_FALSE(context.peers.self().watchesStore);
    fixture.store.configVersion = 9;
    fixture.store.revision = revision = 60;
    fixture.world.runUntil(
        [&] {
            hearPeers();
            return fixture.version() == 9;
        },
        std::chrono::seconds{3});
    LONGS_EQUAL(9, fixture.version());
}

namespace
{
/// A gateway that relies on another one of its zone for the list of upstreams.
struct DependentFixture
{
    StoreSyncFixture &fixture;
    GatewayContext &context = fixture.world.context;
    const std::string upstream = R"({"service":"s","address":"127.0.0.1:9","zone":"z","slots":1,"state":"ready","cold_remaining_ms":0,"born":1})";
    peers::FleetSnapshot snapshot;
    std::unique_ptr<ScriptedUpstream> listener;
    peers::Peer reader;

    explicit DependentFixture(StoreSyncFixture &owner) : fixture(owner)
    {
        snapshot.upstreams = {{{"u", upstream, {0, 9}}}, {0, 10}};
        listener = std::make_unique<ScriptedUpstream>(fixture.world.reactor.get_executor(),
                                                      [this](transport::ConnectionPtr connection, ReceivedRequest) -> asio::awaitable<void> {
                                                          co_await send(connection, reply(200, peers::encodeSnapshot(snapshot)));
                                                      });
        const std::string address = listener->address();
        context.settings.firstPeerPort = static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        context.peers.self().name = "gateway";
        context.peers.self().zone = context.settings.zone;
        reader.name = "a";
        reader.zone = context.settings.zone;
        reader.ip = "127.0.0.1";
        reader.serving = true;
        reader.storeReadAge = framework::milliseconds{0};
        fixture.store.upstreams = {itemOf("servers/u", upstream, 9)};
        fixture.store.watchesWait = true;
        hearReader();
        fixture.sync->start();
    }

    void hearReader()
    {
        reader.revisions = context.peers.self().revisions;
        reader.confirmedRevision = fixture.store.revision;
        const framework::Instant now = framework::monotonicNow();
        context.peers.onHeartbeat({reader, {}}, now);
        context.currency.onPeerReport(reader.keyReport(), now, now);
    }

    void runUntil(const std::function<bool()> &condition, framework::milliseconds limit)
    {
        fixture.world.runUntil(
            [&] {
                hearReader();
                return condition();
            },
            limit);
    }

    bool knowsUpstream() const
    {
        return context.view.upstreams().contains("u");
    }

    /// The upstream leaves without a word, and the store tells the reader.
    void removeUpstream()
    {
        fixture.store.upstreams.clear();
        fixture.store.revision += 10;
        snapshot.upstreams = {{}, {0, fixture.store.revision}};
    }
};

/// Never destroyed, because suspended coroutines refer to it.
DependentFixture &createDependent(StoreSyncFixture &fixture)
{
    static auto &kept = *new std::vector<std::unique_ptr<DependentFixture>>;
    kept.push_back(std::make_unique<DependentFixture>(fixture));
    return *kept.back();
}
} // namespace

// Guards against requests to an upstream that has left, since a gateway takes a time without calls of its own for an outage of the store.
TEST(StoreSync, upstreamThatLeavesAsTheReaderOfTheZoneStopsIsNotKept)
{
    DependentFixture &dependent = createDependent(fixture);
    const auto storeSilent = [&] { return framework::monotonicNow() - fixture.store.answeredAt > std::chrono::milliseconds{1'700}; };
    dependent.runUntil([&] { return dependent.knowsUpstream() && storeSilent(); }, std::chrono::seconds{20});
    CHECK_TRUE(storeSilent());
    CHECK(dependent.knowsUpstream());

    dependent.removeUpstream();
    dependent.reader.serving = false;
    dependent.runUntil([&] { return !dependent.knowsUpstream(); }, dependent.context.settings.bounds.drain);
    CHECK_FALSE(dependent.knowsUpstream());
}

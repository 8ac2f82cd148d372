// Tests of how a gateway keeps up with the store: history that is gone, watches that are cut, replies that are lost, a peer's help.

#include "gateway/storesync.h"
#include "gatewayfixture.h"
#include "peers/peercodec.h"
#include "platform/storecodec.h"

#include <CppUTest/TestHarness.h>

#include <deque>

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

/// What the store does with one call.
enum class Behaviour {
    Answer,
    Close, ///< Closes the connection without a reply.
    Silent, ///< Never replies.
    HistoryGone,
};

/// A store that holds one configuration and misbehaves as told.
struct ScriptedStore
{
    int revision = 10;
    int configVersion = 1;
    int watchesAnswered = 0;
    int ranges = 0;
    int registrations = 0;
    std::deque<Behaviour> watches; ///< For the next watches; afterwards they answer.
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
        if (behaviour == Behaviour::HistoryGone) {
            co_await send(connection, reply(410, "{}"));
            co_return;
        }
        co_await answer(connection, request);
    }

    asio::awaitable<void> answer(transport::ConnectionPtr connection, ReceivedRequest request)
    {
        const std::string now = std::to_string(revision);
        if (request.target.starts_with("/-/kv-watch")) {
            co_await transport::sleepFor(std::chrono::milliseconds{30});
            const int after = std::stoi(transport::queryValue(request.target, "after"));
            const std::string events = after < revision ? config() : "";
            ++watchesAnswered;
            co_await send(connection, reply(200, R"({"events":[)" + events + R"(],"store_revision":)" + std::to_string(revision) + "}"));
        } else if (request.target.starts_with("/-/kv-range?prefix=op/")) {
            ++ranges;
            co_await send(connection, reply(200, R"({"items":[)" + config() + R"(],"has_more":false,"store_revision":)" + now + "}"));
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

/// All parts last as long as the process, as suspended coroutines refer to them.
struct Parts
{
    GatewayFixture world;
    ScriptedStore store;
    std::unique_ptr<ScriptedUpstream> listener;
    std::unique_ptr<StoreSync> sync;
    int changes = 0;

    Parts()
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

Parts &keptParts()
{
    static auto &kept = *new std::vector<std::unique_ptr<Parts>>;
    kept.push_back(std::make_unique<Parts>());
    return *kept.back();
}
} // namespace

TEST_GROUP(StoreSync)
{
    Parts &parts = keptParts();
};

TEST(StoreSync, readsTheConfigurationAndFollowsItsChanges)
{
    parts.sync->start();
    parts.world.runUntil([&] { return parts.version() == 1; }, std::chrono::seconds{3});
    LONGS_EQUAL(1, parts.version());
    parts.store.configVersion = 4;
    parts.store.revision = 20;
    parts.world.runUntil([&] { return parts.version() == 4; }, std::chrono::seconds{2});
    LONGS_EQUAL(4, parts.version());
    CHECK(parts.sync->storeReachable());
}

TEST(StoreSync, historyThatIsGoneIsReadAgain)
{
    parts.sync->start();
    parts.world.runUntil([&] { return parts.version() == 1; }, std::chrono::seconds{3});
    parts.store.watches = {Behaviour::HistoryGone};
    parts.store.configVersion = 5;
    parts.store.revision = 90;
    parts.world.runUntil([&] { return parts.store.ranges >= 2; }, std::chrono::seconds{3});
    parts.world.runUntil([&] { return parts.version() == 5; }, std::chrono::seconds{2});
    LONGS_EQUAL(5, parts.version());
    CHECK(parts.store.ranges >= 2);
}

TEST(StoreSync, aWatchThatIsCutGoesOn)
{
    parts.store.watches = {Behaviour::Close, Behaviour::Close};
    parts.sync->start();
    parts.world.runUntil([&] { return parts.store.watchesAnswered > 0; }, std::chrono::seconds{4});
    parts.store.configVersion = 6;
    parts.store.revision = 30;
    parts.world.runUntil([&] { return parts.version() == 6; }, std::chrono::seconds{2});
    LONGS_EQUAL(6, parts.version());
    LONGS_EQUAL(1, parts.store.ranges);
}

TEST(StoreSync, aSilentWatchIsNoticedWithinTheBoundForConfigurations)
{
    parts.sync->start();
    parts.world.runUntil([&] { return parts.version() == 1; }, std::chrono::seconds{3});
    parts.store.watches = {Behaviour::Silent};
    parts.world.runUntil([&] { return parts.store.watches.empty(); }, std::chrono::seconds{3});
    parts.store.configVersion = 7;
    parts.store.revision = 40;
    // The wait of a watch and half a call: beside the three seconds for which a silent connection counts as a disturbance.
    parts.world.runUntil([&] { return parts.version() == 7; }, std::chrono::seconds{4});
    LONGS_EQUAL(7, parts.version());
}

TEST(StoreSync, aLostReplyToTheRegistrationLeadsToAnother)
{
    parts.store.leases = {Behaviour::Close, Behaviour::Close};
    parts.sync->start();
    parts.world.runUntil([&] { return parts.store.registrations > 0; }, std::chrono::seconds{5});
    CHECK(parts.store.registrations > 0);
}

TEST(StoreSync, aPeerHelpsWhileTheStoreRefusesThisMachine)
{
    GatewayContext &context = parts.world.context;
    context.settings.store.address = "127.0.0.1:1";
    peers::FleetSnapshot snapshot;
    snapshot.config = {"op/config", configOf(8), 50};
    const std::string body = peers::encodeSnapshot(snapshot);
    auto peer = std::make_unique<ScriptedUpstream>(
        parts.world.reactor.get_executor(),
        [body](transport::ConnectionPtr connection, ReceivedRequest) -> asio::awaitable<void> { co_await send(connection, reply(200, body)); });
    peers::Peer informed;
    informed.name = "other";
    informed.ip = "127.0.0.1";
    informed.serving = true;
    informed.revisions.config = 50;
    const std::string address = peer->address();
    context.settings.firstPeerPort = static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    parts.sync->start();
    parts.world.runUntil(
        [&] {
            context.peers.onHeartbeat({informed, {}}, framework::monotonicNow());
            return parts.version() == 8;
        },
        std::chrono::seconds{5});
    LONGS_EQUAL(8, parts.version());
    CHECK_FALSE(parts.sync->storeReachable());
    // The listener outlives the test like the other parts.
    static auto &kept = *new std::vector<std::unique_ptr<ScriptedUpstream>>;
    kept.push_back(std::move(peer));
}

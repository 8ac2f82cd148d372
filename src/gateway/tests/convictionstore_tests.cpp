// Tests of persisting convictions, so that they survive a simultaneous restart of all gateways.

#include "framework/json.h"
#include "gateway/convictionstore.h"
#include "gatewayfixture.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace daisymount;
using namespace daisymount::gateway;
using namespace daisymount::gateway::tests;

namespace
{
using crashattribution::CrashStatus;
using crashattribution::Fingerprint;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Fingerprint CRASHING_FINGERPRINT = 0xfedcba9876543210;
const std::string KEY = "daisymount/convictions/fedcba9876543210";

/// In-memory store whose leases never expire.
struct InMemoryStore
{
    std::map<std::string, std::string> items; ///< Base64 values by key, as received.
    int failuresLeft = 0; ///< Number of calls to fail by closing the connection.
    int64_t ttl = 0; ///< Requested by the last lease grant.
    int64_t era = 0;
    int transactions = 0;
    std::function<void()> beforeTransaction = [] {};

    std::string reply(int status, const std::string &body) const
    {
        const std::string eraField = era == 0 ? "" : "Store-Era: " + std::to_string(era) + "\r\n";
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n" + eraField + "Content-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    asio::awaitable<void> serve(transport::ConnectionPtr connection, ReceivedRequest request)
    {
        if (failuresLeft > 0) {
            --failuresLeft;
            connection->close();
            co_return;
        }
        Json::Value body;
        const framework::Ret parsed = framework::evaluate([&]() -> framework::Result<void> {
            BOOST_LEAF_ASSIGN(body, framework::parseJsonObject(request.body));
            return {};
        });
        CHECK(parsed || request.body.empty());
        if (request.target.starts_with("/-/kv-range")) {
            std::string rows;
            for (const auto &[key, value] : items) {
                rows += (rows.empty() ? "" : ",") + (R"({"key":")" + key + R"(","value":")" + value + R"(","revision":3,"lease":7})");
            }
            co_await send(connection, reply(200, R"({"items":[)" + rows + R"(],"has_more":false,"store_revision":9})"));
        } else if (request.target == "/-/kv-lease") {
            ttl = body["ttl_ms"].asInt64();
            co_await send(connection, reply(200, R"({"lease":7,"ttl_ms":600000})"));
        } else {
            ++transactions;
            beforeTransaction();
            for (const Json::Value &condition : body["expected"]) {
                if (condition["revision"].asInt64() == 0 && items.contains(condition["key"].asString())) {
                    co_await send(connection, reply(409, R"({"code":"conflict"})"));
                    co_return;
                }
            }
            for (const Json::Value &write : body["writes"]) {
                items[write["key"].asString()] = write["value"].asString();
            }
            for (const Json::Value &key : body["remove"]) {
                items.erase(key.asString());
            }
            co_await send(connection, reply(200, R"({"revision":11})"));
        }
    }
};

/// Never destroyed, because suspended coroutines refer to it.
struct ConvictionFixture
{
    GatewayFixture world;
    InMemoryStore store;
    std::unique_ptr<ScriptedUpstream> listener;
    std::unique_ptr<ConvictionStore> convictions;

    ConvictionFixture()
    {
        listener = std::make_unique<ScriptedUpstream>(world.reactor.get_executor(), [this](transport::ConnectionPtr connection, ReceivedRequest request) {
            return store.serve(std::move(connection), std::move(request));
        });
        world.context.settings.store.address = listener->address();
        world.context.settings.name = "gateway2";
        convictions = std::make_unique<ConvictionStore>(world.context);
    }

    void convict()
    {
        world.context.crashes.merge({{}, {}, {{CRASHING_FINGERPRINT, milliseconds{0}}}}, framework::monotonicNow());
        convictions->onConvicted(CRASHING_FINGERPRINT);
    }

    bool isConvicted()
    {
        return world.context.crashes.status(CRASHING_FINGERPRINT, framework::monotonicNow()) == CrashStatus::Convicted;
    }
};

ConvictionFixture &createFixture()
{
    static auto &fixtures = *new std::vector<std::unique_ptr<ConvictionFixture>>;
    fixtures.push_back(std::make_unique<ConvictionFixture>());
    return *fixtures.back();
}
} // namespace

TEST_GROUP(ConvictionStore)
{
    ConvictionFixture &fixture = createFixture();
};

TEST(ConvictionStore, convictionSurvivesRestartOfAllGateways)
{
    fixture.convict();
    fixture.world.runUntil([&] { return fixture.store.items.contains(KEY); }, seconds{3});
    CHECK(fixture.store.items.contains(KEY));
    CHECK(fixture.store.ttl > 500'000 && fixture.store.ttl <= 600'000);
    ConvictionFixture &restarted = createFixture();
    restarted.store.items = fixture.store.items;
    restarted.convictions->start();
    restarted.world.runUntil([&] { return restarted.isConvicted(); }, seconds{3});
    CHECK_TRUE(restarted.isConvicted());
}

TEST(ConvictionStore, loadAndWriteAreRetriedUntilTheStoreResponds)
{
    fixture.store.failuresLeft = 2;
    fixture.convict();
    fixture.world.runUntil([&] { return fixture.store.items.contains(KEY); }, seconds{5});
    CHECK(fixture.store.items.contains(KEY));
    ConvictionFixture &restarted = createFixture();
    restarted.store.items = fixture.store.items;
    restarted.store.failuresLeft = 2;
    restarted.convictions->start();
    restarted.world.runUntil([&] { return restarted.isConvicted(); }, seconds{5});
    CHECK_TRUE(restarted.isConvicted());
}

TEST(ConvictionStore, onlyTheGatewayWhoseNameSortsFirstWrites)
{
    peers::Peer first;
    first.name = "gateway1";
    first.ip = "127.0.0.9";
    first.serving = true;
    fixture.world.context.peers.onHeartbeat({first, {}}, framework::monotonicNow());
    fixture.convict();
    fixture.world.runUntil([&] { return fixture.store.items.contains(KEY); }, milliseconds{300});
    CHECK_FALSE(fixture.store.items.contains(KEY));
}

TEST(ConvictionStore, convictionIsDeletedAfterAnAnswer)
{
    fixture.convict();
    fixture.world.runUntil([&] { return fixture.store.items.contains(KEY); }, seconds{3});
    fixture.convictions->onConvictionLifted(CRASHING_FINGERPRINT);
    fixture.world.runUntil([&] { return !fixture.store.items.contains(KEY); }, seconds{3});
    CHECK_FALSE(fixture.store.items.contains(KEY));
}

TEST(ConvictionStore, invalidItemsAreIgnored)
{
    fixture.store.items["daisymount/convictions/xyz"] = "e30=";
    fixture.store.items["daisymount/convictions/1"] = "bm90IGpzb24=";
    fixture.convictions->start();
    fixture.world.runUntil([] { return false; }, milliseconds{200});
    LONGS_EQUAL(0, fixture.world.context.crashes.suspects());
}

// Guards against a crashing request that is accepted again after all gateways have started anew: the store came back from a copy without its conviction.
TEST(ConvictionStore, convictionIsWrittenAgainWhenTheStoreComesBackWithoutIt)
{
    fixture.store.era = 3;
    fixture.convict();
    fixture.world.runUntil([&] { return fixture.store.items.contains(KEY); }, seconds{3});
    fixture.store.items.clear();
    fixture.store.era = 4;
    fixture.world.context.storeEra.onPeerEra(4, "gateway3");
    fixture.world.runUntil([&] { return fixture.store.items.contains(KEY); }, seconds{3});
    CHECK(fixture.store.items.contains(KEY));
}

// Guards against a harmless request that is rejected after a start: the store came back from a copy with a conviction that had been lifted.
TEST(ConvictionStore, liftedConvictionIsRemovedWhenTheStoreComesBackWithIt)
{
    fixture.store.era = 3;
    fixture.convict();
    fixture.world.runUntil([&] { return fixture.store.items.contains(KEY); }, seconds{3});
    const std::map<std::string, std::string> copy = fixture.store.items;
    fixture.world.runUntil([] { return false; }, milliseconds{20});
    CHECK(fixture.world.context.crashes.onAnswered(CRASHING_FINGERPRINT, framework::monotonicNow()));
    fixture.convictions->onConvictionLifted(CRASHING_FINGERPRINT);
    fixture.world.runUntil([&] { return !fixture.store.items.contains(KEY); }, seconds{3});
    fixture.store.items = copy;
    fixture.store.era = 4;
    fixture.world.context.storeEra.onPeerEra(4, "gateway3");
    fixture.world.runUntil([&] { return !fixture.store.items.contains(KEY); }, seconds{3});
    CHECK_FALSE(fixture.store.items.contains(KEY));
    CHECK_FALSE(fixture.isConvicted());
}

TEST(ConvictionStore, onlyTheDesignatedGatewayWritesAgainInANewEra)
{
    peers::Peer first;
    first.name = "gateway1";
    first.ip = "127.0.0.9";
    first.serving = true;
    fixture.world.context.peers.onHeartbeat({first, {}}, framework::monotonicNow());
    fixture.convict();
    fixture.store.era = 4;
    fixture.world.context.storeEra.onPeerEra(4, "gateway3");
    fixture.world.runUntil([] { return false; }, milliseconds{300});
    LONGS_EQUAL(0, fixture.store.transactions);
}

// Guards against a conviction that is taken for stored: another process of the new era had written the key, or the lease was of the former era.
TEST(ConvictionStore, answerOfAnotherEraThanTheLeaseCountsAsUnanswered)
{
    fixture.store.era = 3;
    fixture.store.beforeTransaction = [&] {
        if (fixture.store.transactions == 1) {
            fixture.store.era = 4;
        }
    };
    fixture.convict();
    fixture.world.runUntil([&] { return fixture.store.transactions >= 2; }, seconds{3});
    CHECK(fixture.store.transactions >= 2);
}

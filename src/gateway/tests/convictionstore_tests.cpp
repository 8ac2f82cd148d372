// Tests of the convictions that outlast all gateways in the platform's store.

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
using crashattribution::Fingerprint;
using crashattribution::Standing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Fingerprint CRASHER = 0xfedcba9876543210;
const std::string KEY = "daisymount/convictions/fedcba9876543210";

std::string reply(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A store that keeps what is written, with leases that do not end.
struct KeepingStore
{
    std::map<std::string, std::string> items; ///< Values as they came, in base64.
    int failuresLeft = 0; ///< Calls that get no reply first.
    int64_t ttl = 0; ///< Of the last lease.

    asio::awaitable<void> serve(transport::ConnectionPtr connection, ReceivedRequest request)
    {
        if (failuresLeft > 0) {
            --failuresLeft;
            connection->close();
            co_return;
        }
        Json::Value body;
        const framework::Ret parsed = framework::attempt([&]() -> framework::Result<void> {
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

/// Lasts as long as the process: suspended coroutines refer to it.
struct Parts
{
    GatewayFixture world;
    KeepingStore store;
    std::unique_ptr<ScriptedUpstream> listener;
    std::unique_ptr<ConvictionStore> convictions;

    Parts()
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
        world.context.crashes.merge({{}, {}, {{CRASHER, milliseconds{0}}}}, framework::monotonicNow());
        convictions->onConvicted(CRASHER);
    }

    bool isConvicted()
    {
        return world.context.crashes.standing(CRASHER, framework::monotonicNow()) == Standing::Convicted;
    }
};

Parts &keptParts()
{
    static auto &kept = *new std::vector<std::unique_ptr<Parts>>;
    kept.push_back(std::make_unique<Parts>());
    return *kept.back();
}
} // namespace

TEST_GROUP(ConvictionStore)
{
    Parts &parts = keptParts();
};

TEST(ConvictionStore, aConvictionOutlastsAllGateways)
{
    parts.convict();
    parts.world.runUntil([&] { return parts.store.items.contains(KEY); }, seconds{3});
    CHECK(parts.store.items.contains(KEY));
    CHECK(parts.store.ttl > 500'000 && parts.store.ttl <= 600'000);
    Parts &later = keptParts();
    later.store.items = parts.store.items;
    later.convictions->start();
    later.world.runUntil([&] { return later.isConvicted(); }, seconds{3});
    CHECK_TRUE(later.isConvicted());
}

TEST(ConvictionStore, readingAndWritingGoOnUntilTheStoreAnswers)
{
    parts.store.failuresLeft = 2;
    parts.convict();
    parts.world.runUntil([&] { return parts.store.items.contains(KEY); }, seconds{5});
    CHECK(parts.store.items.contains(KEY));
    Parts &later = keptParts();
    later.store.items = parts.store.items;
    later.store.failuresLeft = 2;
    later.convictions->start();
    later.world.runUntil([&] { return later.isConvicted(); }, seconds{5});
    CHECK_TRUE(later.isConvicted());
}

TEST(ConvictionStore, onlyTheFirstGatewayByNameWrites)
{
    peers::Peer first;
    first.name = "gateway1";
    first.ip = "127.0.0.9";
    first.serving = true;
    parts.world.context.peers.onHeartbeat({first, {}}, framework::monotonicNow());
    parts.convict();
    parts.world.runUntil([&] { return parts.store.items.contains(KEY); }, milliseconds{300});
    CHECK_FALSE(parts.store.items.contains(KEY));
}

TEST(ConvictionStore, aConvictionThatAnAnswerEndedIsKeptNoMore)
{
    parts.convict();
    parts.world.runUntil([&] { return parts.store.items.contains(KEY); }, seconds{3});
    parts.convictions->onLifted(CRASHER);
    parts.world.runUntil([&] { return !parts.store.items.contains(KEY); }, seconds{3});
    CHECK_FALSE(parts.store.items.contains(KEY));
}

TEST(ConvictionStore, keysThatAreNoConvictionAreLeftOut)
{
    parts.store.items["daisymount/convictions/xyz"] = "e30=";
    parts.store.items["daisymount/convictions/1"] = "bm90IGpzb24=";
    parts.convictions->start();
    parts.world.runUntil([] { return false; }, milliseconds{200});
    LONGS_EQUAL(0, parts.world.context.crashes.suspects());
}

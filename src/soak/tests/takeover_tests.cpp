// Tests of a map controller that takes over a group in the middle of a change, before the simulated rank group.

#include "framework/json.h"
#include "gateway/mapcontroller.h"
#include "gateway/tests/storestandin.h"
#include "soak/rankgroup.h"
#include "transport/tasks.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using namespace daisymount::soak;
using gateway::tests::FakeStore;

namespace
{
const std::string CONFIG = R"({"version":1,"routes":[{"name":"draft","host":"a.example","prefix":"/draft/","kind":"stream","timeout_ms":8000,
"target_latency_ms":400,"priority":1,"service":"model","max_attempts":2,"public":true,"resumable":true,"gap_aim_ms":120}],
"services":[{"name":"model","health_path":"/healthz","max_connections":408,"cold_start_s":0,"cold_per_s":0,"engine":{"slots":12,"kv_capacity":372000,
"link_mbps":180000.0,"stride":5,"step_ms":5.85,"sets":4,"experts":72,"placements":8,"spares":3,"expert_mb":780.0,"expert_share":0.85,"form_ms":600.0}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":1000,"idle_timeout_ms":2000},"tenants":[]})";

/// Never destroyed, because suspended coroutines refer to it.
struct TakeoverFixture
{
    asio::io_context reactor;
    FakeStore store{reactor.get_executor()};
    uint16_t port = freePort(reactor);
    RankGroup group{reactor.get_executor(), {.port = port}, "127.76.0.", 1};
    gateway::GatewayContext context{settings(store.address(), port), reactor.get_executor(), self(), 1};
    gateway::MapController controller{context};
    transport::HttpCaller operatorCalls{reactor.get_executor()};

    TakeoverFixture()
    {
        std::vector<fleet::StoredItem> items;
        for (int rank = 0; rank < RankGroupOptions{}.ranks; ++rank) {
            items.push_back({group.id(rank), group.registration(rank, "model", "z"), {0, 1}});
        }
        context.view.applyConfig({"c", CONFIG, {0, 1}});
        context.view.applyUpstreams({items, {0, 1}}, framework::monotonicNow());
        context.dispatcher.onFleetChange(context.view, framework::monotonicNow());
    }

    static uint16_t freePort(asio::io_context &reactor)
    {
        asio::ip::tcp::acceptor probe(reactor, {asio::ip::make_address_v4("127.76.0.1"), 0});
        return probe.local_endpoint().port();
    }

    /// The ranks listen at the port of the agents, so that calls to them count as calls through agents.
    static fleet::NodeSettings settings(const std::string &store, uint16_t port)
    {
        fleet::NodeSettings settings;
        settings.name = "gateway";
        settings.zone = "z";
        settings.firstPeerPort = port;
        settings.store.address = store;
        return settings;
    }

    static peers::Peer self()
    {
        peers::Peer peer;
        peer.name = "gateway";
        return peer;
    }

    void order(int rank, const std::string &body)
    {
        asio::co_spawn(
            reactor,
            [](TakeoverFixture *fixture, std::string address, std::string text) -> asio::awaitable<void> {
                co_await fixture->operatorCalls.call(address, "POST", "/-/order", text, milliseconds{1'000});
            }(this, group.address(rank), body),
            asio::detached);
    }

    /// Starts a stream of @p tokens at each rank.
    void startStreams(int tokens)
    {
        for (int rank = 0; rank < RankGroupOptions{}.ranks; ++rank) {
            const std::string bytes = "POST /draft/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r" + std::to_string(rank) + "\r\nX-Token-Usage: 900,"
                + std::to_string(tokens) + "\r\nContent-Length: 0\r\n\r\n";
            asio::co_spawn(reactor,
                           gateway::tests::sendAndReadResponse(reactor.get_executor(), *transport::parseEndpoint(group.address(rank)), bytes,
                                                               [](const gateway::tests::CallerResult &) {}),
                           asio::detached);
        }
    }

    void run(milliseconds duration)
    {
        reactor.run_for(std::chrono::milliseconds{duration.count()});
    }
};

/// The map that a group starts with, as an order carries it: the experts by set and rank.
std::string roundRobinMapText()
{
    const RankGroupOptions options;
    Json::Value map(Json::arrayValue);
    for (int expert = 0; expert < options.experts; ++expert) {
        for (int set = 0; set < options.sets; ++set) {
            map[set][expert % options.ranks].append(expert);
        }
    }
    return framework::writeJson(map);
}
} // namespace

TEST_GROUP(MapTakeover)
{
    TakeoverFixture *fixture = nullptr;

    void setup() override
    {
        static auto &fixtures = *new std::vector<TakeoverFixture *>;
        fixtures.push_back(new TakeoverFixture);
        fixture = fixtures.back();
    }
};

// Guards against a gateway that crashes as it takes over control while ranks are armed and the hold is released: it knows no map yet, and planned on an
// empty one as soon as it had samples.
TEST(MapTakeover, controllerThatFindsArmedRanksPlansOnlyOnAMapThatItKnows)
{
    const std::string map = roundRobinMapText();
    for (int rank = 0; rank < RankGroupOptions{}.ranks; ++rank) {
        fixture->order(rank, R"({"operation":"prepare","epoch":1,"fencing_token":0,"version":1,"map":)" + map + "}");
    }
    fixture->run(milliseconds{300});
    // The pass lies so far ahead that the ranks stay armed for seconds.
    for (int rank = 0; rank < RankGroupOptions{}.ranks; ++rank) {
        fixture->order(rank, R"({"operation":"arm","epoch":1,"fencing_token":0,"version":1,"step":60})");
    }
    fixture->run(milliseconds{200});
    fixture->startStreams(400);
    std::vector<std::string> failures;
    transport::setTaskFailureHandler([&failures](const transport::TaskFailure &failure) { failures.push_back(failure.what); });
    fixture->controller.start();
    constexpr int MIN_ROUNDS = 20;
    constexpr int MAX_ROUNDS = 100;
    for (int i = 0; i < MIN_ROUNDS || (i < MAX_ROUNDS && fixture->group.switches() == 0); ++i) {
        fixture->run(milliseconds{200});
        fixture->startStreams(400);
    }
    transport::setTaskFailureHandler([](const transport::TaskFailure &) {});
    CHECK(failures.empty());
    CHECK(fixture->context.peers.self().controlsMaps);
    LONGS_EQUAL(0, fixture->group.mixedPasses());
    // Once the ranks have switched, the map is read and changes go on.
    CHECK(fixture->group.switches() >= 1);
}

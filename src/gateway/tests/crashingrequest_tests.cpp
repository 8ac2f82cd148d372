// Loopback tests with requests that crash every upstream that processes them while clients keep retrying at any gateway. Without a shared
// conviction, each retry takes down another upstream.

#include "fleetfixture.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using namespace daisymount::gateway;
using namespace daisymount::gateway::tests;

namespace
{
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *CONFIG = R"({"version":1,"routes":[
 {"name":"safe","host":"a.example","prefix":"/safe/","kind":"safe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2,"public":true},
 {"name":"unsafe","host":"a.example","prefix":"/unsafe/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2,"public":true},
 {"name":"stream","host":"a.example","prefix":"/stream/","kind":"stream","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"plain","max_attempts":2,"public":true,"resumable":true}],
 "services":[{"name":"plain","health_path":"/h","max_connections":100,"cold_start_s":0,"cold_per_s":0}],
 "limits":{"max_header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,"idle_timeout_ms":2000},"tenants":[]})";

/// Time within which connected gateways learn of a conviction; afterwards at most MAX_FORWARDED_AFTER_CONTACT more requests may reach upstreams.
constexpr milliseconds CONTACT_BOUND{3'000};
constexpr long MAX_FORWARDED_AFTER_CONTACT = 3;
constexpr size_t CRASHES_TO_CONVICT = 3;
constexpr milliseconds REPEAT_INTERVAL{250};
constexpr size_t GATEWAYS = 4;
constexpr size_t UPSTREAMS = 6;
const std::string CRASHING_BODY = "crash";
const std::string RESETTING_BODY = "break";

std::string request(const std::string &path, const std::string &body)
{
    static int number = 0;
    return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r" + std::to_string(++number)
        + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
} // namespace

TEST_GROUP(CrashingRequest)
{
    FleetFixture *fixture = nullptr;
    std::vector<framework::Instant> arrivedAt;
    int harmlessSent = 0;
    int harmlessQuarantined = 0;

    void setup() override
    {
        static auto &fixtures = *new std::vector<FleetFixture *>;
        fixtures.push_back(new FleetFixture(CONFIG, "plain", UPSTREAMS, [this](const ReceivedRequest &received) {
            if (received.body == RESETTING_BODY) {
                return Behaviour::ResetConnection;
            }
            if (received.body != CRASHING_BODY) {
                return Behaviour::Answer;
            }
            arrivedAt.push_back(framework::monotonicNow());
            return Behaviour::Crash;
        }));
        fixture = fixtures.back();
        for (size_t i = 0; i < GATEWAYS; ++i) {
            fixture->addGateway();
        }
        fixture->run(seconds{1});
    }

    /// Sends the crashing request and a harmless one in turn, until well after the third crash.
    void sendRequests(const std::string &path)
    {
        const framework::Instant end = framework::monotonicNow() + CONTACT_BOUND + seconds{4};
        while (framework::monotonicNow() < end) {
            fixture->send(request(path, CRASHING_BODY), [](const CallerResult &) {});
            ++harmlessSent;
            fixture->send(request(path, "sound " + std::to_string(harmlessSent)),
                          [this](const CallerResult &result) { harmlessQuarantined += isQuarantined(result) ? 1 : 0; });
            fixture->run(REPEAT_INTERVAL);
        }
    }

    void checkNoLongerForwarded() const
    {
        const std::vector<framework::Instant> crashes = fixture->crashes();
        CHECK(crashes.size() >= CRASHES_TO_CONVICT);
        const framework::Instant from = crashes[CRASHES_TO_CONVICT - 1] + CONTACT_BOUND;
        const auto later = std::ranges::count_if(arrivedAt, [from](framework::Instant at) { return at > from; });
        CHECK_TRUE_TEXT(later <= MAX_FORWARDED_AFTER_CONTACT,
                        ("sent " + std::to_string(later) + " times more, " + std::to_string(crashes.size()) + " crashes").c_str());
    }
};

TEST(CrashingRequest, safeRequestIsQuarantinedByAllGateways)
{
    sendRequests("/safe/x");
    checkNoLongerForwarded();
    LONGS_EQUAL(0, harmlessQuarantined);
}

TEST(CrashingRequest, unsafeRequestIsQuarantinedByAllGateways)
{
    sendRequests("/unsafe/x");
    checkNoLongerForwarded();
    LONGS_EQUAL(0, harmlessQuarantined);
}

TEST(CrashingRequest, streamRequestIsQuarantinedByAllGateways)
{
    sendRequests("/stream/x");
    checkNoLongerForwarded();
    LONGS_EQUAL(0, harmlessQuarantined);
}

TEST(CrashingRequest, isQuarantinedIfCrashedUpstreamsStillAcceptConnections)
{
    for (const auto &upstream : fixture->upstreams()) {
        upstream->keepsListening = true;
    }
    sendRequests("/unsafe/x");
    checkNoLongerForwarded();
    LONGS_EQUAL(0, harmlessQuarantined);
}

TEST(CrashingRequest, isRefusedWithALongRetryAfterAndNotForwarded)
{
    sendRequests("/safe/x");
    const size_t arrived = arrivedAt.size();
    const CallerResult result = fixture->sendAndWait(*fixture->gateways().front(), request("/safe/x", CRASHING_BODY));
    LONGS_EQUAL(503, result.status);
    CHECK_TRUE(isQuarantined(result));
    CHECK(std::stod(result.field("Retry-After")) > 60.0);
    LONGS_EQUAL(arrived, arrivedAt.size());
}

TEST(CrashingRequest, unsafeRequestThatMayHaveRunIsAnsweredWith502)
{
    for (int i = 0; i < 4; ++i) {
        const size_t arrived = arrivedAt.size();
        const CallerResult result = fixture->sendAndWait(*fixture->gateways().front(), request("/unsafe/x", CRASHING_BODY));
        // From the second crash on, the gateway may refuse the request without forwarding it.
        LONGS_EQUAL(i < 2 || arrivedAt.size() > arrived ? 502 : 503, result.status);
        fixture->run(seconds{1});
    }
}

TEST(CrashingRequest, isRefusedByAGatewayStartedAfterTheConviction)
{
    sendRequests("/unsafe/x");
    FleetGateway &started = fixture->addGateway();
    fixture->run(CONTACT_BOUND);
    const size_t arrived = arrivedAt.size();
    CHECK_TRUE(isQuarantined(fixture->sendAndWait(started, request("/unsafe/x", CRASHING_BODY))));
    LONGS_EQUAL(arrived, arrivedAt.size());
}

TEST(CrashingRequest, identicalAnsweredRequestsAreNotRefusedWhenUpstreamsCrash)
{
    int refused = 0;
    for (int round = 0; round < 12; ++round) {
        for (int i = 0; i < 10; ++i) {
            fixture->send(request("/safe/hot", ""), [&](const CallerResult &result) { refused += isQuarantined(result) ? 1 : 0; });
        }
        fixture->run(milliseconds{10});
        fixture->upstreams()[static_cast<size_t>(round) % UPSTREAMS]->crash();
        fixture->run(milliseconds{400});
    }
    LONGS_EQUAL(0, refused);
    CHECK(fixture->crashes().size() >= 10);
}

TEST(CrashingRequest, requestsInFlightWhenAllUpstreamsCrashAtOnceAreNotRefused)
{
    int refused = 0;
    for (int round = 0; round < 4; ++round) {
        for (int i = 0; i < 20; ++i) {
            fixture->send(request("/safe/" + std::to_string(i), "again"), [&](const CallerResult &result) { refused += isQuarantined(result) ? 1 : 0; });
        }
        fixture->run(milliseconds{10});
        for (const auto &upstream : fixture->upstreams()) {
            upstream->crash();
        }
        fixture->run(CrashableUpstream::RESTART_TIME + milliseconds{300});
    }
    LONGS_EQUAL(0, refused);
    LONGS_EQUAL(4 * UPSTREAMS, fixture->crashes().size());
}

TEST(CrashingRequest, connectionResetsAloneDoNotCountAsCrashes)
{
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
        fixture->send(request("/safe/x", RESETTING_BODY), [&](const CallerResult &result) { refused += isQuarantined(result) ? 1 : 0; });
        fixture->run(REPEAT_INTERVAL);
    }
    fixture->run(seconds{6});
    LONGS_EQUAL(0, refused);
    LONGS_EQUAL(0, fixture->crashes().size());
    for (const auto &gateway : fixture->gateways()) {
        LONGS_EQUAL(0, gateway->context.crashes.suspects());
    }
}

TEST(CrashingRequest, plannedTerminationDoesNotCountAsCrash)
{
    for (int round = 0; round < 4; ++round) {
        const auto &upstream = fixture->upstreams()[static_cast<size_t>(round)];
        for (const auto &gateway : fixture->gateways()) {
            gateway->context.dispatcher.onLeaving(upstream->id(), 1, milliseconds{0}, framework::monotonicNow());
        }
        for (int i = 0; i < 20; ++i) {
            fixture->send(request("/safe/x", "long"), [](const CallerResult &) {});
        }
        fixture->run(milliseconds{10});
        upstream->crash();
        fixture->run(milliseconds{300});
    }
    for (const auto &gateway : fixture->gateways()) {
        LONGS_EQUAL(0, gateway->context.crashes.suspects());
    }
}

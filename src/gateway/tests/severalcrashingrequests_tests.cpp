// Loopback tests with several requests that crash upstreams at the same time, beside sound ones of which one is always in flight.

#include "fleetfixture.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace daisymount;
using namespace daisymount::gateway;
using namespace daisymount::gateway::tests;

namespace
{
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *CONFIG = R"({"version":1,"routes":[
 {"name":"safe","host":"a.example","prefix":"/safe/","kind":"safe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2,"public":true}],
 "services":[{"name":"plain","health_path":"/h","max_connections":100,"cold_start_s":0,"cold_per_s":0}],
 "limits":{"max_header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,"idle_timeout_ms":2000},"tenants":[]})";

constexpr milliseconds CONTACT_BOUND{3'000};
constexpr size_t CRASHES_TO_RECOGNISE = 3;
constexpr long MAX_SENDS_AFTER_CONTACT = 3;
constexpr size_t GATEWAYS = 4;
constexpr size_t UPSTREAMS = 6;
constexpr int REPEATED_PER_ROUND = 6;
const std::string CRASHING = "crash";
} // namespace

TEST_GROUP(CrashingRequests)
{
    FleetFixture *fixture = nullptr;
    std::map<std::string, std::vector<framework::Instant>> arrivals; ///< At upstreams, by crashing body.
    int requests = 0;
    int soundQuarantined = 0;

    void setup() override
    {
        static auto &fixtures = *new std::vector<FleetFixture *>;
        fixtures.push_back(new FleetFixture(CONFIG, "plain", UPSTREAMS, [this](const ReceivedRequest &received) {
            if (!received.body.starts_with(CRASHING)) {
                return Behaviour::Answer;
            }
            arrivals[received.body].push_back(framework::monotonicNow());
            return Behaviour::Crash;
        }));
        fixture = fixtures.back();
        for (size_t i = 0; i < GATEWAYS; ++i) {
            fixture->addGateway();
        }
        fixture->run(seconds{1});
    }

    std::string request(const std::string &body)
    {
        return "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r" + std::to_string(++requests)
            + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void sendSound(const std::string &body)
    {
        fixture->send(request(body), [this](const CallerResult &result) { soundQuarantined += isQuarantined(result) ? 1 : 0; });
    }

    /// Sends each of @p crashing bodies once in each round, with one sound body REPEATED_PER_ROUND times and another one once.
    void play(int crashing, milliseconds round, seconds duration)
    {
        const framework::Instant end = framework::monotonicNow() + duration;
        for (int number = 0; framework::monotonicNow() < end; ++number) {
            for (int i = 0; i < crashing; ++i) {
                fixture->send(request(CRASHING + std::to_string(i)), [](const CallerResult &) {});
            }
            for (int i = 0; i < REPEATED_PER_ROUND; ++i) {
                sendSound("repeated");
            }
            sendSound("sound " + std::to_string(number));
            fixture->run(round);
        }
        fixture->run(seconds{3});
    }

    void check() const
    {
        for (const auto &[body, times] : arrivals) {
            const framework::Instant from = times[std::min(times.size(), CRASHES_TO_RECOGNISE) - 1] + CONTACT_BOUND;
            const auto later = std::ranges::count_if(times, [from](framework::Instant at) { return at > from; });
            CHECK_TRUE_TEXT(later <= MAX_SENDS_AFTER_CONTACT, (body + " sent " + std::to_string(later) + " times more").c_str());
        }
        LONGS_EQUAL(0, soundQuarantined);
    }
};

TEST(CrashingRequests, twoAreRecognised)
{
    play(2, milliseconds{250}, seconds{16});
    check();
}

TEST(CrashingRequests, threeAreRecognised)
{
    play(3, milliseconds{250}, seconds{20});
    check();
}

TEST(CrashingRequests, eightAreRecognised)
{
    play(8, milliseconds{500}, seconds{24});
    check();
}

TEST(CrashingRequests, sixteenAreRecognised)
{
    play(16, milliseconds{2'000}, seconds{30});
    check();
}

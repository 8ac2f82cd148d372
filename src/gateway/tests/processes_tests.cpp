// Tests that run gateways as separate processes, kill and restart them. The store and the crashing upstreams are simulated.

#include "fleetfixture.h"
#include "gatewayprocess.h"
#include "storestandin.h"

#include <cstdlib>
#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <vector>

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
 {"name":"unsafe","host":"a.example","prefix":"/unsafe/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2,"public":true}],
 "services":[{"name":"plain","health_path":"/h","max_connections":100,"cold_start_s":0,"cold_per_s":0}],
 "limits":{"max_header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,"idle_timeout_ms":2000},"tenants":[]})";

constexpr milliseconds CONTACT_BOUND{3'000};
constexpr long MAX_FORWARDED_AFTER_CONTACT = 3;
constexpr size_t CRASHES_TO_CONVICT = 3;
constexpr size_t GATEWAYS = 4;
constexpr size_t UPSTREAMS = 6;
const std::string CRASHING_BODY = "crash";

/// Never destroyed, because suspended coroutines refer to it.
class ProcessFixture
{
public:
    explicit ProcessFixture(size_t gateways = GATEWAYS) : store_(reactor_.get_executor())
    {
        store_.put("op/config", CONFIG);
        for (size_t i = 0; i < UPSTREAMS; ++i) {
            upstreams_.push_back(std::make_unique<CrashableUpstream>(
                reactor_.get_executor(), "u" + std::to_string(i), [this](const ReceivedRequest &received) { return behaviour(received); },
                [this, i] { registerUpstream(i); }));
            registerUpstream(i);
        }
        std::string pattern = (std::filesystem::temp_directory_path() / "daisymount-XXXXXX").string();
        folder_ = ::mkdtemp(pattern.data());
        for (size_t number = 1; number <= gateways; ++number) {
            gateways_.push_back(std::make_unique<GatewayProcess>(network_, number, store_.address(), folder_));
        }
    }

    void startAll()
    {
        for (const auto &gateway : gateways_) {
            CHECK_TRUE(gateway->start());
        }
    }

    void killAll()
    {
        for (const auto &gateway : gateways_) {
            gateway->kill();
        }
    }

    /// Kills the processes and removes their files.
    void end()
    {
        throttled_ = nullptr;
        killAll();
        std::filesystem::remove_all(folder_);
    }

    void send(const std::string &path, const std::string &body, std::function<void(const CallerResult &)> onEnd)
    {
        static int number = 0;
        const std::string bytes = "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r" + std::to_string(++number)
            + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        const asio::ip::tcp::endpoint endpoint = gateways_[random_() % gateways_.size()]->endpoint();
        asio::co_spawn(reactor_, sendAndReadResponse(reactor_.get_executor(), endpoint, bytes, std::move(onEnd)), asio::detached);
    }

    /// Sends a request to one gateway and returns the status of the response, 0 if there is none.
    int statusAt(size_t gateway, const std::string &path)
    {
        auto status = std::make_shared<int>(-1);
        const std::string bytes = "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: s" + std::to_string(random_())
            + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
        asio::co_spawn(reactor_,
                       sendAndReadResponse(reactor_.get_executor(), gateways_[gateway]->endpoint(), bytes,
                                           [status](const CallerResult &result) { *status = result.status; }),
                       asio::detached);
        while (*status < 0) {
            run(milliseconds{5});
        }
        return *status;
    }

    /// Runs gateway @p number only a quarter of the time from now on.
    void throttle(size_t number)
    {
        throttled_ = gateways_[number].get();
        asio::co_spawn(reactor_, alternate(), asio::detached);
    }

    FakeStore &store()
    {
        return store_;
    }

    void run(milliseconds duration)
    {
        reactor_.run_for(duration);
    }

    /// Waits until a series of consecutive probe requests to random gateways has succeeded; false on timeout.
    bool allServe(milliseconds within)
    {
        const framework::Instant end = framework::monotonicNow() + within;
        size_t served = 0;
        while (served < 4 * gateways_.size() && framework::monotonicNow() < end) {
            send("/safe/probe", "sound", [&served](const CallerResult &result) { served = result.status == 200 ? served + 1 : 0; });
            run(milliseconds{100});
        }
        return served >= 4 * gateways_.size();
    }

    std::vector<framework::Instant> crashes() const
    {
        return crashTimes(upstreams_);
    }

    std::vector<framework::Instant> arrivedAt; ///< Arrival times of the crashing request at upstreams.

private:
    asio::awaitable<void> alternate()
    {
        while (throttled_ != nullptr && throttled_->id() > 0) {
            ::kill(throttled_->id(), SIGSTOP);
            co_await transport::sleepFor(milliseconds{60});
            ::kill(throttled_->id(), SIGCONT);
            co_await transport::sleepFor(milliseconds{20});
        }
    }

    Behaviour behaviour(const ReceivedRequest &received)
    {
        if (received.body != CRASHING_BODY) {
            return Behaviour::Answer;
        }
        arrivedAt.push_back(framework::monotonicNow());
        return Behaviour::Crash;
    }

    void registerUpstream(size_t index)
    {
        const std::string prefix = "servers/u" + std::to_string(index) + "-";
        for (const std::string &key : store_.keys(prefix)) {
            store_.remove(key);
        }
        store_.put("servers/" + upstreams_[index]->id(), upstreams_[index]->registration("plain"));
    }

    asio::io_context reactor_;
    LoopbackNetwork network_{reactor_};
    FakeStore store_;
    std::vector<std::unique_ptr<CrashableUpstream>> upstreams_;
    std::vector<std::unique_ptr<GatewayProcess>> gateways_;
    GatewayProcess *throttled_ = nullptr;
    std::filesystem::path folder_;
    std::minstd_rand random_{1};
};
} // namespace

TEST_GROUP(GatewayProcesses)
{
    ProcessFixture *fixture = nullptr;

    void setup() override
    {
        static auto &fixtures = *new std::vector<ProcessFixture *>;
        fixtures.push_back(new ProcessFixture);
        fixture = fixtures.back();
        fixture->startAll();
        CHECK_TRUE(fixture->allServe(seconds{20}));
    }

    void teardown() override
    {
        fixture->end();
    }

    void sendCrashingRequests(milliseconds duration)
    {
        const framework::Instant end = framework::monotonicNow() + duration;
        while (framework::monotonicNow() < end) {
            fixture->send("/unsafe/x", CRASHING_BODY, [](const CallerResult &) {});
            fixture->run(milliseconds{250});
        }
    }
};

TEST(GatewayProcesses, crashingRequestStaysQuarantinedAfterRestartOfAllGateways)
{
    sendCrashingRequests(CONTACT_BOUND + seconds{4});
    const std::vector<framework::Instant> crashes = fixture->crashes();
    CHECK(crashes.size() >= CRASHES_TO_CONVICT);
    const framework::Instant from = crashes[CRASHES_TO_CONVICT - 1] + CONTACT_BOUND;
    const auto later = std::ranges::count_if(fixture->arrivedAt, [from](framework::Instant at) { return at > from; });
    CHECK_TRUE_TEXT(later <= MAX_FORWARDED_AFTER_CONTACT,
                    ("sent " + std::to_string(later) + " times more, " + std::to_string(crashes.size()) + " crashes").c_str());
    LONGS_EQUAL(1, fixture->store().keys("daisymount/convictions/").size());

    fixture->killAll();
    fixture->run(milliseconds{500});
    fixture->startAll();
    CHECK_TRUE(fixture->allServe(seconds{20}));
    const size_t arrived = fixture->arrivedAt.size();
    int refused = 0;
    for (int i = 0; i < 8; ++i) {
        fixture->send("/unsafe/x", CRASHING_BODY, [&](const CallerResult &result) { refused += result.status == 503 && isQuarantined(result) ? 1 : 0; });
        fixture->run(milliseconds{100});
    }
    LONGS_EQUAL(8, refused);
    LONGS_EQUAL(arrived, fixture->arrivedAt.size());
}

TEST_GROUP(ShortOfProcessorTime)
{
    static constexpr size_t FLEET = 16; ///< Enough that most gateways leave the watch of the store to others.
    static constexpr size_t THROTTLED = 8;
    static constexpr int ROUTES = 1'400;
    static constexpr milliseconds APPLY_BOUND{3'000};
    ProcessFixture *fixture = nullptr;

    void setup() override
    {
        static auto &fixtures = *new std::vector<ProcessFixture *>;
        fixtures.push_back(new ProcessFixture(FLEET));
        fixture = fixtures.back();
        fixture->startAll();
        CHECK_TRUE(fixture->allServe(seconds{30}));
    }

    void teardown() override
    {
        fixture->end();
    }

    /// A configuration with many routes, the last of which is served since this version.
    static std::string configOf(int version)
    {
        const std::string common
            = R"("host":"a.example","kind":"safe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2,"public":true})";
        std::string routes;
        for (int i = 0; i < ROUTES; ++i) {
            routes += R"({"name":"r)" + std::to_string(i) + R"(","prefix":"/r)" + std::to_string(i) + R"(/",)" + common + ",";
        }
        routes += R"({"name":"added","prefix":"/added)" + std::to_string(version) + R"(/",)" + common;
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
            + R"(],"services":[{"name":"plain","health_path":"/h","max_connections":100,"cold_start_s":0,"cold_per_s":0}],"limits":{},"tenants":[]})";
    }
};

/// Guards against a gateway that keeps an old configuration, because it is too slow for what the others read in time.
TEST(ShortOfProcessorTime, aLargeConfigurationIsInForceInTime)
{
    fixture->throttle(THROTTLED);
    for (int version = 2; version <= 5; ++version) {
        fixture->store().put("op/config", configOf(version));
        const framework::Instant limit = framework::monotonicNow() + APPLY_BOUND;
        const std::string path = "/added" + std::to_string(version) + "/x";
        int status = 0;
        while (status != 200 && framework::monotonicNow() < limit) {
            status = fixture->statusAt(THROTTLED, path);
        }
        LONGS_EQUAL(200, status);
    }
}

// A gateway process before faulty ranks that answer its own calls with bytes without end, and that send bytes on idle connections. The memory of the
// process is the bound.

#include "gatewayprocess.h"
#include "storestandin.h"

#include <fstream>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using namespace daisymount::gateway;
using namespace daisymount::gateway::tests;

namespace
{
using std::chrono::seconds;

constexpr const char *CONFIG = R"({"version":1,"routes":[{"name":"draft","host":"a.example","prefix":"/draft/","kind":"stream","timeout_ms":8000,
"target_latency_ms":400,"priority":1,"service":"model","max_attempts":2,"public":true,"resumable":true,"gap_aim_ms":120}],
"services":[{"name":"model","health_path":"/healthz","max_connections":408,"cold_start_s":0,"cold_per_s":0,"engine":{"slots":12,"kv_capacity":372000,
"link_mbps":180000.0,"stride":5,"step_ms":5.85,"sets":4,"experts":72,"placements":8,"spares":3,"expert_mb":780.0,"expert_share":0.85,"form_ms":600.0}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":1000,"idle_timeout_ms":2000},"tenants":[]})";

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
/// Sanitizers keep freed memory and shadow memory, so that the size of the process says nothing.
constexpr bool INSTRUMENTED = true;
#else
constexpr bool INSTRUMENTED = false;
#endif
constexpr int RANKS = 64;
/// Memory of the smallest gateway VM of the known deployments.
constexpr long MEMORY_BOUND_KB = 160 * 1024;
/// Just below the largest reply that any call accepts.
constexpr size_t LONGEST_REPLY = 7'500'000;

enum class Fault : uint8_t {
    EndlessBody, ///< Valid JSON of small values, whose parsed form takes many times its bytes.
    EndlessHead,
    BytesWhileIdle, ///< Sent after a short reply, on a connection that waits for the next call.
};

/// Never destroyed, because suspended coroutines refer to it.
class FaultyRanksFixture
{
public:
    explicit FaultyRanksFixture(Fault fault) : store_(reactor_.get_executor()), fault_(fault)
    {
        if (fault == Fault::EndlessBody) {
            bytes_ = "[0";
            while (bytes_.size() < LONGEST_REPLY) {
                bytes_ += ",0";
            }
            bytes_ += "]";
            bytes_ = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes_.size()) + "\r\n\r\n" + bytes_;
        } else {
            bytes_ = std::string(LONGEST_REPLY, 'x');
        }
        store_.put("op/config", CONFIG);
        for (int rank = 0; rank < RANKS; ++rank) {
            const std::string ip = network_.address(static_cast<size_t>(rank) + 10);
            acceptors_.push_back(transport::listenAt(reactor_.get_executor(), {asio::ip::make_address_v4(ip), 0}, [this](transport::ConnectionPtr connection) {
                asio::co_spawn(reactor_, serve(std::move(connection)), asio::detached);
            }));
            store_.put("servers/i-" + std::to_string(rank),
                       R"({"service":"model","address":")" + ip + ":" + std::to_string(acceptors_.back()->local_endpoint().port())
                           + R"(","zone":"z","slots":12,"state":"ready","cold_remaining_ms":0,"born":1})");
        }
        std::string pattern = (std::filesystem::temp_directory_path() / "daisymount-XXXXXX").string();
        folder_ = ::mkdtemp(pattern.data());
        gateway_ = std::make_unique<GatewayProcess>(network_, 1, store_.address(), folder_);
        CHECK_TRUE(gateway_->start());
    }

    /// Runs until the ranks were called often, and returns the peak memory of the gateway.
    long peakMemoryKb()
    {
        const framework::Instant limit = framework::monotonicNow() + seconds{20};
        while (calls_ < 6 * RANKS && framework::monotonicNow() < limit && !gateway_->ended()) {
            reactor_.run_for(std::chrono::milliseconds{20});
        }
        reactor_.run_for(seconds{1});
        std::ifstream status("/proc/" + std::to_string(gateway_->id()) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with("VmHWM:")) {
                return std::atol(line.c_str() + 6);
            }
        }
        return -1;
    }

    int calls() const
    {
        return calls_;
    }

    void end()
    {
        gateway_->kill();
        std::filesystem::remove_all(folder_);
    }

private:
    asio::awaitable<void> serve(transport::ConnectionPtr connection)
    {
        while (connection->open()) {
            const std::optional<ReceivedRequest> request = co_await readRequest(*connection);
            if (!request) {
                co_return;
            }
            ++calls_;
            if (fault_ == Fault::BytesWhileIdle) {
                co_await connection->write("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n", seconds{2});
                co_await transport::sleepFor(std::chrono::milliseconds{5});
            }
            co_await connection->write(bytes_, seconds{2});
        }
    }

    asio::io_context reactor_;
    LoopbackNetwork network_{reactor_};
    FakeStore store_;
    Fault fault_;
    std::string bytes_;
    std::vector<transport::AcceptorPtr> acceptors_;
    std::filesystem::path folder_;
    std::unique_ptr<GatewayProcess> gateway_;
    int calls_ = 0;
};

/// Checks the peak memory of a gateway before ranks with @p fault.
void checkMemory(Fault fault)
{
    static auto &fixtures = *new std::vector<FaultyRanksFixture *>;
    fixtures.push_back(new FaultyRanksFixture(fault));
    FaultyRanksFixture &fixture = *fixtures.back();
    const long peak = fixture.peakMemoryKb();
    const std::string text = std::to_string(peak) + " kB after " + std::to_string(fixture.calls()) + " calls";
    fixture.end();
    CHECK_TRUE_TEXT(fixture.calls() >= RANKS, text.c_str());
    CHECK_TRUE_TEXT(peak > 0, text.c_str());
    CHECK_TRUE_TEXT(INSTRUMENTED || peak < MEMORY_BOUND_KB, text.c_str());
}
} // namespace

TEST_GROUP(EndlessReplies){};

// Guards against a gateway that runs out of memory, since it keeps whatever faulty ranks send in reply to its own calls.
TEST(EndlessReplies, gatewayBoundsTheBodiesThatItsOwnCallsReceive)
{
    checkMemory(Fault::EndlessBody);
}

TEST(EndlessReplies, gatewayBoundsTheHeadsThatItsOwnCallsReceive)
{
    checkMemory(Fault::EndlessHead);
}

// Guards against connections that fill up while nobody reads them.
TEST(EndlessReplies, gatewayClosesIdleConnectionsThatSendBytes)
{
    checkMemory(Fault::BytesWhileIdle);
}

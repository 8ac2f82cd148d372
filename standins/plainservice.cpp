// Stand-in for a plain HTTP service with non-idempotent calls. It counts executions per idempotency key (or per request body
// if the header is missing), so that duplicate executions are detected.
//
// State: GET /standin/state returns {"runs": {key: n}, "starts_ms": [...]}.

#include "standinserver.h"

#include <docopt.h>

#include <deque>
#include <map>

namespace
{
using namespace daisymount;
using framework::Instant;

constexpr const char *USAGE = R"(Stand-in for a plain service.

Usage: standin_plainservice --address=ADDRESS [--latency-ms=MS]

Options:
  --address=ADDRESS  Address and port to listen on.
  --latency-ms=MS    Time that a call takes [default: 20].
)";

class PlainService
{
public:
    PlainService(const std::string &address, int64_t latencyMs)
        : latency_(std::chrono::milliseconds{latencyMs})
        , server_(address, framework::milliseconds{2}, {[this](const network::HttpRequest &request) { onRequest(request); }, {}, [this] { tick(); }})
    { }

    int run()
    {
        return server_.run();
    }

private:
    struct PendingCall
    {
        Instant completesAt;
        network::ExchangeId exchange;
        Json::Value response;
    };

    void onRequest(const network::HttpRequest &request)
    {
        if (request.path == "/standin/state") {
            server_.reply(request.exchange, 200, state());
            return;
        }
        const auto header = request.headers.find("idempotency-key");
        const std::string key = header == request.headers.end() ? request.body : header->second;
        Json::Value response;
        response["confirmed"] = key;
        response["run"] = ++executionCounts_[key];
        startTimesMs_.append(static_cast<Json::Int64>(standins::unixMillis()));
        pendingCalls_.push_back({framework::monotonicNow() + latency_, request.exchange, response});
    }

    void tick()
    {
        const Instant now = framework::monotonicNow();
        while (!pendingCalls_.empty() && pendingCalls_.front().completesAt <= now) {
            server_.reply(pendingCalls_.front().exchange, 200, pendingCalls_.front().response);
            pendingCalls_.pop_front();
        }
    }

    Json::Value state() const
    {
        Json::Value value;
        value["runs"] = Json::objectValue;
        for (const auto &[key, count] : executionCounts_) {
            value["runs"][key] = count;
        }
        value["starts_ms"] = startTimesMs_;
        return value;
    }

    framework::Duration latency_;
    std::map<std::string, int> executionCounts_;
    Json::Value startTimesMs_{Json::arrayValue};
    std::deque<PendingCall> pendingCalls_;
    standins::StandInServer server_;
};
} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc});
    return PlainService(arguments.at("--address").asString(), arguments.at("--latency-ms").asLong()).run();
}

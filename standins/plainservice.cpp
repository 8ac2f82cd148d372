// Stand-in for a plain service whose calls may not be repeated: records every run by key.
//
// GET /standin/state: {"runs": {key: n}, "starts_ms": [...]}.

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
    struct Running
    {
        Instant endsAt;
        network::ExchangeId exchange;
        Json::Value answer;
    };

    void onRequest(const network::HttpRequest &request)
    {
        if (request.path == "/standin/state") {
            server_.reply(request.exchange, 200, state());
            return;
        }
        const auto header = request.headers.find("idempotency-key");
        const std::string key = header == request.headers.end() ? request.body : header->second;
        Json::Value answer;
        answer["confirmed"] = key;
        answer["run"] = ++runs_[key];
        startsMs_.append(static_cast<Json::Int64>(standins::unixMillis()));
        running_.push_back({framework::monotonicNow() + latency_, request.exchange, answer});
    }

    void tick()
    {
        const Instant now = framework::monotonicNow();
        while (!running_.empty() && running_.front().endsAt <= now) {
            server_.reply(running_.front().exchange, 200, running_.front().answer);
            running_.pop_front();
        }
    }

    Json::Value state() const
    {
        Json::Value value;
        value["runs"] = Json::objectValue;
        for (const auto &[key, count] : runs_) {
            value["runs"][key] = count;
        }
        value["starts_ms"] = startsMs_;
        return value;
    }

    framework::Duration latency_;
    std::map<std::string, int> runs_;
    Json::Value startsMs_{Json::arrayValue};
    std::deque<Running> running_;
    standins::StandInServer server_;
};
} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc});
    return PlainService(arguments.at("--address").asString(), arguments.at("--latency-ms").asLong()).run();
}

// Stand-in for the platform's VM list API. The list is eventually consistent: a state change becomes visible after a
// configurable delay.
//
// Control: POST /standin/state {"name": "...", "state": "live" or "leaving" or "gone"}.
// API: GET /v1/vms, which omits VMs in the state "gone".

#include "standinserver.h"

#include <docopt.h>

#include <deque>
#include <map>

namespace
{
using namespace daisymount;
using framework::Instant;

constexpr const char *USAGE = R"(Stand-in for the platform's VM list.

Usage: standin_vmlist --address=ADDRESS [--lag-ms=MS]

Options:
  --address=ADDRESS  Address and port to listen on.
  --lag-ms=MS        Time until a change shows up [default: 500].
)";

class VmList
{
public:
    VmList(const std::string &address, int64_t visibilityDelayMs)
        : visibilityDelay_(std::chrono::milliseconds{visibilityDelayMs})
        , server_(address, framework::milliseconds{20}, {[this](const network::HttpRequest &request) { onRequest(request); }, {}, {}})
    { }

    int run()
    {
        return server_.run();
    }

private:
    struct Change
    {
        Instant visibleAt;
        std::string name;
        std::string state;
    };

    void onRequest(const network::HttpRequest &request)
    {
        const Instant now = framework::monotonicNow();
        while (!pendingChanges_.empty() && pendingChanges_.front().visibleAt <= now) {
            states_[pendingChanges_.front().name] = pendingChanges_.front().state;
            pendingChanges_.pop_front();
        }
        Json::Value response(Json::objectValue);
        if (request.path == "/standin/state") {
            const Json::Value body = standins::parseBody(request.body);
            pendingChanges_.push_back({now + visibilityDelay_, framework::stringField(body, "name"), framework::stringField(body, "state")});
        } else {
            response["vms"] = Json::arrayValue;
            for (const auto &[name, state] : states_) {
                if (state != "gone") {
                    Json::Value vm;
                    vm["name"] = name;
                    vm["state"] = state;
                    response["vms"].append(vm);
                }
            }
        }
        server_.reply(request.exchange, 200, response);
    }

    framework::Duration visibilityDelay_;
    std::deque<Change> pendingChanges_;
    std::map<std::string, std::string> states_;
    standins::StandInServer server_;
};
} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc});
    return VmList(arguments.at("--address").asString(), arguments.at("--lag-ms").asLong()).run();
}

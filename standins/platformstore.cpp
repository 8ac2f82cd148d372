// Stand-in for the platform's key-value service: the part of the etcd version 3 JSON gateway that daisymount uses.
//
// Faults: POST /standin/faults {"down": bool, "slow_ms": n, "lose_replies": bool}. Counters: GET /standin/state.

#include "standinserver.h"

#include <docopt.h>

#include <deque>
#include <map>
#include <optional>

namespace
{
using namespace daisymount;
using framework::Instant;
using network::ExchangeId;

constexpr const char *USAGE = R"(Stand-in for the platform's key-value service.

Usage: standin_platformstore --address=ADDRESS [--watch-limit-ms=MS]

Options:
  --address=ADDRESS    Address and port to listen on.
  --watch-limit-ms=MS  Longest wait of a watch [default: 1500].
)";

class PlatformStore
{
public:
    PlatformStore(const std::string &address, int64_t watchLimitMs)
        : watchLimit_(std::chrono::milliseconds{watchLimitMs})
        , server_(address, framework::milliseconds{5}, {[this](const network::HttpRequest &request) { onRequest(request); }, {}, [this] { tick(); }})
    { }

    int run()
    {
        return server_.run();
    }

private:
    /// Keys and values are kept in the base64 form in which they arrive.
    struct Value
    {
        std::string value;
        int64_t revision = 0;
        int64_t lease = 0;
    };

    struct Watch
    {
        ExchangeId exchange;
        std::string key;
        int64_t startRevision;
        Instant endsAt;
    };

    struct Delayed
    {
        Instant at;
        ExchangeId exchange;
        Json::Value body;
    };

    struct Lease
    {
        Instant endsAt;
        framework::Duration ttl;
    };

    void onRequest(const network::HttpRequest &request)
    {
        const Json::Value body = standins::parseBody(request.body);
        if (request.path == "/standin/faults") {
            down_ = framework::boolField(body, "down");
            loseReplies_ = framework::boolField(body, "lose_replies");
            slow_ = std::chrono::milliseconds{framework::intField(body, "slow_ms")};
            server_.reply(request.exchange, 200, Json::Value(Json::objectValue));
            return;
        }
        if (request.path == "/standin/state") {
            server_.reply(request.exchange, 200, state());
            return;
        }
        if (down_) {
            server_.port().abort(request.exchange);
            return;
        }
        if (request.path == "/v3/watch") {
            watch(request.exchange, body["create_request"]);
            return;
        }
        const Json::Value answer = handle(request.path, body);
        const bool lost = loseReplies_ && request.path == "/v3/kv/txn" && framework::boolField(answer, "succeeded");
        if (lost) {
            server_.port().abort(request.exchange);
        } else {
            delayed_.push_back({framework::monotonicNow() + slow_, request.exchange, answer});
            sendDelayed();
        }
    }

    Json::Value handle(const std::string &path, const Json::Value &body)
    {
        if (path == "/v3/kv/range") {
            ++reads_;
            return range(framework::stringField(body, "key"));
        }
        if (path == "/v3/kv/txn") {
            ++writes_;
            return transact(body);
        }
        if (path == "/v3/lease/grant") {
            ++writes_;
            const std::chrono::seconds ttl{std::strtoll(body["TTL"].asString().c_str(), nullptr, 10)};
            const int64_t id = ++lastLease_;
            leases_[id] = {framework::monotonicNow() + ttl, ttl};
            Json::Value answer;
            answer["ID"] = std::to_string(id);
            answer["TTL"] = body["TTL"];
            return answer;
        }
        if (path == "/v3/lease/keepalive") {
            ++writes_;
            const auto lease = leases_.find(std::strtoll(body["ID"].asString().c_str(), nullptr, 10));
            Json::Value answer;
            answer["result"]["TTL"] = "0";
            if (lease != leases_.end()) {
                lease->second.endsAt = framework::monotonicNow() + lease->second.ttl;
                answer["result"]["TTL"] = std::to_string(std::chrono::duration_cast<std::chrono::seconds>(lease->second.ttl).count());
            }
            return answer;
        }
        return Json::Value(Json::objectValue);
    }

    Json::Value range(const std::string &key) const
    {
        Json::Value answer;
        answer["header"]["revision"] = std::to_string(revision_);
        const auto found = values_.find(key);
        if (found != values_.end()) {
            Json::Value pair;
            pair["key"] = key;
            pair["value"] = found->second.value;
            pair["mod_revision"] = std::to_string(found->second.revision);
            answer["kvs"].append(pair);
        }
        return answer;
    }

    Json::Value transact(const Json::Value &body)
    {
        const Json::Value &compare = body["compare"][0];
        const std::string key = framework::stringField(compare, "key");
        const int64_t expected = std::strtoll(framework::stringField(compare, "mod_revision").c_str(), nullptr, 10);
        const auto found = values_.find(key);
        const int64_t standing = found == values_.end() ? 0 : found->second.revision;
        Json::Value answer;
        answer["succeeded"] = standing == expected;
        if (standing == expected) {
            const Json::Value &put = body["success"][0]["request_put"];
            const int64_t lease = std::strtoll(framework::stringField(put, "lease").c_str(), nullptr, 10);
            values_[key] = {framework::stringField(put, "value"), ++revision_, lease};
            notify(key);
        } else {
            answer["responses"][0]["response_range"] = range(key);
        }
        answer["header"]["revision"] = std::to_string(revision_);
        return answer;
    }

    void watch(ExchangeId exchange, const Json::Value &create)
    {
        ++reads_;
        const std::string key = framework::stringField(create, "key");
        const int64_t start = std::strtoll(framework::stringField(create, "start_revision").c_str(), nullptr, 10);
        watches_.push_back({exchange, key, start, framework::monotonicNow() + watchLimit_});
        notify(key);
    }

    void notify(const std::string &key)
    {
        const auto found = values_.find(key);
        const int64_t revision = found == values_.end() ? 0 : found->second.revision;
        std::erase_if(watches_, [&](const Watch &watch) {
            if (watch.key != key || revision < watch.startRevision) {
                return false;
            }
            Json::Value answer;
            answer["result"]["events"][0]["kv"]["mod_revision"] = std::to_string(revision);
            server_.reply(watch.exchange, 200, answer);
            return true;
        });
    }

    void tick()
    {
        const Instant now = framework::monotonicNow();
        std::erase_if(watches_, [&](const Watch &watch) {
            if (now < watch.endsAt) {
                return false;
            }
            Json::Value quiet;
            quiet["result"]["created"] = true;
            server_.reply(watch.exchange, 200, quiet);
            return true;
        });
        for (auto lease = leases_.begin(); lease != leases_.end();) {
            if (now < lease->second.endsAt) {
                ++lease;
                continue;
            }
            std::erase_if(values_, [&](const auto &item) { return item.second.lease == lease->first; });
            lease = leases_.erase(lease);
        }
        sendDelayed();
    }

    void sendDelayed()
    {
        const Instant now = framework::monotonicNow();
        while (!delayed_.empty() && delayed_.front().at <= now) {
            server_.reply(delayed_.front().exchange, 200, delayed_.front().body);
            delayed_.pop_front();
        }
    }

    Json::Value state() const
    {
        Json::Value value;
        value["reads"] = static_cast<Json::UInt64>(reads_);
        value["writes"] = static_cast<Json::UInt64>(writes_);
        value["revision"] = static_cast<Json::Int64>(revision_);
        return value;
    }

    framework::Duration watchLimit_;
    std::map<std::string, Value> values_;
    std::map<int64_t, Lease> leases_;
    std::deque<Watch> watches_;
    std::deque<Delayed> delayed_;
    int64_t revision_ = 1;
    int64_t lastLease_ = 0;
    uint64_t reads_ = 0;
    uint64_t writes_ = 0;
    bool down_ = false;
    bool loseReplies_ = false;
    framework::Duration slow_{0};
    standins::StandInServer server_;
};
} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc});
    return PlatformStore(arguments.at("--address").asString(), arguments.at("--watch-limit-ms").asLong()).run();
}

// Stand-in for the platform's key-value service. Implements the subset of the etcd v3 JSON gateway that daisymount uses:
// reads of single keys, transactions that compare the revision of one key, leases and watches by long polling.
//
// Fault injection: POST /standin/faults {"down": bool, "slow_ms": n, "lose_replies": bool}. Counters: GET /standin/state.

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
    /// Keys and values are stored base64-encoded, as received.
    struct Entry
    {
        std::string value;
        int64_t modRevision = 0;
        int64_t leaseId = 0;
    };

    /// Long poll that is answered when @c key reaches @c startRevision, or without an event at @c expiresAt.
    struct Watch
    {
        ExchangeId exchange;
        std::string key;
        int64_t startRevision;
        Instant expiresAt;
    };

    struct DelayedResponse
    {
        Instant sendAt;
        ExchangeId exchange;
        Json::Value body;
    };

    struct Lease
    {
        Instant expiresAt;
        framework::Duration ttl;
    };

    void onRequest(const network::HttpRequest &request)
    {
        const Json::Value body = standins::parseBody(request.body);
        if (request.path == "/standin/faults") {
            unavailable_ = framework::boolField(body, "down");
            dropTxnReplies_ = framework::boolField(body, "lose_replies");
            replyDelay_ = std::chrono::milliseconds{framework::intField(body, "slow_ms")};
            server_.reply(request.exchange, 200, Json::Value(Json::objectValue));
            return;
        }
        if (request.path == "/standin/state") {
            server_.reply(request.exchange, 200, state());
            return;
        }
        if (unavailable_) {
            server_.replyPort().abort(request.exchange);
            return;
        }
        if (request.path == "/v3/watch") {
            watch(request.exchange, body["create_request"]);
            return;
        }
        const Json::Value response = handle(request.path, body);
        // The transaction is applied but its reply is dropped: the client cannot tell whether it succeeded.
        const bool dropReply = dropTxnReplies_ && request.path == "/v3/kv/txn" && framework::boolField(response, "succeeded");
        if (dropReply) {
            server_.replyPort().abort(request.exchange);
        } else {
            delayedResponses_.push_back({framework::monotonicNow() + replyDelay_, request.exchange, response});
            sendDueResponses();
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
            const int64_t id = ++lastLeaseId_;
            leases_[id] = {framework::monotonicNow() + ttl, ttl};
            Json::Value response;
            response["ID"] = std::to_string(id);
            response["TTL"] = body["TTL"];
            return response;
        }
        if (path == "/v3/lease/keepalive") {
            ++writes_;
            const auto lease = leases_.find(std::strtoll(body["ID"].asString().c_str(), nullptr, 10));
            Json::Value response;
            response["result"]["TTL"] = "0";
            if (lease != leases_.end()) {
                lease->second.expiresAt = framework::monotonicNow() + lease->second.ttl;
                response["result"]["TTL"] = std::to_string(std::chrono::duration_cast<std::chrono::seconds>(lease->second.ttl).count());
            }
            return response;
        }
        return Json::Value(Json::objectValue);
    }

    Json::Value range(const std::string &key) const
    {
        Json::Value response;
        response["header"]["revision"] = std::to_string(revision_);
        const auto found = entries_.find(key);
        if (found != entries_.end()) {
            Json::Value pair;
            pair["key"] = key;
            pair["value"] = found->second.value;
            pair["mod_revision"] = std::to_string(found->second.modRevision);
            response["kvs"].append(pair);
        }
        return response;
    }

    Json::Value transact(const Json::Value &body)
    {
        const Json::Value &compare = body["compare"][0];
        const std::string key = framework::stringField(compare, "key");
        const int64_t expected = std::strtoll(framework::stringField(compare, "mod_revision").c_str(), nullptr, 10);
        const auto found = entries_.find(key);
        const int64_t currentRevision = found == entries_.end() ? 0 : found->second.modRevision;
        Json::Value response;
        response["succeeded"] = currentRevision == expected;
        if (currentRevision == expected) {
            const Json::Value &put = body["success"][0]["request_put"];
            const int64_t lease = std::strtoll(framework::stringField(put, "lease").c_str(), nullptr, 10);
            entries_[key] = {framework::stringField(put, "value"), ++revision_, lease};
            notifyWatchers(key);
        } else {
            response["responses"][0]["response_range"] = range(key);
        }
        response["header"]["revision"] = std::to_string(revision_);
        return response;
    }

    void watch(ExchangeId exchange, const Json::Value &create)
    {
        ++reads_;
        const std::string key = framework::stringField(create, "key");
        const int64_t start = std::strtoll(framework::stringField(create, "start_revision").c_str(), nullptr, 10);
        watches_.push_back({exchange, key, start, framework::monotonicNow() + watchLimit_});
        notifyWatchers(key);
    }

    /// Answers all watches of @p key whose start revision has been reached.
    void notifyWatchers(const std::string &key)
    {
        const auto found = entries_.find(key);
        const int64_t revision = found == entries_.end() ? 0 : found->second.modRevision;
        std::erase_if(watches_, [&](const Watch &watch) {
            if (watch.key != key || revision < watch.startRevision) {
                return false;
            }
            Json::Value response;
            response["result"]["events"][0]["kv"]["mod_revision"] = std::to_string(revision);
            server_.reply(watch.exchange, 200, response);
            return true;
        });
    }

    void tick()
    {
        const Instant now = framework::monotonicNow();
        std::erase_if(watches_, [&](const Watch &watch) {
            if (now < watch.expiresAt) {
                return false;
            }
            Json::Value response;
            response["result"]["created"] = true;
            server_.reply(watch.exchange, 200, response);
            return true;
        });
        for (auto lease = leases_.begin(); lease != leases_.end();) {
            if (now < lease->second.expiresAt) {
                ++lease;
                continue;
            }
            std::erase_if(entries_, [&](const auto &item) { return item.second.leaseId == lease->first; });
            lease = leases_.erase(lease);
        }
        sendDueResponses();
    }

    void sendDueResponses()
    {
        const Instant now = framework::monotonicNow();
        while (!delayedResponses_.empty() && delayedResponses_.front().sendAt <= now) {
            server_.reply(delayedResponses_.front().exchange, 200, delayedResponses_.front().body);
            delayedResponses_.pop_front();
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
    std::map<std::string, Entry> entries_;
    std::map<int64_t, Lease> leases_;
    std::deque<Watch> watches_;
    std::deque<DelayedResponse> delayedResponses_;
    int64_t revision_ = 1;
    int64_t lastLeaseId_ = 0;
    uint64_t reads_ = 0;
    uint64_t writes_ = 0;
    bool unavailable_ = false;
    bool dropTxnReplies_ = false;
    framework::Duration replyDelay_{0};
    standins::StandInServer server_;
};
} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc});
    return PlatformStore(arguments.at("--address").asString(), arguments.at("--watch-limit-ms").asLong()).run();
}

// In-memory implementation of the platform store's HTTP protocol: versioned items, leases, watches and atomic transactions. It can go away and come back
// from an older copy of itself.

#pragma once

#include "framework/json.h"
#include "gatewayfixture.h"
#include "platform/storecodec.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace daisymount::gateway::tests
{

/// Must stay alive as long as the reactor runs.
class FakeStore
{
public:
    explicit FakeStore(const asio::any_io_executor &executor)
        : listener_(std::make_unique<ScriptedUpstream>(
            executor, [this](transport::ConnectionPtr connection, ReceivedRequest request) { return serve(std::move(connection), std::move(request)); }))
    { }

    std::string address() const
    {
        return listener_->address();
    }

    /// Writes an item directly, as operators and upstreams do.
    void put(const std::string &key, const std::string &value, int64_t lease = 0)
    {
        ++revision_;
        items_[key] = {platform::encodeBase64(value), revision_, lease};
        history_.push_back({revision_, key});
    }

    void remove(const std::string &key)
    {
        if (items_.erase(key) > 0) {
            ++revision_;
            history_.push_back({revision_, key});
        }
    }

    /// Drops @p key and the lease that it is attached to as if they had never been written.
    void forget(const std::string &key)
    {
        const auto item = items_.find(key);
        if (item != items_.end()) {
            leases_.erase(item->second.lease);
            items_.erase(item);
        }
    }

    /// Value of an item; empty if there is none.
    std::string get(const std::string &key) const
    {
        const auto item = items_.find(key);
        return item == items_.end() ? std::string() : platform::decodeBase64(item->second.value).value_or("");
    }

    std::vector<std::string> keys(std::string_view prefix) const
    {
        std::vector<std::string> found;
        for (const auto &[key, item] : items_) {
            if (key.starts_with(prefix)) {
                found.push_back(key);
            }
        }
        return found;
    }

    /// From now on all answers tell @p era.
    void setEra(int64_t era)
    {
        era_ = era;
    }

    /// Remembers the present state for comeBackFromCopy().
    void takeCopy()
    {
        copy_ = {items_, history_, leases_, lastLeaseId_, revision_};
    }

    /// Ends all connections without a reply. New ones are closed until the store comes back.
    void goAway()
    {
        away_ = true;
        closeConnections();
    }

    /// Comes back with everything that it has acknowledged.
    void comeBack()
    {
        away_ = false;
    }

    /// Comes back in a new era as it was when the copy was taken. Leases that have ended since then, or began later, are gone.
    void comeBackFromCopy()
    {
        closeConnections();
        items_ = copy_.items;
        history_ = copy_.history;
        leases_ = copy_.leases;
        lastLeaseId_ = copy_.lastLeaseId;
        revision_ = copy_.revision;
        ++era_;
        away_ = false;
    }

    /// Number of leases that were ever granted.
    int64_t grantedLeases() const
    {
        return lastLeaseId_;
    }

private:
    struct Item
    {
        std::string value; ///< Base64.
        int64_t revision = 0;
        int64_t lease = 0;
    };

    struct Change
    {
        int64_t revision = 0;
        std::string key;
    };

    struct Lease
    {
        framework::milliseconds ttl{0};
        framework::Instant end{0};
    };

    struct State
    {
        std::map<std::string, Item> items;
        std::vector<Change> history;
        std::map<int64_t, Lease> leases;
        int64_t lastLeaseId = 0;
        int64_t revision = 1;
    };

    struct Reply
    {
        int status = 200;
        Json::Value body = Json::objectValue;
    };

    asio::awaitable<void> serve(transport::ConnectionPtr connection, ReceivedRequest request)
    {
        if (away_) {
            connection->close();
            co_return;
        }
        expireLeases();
        Reply reply;
        if (request.target.starts_with("/-/kv-watch")) {
            reply = co_await watch(request.target);
        } else if (request.target.starts_with("/-/kv-range")) {
            reply.body["items"] = Json::arrayValue;
            for (const std::string &key : keys(transport::queryValue(request.target, "prefix"))) {
                reply.body["items"].append(row(key));
            }
            reply.body["has_more"] = false;
            reply.body["store_revision"] = static_cast<Json::Int64>(revision_);
        } else {
            reply = change(request);
        }
        const std::string body = framework::writeJson(reply.body);
        const std::string era = era_ == 0 ? "" : "Store-Era: " + std::to_string(era_) + "\r\n";
        co_await send(connection,
                      "HTTP/1.1 " + std::to_string(reply.status) + " X\r\nContent-Type: application/json\r\n" + era
                          + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    void closeConnections()
    {
        for (const transport::ConnectionPtr &connection : listener_->connections) {
            connection->close();
        }
        listener_->connections.clear();
    }

    asio::awaitable<Reply> watch(std::string target)
    {
        const std::string prefix = transport::queryValue(target, "prefix");
        const int64_t after = std::stoll(transport::queryValue(target, "after"));
        const framework::Instant end = framework::monotonicNow() + framework::milliseconds{std::stoll(transport::queryValue(target, "wait_ms"))};
        Reply reply;
        if (after > revision_) {
            co_return Reply{410, Json::objectValue};
        }
        reply.body["events"] = Json::arrayValue;
        while (reply.body["events"].empty() && framework::monotonicNow() < end) {
            for (const Change &change : history_) {
                if (change.revision > after && change.key.starts_with(prefix)) {
                    reply.body["events"].append(row(change.key));
                }
            }
            if (reply.body["events"].empty()) {
                co_await transport::sleepFor(std::chrono::milliseconds{20});
            }
        }
        reply.body["store_revision"] = static_cast<Json::Int64>(revision_);
        co_return reply;
    }

    Reply change(const ReceivedRequest &request)
    {
        constexpr std::string_view keepPath = "/-/kv-keep/";
        constexpr std::string_view endPath = "/-/kv-lease-end/";
        Json::Value body;
        framework::evaluate([&]() -> framework::Result<void> {
            BOOST_LEAF_ASSIGN(body, framework::parseJsonObject(request.body));
            return {};
        });
        Reply reply;
        if (request.target == "/-/kv-lease") {
            const framework::milliseconds ttl{body["ttl_ms"].asInt64()};
            leases_[++lastLeaseId_] = {ttl, framework::monotonicNow() + ttl};
            reply.body["lease"] = static_cast<Json::Int64>(lastLeaseId_);
            reply.body["ttl_ms"] = static_cast<Json::Int64>(ttl.count());
        } else if (request.target.starts_with(keepPath)) {
            const auto lease = leases_.find(std::stoll(request.target.substr(keepPath.size())));
            if (lease == leases_.end()) {
                return {404, Json::objectValue};
            }
            lease->second.end = framework::monotonicNow() + lease->second.ttl;
            reply.body["ttl_ms"] = static_cast<Json::Int64>(lease->second.ttl.count());
        } else if (request.target.starts_with(endPath)) {
            endLease(std::stoll(request.target.substr(endPath.size())));
        } else if (request.target == "/-/kv-txn") {
            return transaction(body);
        }
        return reply;
    }

    Reply transaction(const Json::Value &body)
    {
        Reply reply;
        for (const Json::Value &expected : body["expected"]) {
            const auto item = items_.find(expected["key"].asString());
            if ((item == items_.end() ? 0 : item->second.revision) != expected["revision"].asInt64()) {
                return {412, Json::objectValue};
            }
        }
        for (const Json::Value &write : body["writes"]) {
            const int64_t lease = write["lease"].asInt64();
            if (lease != 0 && !leases_.contains(lease)) {
                return {404, Json::objectValue};
            }
        }
        for (const Json::Value &write : body["writes"]) {
            put(write["key"].asString(), platform::decodeBase64(write["value"].asString()).value_or(""), write["lease"].asInt64());
        }
        for (const Json::Value &key : body["remove"]) {
            remove(key.asString());
        }
        reply.body["revision"] = static_cast<Json::Int64>(revision_);
        return reply;
    }

    Json::Value row(const std::string &key) const
    {
        Json::Value json;
        json["key"] = key;
        const auto item = items_.find(key);
        if (item == items_.end()) {
            json["deleted"] = true;
            json["revision"] = static_cast<Json::Int64>(revision_);
        } else {
            json["value"] = item->second.value;
            json["revision"] = static_cast<Json::Int64>(item->second.revision);
            json["lease"] = static_cast<Json::Int64>(item->second.lease);
        }
        return json;
    }

    void endLease(int64_t id)
    {
        leases_.erase(id);
        for (const std::string &key : keys("")) {
            if (items_[key].lease == id) {
                remove(key);
            }
        }
    }

    void expireLeases()
    {
        std::vector<int64_t> expired;
        for (const auto &[id, lease] : leases_) {
            if (framework::monotonicNow() >= lease.end) {
                expired.push_back(id);
            }
        }
        std::ranges::for_each(expired, [this](int64_t id) { endLease(id); });
    }

    std::map<std::string, Item> items_;
    std::vector<Change> history_;
    std::map<int64_t, Lease> leases_;
    int64_t lastLeaseId_ = 0;
    int64_t revision_ = 1;
    int64_t era_ = 0; ///< 0: answers tell none.
    bool away_ = false;
    State copy_;
    std::unique_ptr<ScriptedUpstream> listener_;
};

} // namespace daisymount::gateway::tests

// The platform's store: versioned items, leases, watches and transactions.

#pragma once

#include "wire.h"

#include <json/json.h>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <sstream>

namespace review
{

inline std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline Json::Value parseJson(const std::string &text)
{
    Json::Value value;
    std::istringstream stream(text);
    std::string errors;
    Json::parseFromStream(Json::CharReaderBuilder(), stream, &value, &errors);
    return value;
}

inline std::string encodeBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t k = 0; k < 3; ++k) {
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (size_t k = 0; k < 4; ++k) {
            out += i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63];
        }
    }
    return out;
}

inline std::string decodeBase64(const std::string &text)
{
    std::string out;
    uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const int digit = c >= 'A' && c <= 'Z' ? c - 'A'
            : c >= 'a' && c <= 'z'             ? c - 'a' + 26
            : c >= '0' && c <= '9'             ? c - '0' + 52
            : c == '+'                         ? 62
            : c == '/'                         ? 63
                                               : -1;
        if (digit < 0) {
            continue;
        }
        group = group << 6 | static_cast<uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(group >> bits & 255);
        }
    }
    return out;
}

class Store
{
public:
    explicit Store(const std::string &ip) : listener_(ip, [this](Socket &socket) { serve(socket); })
    { }

    const std::string &address() const
    {
        return listener_.address();
    }

    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        write(key, encodeBase64(value), 0);
    }

    void remove(const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        erase(key);
    }

    /// Value of the last write under a condition whose keys begin with @p prefix.
    std::string lastConditionalWrite(const std::string &prefix)
    {
        const std::lock_guard lock(mutex_);
        const auto found = std::find_if(conditional_.rbegin(), conditional_.rend(), [&](const auto &entry) { return entry.first.starts_with(prefix); });
        return found == conditional_.rend() ? std::string() : found->second;
    }

private:
    struct Item
    {
        std::string value; ///< Base64.
        int64_t revision = 0;
        int64_t created = 0;
        int64_t lease = 0;
    };

    struct Lease
    {
        int64_t ttlMs = 0;
        double end = 0;
    };

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const size_t begin = target.find(name + "=");
        if (begin == std::string::npos) {
            return {};
        }
        const std::string raw = target.substr(begin + name.size() + 1, target.find('&', begin) - begin - name.size() - 1);
        std::string out;
        for (size_t i = 0; i < raw.size(); ++i) {
            if (raw[i] == '%') {
                out += static_cast<char>(std::strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                out += raw[i];
            }
        }
        return out;
    }

    void write(const std::string &key, const std::string &base64, int64_t lease)
    {
        Item &item = items_[key];
        item.value = base64;
        item.revision = ++revision_;
        item.created = item.created == 0 ? revision_ : item.created;
        item.lease = lease;
        Json::Value event = row(key);
        history_.emplace_back(key, event);
        changed_.notify_all();
    }

    void erase(const std::string &key)
    {
        if (items_.erase(key) == 0) {
            return;
        }
        Json::Value event;
        event["key"] = key;
        event["revision"] = static_cast<Json::Int64>(++revision_);
        event["deleted"] = true;
        history_.emplace_back(key, event);
        changed_.notify_all();
    }

    Json::Value row(const std::string &key)
    {
        const Item &item = items_.at(key);
        Json::Value json;
        json["key"] = key;
        json["value"] = item.value;
        json["revision"] = static_cast<Json::Int64>(item.revision);
        json["created"] = static_cast<Json::Int64>(item.created);
        json["lease"] = static_cast<Json::Int64>(item.lease);
        return json;
    }

    void endLease(int64_t lease)
    {
        leases_.erase(lease);
        std::vector<std::string> keys;
        for (const auto &[key, item] : items_) {
            if (item.lease == lease) {
                keys.push_back(key);
            }
        }
        std::for_each(keys.begin(), keys.end(), [this](const std::string &key) { erase(key); });
    }

    void expireLeases()
    {
        std::vector<int64_t> ended;
        for (const auto &[id, lease] : leases_) {
            if (seconds() >= lease.end) {
                ended.push_back(id);
            }
        }
        std::for_each(ended.begin(), ended.end(), [this](int64_t id) { endLease(id); });
    }

    void serve(Socket &socket)
    {
        Message request;
        while (socket.read(request, 120'000) == ReadResult::Complete) {
            int status = 200;
            const Json::Value body = handle(request, status);
            if (!socket.write(response(status, writeJson(body), "Content-Type: application/json\r\n"))) {
                return;
            }
        }
    }

    Json::Value handle(const Message &request, int &status)
    {
        std::unique_lock lock(mutex_);
        expireLeases();
        const std::string target = request.target();
        Json::Value reply(Json::objectValue);
        if (target.starts_with("/-/kv-watch")) {
            return watch(target, lock);
        }
        if (target.starts_with("/-/kv-range")) {
            const std::string prefix = parameter(target, "prefix");
            const std::string after = parameter(target, "after");
            reply["items"] = Json::arrayValue;
            for (const auto &[key, item] : items_) {
                if (key.starts_with(prefix) && key > after) {
                    reply["items"].append(row(key));
                }
            }
            reply["has_more"] = false;
            reply["store_revision"] = static_cast<Json::Int64>(revision_);
        } else if (target.starts_with("/-/kv-keep/")) {
            const auto lease = leases_.find(std::atoll(target.c_str() + 11));
            if (lease == leases_.end()) {
                status = 404;
                return reply;
            }
            lease->second.end = seconds() + static_cast<double>(lease->second.ttlMs) / 1000;
            reply["ttl_ms"] = static_cast<Json::Int64>(lease->second.ttlMs);
        } else if (target.starts_with("/-/kv-lease-end/")) {
            endLease(std::atoll(target.c_str() + 16));
        } else if (target == "/-/kv-lease") {
            const int64_t ttl = parseJson(request.body)["ttl_ms"].asInt64();
            leases_[++lastLease_] = {ttl, seconds() + static_cast<double>(ttl) / 1000};
            reply["lease"] = static_cast<Json::Int64>(lastLease_);
            reply["ttl_ms"] = static_cast<Json::Int64>(ttl);
        } else if (target == "/-/kv-txn") {
            reply = transaction(parseJson(request.body), status);
        } else {
            status = 404;
        }
        return reply;
    }

    Json::Value transaction(const Json::Value &body, int &status)
    {
        Json::Value reply(Json::objectValue);
        for (const Json::Value &expected : body["expected"]) {
            const auto item = items_.find(expected["key"].asString());
            if ((item == items_.end() ? 0 : item->second.revision) != expected["revision"].asInt64()) {
                status = 412;
                return reply;
            }
        }
        for (const Json::Value &entry : body["writes"]) {
            if (entry["lease"].asInt64() != 0 && !leases_.contains(entry["lease"].asInt64())) {
                status = 404;
                return reply;
            }
        }
        for (const Json::Value &entry : body["writes"]) {
            write(entry["key"].asString(), entry["value"].asString(), entry["lease"].asInt64());
            if (!body["expected"].empty()) {
                conditional_.emplace_back(entry["key"].asString(), decodeBase64(entry["value"].asString()));
            }
        }
        for (const Json::Value &key : body["remove"]) {
            erase(key.asString());
        }
        reply["revision"] = static_cast<Json::Int64>(revision_);
        return reply;
    }

    Json::Value watch(const std::string &target, std::unique_lock<std::mutex> &lock)
    {
        const std::string prefix = parameter(target, "prefix");
        const int64_t after = std::atoll(parameter(target, "after").c_str());
        const auto end = Clock::now() + std::chrono::milliseconds(std::atoll(parameter(target, "wait_ms").c_str()));
        Json::Value reply;
        reply["events"] = Json::arrayValue;
        while (true) {
            for (const auto &[key, event] : history_) {
                if (key.starts_with(prefix) && event["revision"].asInt64() > after) {
                    reply["events"].append(event);
                }
            }
            if (!reply["events"].empty() || changed_.wait_until(lock, end) == std::cv_status::timeout) {
                reply["store_revision"] = static_cast<Json::Int64>(revision_);
                return reply;
            }
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::map<int64_t, Lease> leases_;
    std::vector<std::pair<std::string, Json::Value>> history_;
    std::vector<std::pair<std::string, std::string>> conditional_;
    int64_t lastLease_ = 100;
    int64_t revision_ = 10;
    Listener listener_;
};

} // namespace review

// Platform store on the etcd v3 JSON gateway.

#include "store/httpplatformstore.h"

#include <pistache/base64.h>

#include <charconv>

namespace daisymount::store
{

using framework::Duration;
using framework::ResultCode;
using framework::Ret;
using network::CallResult;

namespace
{
constexpr Duration CALL_TIMEOUT = framework::seconds{2};
constexpr Duration WATCH_TIMEOUT = framework::seconds{2};
constexpr int HTTP_OK = 200;

std::string toBase64(std::string_view text)
{
    return Base64Encoder::EncodeString(std::string(text));
}

std::string fromBase64(const std::string &text)
{
    try {
        Base64Decoder decoder(text);
        const auto &bytes = decoder.Decode();
        return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
    } catch (const std::exception &) {
        return {};
    }
}

/// The etcd JSON gateway encodes 64-bit integers as strings.
int64_t gatewayInt(const Json::Value &object, const char *field)
{
    const std::string text = framework::stringField(object, field);
    int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

VersionedValue toValue(const Json::Value &pair)
{
    return {fromBase64(framework::stringField(pair, "value")), gatewayInt(pair, "mod_revision")};
}

VersionedValue firstValue(const Json::Value &answer)
{
    const bool present = answer.isObject() && answer["kvs"].isArray() && !answer["kvs"].empty();
    return present ? toValue(answer["kvs"][0]) : VersionedValue{};
}

Json::Value putRequest(std::string_view key, std::string_view value, int64_t lease)
{
    Json::Value put;
    put["request_put"]["key"] = toBase64(key);
    put["request_put"]["value"] = toBase64(value);
    if (lease != 0) {
        put["request_put"]["lease"] = std::to_string(lease);
    }
    return put;
}

Json::Value transaction(std::string_view key, int64_t expected, std::string_view value, int64_t lease)
{
    Json::Value compare;
    compare["key"] = toBase64(key);
    compare["target"] = "MOD";
    compare["result"] = "EQUAL";
    compare["mod_revision"] = std::to_string(expected);
    Json::Value read;
    read["request_range"]["key"] = toBase64(key);
    Json::Value body;
    body["compare"].append(compare);
    body["success"].append(putRequest(key, value, lease));
    body["failure"].append(read);
    return body;
}

int64_t currentRevision(const Json::Value &answer)
{
    const Json::Value &responses = answer["responses"];
    const bool present = responses.isArray() && !responses.empty() && responses[0].isObject();
    return present ? firstValue(responses[0]["response_range"]).revision : 0;
}
} // namespace

HttpPlatformStore::HttpPlatformStore(std::string baseUrl, std::unique_ptr<network::ClientPort> port) : baseUrl_(std::move(baseUrl)), port_(std::move(port))
{ }

void HttpPlatformStore::post(std::string_view path, const Json::Value &body, Duration timeout, JsonHandler handler)
{
    network::HttpCall call;
    call.method = "POST";
    call.url = baseUrl_ + std::string(path);
    call.headers = {"Content-Type: application/json"};
    call.body = framework::writeJson(body);
    call.timeout = timeout;
    const auto text = std::make_shared<std::string>();
    network::HttpCallHooks hooks;
    hooks.data = [text](int /*status*/, std::string_view bytes) { *text += bytes; };
    hooks.done = [text, handler = std::move(handler)](CallResult result, int status) {
        if (result == CallResult::NotConnected) {
            handler(Ret{ResultCode::StoreDown, "could not connect to the store"}, {});
            return;
        }
        if (result != CallResult::Complete) {
            handler(Ret{ResultCode::ReplyLost, "no complete reply from the store"}, {});
            return;
        }
        Json::Value answer;
        const Ret parsed = framework::evaluate([&]() -> framework::Result<void> {
            BOOST_LEAF_ASSIGN(answer, framework::parseJson(*text));
            return {};
        });
        if (status != HTTP_OK || !parsed || !answer.isObject()) {
            handler(Ret{ResultCode::StoreDown, "unexpected reply from the store, status " + std::to_string(status)}, {});
            return;
        }
        handler(Ret{}, answer);
    };
    port_->start(std::move(call), std::move(hooks));
}

void HttpPlatformStore::read(std::string_view key, ReadHandler handler)
{
    Json::Value body;
    body["key"] = toBase64(key);
    post("/v3/kv/range", body, CALL_TIMEOUT, [handler = std::move(handler)](const Ret &ret, const Json::Value &answer) {
        handler(ret ? Ret{} : Ret{ResultCode::StoreDown, ret.detail}, firstValue(answer));
    });
}

void HttpPlatformStore::compareAndSwap(std::string_view key, int64_t expected, std::string value, WriteHandler handler)
{
    const Json::Value body = transaction(key, expected, value, 0);
    post("/v3/kv/txn", body, CALL_TIMEOUT, [handler = std::move(handler)](const Ret &ret, const Json::Value &answer) {
        if (!ret) {
            handler(ret, 0);
        } else if (framework::boolField(answer, "succeeded")) {
            handler(Ret{}, gatewayInt(answer["header"], "revision"));
        } else {
            handler(Ret{ResultCode::CasConflict, "key does not have the expected revision"}, currentRevision(answer));
        }
    });
}

void HttpPlatformStore::watch(std::string_view key, int64_t knownRevision, ReadHandler handler)
{
    Json::Value body;
    body["create_request"]["key"] = toBase64(key);
    body["create_request"]["start_revision"] = std::to_string(knownRevision + 1);
    network::HttpCall call;
    call.method = "POST";
    call.url = baseUrl_ + "/v3/watch";
    call.headers = {"Content-Type: application/json"};
    call.body = framework::writeJson(body);
    call.timeout = WATCH_TIMEOUT;
    const auto text = std::make_shared<std::string>();
    network::HttpCallHooks hooks;
    hooks.data = [text](int /*status*/, std::string_view bytes) { *text += bytes; };
    const std::string keyText(key);
    hooks.done = [this, text, keyText, handler = std::move(handler)](CallResult result, int /*status*/) {
        const bool eventSeen = text->find("\"events\"") != std::string::npos;
        const bool idleTimeout = result == CallResult::TimedOut && !text->empty();
        if (!eventSeen && !idleTimeout && result != CallResult::Complete) {
            handler(Ret{ResultCode::StoreDown, "watch request to the store failed"}, {});
            return;
        }
        // Read the current value, because the event may not be the latest one.
        read(keyText, handler);
    };
    port_->start(std::move(call), std::move(hooks));
}

void HttpPlatformStore::acquire(std::string_view key, std::string_view holder, Duration ttl, LeaseHandler handler)
{
    Json::Value body;
    body["TTL"] = std::to_string(std::max<int64_t>(1, std::chrono::ceil<std::chrono::seconds>(ttl).count()));
    const std::string keyText(key);
    const std::string holderText(holder);
    post("/v3/lease/grant", body, CALL_TIMEOUT, [this, keyText, holderText, handler = std::move(handler)](const Ret &ret, const Json::Value &answer) {
        if (!ret) {
            handler(ret, {});
            return;
        }
        putLeaseHolder(keyText, holderText, gatewayInt(answer, "ID"), handler);
    });
}

void HttpPlatformStore::putLeaseHolder(std::string_view key, std::string_view holder, int64_t lease, const LeaseHandler &handler)
{
    const Json::Value body = transaction(key, 0, holder, lease);
    post("/v3/kv/txn", body, CALL_TIMEOUT, [lease, handler](const Ret &ret, const Json::Value &answer) {
        if (!ret) {
            handler(ret, {});
        } else if (framework::boolField(answer, "succeeded")) {
            handler(Ret{}, {lease, gatewayInt(answer["header"], "revision")});
        } else {
            handler(Ret{ResultCode::CasConflict, "lease is held by another process"}, {});
        }
    });
}

void HttpPlatformStore::renew(int64_t lease, RenewHandler handler)
{
    Json::Value body;
    body["ID"] = std::to_string(lease);
    post("/v3/lease/keepalive", body, CALL_TIMEOUT, [handler = std::move(handler)](const Ret &ret, const Json::Value &answer) {
        if (!ret) {
            handler(ret);
            return;
        }
        const bool held = gatewayInt(answer["result"], "TTL") > 0;
        handler(held ? Ret{} : Ret{ResultCode::LeaseLapsed, "lease has lapsed"});
    });
}

} // namespace daisymount::store

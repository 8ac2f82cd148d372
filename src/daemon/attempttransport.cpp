// Attempt transport.

#include "daemon/attempttransport.h"

#include "framework/json.h"

namespace daisymount::daemon
{

using attempts::AttemptEvent;
using attempts::AttemptId;
using attempts::Failure;
using claims::RevokeVerdict;
using framework::Duration;
using framework::ResultCode;
using framework::Ret;
using framework::RunState;
using network::CallResult;

namespace
{
constexpr Duration REVOKE_TIMEOUT = framework::milliseconds{800};
constexpr int HTTP_OK = 200;

RevokeVerdict parseVerdict(const std::string &text)
{
    Json::Value value;
    const Ret ret = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(value, framework::parseJson(text));
        return {};
    });
    if (!ret) {
        return RevokeVerdict::Unknown;
    }
    const std::string verdict = framework::stringField(value, "verdict");
    if (verdict == "never_starts") {
        return RevokeVerdict::NeverStarts;
    }
    return verdict == "started" ? RevokeVerdict::Started : RevokeVerdict::Unknown;
}
} // namespace

AttemptTransport::AttemptTransport(std::unique_ptr<network::ClientPort> port, EventHook events) : port_(std::move(port)), events_(std::move(events))
{ }

void AttemptTransport::send(std::string_view address, const attempts::AttemptRequest &request)
{
    network::HttpCall call;
    call.method = "POST";
    call.url = "http://" + std::string(address) + std::string(attempts::ATTEMPT_PATH);
    call.headers = {"Content-Type: application/octet-stream", std::string(attempts::ATTEMPT_HEADER) + ": " + attempts::encodeAttemptHeader(request)};
    call.body = request.body;
    call.timeout = Duration{0};
    const AttemptId attempt = request.attempt;
    network::HttpCallHooks hooks;
    hooks.data = [this, attempt](int /*status*/, std::string_view bytes) { onData(attempt, bytes); };
    hooks.done = [this, attempt](CallResult result, int /*status*/) { onDone(attempt, result); };
    live_[attempt].call = port_->start(std::move(call), std::move(hooks));
}

void AttemptTransport::cancel(AttemptId attempt)
{
    const auto found = live_.find(attempt);
    if (found != live_.end()) {
        port_->cancel(found->second.call);
        live_.erase(found);
    }
}

void AttemptTransport::deliver(AttemptId attempt, const AttemptEvent &event)
{
    if (live_.count(attempt) == 0) {
        return;
    }
    if (attempts::isFinal(event)) {
        // The rest of the HTTP answer is of no interest.
        live_.erase(attempt);
    }
    events_(attempt, event);
}

void AttemptTransport::onData(AttemptId attempt, std::string_view bytes)
{
    const auto found = live_.find(attempt);
    if (found == live_.end()) {
        return;
    }
    for (const std::string &payload : found->second.splitter.feed(bytes)) {
        AttemptEvent event;
        const Ret ret = framework::evaluate([&]() -> framework::Result<void> {
            BOOST_LEAF_ASSIGN(event, attempts::decodeEvent(payload));
            return {};
        });
        deliver(attempt, ret ? event : AttemptEvent{Failure{ResultCode::BadMessage, RunState::Unknown, Duration{0}, std::nullopt, std::nullopt}});
    }
}

void AttemptTransport::onDone(AttemptId attempt, CallResult result)
{
    const bool notConnected = result == CallResult::NotConnected;
    const ResultCode code = notConnected ? ResultCode::UpstreamUnreachable : ResultCode::UpstreamFailed;
    const RunState ran = notConnected ? RunState::NotRun : RunState::Unknown;
    deliver(attempt, Failure{code, ran, Duration{0}, std::nullopt, std::nullopt});
}

void AttemptTransport::revoke(std::string_view address, std::string_view key, uint64_t addressedTo, RevokeHandler handler)
{
    Json::Value body;
    body["key"] = std::string(key);
    body["addressed_to"] = static_cast<Json::UInt64>(addressedTo);
    network::HttpCall call;
    call.method = "POST";
    call.url = "http://" + std::string(address) + "/revoke";
    call.headers = {"Content-Type: application/json"};
    call.body = framework::writeJson(body);
    call.timeout = REVOKE_TIMEOUT;
    const auto text = std::make_shared<std::string>();
    network::HttpCallHooks hooks;
    hooks.data = [text](int /*status*/, std::string_view bytes) { *text += bytes; };
    hooks.done = [text, handler = std::move(handler)](CallResult result, int status) {
        const bool answered = result == CallResult::Complete && status == HTTP_OK;
        handler(answered ? parseVerdict(*text) : RevokeVerdict::Unknown);
    };
    port_->start(std::move(call), std::move(hooks));
}

} // namespace daisymount::daemon

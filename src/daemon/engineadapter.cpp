// Engine adapter.

#include "daemon/engineadapter.h"

#include "framework/json.h"

namespace daisymount::daemon
{

using attempts::AttemptId;
using attempts::Failure;
using framework::Duration;
using framework::ResultCode;
using framework::Ret;
using framework::RunState;
using network::CallResult;

namespace
{
constexpr std::string_view END_MARKER = "[DONE]";
constexpr Duration PROBE_TIMEOUT = framework::milliseconds{500};
constexpr int HTTP_OK = 200;

Json::Value parseOrNull(std::string_view text)
{
    Json::Value value;
    const Ret ret = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(value, framework::parseJson(text));
        return {};
    });
    return ret && value.isObject() ? value : Json::Value(Json::objectValue);
}

std::string tokenText(const Json::Value &event)
{
    const Json::Value &choices = event["choices"];
    if (!choices.isArray() || choices.empty()) {
        return {};
    }
    const std::string text = framework::stringField(choices[0], "text");
    return text.empty() ? framework::stringField(choices[0]["delta"], "content") : text;
}
} // namespace

EngineAdapter::EngineAdapter(std::string address, std::unique_ptr<network::ClientPort> port, EngineHooks hooks)
    : address_(std::move(address)), port_(std::move(port)), hooks_(std::move(hooks))
{ }

void EngineAdapter::setPlain(bool plain)
{
    plain_ = plain;
}

network::HttpCall EngineAdapter::modelCall(const attempts::AttemptRequest &request) const
{
    Json::Value body = parseOrNull(request.body);
    body["stream"] = true;
    body["resume_from"] = static_cast<Json::Int64>(request.resumeFrom);
    body["priority"] = request.priority;
    network::HttpCall call;
    call.method = "POST";
    call.body = framework::writeJson(body);
    call.headers = {"Content-Type: application/json"};
    return call;
}

network::HttpCall EngineAdapter::plainCall(const attempts::AttemptRequest &request) const
{
    network::HttpCall call;
    call.method = request.method;
    call.body = request.body;
    call.headers = {"Content-Type: application/json"};
    if (!request.callerKey.empty()) {
        call.headers.push_back("Idempotency-Key: " + request.callerKey);
    }
    return call;
}

void EngineAdapter::start(const attempts::AttemptRequest &request)
{
    network::HttpCall call = request.model ? modelCall(request) : plainCall(request);
    call.url = "http://" + address_ + request.path;
    call.timeout = Duration{0};
    call.ownConnection = true; // Answers of upstreams carry no request id.
    const AttemptId attempt = request.attempt;
    network::HttpCallHooks hooks;
    hooks.data = [this, attempt](int status, std::string_view bytes) { onData(attempt, status, bytes); };
    hooks.done = [this, attempt](CallResult result, int status) { onDone(attempt, result, status); };
    Live live;
    live.model = request.model;
    live.nextOffset = request.resumeFrom;
    live.call = port_->start(std::move(call), std::move(hooks));
    live_[attempt] = std::move(live);
}

void EngineAdapter::cancel(AttemptId attempt)
{
    const auto found = live_.find(attempt);
    if (found != live_.end()) {
        port_->cancel(found->second.call);
        live_.erase(found);
    }
}

void EngineAdapter::onData(AttemptId attempt, int status, std::string_view bytes)
{
    const auto found = live_.find(attempt);
    if (found == live_.end()) {
        return;
    }
    Live &live = found->second;
    live.status = status;
    if (!live.model || status != HTTP_OK) {
        live.body += bytes;
        return;
    }
    for (const std::string &payload : live.splitter.feed(bytes)) {
        if (live_.count(attempt) != 0) {
            onPayload(attempt, live, payload);
        }
    }
}

void EngineAdapter::onPayload(AttemptId attempt, Live &live, const std::string &payload)
{
    if (payload == END_MARKER) {
        live.ended = true;
        return;
    }
    const std::string text = tokenText(parseOrNull(payload));
    if (!text.empty()) {
        hooks_.event(attempt, attempts::Token{live.nextOffset++, text});
    }
}

void EngineAdapter::onDone(AttemptId attempt, CallResult result, int status)
{
    const auto found = live_.find(attempt);
    if (found == live_.end()) {
        return;
    }
    const Live live = std::move(found->second);
    live_.erase(found);
    if (result == CallResult::NotConnected) {
        hooks_.event(attempt, Failure{ResultCode::UpstreamUnreachable, RunState::NotRun, Duration{0}, std::nullopt, std::nullopt});
    } else if (result != CallResult::Complete || (live.model && status == HTTP_OK && !live.ended)) {
        hooks_.event(attempt, Failure{ResultCode::UpstreamFailed, RunState::Unknown, Duration{0}, std::nullopt, std::nullopt});
    } else if (live.model && status == HTTP_OK) {
        hooks_.event(attempt, attempts::End{live.nextOffset});
    } else {
        hooks_.event(attempt, attempts::Answer{status, "application/json", live.body});
    }
}

void EngineAdapter::probe()
{
    if (plain_.value_or(true)) {
        hooks_.probed(lastIncarnation_);
        return;
    }
    network::HttpCall call;
    call.url = "http://" + address_ + "/load";
    call.timeout = PROBE_TIMEOUT;
    const auto text = std::make_shared<std::string>();
    network::HttpCallHooks hooks;
    hooks.data = [text](int /*status*/, std::string_view bytes) { *text += bytes; };
    hooks.done = [this, text](CallResult result, int /*status*/) {
        if (result == CallResult::TimedOut) {
            // Silence tells nothing about a restart.
            hooks_.probed(lastIncarnation_);
            return;
        }
        const uint64_t incarnation = framework::uintField(parseOrNull(*text), "incarnation");
        lastIncarnation_ = incarnation == 0 ? std::nullopt : std::optional<uint64_t>(incarnation);
        hooks_.probed(lastIncarnation_);
    };
    port_->start(std::move(call), std::move(hooks));
}

} // namespace daisymount::daemon

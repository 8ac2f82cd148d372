// Attempt codec.

#include "attempts/attemptcodec.h"

namespace daisymount::attempts
{

namespace
{
using framework::boolField;
using framework::intField;
using framework::stringField;
using framework::uintField;

constexpr std::string_view EVENT_PREFIX = "data: ";
constexpr std::string_view EVENT_END = "\n\n";

Json::Value encodeHint(const routing::LoadHint &hint)
{
    Json::Value value;
    value["in_flight"] = static_cast<Json::Int64>(hint.inFlight);
    value["queued"] = static_cast<Json::Int64>(hint.queued);
    value["limit"] = static_cast<Json::Int64>(hint.limit);
    value["cold"] = hint.cold;
    value["incarnation"] = static_cast<Json::UInt64>(hint.incarnation);
    return value;
}

routing::LoadHint decodeHint(const Json::Value &value)
{
    return {intField(value, "in_flight"), intField(value, "queued"), intField(value, "limit"), boolField(value, "cold"), uintField(value, "incarnation")};
}

Json::Value encodeCrash(const quarantine::CrashReport &crash)
{
    Json::Value value;
    value["upstream"] = crash.upstream;
    value["engine_incarnation"] = static_cast<Json::UInt64>(crash.engineIncarnation);
    value["in_flight"] = Json::arrayValue;
    for (const quarantine::Fingerprint fingerprint : crash.inFlight) {
        value["in_flight"].append(static_cast<Json::UInt64>(fingerprint));
    }
    return value;
}

quarantine::CrashReport decodeCrash(const Json::Value &value)
{
    quarantine::CrashReport crash{stringField(value, "upstream"), uintField(value, "engine_incarnation"), {}};
    for (const Json::Value &item : value["in_flight"]) {
        if (item.isUInt64()) {
            crash.inFlight.push_back(item.asUInt64());
        }
    }
    return crash;
}

struct EventEncoder
{
    Json::Value operator()(const Accepted &accepted) const
    {
        Json::Value value;
        value["accepted"] = encodeHint(accepted.hint);
        return value;
    }

    Json::Value operator()(const Token &token) const
    {
        Json::Value value;
        value["offset"] = static_cast<Json::Int64>(token.offset);
        value["text"] = token.text;
        return value;
    }

    Json::Value operator()(const Answer &answer) const
    {
        Json::Value value;
        value["status"] = answer.status;
        value["type"] = answer.contentType;
        value["body"] = answer.body;
        return value;
    }

    Json::Value operator()(const End &end) const
    {
        Json::Value value;
        value["end"] = static_cast<Json::Int64>(end.totalTokens);
        return value;
    }

    Json::Value operator()(const Failure &failure) const
    {
        Json::Value value;
        value["code"] = static_cast<int>(failure.code);
        value["ran"] = std::string(toString(failure.ran));
        value["retry_after_us"] = static_cast<Json::Int64>(failure.retryAfter.count());
        if (failure.hint) {
            value["hint"] = encodeHint(*failure.hint);
        }
        if (failure.crash) {
            value["crash"] = encodeCrash(*failure.crash);
        }
        return value;
    }
};

RunState decodeRunState(const std::string &text)
{
    for (const RunState state : {RunState::NotRun, RunState::Ran}) {
        if (toString(state) == text) {
            return state;
        }
    }
    return RunState::Unknown;
}

Failure decodeFailure(const Json::Value &value)
{
    Failure failure;
    failure.code = static_cast<ResultCode>(intField(value, "code"));
    failure.ran = decodeRunState(stringField(value, "ran"));
    failure.retryAfter = Duration{intField(value, "retry_after_us")};
    if (value.isMember("hint")) {
        failure.hint = decodeHint(value["hint"]);
    }
    if (value.isMember("crash") && value["crash"].isObject()) {
        failure.crash = decodeCrash(value["crash"]);
    }
    return failure;
}
} // namespace

bool isFinal(const AttemptEvent &event)
{
    return !std::holds_alternative<Accepted>(event) && !std::holds_alternative<Token>(event);
}

std::string encodeAttemptHeader(const AttemptRequest &request)
{
    Json::Value value;
    value["attempt"] = static_cast<Json::UInt64>(request.attempt);
    value["request"] = request.request;
    value["service"] = request.service;
    value["organisation"] = request.organisation;
    value["method"] = request.method;
    value["path"] = request.path;
    value["model"] = request.model;
    value["resume_from"] = static_cast<Json::Int64>(request.resumeFrom);
    value["caller_key"] = request.callerKey;
    value["key"] = request.executionKey;
    value["addressed_to"] = static_cast<Json::UInt64>(request.addressedTo);
    value["priority"] = request.priority;
    value["time_left_us"] = static_cast<Json::Int64>(request.timeLeft.count());
    value["exclusive"] = request.exclusive;
    value["fingerprint"] = static_cast<Json::UInt64>(request.fingerprint);
    return framework::writeJson(value);
}

framework::Result<AttemptRequest> decodeAttemptHeader(std::string_view text)
{
    BOOST_LEAF_AUTO(value, framework::parseJson(text));
    AttemptRequest request;
    request.attempt = uintField(value, "attempt");
    request.request = stringField(value, "request");
    request.service = stringField(value, "service");
    request.organisation = stringField(value, "organisation");
    request.method = stringField(value, "method");
    request.path = stringField(value, "path");
    request.model = boolField(value, "model");
    request.resumeFrom = intField(value, "resume_from");
    request.callerKey = stringField(value, "caller_key");
    request.executionKey = stringField(value, "key");
    request.addressedTo = uintField(value, "addressed_to");
    request.priority = static_cast<int>(intField(value, "priority"));
    request.timeLeft = Duration{intField(value, "time_left_us")};
    request.exclusive = boolField(value, "exclusive");
    request.fingerprint = uintField(value, "fingerprint");
    if (request.attempt == 0 || request.path.empty()) {
        return framework::fail(ResultCode::BadMessage, "attempt header");
    }
    return request;
}

std::string encodeEvent(const AttemptEvent &event)
{
    const Json::Value value = std::visit(EventEncoder{}, event);
    return std::string(EVENT_PREFIX) + framework::writeJson(value) + std::string(EVENT_END);
}

framework::Result<AttemptEvent> decodeEvent(std::string_view json)
{
    BOOST_LEAF_AUTO(value, framework::parseJson(json));
    if (!value.isObject()) {
        return framework::fail(ResultCode::BadMessage, "attempt event");
    }
    if (value.isMember("offset")) {
        return AttemptEvent{Token{intField(value, "offset"), stringField(value, "text")}};
    }
    if (value.isMember("accepted")) {
        return AttemptEvent{Accepted{decodeHint(value["accepted"])}};
    }
    if (value.isMember("end")) {
        return AttemptEvent{End{intField(value, "end")}};
    }
    if (value.isMember("status")) {
        return AttemptEvent{Answer{static_cast<int>(intField(value, "status")), stringField(value, "type"), stringField(value, "body")}};
    }
    if (value.isMember("code")) {
        return AttemptEvent{decodeFailure(value)};
    }
    return framework::fail(ResultCode::BadMessage, "attempt event");
}

std::vector<std::string> EventSplitter::feed(std::string_view bytes)
{
    buffer_ += bytes;
    std::vector<std::string> payloads;
    size_t begin = 0;
    for (size_t end = buffer_.find(EVENT_END); end != std::string::npos; end = buffer_.find(EVENT_END, begin)) {
        std::string_view event(buffer_.data() + begin, end - begin);
        if (event.substr(0, EVENT_PREFIX.size()) == EVENT_PREFIX) {
            event.remove_prefix(EVENT_PREFIX.size());
            payloads.emplace_back(event);
        }
        begin = end + EVENT_END.size();
    }
    buffer_.erase(0, begin);
    return payloads;
}

bool EventSplitter::hasPartial() const
{
    return !buffer_.empty();
}

} // namespace daisymount::attempts

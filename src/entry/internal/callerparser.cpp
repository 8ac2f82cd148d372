// Caller interface: completions, chat completions, plain services.

#include "entry/callerparser.h"

#include "framework/hash.h"
#include "framework/json.h"

#include <algorithm>
#include <charconv>

namespace daisymount::entry
{

namespace
{
using framework::stringField;

constexpr std::string_view SERVICES_PREFIX = "/services/";
constexpr std::string_view BEARER_PREFIX = "Bearer ";
/// Characters of a prompt that decide prefix affinity.
constexpr size_t AFFINITY_PREFIX_LENGTH = 256;
/// Usual characters per token, for estimates.
constexpr double CHARACTERS_PER_TOKEN = 4.0;
constexpr int64_t DEFAULT_MAX_TOKENS = 256;
/// Cost of a call to a plain service against the organisation's token rate.
constexpr double PLAIN_CALL_TOKENS = 1.0;

std::string headerOf(const CallerHttp &http, const std::string &name)
{
    const auto found = http.headers.find(name);
    return found == http.headers.end() ? std::string() : found->second;
}

int64_t numericHeader(const CallerHttp &http, const std::string &name)
{
    const std::string text = headerOf(http, name);
    int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void readCommonHeaders(const CallerHttp &http, CallerRequest &request)
{
    const std::string authorization = headerOf(http, "authorization");
    if (authorization.compare(0, BEARER_PREFIX.size(), BEARER_PREFIX) == 0) {
        request.apiKey = authorization.substr(BEARER_PREFIX.size());
    }
    request.method = http.method;
    request.body = http.body;
    request.idempotencyKey = headerOf(http, "idempotency-key");
    constexpr int64_t maxDeadlineMs = 3'600'000;
    request.deadline = framework::milliseconds{std::clamp<int64_t>(numericHeader(http, "x-daisymount-deadline-ms"), 0, maxDeadlineMs)};
    request.priority = static_cast<int>(std::clamp<int64_t>(numericHeader(http, "x-daisymount-priority"), -10, 10));
    const std::string deferrable = headerOf(http, "x-daisymount-deferrable");
    if (!deferrable.empty()) {
        request.deferrable = deferrable == "true";
    }
}

std::string promptOf(const Json::Value &body, CallerApi api)
{
    if (api == CallerApi::Completion) {
        return stringField(body, "prompt");
    }
    std::string prompt;
    for (const Json::Value &message : body["messages"]) {
        prompt += stringField(message, "role") + ":" + stringField(message, "content") + "\n";
    }
    return prompt;
}

framework::Result<void> readModelCall(const CallerHttp &http, ParsedCall &call)
{
    BOOST_LEAF_AUTO(body, framework::parseJson(http.body));
    if (!body.isObject()) {
        return framework::fail(ResultCode::BadJson, "an object is expected");
    }
    const bool hasPrompt = call.api == CallerApi::Completion ? body["prompt"].isString() : body["messages"].isArray();
    if (stringField(body, "model").empty() || !hasPrompt) {
        return framework::fail(ResultCode::MissingField, call.api == CallerApi::Completion ? "model, prompt" : "model, messages");
    }
    const std::string prompt = promptOf(body, call.api);
    const int64_t maxTokens = body["max_tokens"].isInt64() ? std::max<int64_t>(1, body["max_tokens"].asInt64()) : DEFAULT_MAX_TOKENS;
    call.request.service = stringField(body, "model");
    call.request.path = http.path;
    call.request.stream = framework::boolField(body, "stream");
    call.request.estimatedTokens = static_cast<double>(prompt.size()) / CHARACTERS_PER_TOKEN + static_cast<double>(maxTokens);
    call.request.prefixHash = framework::hash64(std::string_view(prompt).substr(0, AFFINITY_PREFIX_LENGTH));
    return {};
}

framework::Result<void> readPlainCall(const CallerHttp &http, ParsedCall &call)
{
    const std::string_view rest = std::string_view(http.path).substr(SERVICES_PREFIX.size());
    const size_t slash = rest.find('/');
    call.request.service = std::string(rest.substr(0, slash));
    call.request.path = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    call.request.model = false;
    call.request.estimatedTokens = PLAIN_CALL_TOKENS;
    if (call.request.service.empty()) {
        return framework::fail(ResultCode::UnknownPath, http.path);
    }
    return {};
}

Json::Value choiceOf(CallerApi api, bool chunk, std::string_view text)
{
    Json::Value choice;
    choice["index"] = 0;
    if (api == CallerApi::Chat) {
        Json::Value &message = choice[chunk ? "delta" : "message"];
        message["role"] = "assistant";
        message["content"] = std::string(text);
    } else {
        choice["text"] = std::string(text);
    }
    choice["finish_reason"] = chunk ? Json::Value() : Json::Value("stop");
    return choice;
}

Json::Value envelopeOf(CallerApi api, bool chunk, std::string_view request, std::string_view model, std::string_view text)
{
    Json::Value value;
    value["id"] = std::string(request);
    value["object"] = api == CallerApi::Chat ? (chunk ? "chat.completion.chunk" : "chat.completion") : "text_completion";
    value["model"] = std::string(model);
    value["choices"].append(choiceOf(api, chunk, text));
    return value;
}
} // namespace

framework::Result<ParsedCall> parseCall(const CallerHttp &http)
{
    ParsedCall call;
    readCommonHeaders(http, call.request);
    if (http.method == "POST" && http.path == "/v1/completions") {
        call.api = CallerApi::Completion;
    } else if (http.method == "POST" && http.path == "/v1/chat/completions") {
        call.api = CallerApi::Chat;
    } else if (http.path.compare(0, SERVICES_PREFIX.size(), SERVICES_PREFIX) == 0) {
        call.api = CallerApi::Plain;
    } else {
        return framework::fail(ResultCode::UnknownPath, http.method + " " + http.path);
    }
    if (call.api == CallerApi::Plain) {
        BOOST_LEAF_CHECK(readPlainCall(http, call));
    } else {
        BOOST_LEAF_CHECK(readModelCall(http, call));
    }
    return call;
}

std::string renderToken(CallerApi api, std::string_view request, std::string_view model, std::string_view text)
{
    return "data: " + framework::writeJson(envelopeOf(api, true, request, model, text)) + "\n\n";
}

std::string renderStreamEnd()
{
    return "data: [DONE]\n\n";
}

std::string renderWhole(CallerApi api, std::string_view request, std::string_view model, const CallerReply &reply)
{
    Json::Value value = envelopeOf(api, false, request, model, reply.body);
    value["usage"]["completion_tokens"] = static_cast<Json::Int64>(reply.tokens);
    return framework::writeJson(value);
}

std::string renderRefusal(std::string_view request, const CallerReply &reply)
{
    const framework::ResultCodeInfo &info = framework::resultCodeInfo(reply.code);
    Json::Value error;
    error["code"] = static_cast<int>(reply.code);
    error["name"] = std::string(info.name);
    error["message"] = std::string(info.meaning);
    error["ran"] = std::string(toString(reply.ran));
    error["request"] = std::string(request);
    error["retry_after_ms"] = static_cast<Json::Int64>(std::chrono::duration_cast<std::chrono::milliseconds>(reply.retryAfter).count());
    Json::Value value;
    value["error"] = error;
    return framework::writeJson(value);
}

} // namespace daisymount::entry

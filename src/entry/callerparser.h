// Turns HTTP requests of callers into entry requests, and replies into the bodies that callers expect.

#pragma once

#include "entry/entrytypes.h"
#include "framework/result.h"

#include <map>
#include <string>
#include <string_view>

namespace daisymount::entry
{

/// Shape of a caller's interface.
enum class CallerApi : uint8_t {
    Completion, ///< POST /v1/completions
    Chat, ///< POST /v1/chat/completions
    Plain, ///< Any method on /services/<name>/...
};

struct CallerHttp
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct ParsedCall
{
    CallerApi api = CallerApi::Completion;
    CallerRequest request; ///< Without an id.
};

/// BadJson, MissingField or UnknownPath on a fault.
framework::Result<ParsedCall> parseCall(const CallerHttp &http);

/// One server-sent event with a token, in the shape of @p api.
std::string renderToken(CallerApi api, std::string_view request, std::string_view model, std::string_view text);
/// Last event of a complete stream.
std::string renderStreamEnd();
/// Body of a whole model answer.
std::string renderWhole(CallerApi api, std::string_view request, std::string_view model, const CallerReply &reply);
/// Body of a refusal, or of the event that ends an incomplete stream.
std::string renderRefusal(std::string_view request, const CallerReply &reply);

} // namespace daisymount::entry

// How attempts travel between entry and sidecar: HTTP request headers, and server-sent events or one JSON body back.

#pragma once

#include "attempts/attempttypes.h"
#include "framework/json.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::attempts
{

/// Header names are compared without regard to case.
using Headers = std::map<std::string, std::string>;

/// Header that carries the encoded attempt.
constexpr std::string_view ATTEMPT_HEADER = "X-Daisymount-Attempt";
/// Path at the sidecar.
constexpr std::string_view ATTEMPT_PATH = "/attempt";

/// All fields but the body.
std::string encodeAttemptHeader(const AttemptRequest &request);
framework::Result<AttemptRequest> decodeAttemptHeader(std::string_view text);

/// One server-sent event, "data: {...}\n\n".
std::string encodeEvent(const AttemptEvent &event);
framework::Result<AttemptEvent> decodeEvent(std::string_view json);

/// Splits a byte stream into the payloads of its server-sent events.
class EventSplitter
{
public:
    /// Returns the payloads that @p bytes completes.
    std::vector<std::string> feed(std::string_view bytes);
    /// True while a partial event is buffered.
    bool hasPartial() const;

private:
    std::string buffer_;
};

} // namespace daisymount::attempts

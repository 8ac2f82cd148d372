// Types of the entry slice: callers' requests and the answers to them.

#pragma once

#include "framework/clock.h"
#include "framework/resultcode.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace daisymount::entry
{

using framework::Duration;
using framework::Instant;
using framework::ResultCode;
using framework::RunState;

/// One request as the HTTP adapter has parsed it.
struct CallerRequest
{
    std::string id; ///< Unique per receipt, told to the caller.
    std::string apiKey;
    std::string service;
    std::string method = "POST";
    std::string path; ///< At the upstream.
    std::string body;
    std::string idempotencyKey; ///< Empty when the caller gave none.
    bool model = true;
    bool stream = false; ///< The caller wants tokens as they come.
    std::optional<bool> deferrable; ///< Overrides the organisation's setting.
    Duration deadline{0}; ///< 0: the service's.
    int priority = 0;
    double estimatedTokens = 0.0;
    uint64_t prefixHash = 0;
};

/// The final answer to a caller. For a streamed answer with code Ok the tokens have been sent before.
struct CallerReply
{
    ResultCode code = ResultCode::Ok;
    RunState ran = RunState::NotRun;
    Duration retryAfter{0}; ///< 0: no advice.
    int status = 200;
    std::string contentType = "application/json";
    std::string body; ///< Text of a whole model answer or body of a plain one.
    int64_t tokens = 0;
    bool replayed = false; ///< A stored answer to an earlier request with the same key.
};

/// Callers' ends of requests. Exactly one onReply per request, unless the caller has gone.
class ICallerSink
{
public:
    virtual ~ICallerSink() = default;
    virtual void onToken(std::string_view request, int64_t offset, std::string_view text) = 0;
    virtual void onReply(std::string_view request, const CallerReply &reply) = 0;
};

/// Figures of one ended request, for metrics and the burn report.
struct RequestOutcome
{
    std::string service;
    std::string organisation;
    ResultCode code = ResultCode::Ok;
    Duration firstToken{0}; ///< 0 when there was none.
    Duration total{0};
    int64_t tokens = 0;
    int64_t slowGaps = 0; ///< Gaps between tokens above the objective.
    int attempts = 0;
};

/// Asked of the entry that holds a claim, when its key is repeated elsewhere.
struct OwnerQuery
{
    std::string claimId;
    std::string service;
    std::string key;
    std::string asker; ///< Entry that asks.
};

enum class OwnerStatus : uint8_t {
    Running = 0,
    Done = 1,
    Released = 2, ///< Nothing ran under the claim and its key is being freed.
    Unknown = 3,
};

struct OwnerAnswer
{
    std::string claimId;
    OwnerStatus status = OwnerStatus::Unknown;
    int answerStatus = 0;
    std::string answerType;
    std::string answerBody;
};

} // namespace daisymount::entry

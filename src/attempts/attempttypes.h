// Messages between an entry and a sidecar about one attempt to run a request.

#pragma once

#include "framework/clock.h"
#include "framework/result.h"
#include "quarantine/quarantine.h"
#include "routing/routingtypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace daisymount::attempts
{

using framework::Duration;
using framework::Instant;
using framework::ResultCode;
using framework::RunState;

/// Unique over all entries: a hash of the entry's name and incarnation in the upper half, a counter in the lower.
using AttemptId = uint64_t;

struct AttemptRequest
{
    AttemptId attempt = 0;
    std::string request; ///< Id of the caller's request, for logs.
    std::string service;
    std::string organisation;
    std::string method = "POST";
    std::string path; ///< At the upstream.
    std::string body;
    bool model = true; ///< Answered with tokens rather than with one body.
    int64_t resumeFrom = 0; ///< Tokens that the caller already has.
    std::string callerKey; ///< Idempotency key as the caller gave it, passed on to plain services.
    std::string executionKey; ///< Set for non-idempotent requests: runs at most once on this upstream.
    uint64_t addressedTo = 0; ///< Sidecar incarnation that the entry knows; checked for non-idempotent requests.
    int priority = 0;
    Duration timeLeft{0}; ///< To the deadline.
    bool exclusive = false;
    quarantine::Fingerprint fingerprint = 0;
};

/// The sidecar handed the request to the upstream.
struct Accepted
{
    routing::LoadHint hint;
};

struct Token
{
    int64_t offset = 0;
    std::string text;
};

/// Whole answer of a plain service.
struct Answer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// All tokens were sent.
struct End
{
    int64_t totalTokens = 0;
};

/// The attempt ended without a complete answer.
struct Failure
{
    ResultCode code = ResultCode::Internal;
    RunState ran = RunState::Unknown;
    Duration retryAfter{0};
    std::optional<routing::LoadHint> hint; ///< Absent when the sidecar did not answer.
    std::optional<quarantine::CrashReport> crash; ///< The engine died with these requests in flight.
};

using AttemptEvent = std::variant<Accepted, Token, Answer, End, Failure>;

/// True when no further event follows @p event.
bool isFinal(const AttemptEvent &event);

} // namespace daisymount::attempts

// Types of the claims slice: a non-idempotent request runs only after its claim stands in the platform's store.

#pragma once

#include "framework/clock.h"
#include "framework/resultcode.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace daisymount::claims
{

using framework::Duration;
using framework::Instant;

/// An answer kept for repeats of the same request.
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// The right to run one keyed request once.
struct Claim
{
    std::string key; ///< Idempotency key, scoped by organisation.
    uint64_t bodyHash = 0; ///< A repeat with another body is a caller error.
    std::string claimId; ///< Unique per receipt; begins with the owner's name and incarnation.
    std::string owner; ///< Entry that runs the request.
};

enum class ClaimVerdict : uint8_t {
    Granted, ///< The claim stands in the journal and nobody else holds the key.
    Duplicate, ///< Another claim holds the key.
    Refused, ///< No claim of this request was granted; it has not run.
};

struct ClaimOutcome
{
    ClaimVerdict verdict = ClaimVerdict::Refused;
    framework::ResultCode code = framework::ResultCode::Ok; ///< Reason of a refusal.
    Claim existing; ///< The standing claim. For Granted this is the claim to run under.
    std::optional<StoredAnswer> answer; ///< Known answer of a duplicate.
};

using ClaimHandler = std::function<void(const ClaimOutcome &outcome)>;

struct ClaimsOptions
{
    std::string self; ///< Name of this entry.
    Duration batchInterval = framework::milliseconds{40}; ///< Least time between two writes of one shard.
    Duration claimTimeout = framework::seconds{2}; ///< A claim not settled by then is refused.
    Duration forwardTimeout = framework::milliseconds{200}; ///< The home entry's time to answer.
    Duration retryInterval = framework::milliseconds{250}; ///< Pause after a failed store call.
    size_t maxPending = 4096; ///< Records that may wait per shard.
    size_t segmentBytes = 64 * 1024; ///< A journal segment is sealed beyond this size.
    size_t maxAnswerBytes = 8 * 1024; ///< Larger answers are not kept.
};

/// Shard of @p key among @p shards.
int64_t shardOf(std::string_view key, int64_t shards);

} // namespace daisymount::claims

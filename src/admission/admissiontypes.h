// Types of the admission slice.

#pragma once

#include "framework/clock.h"
#include "framework/resultcode.h"

#include <cstdint>
#include <string>
#include <vector>

namespace daisymount::admission
{

using framework::Duration;
using framework::Instant;

using AttemptId = uint64_t;

/// An attempt that asks to run on the upstream.
struct Offer
{
    AttemptId attempt = 0;
    int priority = 0; ///< Higher runs first.
    Instant deadline{0}; ///< The answer is worthless after this.
    bool exclusive = false; ///< Runs alone, as suspects of crashing the engine do.
};

enum class Verdict : uint8_t {
    Admitted, ///< Hand it to the engine now.
    Queued, ///< Wait for poll() to name it.
    Refused, ///< Not run and will not be.
};

struct Decision
{
    Verdict verdict = Verdict::Refused;
    framework::ResultCode code = framework::ResultCode::Ok; ///< Reason of a refusal.
    Duration retryAfter{0}; ///< When a refused request may come back.
};

/// Attempts whose state changed without a call of their own.
struct PollResult
{
    std::vector<AttemptId> admitted;
    std::vector<std::pair<AttemptId, Decision>> refused;
};

/// Why the limit went back to the cold one.
enum class ColdReason : uint8_t {
    Started,
    EngineRestarted,
    LatencyJump,
    ReturnedToService,
};

} // namespace daisymount::admission

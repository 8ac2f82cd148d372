// What a gateway that shuts down keeps about its last requests, for its log.

#pragma once

#include "framework/clock.h"

#include <optional>

namespace daisymount::gateway
{

struct DrainTally
{
    int passedOn = 0; ///< Since SIGTERM.
    int refused = 0; ///< Since SIGTERM, because they would not end before the exit.
    int cut = 0; ///< In the life of the process.
    framework::Instant lastEndAt{0}; ///< When the last response was complete; 0 if none was.
};

/// What a draining gateway expected of a request when it passed it on.
struct DrainEstimate
{
    std::optional<framework::Duration> needed; ///< Longest time that the request was expected to take; empty if unknown.
    framework::Duration left{0}; ///< Time to the exit.
};

} // namespace daisymount::gateway

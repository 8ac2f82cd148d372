// What a gateway that shuts down keeps about its last requests, for its log.

#pragma once

#include "framework/clock.h"

#include <optional>

namespace daisymount::gateway
{

/// Counts since SIGTERM.
struct DrainTally
{
    int passedOn = 0;
    int refused = 0; ///< Because they would not end before the exit.
    int cut = 0;
    framework::Instant lastEndAt{0}; ///< When the last response was complete; 0 if none was.
};

/// Expectation on which a draining gateway passed a request on.
struct DrainEstimate
{
    std::optional<framework::Duration> needed; ///< Longest time that the request was expected to take; empty if unknown.
    framework::Duration left{0}; ///< Time to the exit.
};

} // namespace daisymount::gateway

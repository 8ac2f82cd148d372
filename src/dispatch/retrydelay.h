// Chooses when a refused caller should come back.
//
// Expected load: callers that return once and accept a delay of up to a third of their remaining time. During an outage of several
// seconds, for example while all machines restart and the store does not answer, an early return meets the same outage and is the last one.

#pragma once

#include "framework/clock.h"

#include <cstdint>
#include <random>

namespace daisymount::dispatch
{

using framework::Duration;
using framework::milliseconds;

enum class RefusalCause : uint8_t {
    Busy, ///< Capacity is in use and becomes free all the time.
    Outage, ///< Nothing can be served until something has recovered.
};

class RetryDelay
{
public:
    explicit RetryDelay(uint64_t seed);

    /// Returns a random delay for a caller with @p left until its deadline. It is below the longest delay that callers accept, and spread so
    /// that callers refused at the same time do not return at the same time.
    milliseconds choose(RefusalCause cause, Duration left);

private:
    std::minstd_rand random_;
};

} // namespace daisymount::dispatch

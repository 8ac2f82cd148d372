// Limits the concurrent requests to an upstream that has just started or recovered, by how it answers.
//
// Expected load: some tens of entries that learn of a new upstream at the same time. All of them together would send it more than it bears, while
// a fixed delay leaves a fast upstream idle.

#pragma once

#include "framework/clock.h"

#include <cstdint>
#include <string_view>

namespace daisymount::dispatch
{

using framework::Duration;
using framework::Instant;
using framework::milliseconds;

/// Share of one entry in the ramp of an upstream.
struct RampUpView
{
    int slots = 1; ///< Of the upstream.
    int entries = 1; ///< Entries that may send to it, including this one.
    Duration usualAnswer{0}; ///< Usual time to an answer of the service's other upstreams; 0 if unknown.
};

class RampUp
{
public:
    /// The upstream has started or recovered. @p position in [0, entries) is the place of this entry in a random order for this upstream.
    void begin(const RampUpView &view, uint64_t position, Instant now);
    bool isActive() const;
    /// True if the upstream may get one more request while @p inFlight of this entry are under way.
    bool allows(int inFlight, Instant now) const;
    /// An answer came @p sinceSent after its request.
    void onAnswer(Duration sinceSent, Instant now);
    /// A request was refused or failed.
    void onFailure(Instant now);
    /// Concurrent requests of this entry; 0 while other entries begin.
    int window(Instant now) const;

private:
    RampUpView view_;
    bool active_ = false;
    bool hasAnswered_ = false;
    int window_ = 1; ///< At least 1.
    Instant joinsAt_{0}; ///< When this entry may send its first request.
};

} // namespace daisymount::dispatch

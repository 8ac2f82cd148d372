// What entries tell each other about requests that were under way at an upstream when it crashed.

#pragma once

#include "framework/clock.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::crashattribution
{

using framework::Duration;
using framework::Instant;
using framework::milliseconds;

/// Hash of what makes two requests the same one to an upstream. Request ids are no part of it: a caller that repeats a request uses a new one.
using Fingerprint = uint64_t;

/// What makes two requests the same one to an upstream.
struct RequestIdentity
{
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query.
    std::string_view organisation; ///< Empty on public routes.
    std::string_view body;
};

Fingerprint fingerprintOf(const RequestIdentity &request);

/// A fingerprint as logs show it: 16 hexadecimal digits.
std::string toText(Fingerprint fingerprint);

/// One life of an upstream process. It crashes once at most.
struct UpstreamIncarnation
{
    std::string upstream; ///< Id.
    int64_t bornMs = 0; ///< Unix milliseconds of its start.

    auto operator<=>(const UpstreamIncarnation &) const = default;
};

/// A request was under way at an incarnation, without an answer, when that crashed.
struct CrashObservation
{
    Fingerprint fingerprint = 0;
    UpstreamIncarnation incarnation;
    milliseconds age{0}; ///< Since the crash.
    milliseconds timeInFlight{0}; ///< From the sending of the request to the crash.
};

/// An upstream has answered the request: it does not crash what runs it.
struct Clearance
{
    Fingerprint fingerprint = 0;
    milliseconds age{0}; ///< Since the answer.
};

/// The request counts as the cause of several crashes and is refused.
struct Conviction
{
    Fingerprint fingerprint = 0;
    milliseconds age{0}; ///< Since the conviction.
};

/// What one entry tells the others. They may get it twice, late and in any order.
struct CrashUpdate
{
    std::vector<CrashObservation> observations;
    std::vector<Clearance> clearances;
    std::vector<Conviction> convictions;

    bool empty() const
    {
        return observations.empty() && clearances.empty() && convictions.empty();
    }
};

} // namespace daisymount::crashattribution

// Messages between entries about requests in flight at an upstream when it crashed.

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

/// Hash of a RequestIdentity or of a prompt part. Request ids are not included, since callers use a new id for each retry.
using Fingerprint = uint64_t;

/// Properties by which an upstream regards two requests as identical.
struct RequestIdentity
{
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query.
    std::string_view organisation; ///< Empty on public routes.
    std::string_view body;
};

Fingerprint fingerprintOf(const RequestIdentity &request);

/// Fingerprint of a prompt part at the upstreams of @p service.
Fingerprint fingerprintOfPart(std::string_view service, std::string_view part);

/// Formats a fingerprint for logs as 16 hexadecimal digits.
std::string toText(Fingerprint fingerprint);

/// One run of an upstream process. It can crash at most once.
struct UpstreamIncarnation
{
    std::string upstream; ///< Id.
    int64_t bornMs = 0; ///< Unix milliseconds of its start.

    auto operator<=>(const UpstreamIncarnation &) const = default;
};

/// A request was in flight at an incarnation when the incarnation crashed.
struct CrashObservation
{
    Fingerprint fingerprint = 0;
    UpstreamIncarnation incarnation;
    milliseconds age{0}; ///< Since the crash.
    milliseconds timeInFlight{0}; ///< From sending the request to the crash.
};

/// An upstream responded to the request, so the request does not crash upstreams.
struct Clearance
{
    Fingerprint fingerprint = 0;
    milliseconds age{0}; ///< Since the response.
};

/// The request was found to cause several crashes and is rejected.
struct Conviction
{
    Fingerprint fingerprint = 0;
    milliseconds age{0}; ///< Since the conviction.
};

/// Update from one entry to others. It may arrive more than once, late and out of order.
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

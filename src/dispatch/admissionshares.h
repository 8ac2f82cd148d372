// Divides the capacity of a service between priorities, organisations and returning callers when demand exceeds it.
//
// Expected load: demand of up to 2.5 times the capacity for several seconds, some tens of organisations of which the largest send a third of
// all requests, some tens of entries that each see a small part of the demand, and refused callers that return once.

#pragma once

#include "dispatch/retrydelay.h"
#include "framework/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::dispatch
{

using framework::Instant;

/// What the share of a request depends on.
struct DemandKey
{
    int priority = 0; ///< 0 is the highest.
    std::string organisation;
    bool returning = false; ///< The caller was refused before.
};

/// Demand at one entry, as told to the others.
struct DemandReport
{
    struct Organisation
    {
        uint32_t hash = 0;
        double perSecond = 0.0;
    };

    struct Priority
    {
        int priority = 0;
        double perSecond = 0.0; ///< All requests, including those of the organisations listed.
        std::vector<Organisation> largest; ///< Largest first, at most MAX_ORGANISATIONS.
    };

    static constexpr size_t MAX_ORGANISATIONS = 8;

    std::vector<Priority> priorities; ///< By priority, ascending.
};

enum class ShareReason : uint8_t {
    Room, ///< Demand does not exceed the capacity.
    Share, ///< Within the share of the organisation at this priority.
    Returning, ///< The caller was refused before and goes first.
    OverShare, ///< The organisation has used its share of this priority.
    LowPriority, ///< More urgent requests need the capacity.
};

std::string_view toString(ShareReason reason);

struct ShareDecision
{
    bool admit = true;
    ShareReason reason = ShareReason::Room;
    milliseconds retryAfter{0}; ///< If not admitted.
    double fraction = 1.0; ///< Fraction of such requests that is admitted.
};

class AdmissionShares
{
public:
    explicit AdmissionShares(uint64_t seed);

    /// Counts a request as demand, whether it is admitted or not. Must be called once for each request before admit().
    void onArrival(const DemandKey &key, Instant now);
    void onPeerDemand(std::string_view entry, const DemandReport &report, Instant now);
    /// Number of entries including this one, by which its own demand is multiplied while the demand of others is unknown.
    void setEntries(int entries);
    /// Requests a second that the service can serve in time, over all entries.
    void setCapacity(double perSecond, Instant now);
    /// Demand at this entry, for the other entries.
    DemandReport report(Instant now) const;
    /// Fraction of the demand on the service that arrives at this entry, in (0, 1].
    double ownShare(Instant now) const;
    ShareDecision admit(const DemandKey &key, Duration left, Duration objective, Instant now);

private:
    RetryDelay retryDelay_;
    int entries_ = 1;
};

} // namespace daisymount::dispatch

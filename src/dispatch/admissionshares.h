// Divides the capacity of a service between priorities, organisations and returning callers when demand exceeds it.
//
// Expected load: demand of up to 2.5 times the capacity for several seconds, some tens of organisations of which the largest send a third of
// all requests, some tens of entries that each see a small part of the demand, and refused callers that return once.

#pragma once

#include "framework/clock.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::dispatch
{

using framework::Duration;
using framework::Instant;
using framework::milliseconds;

/// What the share of a request depends on.
struct DemandKey
{
    int priority = 0; ///< 0 is the highest.
    std::string organisation;
    bool returning = false; ///< The caller was refused before and cannot meet its objective any more.
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
        double perSecond = 0.0; ///< First attempts, including those of the organisations listed.
        double returningPerSecond = 0.0;
        std::vector<Organisation> largest; ///< Largest first, at most MAX_ORGANISATIONS.
    };

    static constexpr size_t MAX_ORGANISATIONS = 8;

    std::vector<Priority> priorities; ///< By priority, ascending.
};

enum class ShareReason : uint8_t {
    Room, ///< Demand does not exceed the capacity.
    Share, ///< Within the share of the organisation at this priority.
    Returning, ///< A caller that was refused before, within the part for those.
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
    /// @p left is the time until the deadline of the caller.
    ShareDecision admit(const DemandKey &key, Duration left, Instant now);

private:
    /// Requests a second, exponentially weighted.
    struct Rate
    {
        double perSecond = 0.0;
        Instant at{0};

        void add(Instant now);
        double value(Instant now) const;
    };

    struct OwnPriority
    {
        std::map<uint32_t, Rate> organisations; ///< First attempts, by hash of the organisation.
        Rate returning;
        std::map<uint32_t, double> credits; ///< Fractions of requests granted and not yet spent, by hash of the organisation.
        double returningCredit = 1.0;
    };

    struct PeerReport
    {
        DemandReport report;
        Instant heardAt{0};
    };

    /// Division of the capacity at one priority.
    struct Allocation
    {
        double demand = 0.0; ///< First attempts a second, over all entries.
        double returningDemand = 0.0; ///< The same of callers that return late.
        double fraction = 1.0; ///< Of the first attempts, on average.
        double returningFraction = 1.0;
        double largestShare = 0.0; ///< Requests a second up to which an organisation is served in full.
        std::map<uint32_t, double> organisations; ///< Demand a second by hash, over all entries.
    };

    /// Demand over all entries, by priority.
    std::map<int, Allocation> totalDemand(Instant now) const;
    /// Weight of a peer's report by its age, in [0, 1].
    static double reportWeight(const PeerReport &report, Instant now);
    void allocate(Instant now);
    /// Divides @p perSecond between the organisations by max-min fairness.
    static void divide(Allocation &allocation, double perSecond);
    milliseconds retryAfter(int priority, Duration left);

    std::minstd_rand random_;
    int entries_ = 1;
    double capacity_ = 0.0; ///< Requests a second; 0: unknown, everything is admitted.
    std::map<int, OwnPriority> own_;
    std::map<std::string, PeerReport, std::less<>> peers_; ///< By entry.
    std::map<int, Allocation> allocations_; ///< By priority.
    Instant allocatedAt_{0};
};

} // namespace daisymount::dispatch

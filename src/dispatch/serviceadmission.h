// Admits requests to a service whose rank groups have adaptive concurrency limits, and chooses the group of each admitted request.
//
// Expected load: a few groups that lose ranks, slow down and recover independently of each other, demand above what all of them can serve
// in time, and some tens of entries that hear of each other's requests with a delay of up to seconds.

#pragma once

#include "dispatch/admissionshares.h"
#include "dispatch/concurrencylimit.h"
#include "dispatch/engineadmission.h"

#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace daisymount::dispatch
{

/// State of a group as known to this entry.
struct GroupView
{
    std::string key;
    GroupCapacity capacity;
    int inFlight = 0; ///< Requests from all entries, as far as reported.
    int ownInFlight = 0; ///< Requests from this entry.
    bool usable = true; ///< Complete, not silent, and with at least one rank that accepts requests.
};

/// A request that waits for admission.
struct AdmissionRequest
{
    DemandKey key;
    Duration objective{0}; ///< Time to the first event, from the caller's first attempt; 0 if there is none.
    Duration sinceFirstAttempt{0}; ///< Time before this attempt of the caller.
    Duration waited{0}; ///< Time since this attempt was received.
    Duration left{0}; ///< Time until the deadline.
    std::optional<ShareDecision> share = std::nullopt; ///< Set by the first call to decide().
};

struct ServiceDecision
{
    Admission admission = Admission::Admit;
    std::string group; ///< Key of the chosen group, with Admit.
    milliseconds retryAfter{0}; ///< With Refuse.
    std::string_view reason;
    double limit = 0.0; ///< Of all usable groups, over all entries.
    double ownLimit = 0.0; ///< Part of this entry.
    double capacity = 0.0; ///< Requests a second that the shares divide, over all entries; 0 if unknown.
    double fill = 0.0; ///< Requests in flight over all entries, relative to the limit.
};

struct ServiceAdmissionOptions
{
    uint64_t seed = 1;
    milliseconds maxLateWait{900}; ///< Longest wait of a request that is late already; callers leave after 2 s without an event.
    milliseconds outageWait{1'300}; ///< Longest wait of a returning caller for a group that is down.
    double lending = 1.5; ///< Multiple of its part of a limit that an entry may use while the group has room.
    double roomFraction = 0.9; ///< A group with less than this fraction of its limit in flight has room.
    /// Below this fraction of the limits nobody is refused for a share: measured demand and capacity lag behind when a flood of callers ends.
    double openFill = 0.9;
    double priorityHeadroom = 0.08; ///< Fraction of a limit that is kept free for more urgent priorities, by steps of priority.
};

class ServiceAdmission
{
public:
    /// Limits and load of the usable groups together.
    struct Room
    {
        double limit = 0.0; ///< Over all entries.
        double ownLimit = 0.0;
        double ownInFlight = 0.0;
        double inFlight = 0.0; ///< Over all entries.
        double capacity = 0.0; ///< Requests a second that the shares divide.

        double fill() const
        {
            return limit > 0.0 ? inFlight / limit : 0.0;
        }
    };

    explicit ServiceAdmission(const ServiceAdmissionOptions &options);

    /// Must be called once for each request, before decide().
    void onArrival(const AdmissionRequest &request, Instant now);
    /// An event of a stream arrived @p passTime after the one before it. @p inFlight is over all entries.
    void onPass(std::string_view group, Duration passTime, int inFlight, Instant now);
    /// The first event of a stream arrived @p sinceSent after the request was sent.
    void onFirstEvent(Duration sinceSent);
    /// A stream ended in full @p sinceSent after the request was sent.
    void onCompleted(Duration sinceSent);
    void onGroupReopened(std::string_view group, Instant now);
    void onPeerDemand(std::string_view entry, const DemandReport &report, Instant now);
    void setEntries(int entries);

    ServiceDecision decide(AdmissionRequest &request, std::span<const GroupView> groups, Instant now);
    /// Chooses another group for a request that has failed in @p avoided; empty if no other one is usable.
    std::string chooseOtherGroup(std::span<const GroupView> groups, std::string_view avoided, Instant now);
    DemandReport demand(Instant now) const;
    /// Limits of the groups as last decided, by key.
    const std::map<std::string, ConcurrencyDecision, std::less<>> &limits() const;
    /// Room as last decided.
    const Room &room() const;

private:
    /// Updates the limits of the groups and the capacity of the shares.
    Room updateLimits(std::span<const GroupView> groups, Instant now);
    /// Own room in the group for a request of this priority.
    double ownRoom(const GroupView &group, const AdmissionRequest &request, Instant now) const;
    void updateCapacity(Room &room, const GroupCapacity &capacity, Instant now);
    Duration maxWait(const AdmissionRequest &request) const;
    ServiceDecision refuse(const AdmissionRequest &request, std::string_view reason, const Room &room);
    std::string pick(std::span<const GroupView> groups, std::span<const double> weights);

    ServiceAdmissionOptions options_;
    Room room_;
    AdmissionShares shares_;
    RetryDelay retryDelay_;
    std::minstd_rand random_;
    std::map<std::string, ConcurrencyLimit, std::less<>> limiters_; ///< By group key.
    std::map<std::string, ConcurrencyDecision, std::less<>> limits_; ///< By group key.
    Duration usualFirstEvent_{0}; ///< Exponentially weighted, 0 before the first.
    Duration usualDuration_{0}; ///< Exponentially weighted time from sending to the end, 0 before the first.
    double capacityCorrection_ = 1.0; ///< Ratio of the requests that proved to fit to those that the limits and durations suggest.
    Instant correctedAt_{0};
    bool shortOfRoom_ = false; ///< A request with a share found no room since the last correction.
    bool shareRefused_ = false; ///< A request was refused for its share since the last correction.
    std::map<int, Instant> priorities_; ///< When each priority was last asked for.
};

} // namespace daisymount::dispatch

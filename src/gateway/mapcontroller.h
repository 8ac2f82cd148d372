// Balances the expert load of rank groups: samples the load, plans better maps and switches groups to them while this gateway holds the lease.

#pragma once

#include "expertmap/copyplan.h"
#include "expertmap/groupswitch.h"
#include "expertmap/loadsamples.h"
#include "expertmap/mapsearch.h"
#include "expertmap/mixedmaps.h"
#include "expertmap/passwatch.h"
#include "expertmap/sampledranks.h"
#include "gateway/gatewaycontext.h"
#include "gateway/maplease.h"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace daisymount::gateway
{

/// Minimum gain of a change. Copying experts slows the passes down in the meantime, and its traffic is billed.
struct ChangeThresholds
{
    double minGain = 0.0; ///< Minimum predicted reduction of the skew.
    double costPerGigabyte = 0.0; ///< Reduction of the skew required for each copied gigabyte.
};

class MapController
{
public:
    explicit MapController(GatewayContext &context);

    void start();

private:
    struct RankIdentity
    {
        std::string upstream; ///< Id.
        int64_t bornMs = 0; ///< Registered start time of the upstream, which changes when it restarts.
    };

    /// One rank group of a service.
    struct Group
    {
        std::string name;
        std::string service;
        fleet::ExpertLayout layout;
        std::vector<RankIdentity> ranks; ///< By rank; empty while a rank is missing.
        std::vector<std::string> members; ///< Ids of the upstreams that reported this group last, in no order.
        std::vector<expertmap::RankReport> reports; ///< By rank, from the last time that all ranks were read.
        int64_t epoch = 0;
        expertmap::LoadSamples samples{{.capacity = 48}};
        expertmap::SampledRanks sampledRanks;
        Instant lastSampleAt{0}; ///< Time of the last sample, or of the last time that the group had no requests.
        bool sampleGapLogged = false; ///< That no samples come has been logged.
        expertmap::GroupMap map; ///< Current map; not valid while mapUnknown is set.
        int64_t mapVersion = 0;
        bool mapUnknown = true; ///< The current map has to be read from the ranks: an earlier controller has set it, or ranks are still switching.
        int64_t highestVersion = 0; ///< Highest map version that any rank has received.
        std::shared_ptr<expertmap::GroupSwitch> change; ///< Change in progress, or null.
        std::string changeMapText; ///< Encoded map of the change, as sent in orders.
        std::vector<RankIdentity> changeRanks; ///< Ranks at the beginning of the change.
        Instant changeBegunAt{0};
        int64_t samplesAtPlan = 0;
        expertmap::DemandShiftTracker demandShifts;
        double plannedSkew = 1.0; ///< Skew of the current map predicted by the last plan.
        Instant nextSample{0};
        Instant nextPlan{0};
        Instant mapInUseFrom{0}; ///< From this time on all ranks use the map of the last change.
        expertmap::MixedMapsDetector mixedMaps;
        bool planning = false;
        bool leftoverHold = false; ///< A hold of an earlier change is still in place.
        bool down = false; ///< A rank is missing.
        bool reportsStale = true; ///< The reports have to be read again.
        bool refreshing = false; ///< The reports of this group alone are being read.
        Instant refreshDueAt{0}; ///< Earliest time of the next read of the reports of this group alone.
        Instant lastRefresh{0};
        Instant timedPassAt{0};
        int64_t timedPass = 0;
        expertmap::PassStallDetector passStallDetector;
        int timedRank = 0; ///< Rank whose pass numbers are used to measure the pass time.
        std::chrono::duration<double, std::milli> passTime{60}; ///< Exponentially weighted average.
    };

    transport::asio::awaitable<void> loop();
    /// Reads the reports of one group of the service, and of upstreams that belong to none; of all upstreams if @p groupName is empty.
    transport::asio::awaitable<void> refreshReports(std::string service, std::string groupName = {});
    /// The same for a group of a service with several ones, in the background, so that a rank that does not answer delays no other group.
    transport::asio::awaitable<void> refreshGroup(std::shared_ptr<Group> group);
    /// Starts to read the reports that are due, of the service as a whole or of each of its groups.
    transport::asio::awaitable<void> refreshStaleReports(const std::string &service, Instant now);
    void applyReports(const std::string &service, const std::string &groupName, const fleet::ExpertLayout &layout,
                      const std::vector<std::pair<std::string, expertmap::RankReport>> &reports);
    bool hasSeveralGroups(std::string_view service) const;
    /// Upstreams of the service to read for refreshReports().
    std::vector<std::string> upstreamsToRead(const std::string &service, const std::string &groupName) const;
    /// Tells the other gateways which ranks belong to which group, if that has changed.
    void publishGroups();
    void applyGroupReports(Group &group, const std::vector<std::pair<std::string, expertmap::RankReport>> &members);
    void step(const std::shared_ptr<Group> &group, Instant now);
    void driveChange(const std::shared_ptr<Group> &group, Instant now);
    void beginChange(Group &group, expertmap::GroupSwitch change, Instant now);
    void finishChange(Group &group, Instant now);
    void readSamples(const std::shared_ptr<Group> &group, Instant now);
    /// Tells of each rank whether it is in the zone of this gateway.
    std::vector<bool> inOwnZone(std::span<const RankIdentity> ranks) const;
    std::vector<expertmap::LoadSample> samplesToPlanOn(const Group &group) const;
    ChangeThresholds changeThresholds(const Group &group) const;
    /// Bounds of the search for a better map.
    expertmap::MapSearchOptions searchOptions(Group &group, Instant now);
    /// True if the skew of the newest samples is well above the planned one.
    bool demandShifted(const Group &group) const;
    /// Mean skew of the newest samples with the current map.
    double newestSkew(const Group &group) const;
    /// True if any gateway has requests in flight at the engines of the group's service.
    bool hasRequests(const Group &group, Instant now) const;
    /// Logs once that no sample comes from a group with requests, which therefore keeps its map.
    void reportSampleGap(Group &group, Instant now);
    /// True if the group has pending requests but makes no passes.
    bool passesStalled(Group &group, Instant now) const;
    /// Starts to remove the holds and arms that an earlier change has left.
    void startCleanUp(Group &group, Instant now);
    /// True while a change of any group is in progress.
    bool changeInProgress() const;
    bool areRanksUnchanged(std::span<const RankIdentity> ranks) const;
    bool agentsReachable(const Group &group, Instant now) const;
    /// Returns the shortest pause objective of all routes to @p service.
    milliseconds maxPause(const std::string &service) const;
    /// Minimum time between two reads of the reports.
    milliseconds refreshInterval() const;
    /// Calls a rank through the agent on its machine, or directly while the agent does not answer.
    transport::asio::awaitable<transport::HttpReply> callRank(std::string upstream, platform::HttpCall call, milliseconds timeout,
                                                              uint64_t maxReplyBytes = transport::SHORT_REPLY_BYTES);
    /// Largest reply with the counts, or the experts by rank, of a group.
    static uint64_t maxCountsBytes(const fleet::ExpertLayout &layout);

    transport::asio::awaitable<void> readCounts(std::shared_ptr<Group> group, int rank);
    transport::asio::awaitable<void> sendCommand(std::shared_ptr<Group> group, std::shared_ptr<expertmap::GroupSwitch> change,
                                                 expertmap::SwitchCommand command);
    transport::asio::awaitable<void> readMap(std::shared_ptr<Group> group);
    /// Reads the experts that each rank holds, of @p version or, if it is empty, of any. Returns an empty value if a rank does not answer.
    transport::asio::awaitable<std::optional<expertmap::GroupMap>> readHeldExperts(std::shared_ptr<Group> group, std::optional<int64_t> version);
    /// Switches ranks that use different maps to one.
    transport::asio::awaitable<void> repairMap(std::shared_ptr<Group> group);
    transport::asio::awaitable<void> plan(std::shared_ptr<Group> group);
    /// Searches for a better map and begins the change to it if the gain is sufficient.
    transport::asio::awaitable<void> searchAndBeginChange(std::shared_ptr<Group> group);
    transport::asio::awaitable<std::optional<expertmap::RankReport>> readReport(std::string upstream);

    GatewayContext &context_;
    MapLease lease_;
    transport::HttpCaller rankCaller_; ///< Matches replies to calls, since a late copy of a reply could be taken for the answer to an order.
    std::map<std::string, std::shared_ptr<Group>> groups_; ///< By name.
    std::map<std::string, Instant> refreshedAt_; ///< Time of the last read of the reports, by service.
    std::map<std::string, Instant> agentBackoffUntil_; ///< Until when the agent is bypassed, by upstream.
    Instant lossTolerantUntil_{0}; ///< Until this time changes use SwitchOptions::lossTolerant().
    bool searching_ = false; ///< A better map of some group is being searched for.
    int64_t groupsRevision_ = 0; ///< Of the last published list of groups in this term.
    int64_t termFencing_ = 0; ///< Fencing number of the term to which the state of the groups belongs.
};

} // namespace daisymount::gateway

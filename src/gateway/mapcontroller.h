// Keeps the expert maps of live rank groups even: reads counts, plans maps and switches to them while this gateway holds the lease.

#pragma once

#include "expertmap/groupswitch.h"
#include "expertmap/loadsamples.h"
#include "expertmap/passwatch.h"
#include "expertmap/sampleplacement.h"
#include "gateway/gatewaycontext.h"
#include "gateway/maplease.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisymount::gateway
{

class MapController
{
public:
    explicit MapController(GatewayContext &context);

    void start();

private:
    /// One rank group of a service.
    struct Group
    {
        std::string name;
        std::string service;
        fleet::ExpertLayout layout;
        std::vector<std::string> ranks; ///< Upstream ids by rank.
        std::vector<int64_t> bornMs; ///< Of the upstreams, by rank.
        std::vector<expertmap::RankReport> reports; ///< By rank, from the last reading of all.
        int64_t epoch = 0;
        expertmap::LoadSamples samples{{}};
        expertmap::GroupMap map; ///< In force in this epoch.
        int64_t mapVersion = 0;
        bool mapUnknown = false; ///< An earlier controller's map is in force; it has to be read from the ranks.
        int64_t highestVersion = 0; ///< That any rank has had.
        std::shared_ptr<expertmap::GroupSwitch> change; ///< Null while none is under way.
        std::string changeMapText; ///< The change's map as orders carry it.
        int64_t samplesAtPlan = 0;
        double plannedSkew = 1.0; ///< That the last plan expects of the map in force.
        Instant nextSample{0};
        Instant nextPlan{0};
        Instant inForceFrom{0}; ///< Before this the last change may not be in force on all ranks.
        bool planning = false;
        bool leftoverHold = false; ///< An earlier change left a pass held.
        bool down = false; ///< It has lost a rank.
        bool reportsStale = true; ///< The reports have to be read again.
        Instant lastRefresh{0};
        Instant timedPassAt{0};
        int64_t timedPass = 0;
        expertmap::PassStallDetector passStallDetector;
        int timedRank = 0; ///< Whose pass numbers tell the pass time.
        std::chrono::duration<double, std::milli> passTime{60}; ///< Drifting average.
    };

    transport::asio::awaitable<void> loop();
    transport::asio::awaitable<void> refreshReports(std::string service);
    void applyReports(const std::string &service, const fleet::ExpertLayout &layout, const std::vector<std::pair<std::string, expertmap::RankReport>> &reports);
    void applyGroupReports(Group &group, const std::vector<std::pair<std::string, expertmap::RankReport>> &members);
    void step(const std::shared_ptr<Group> &group, Instant now);
    void driveChange(const std::shared_ptr<Group> &group, Instant now);
    void finishChange(Group &group, Instant now);
    void readSamples(const std::shared_ptr<Group> &group, Instant now);
    /// The newest samples are much less even than planned.
    bool demandShifted(const Group &group) const;
    /// The group has requests and makes no passes.
    bool passesStalled(Group &group, Instant now) const;
    /// Ends what an earlier change has left.
    void startCleanUp(Group &group, Instant now);
    /// True while a change of some group is under way.
    bool changeInProgress() const;
    bool ranksUnchanged(const Group &group) const;
    bool agentsReachable(const Group &group, Instant now) const;
    /// Shortest pause objective of the routes to @p service.
    milliseconds maxPause(const std::string &service) const;
    /// Least time between two readings of the reports.
    milliseconds refreshInterval() const;
    /// Calls a rank through the agent on its machine, or itself while that does not answer.
    transport::asio::awaitable<transport::HttpReply> callRank(std::string upstream, platform::HttpCall call, milliseconds timeout);

    transport::asio::awaitable<void> readCounts(std::shared_ptr<Group> group, int rank);
    transport::asio::awaitable<void> sendCommand(std::shared_ptr<Group> group, std::shared_ptr<expertmap::GroupSwitch> change,
                                                 expertmap::SwitchCommand command);
    transport::asio::awaitable<void> readMap(std::shared_ptr<Group> group);
    transport::asio::awaitable<void> plan(std::shared_ptr<Group> group);
    /// Looks for a better map and begins the change to it when that is worth it.
    transport::asio::awaitable<void> searchAndBeginChange(std::shared_ptr<Group> group);
    transport::asio::awaitable<std::optional<expertmap::RankReport>> readReport(std::string upstream);

    GatewayContext &context_;
    MapLease lease_;
    std::map<std::string, std::shared_ptr<Group>> groups_; ///< By name.
    std::map<std::string, Instant> refreshedAt_; ///< By service: when the reports were read last.
    std::map<std::string, Instant> agentBackoffUntil_; ///< By upstream.
    Instant lossTolerantUntil_{0}; ///< Until then orders may go without an answer.
    int64_t termFencing_ = 0;
};

} // namespace daisymount::gateway

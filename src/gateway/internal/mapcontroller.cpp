// Follows the state of rank groups: reads the reports of the ranks and decides what to do next. For planning see mapplanning.cpp, for changes mapchange.cpp.

#include "gateway/internal/mapcontrollercommon.h"

#include "platform/enginecodec.h"
#include "platform/headers.h"
#include "transport/tasks.h"

#include <algorithm>

namespace daisymount::gateway
{

namespace
{
namespace asio = transport::asio;
using framework::ResultCode;

constexpr milliseconds LOOP_INTERVAL{20};
constexpr milliseconds IDLE_INTERVAL{200};
/// Longer without agents, because each direct read of a report is billed as a probe.
constexpr milliseconds REMOTE_REFRESH_INTERVAL{700};
constexpr milliseconds REFRESH_INTERVAL{250};
/// Interval while a rank of the group is missing.
constexpr milliseconds DOWN_REFRESH_INTERVAL{200};
/// Interval while a rank is missing in the middle of a change, to learn of a new epoch. Reading the reports delays the orders of the change.
constexpr milliseconds CHANGE_REFRESH_INTERVAL{1'000};
/// Interval while ranks are armed, because they switch within a few passes.
constexpr milliseconds ARMED_REFRESH_INTERVAL{60};
constexpr int64_t MIN_SAMPLES = 8;
/// Digits of a count, and its comma.
constexpr uint64_t MAX_COUNT_BYTES = 21;
/// Time for which an agent that did not answer is bypassed.
constexpr milliseconds AGENT_BACKOFF{5'000};
} // namespace

MapController::MapController(GatewayContext &context)
    : context_(context), lease_(context, [this] { return changeInProgress(); }), rankCaller_(context.executor, platform::callIdField())
{ }

bool MapController::changeInProgress() const
{
    return std::ranges::any_of(groups_, [](const auto &entry) { return entry.second->change != nullptr; });
}

void MapController::start()
{
    transport::spawnLoop(context_.executor, "map_lease", [this] { return lease_.run(); });
    transport::spawnLoop(context_.executor, "map_control", [this] { return loop(); });
}

asio::awaitable<void> MapController::loop()
{
    while (true) {
        if (!lease_.held()) {
            co_await transport::sleepFor(IDLE_INTERVAL);
            continue;
        }
        if (termFencing_ != lease_.fencing()) {
            // Discard the state from an earlier term, since another controller may have changed it.
            termFencing_ = lease_.fencing();
            groupsRevision_ = 0;
            refreshedAt_.clear();
            for (auto &[name, group] : groups_) {
                group->change.reset();
                group->reportsStale = true;
                group->refreshDueAt = Instant{0};
                group->samples.onNewEpoch();
                group->map.clear();
                group->mapUnknown = true;
            }
        }
        const auto config = context_.view.config();
        for (const auto &[name, service] : config->services) {
            if (!service.engine || !service.engine->experts) {
                continue;
            }
            co_await refreshStaleReports(name, framework::monotonicNow());
        }
        const Instant now = framework::monotonicNow();
        std::vector<std::string> down;
        for (auto &[name, group] : groups_) {
            step(group, now);
            if (group->down) {
                down.push_back(hasSeveralGroups(group->service) ? dispatch::groupKey(group->service, name) : group->service);
            }
        }
        context_.fastUpstreamPolling
            = std::ranges::any_of(groups_, [](const auto &entry) { return entry.second->reportsStale && entry.second->ranks.empty(); });
        context_.peers.self().groupsDown = std::move(down);
        co_await transport::sleepFor(LOOP_INTERVAL);
    }
}

asio::awaitable<std::optional<expertmap::RankReport>> MapController::readReport(std::string upstream)
{
    const transport::HttpReply reply = co_await callRank(upstream, platform::reportCall(), REPORT_TIMEOUT);
    std::optional<expertmap::RankReport> report;
    const framework::Ret read = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(decoded, platform::decodeReport(reply.status, reply.body));
        report = std::move(decoded);
        return {};
    });
    if (!read) {
        context_.log.report({"maps", "no_report", read.code, "", {{"upstream", upstream}, {"detail", read.detail}}});
    }
    co_return report;
}

bool MapController::hasSeveralGroups(std::string_view service) const
{
    return std::ranges::count_if(groups_, [&](const auto &entry) { return entry.second->service == service; }) > 1;
}

asio::awaitable<void> MapController::refreshStaleReports(const std::string &service, Instant now)
{
    if (!hasSeveralGroups(service)) {
        const auto known = [&](const auto &entry) { return entry.second->service == service; };
        const auto reportsStale = [&](const auto &entry) { return entry.second->service == service && entry.second->reportsStale; };
        const bool readAgain = std::ranges::none_of(groups_, known) || std::ranges::any_of(groups_, reportsStale);
        if (readAgain && now >= refreshedAt_[service] + refreshInterval()) {
            co_await refreshReports(service);
        }
        co_return;
    }
    for (const auto &entry : groups_) {
        const std::shared_ptr<Group> &group = entry.second;
        if (group->service == service && group->reportsStale && !group->refreshing && now >= group->refreshDueAt) {
            group->refreshing = true;
            transport::spawnTask(context_.executor, "refresh_group", refreshGroup(group), [group] { group->refreshing = false; });
        }
    }
}

asio::awaitable<void> MapController::refreshGroup(std::shared_ptr<Group> group)
{
    group->refreshDueAt = framework::monotonicNow() + refreshInterval();
    co_await refreshReports(group->service, group->name);
    group->refreshing = false;
}

std::vector<std::string> MapController::upstreamsToRead(const std::string &service, const std::string &groupName) const
{
    std::vector<std::string> wanted;
    for (const auto &[id, known] : context_.view.upstreams()) {
        if (known.upstream.service != service) {
            continue;
        }
        const auto isMember
            = [&, &upstream = id](const auto &entry) { return std::ranges::find(entry.second->members, upstream) != entry.second->members.end(); };
        const auto owner = std::ranges::find_if(groups_, isMember);
        // A replaced rank has an id that belongs to no group yet.
        if (groupName.empty() || owner == groups_.end() || owner->second->name == groupName) {
            wanted.push_back(id);
        }
    }
    return wanted;
}

void MapController::publishGroups()
{
    dispatch::GroupList list{termFencing_, groupsRevision_ + 1, {}};
    const std::vector<dispatch::GroupMembers> &published = context_.groups.list().groups;
    for (const auto &[name, group] : groups_) {
        dispatch::GroupMembers members{group->service, name, {}};
        const auto same = std::ranges::find_if(published, [&](const auto &other) { return other.service == members.service && other.group == members.group; });
        if (!group->ranks.empty()) {
            for (const RankIdentity &rank : group->ranks) {
                members.ranks.push_back(dispatch::upstreamHash(rank.upstream));
            }
        } else if (same != published.end()) {
            members.ranks = same->ranks; // Incomplete: the last complete list holds until the rank is back.
        } else {
            for (const std::string &upstream : group->members) {
                members.ranks.push_back(dispatch::upstreamHash(upstream));
            }
        }
        list.groups.push_back(std::move(members));
    }
    if (context_.groups.list().term == termFencing_ && list.groups == published) {
        return;
    }
    ++groupsRevision_;
    context_.log.report(
        {"maps", "groups_published", ResultCode::Ok, "", {{"groups", std::to_string(list.groups.size())}, {"revision", std::to_string(list.revision)}}});
    context_.onGroupList(std::move(list));
}

asio::awaitable<void> MapController::refreshReports(std::string service, std::string groupName)
{
    struct Reading
    {
        std::vector<std::pair<std::string, expertmap::RankReport>> reports;
        int outstanding = 0;
    };
    const auto reading = std::make_shared<Reading>();
    refreshedAt_[service] = framework::monotonicNow();
    const auto config = context_.view.config();
    for (const std::string &id : upstreamsToRead(service, groupName)) {
        ++reading->outstanding;
        transport::spawnTask(
            context_.executor, "read_report",
            [](MapController *self, std::shared_ptr<Reading> into, std::string upstream) -> asio::awaitable<void> {
                std::optional<expertmap::RankReport> report = co_await self->readReport(upstream);
                --into->outstanding;
                if (report && !report->group.empty()) {
                    into->reports.emplace_back(std::move(upstream), std::move(*report));
                }
            }(this, reading, id),
            [reading] { --reading->outstanding; });
    }
    while (reading->outstanding > 0) {
        co_await transport::sleepFor(LOOP_INTERVAL);
    }
    const auto found = config->services.find(service);
    if (found != config->services.end() && found->second.engine && found->second.engine->experts) {
        applyReports(service, groupName, *found->second.engine->experts, reading->reports);
        publishGroups();
    }
    co_await transport::sleepFor(LOOP_INTERVAL);
}

void MapController::applyReports(const std::string &service, const std::string &groupName, const fleet::ExpertLayout &layout,
                                 const std::vector<std::pair<std::string, expertmap::RankReport>> &reports)
{
    std::map<std::string, std::vector<std::pair<std::string, expertmap::RankReport>>> byGroup;
    for (const auto &entry : reports) {
        byGroup[entry.second.group].push_back(entry);
    }
    for (const auto &[name, members] : byGroup) {
        // Upstreams without a group were read as well. They tell nothing about the groups whose other ranks were not read.
        if (!groupName.empty() && name != groupName && groups_.contains(name)) {
            groups_[name]->reportsStale = true;
            for (const auto &[upstream, report] : members) {
                groups_[name]->members.push_back(upstream);
            }
            continue;
        }
        auto &group = groups_[name];
        if (!group) {
            group = std::make_shared<Group>();
            group->name = name;
        }
        group->service = service;
        group->layout = layout;
        applyGroupReports(*group, members);
    }
    for (auto &[name, group] : groups_) {
        if (group->service == service && !byGroup.contains(name) && (groupName.empty() || name == groupName)) {
            group->ranks.clear();
            group->reportsStale = true;
            group->down = true;
        }
    }
}

void MapController::applyGroupReports(Group &group, const std::vector<std::pair<std::string, expertmap::RankReport>> &members)
{
    const Instant now = framework::monotonicNow();
    group.lastRefresh = now;
    group.passStallDetector.onReportsRead(now);
    group.ranks.clear();
    group.members.clear();
    const auto size = static_cast<size_t>(members.front().second.groupSize);
    std::vector<RankIdentity> ranks(size);
    std::vector<expertmap::RankReport> reports(size);
    int64_t epoch = 0;
    bool complete = members.size() == size;
    for (const auto &[upstream, report] : members) {
        group.members.push_back(upstream);
        const auto known = context_.view.upstreams().find(upstream);
        if (report.rank < 0 || static_cast<size_t>(report.rank) >= size || known == context_.view.upstreams().end()) {
            complete = false;
            continue;
        }
        const auto rank = static_cast<size_t>(report.rank);
        complete = complete && ranks[rank].upstream.empty() && report.open && (epoch == 0 || epoch == report.epoch);
        epoch = report.epoch;
        ranks[rank] = {upstream, known->second.upstream.bornMs};
        reports[rank] = report;
        for (const int64_t version : {report.mapVersion, report.preparedVersion.value_or(0), report.armedVersion.value_or(0)}) {
            group.highestVersion = std::max(group.highestVersion, version);
        }
    }
    // A group opens in a new epoch when a rank has returned, often before this gateway has received that rank's registration.
    const bool reopened = std::ranges::all_of(members, [&](const auto &entry) { return entry.second.open && entry.second.epoch != group.epoch; });
    group.down = !complete && !reopened;
    if (!complete) {
        group.reportsStale = true;
        refreshedAt_[group.service] = now - refreshInterval() + DOWN_REFRESH_INTERVAL;
        group.refreshDueAt = now + DOWN_REFRESH_INTERVAL;
        return;
    }
    const bool anyArmed = std::ranges::any_of(reports, [](const auto &report) { return report.armedVersion.has_value(); });
    const bool anyHeld = std::ranges::any_of(reports, [](const auto &report) { return report.heldPass.has_value(); });
    const int64_t version = reports.front().mapVersion;
    const bool sameMap = std::ranges::all_of(reports, [&](const auto &report) { return report.mapVersion == version; });
    if (epoch != group.epoch) {
        group.samples.onNewEpoch();
        group.sampledRanks.reset(inOwnZone(ranks));
        group.epoch = epoch;
        group.nextSample = Instant{0};
    }
    group.ranks = std::move(ranks);
    group.reports = std::move(reports);
    group.leftoverHold = anyHeld && sameMap;
    group.mixedMaps.onReports(sameMap, anyArmed, now);
    if (!sameMap || (anyArmed && !anyHeld)) {
        // Without a hold, armed ranks switch by themselves within a few passes. Until then the group has no map to plan on.
        group.mapUnknown = true;
        group.reportsStale = true;
        refreshedAt_[group.service] = now - refreshInterval() + ARMED_REFRESH_INTERVAL;
        group.refreshDueAt = now + ARMED_REFRESH_INTERVAL;
        return;
    }
    group.mapUnknown = false;
    if (version == 0) {
        group.map.assign(static_cast<size_t>(group.layout.sets), expertmap::roundRobinPlacement(static_cast<int>(size), group.layout.experts));
    } else if (version != group.mapVersion || group.map.empty()) {
        group.mapUnknown = true;
    }
    group.mapVersion = version;
    group.reportsStale = false;
    context_.log.report({"maps",
                         "group_adopted",
                         ResultCode::Ok,
                         "",
                         {{"group", group.name}, {"epoch", std::to_string(epoch)}, {"ranks", std::to_string(size)}, {"map", std::to_string(version)}}});
}

std::vector<bool> MapController::inOwnZone(std::span<const RankIdentity> ranks) const
{
    std::vector<bool> sameZone;
    for (const RankIdentity &rank : ranks) {
        const auto known = context_.view.upstreams().find(rank.upstream);
        sameZone.push_back(known != context_.view.upstreams().end() && known->second.upstream.zone == context_.settings.zone);
    }
    return sameZone;
}

bool MapController::areRanksUnchanged(std::span<const RankIdentity> ranks) const
{
    return std::ranges::all_of(ranks, [this](const RankIdentity &rank) {
        const auto known = context_.view.upstreams().find(rank.upstream);
        return known != context_.view.upstreams().end() && known->second.upstream.bornMs == rank.bornMs;
    });
}

asio::awaitable<transport::HttpReply> MapController::callRank(std::string upstream, platform::HttpCall call, milliseconds timeout, uint64_t maxReplyBytes)
{
    const auto known = context_.view.upstreams().find(upstream);
    if (known == context_.view.upstreams().end()) {
        co_return transport::HttpReply{};
    }
    const std::string engine = known->second.upstream.address;
    const std::string agent = engine.substr(0, engine.find(':')) + ":" + std::to_string(context_.settings.firstPeerPort);
    const Instant now = framework::monotonicNow();
    const bool viaAgent = now >= agentBackoffUntil_[upstream];
    transport::HeaderFields fields = platform::expectedUpstreamField(upstream);
    transport::HttpReply reply
        = co_await rankCaller_.call(viaAgent ? agent : engine, call.method, call.target, call.body, timeout, std::move(fields), maxReplyBytes);
    // An unanswered order does not mean that the agent is down, because engines leave some orders unanswered.
    if (viaAgent && reply.status == 0 && call.method == "GET") {
        agentBackoffUntil_[upstream] = framework::monotonicNow() + AGENT_BACKOFF;
        context_.log.report({"maps", "agent_silent", ResultCode::UpstreamUnreachable, "", {{"upstream", upstream}, {"agent", agent}}});
    }
    co_return reply;
}

uint64_t MapController::maxCountsBytes(const fleet::ExpertLayout &layout)
{
    return transport::SHORT_REPLY_BYTES + MAX_COUNT_BYTES * static_cast<uint64_t>(layout.sets) * static_cast<uint64_t>(layout.experts);
}

milliseconds MapController::maxPause(const std::string &service) const
{
    milliseconds pause = context_.settings.bounds.passPause;
    for (const fleet::Route &route : context_.view.config()->routes) {
        const bool uses = std::ranges::any_of(route.services, [&](const auto &entry) { return entry.service == service; });
        if (uses && route.pauseObjective.count() > 0) {
            pause = std::min(pause, route.pauseObjective);
        }
    }
    return pause;
}

milliseconds MapController::refreshInterval() const
{
    const Instant now = framework::monotonicNow();
    const bool agentUnreachable = std::ranges::any_of(agentBackoffUntil_, [now](const auto &entry) { return now < entry.second; });
    return agentUnreachable ? REMOTE_REFRESH_INTERVAL : REFRESH_INTERVAL;
}

bool MapController::agentsReachable(const Group &group, Instant now) const
{
    return std::ranges::all_of(group.ranks, [&](const RankIdentity &rank) {
        const auto down = agentBackoffUntil_.find(rank.upstream);
        return down == agentBackoffUntil_.end() || now >= down->second;
    });
}

void MapController::step(const std::shared_ptr<Group> &group, Instant now)
{
    if (group->change) {
        if (group->epoch != group->change->change().epoch) {
            group->change->onNewEpoch();
        } else if (!areRanksUnchanged(group->changeRanks)) {
            group->change->onRankMissing();
            group->reportsStale = group->reportsStale || now - group->lastRefresh > CHANGE_REFRESH_INTERVAL;
        }
        driveChange(group, now);
        const bool copying = group->change && group->change->phase() == expertmap::SwitchPhase::Preparing;
        if (copying && !group->ranks.empty() && context_.loadControl.isAdaptive(group->service)) {
            // Copies take longer than demand stays the same: the next plan needs samples from the time of the copies.
            readSamples(group, now);
        }
        return;
    }
    if (group->ranks.empty()) {
        if (now - group->lastRefresh > REFRESH_INTERVAL) {
            group->reportsStale = true;
        }
        return;
    }
    if (!areRanksUnchanged(group->ranks)) {
        group->reportsStale = now - group->lastRefresh > DOWN_REFRESH_INTERVAL;
        return;
    }
    if (group->leftoverHold && !group->mapUnknown) {
        startCleanUp(*group, now);
        return;
    }
    if (group->mixedMaps.needsRepair(now) && !group->planning) {
        group->planning = true;
        transport::spawnTask(context_.executor, "repair_map", repairMap(group), [group] { group->planning = false; });
        return;
    }
    if (group->mapUnknown) {
        if (!group->planning && !group->reportsStale) {
            group->planning = true;
            transport::spawnTask(context_.executor, "read_map", readMap(group), [group] {
                group->planning = false;
                group->reportsStale = true;
            });
        }
        return;
    }
    readSamples(group, now);
    reportSampleGap(*group, now);
    if (passesStalled(*group, now)) {
        // A hold of an earlier controller may have been executed late. The reports show whether a pass is held.
        group->reportsStale = true;
        return;
    }
    const bool fresh = group->samples.totalSamples() - group->samplesAtPlan >= SAMPLES_PER_PLAN && group->samples.totalSamples() >= MIN_SAMPLES;
    const bool due = fresh && now >= group->mapInUseFrom && (now >= group->nextPlan || demandShifted(*group));
    if (due && !group->planning && !context_.draining) {
        group->planning = true;
        group->samplesAtPlan = group->samples.totalSamples();
        transport::spawnTask(context_.executor, "plan_map", plan(group), [this, group] {
            group->planning = false;
            searching_ = false;
        });
    }
}

bool MapController::hasRequests(const Group &group, Instant now) const
{
    return context_.dispatcher.engineLoad(group.service, now).inFlight + context_.peers.inFlightOfOthers(group.service, now) > 0;
}

bool MapController::passesStalled(Group &group, Instant now) const
{
    if (!hasRequests(group, now)) {
        group.passStallDetector.onProgress(now);
    }
    return group.passStallDetector.isStalled(now);
}

} // namespace daisymount::gateway

// Samples the expert load of rank groups, plans their maps and performs the changes.

#include "gateway/mapcontroller.h"

#include "platform/enginecodec.h"
#include "platform/headers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cmath>

namespace daisymount::gateway
{

namespace
{
namespace asio = transport::asio;
using framework::ResultCode;
using transport::Duration;

constexpr milliseconds LOOP_INTERVAL{20};
constexpr milliseconds IDLE_INTERVAL{200};
/// Measured pass times are clamped to this range, because longer ones include gaps of an idle or stopped group.
constexpr milliseconds MIN_PASS_TIME{20};
constexpr milliseconds MAX_PASS_TIME{300};
constexpr milliseconds MIN_SETTLE_PASS_TIME{40};
constexpr milliseconds MAX_SETTLE_PASS_TIME{120};
constexpr milliseconds REPORT_TIMEOUT{600};
constexpr milliseconds ORDER_TIMEOUT{400};
/// Agents reply within a few milliseconds, and some orders are never answered.
constexpr milliseconds AGENT_ORDER_TIMEOUT{60};
/// A prepare order carries a whole map, which the small VMs of a large group take longer to relay.
constexpr milliseconds AGENT_PREPARE_TIMEOUT{400};
/// Longer without agents, because each direct read of a report is billed as a probe.
constexpr milliseconds REMOTE_REFRESH_INTERVAL{700};
constexpr milliseconds REFRESH_INTERVAL{250};
/// Interval while a rank of the group is missing.
constexpr milliseconds DOWN_REFRESH_INTERVAL{200};
/// Interval while ranks are armed, because they switch within a few passes.
constexpr milliseconds ARMED_REFRESH_INTERVAL{60};
/// Number of passes after its release until all ranks use the new map.
constexpr int PASSES_TO_SETTLE = 2;
/// Number of ranks read per round through agents, whose reads are not billed as probes. Ranks of the gateway's own zone come first, because traffic between
/// zones is billed.
constexpr int SAMPLED_RANKS = 12;
constexpr int SAMPLED_RANKS_SAME_ZONE = 24;
/// Time between two reads of a rank.
constexpr milliseconds SAMPLE_INTERVAL{100};
constexpr milliseconds SAMPLE_INTERVAL_SAME_ZONE{200};
/// Without agents each read is billed and pauses the group briefly.
constexpr int REMOTE_SAMPLED_RANKS = 2;
constexpr milliseconds REMOTE_SAMPLE_INTERVAL{1'000};
constexpr int64_t MIN_SAMPLES = 8;
/// Number of new samples after which a better map is searched for.
constexpr int64_t SAMPLES_PER_PLAN = 8;
constexpr milliseconds PLAN_INTERVAL{300};
/// Ratio of the skew of the newest samples to the planned skew above which the demand has shifted to other experts.
constexpr double SHIFT_RATIO = 1.15;
/// Time for which an agent that did not answer is bypassed.
constexpr milliseconds AGENT_BACKOFF{5'000};
/// Time after an unanswered order during which changes use the loss-tolerant options.
constexpr milliseconds LOSS_TOLERANT_PERIOD{15'000};
/// Minimum gain of a change. Copying experts slows the passes down in the meantime, and its traffic is billed.
struct ChangeThresholds
{
    double minGain; ///< Minimum predicted reduction of the skew.
    double costPerGigabyte; ///< Reduction of the skew required for each copied gigabyte.
};
/// For short passes: load skew has no noticeable effect on requests.
constexpr ChangeThresholds SHORT_PASS_THRESHOLDS{0.3, 0.038};
/// For passes close to the permitted pause of a stream: balance is most valuable there.
constexpr ChangeThresholds LONG_PASS_THRESHOLDS{0.1, 0.0154};
constexpr double MEGABYTES_PER_GIGABYTE = 1'000.0;
/// Ratios of the mean pass time to the permitted pause at which the thresholds for short and long passes apply, with linear interpolation in between. Both
/// are well below 1 because single passes take twice as long as the mean.
constexpr double SHORT_PASS_RATIO = 0.44;
constexpr double LONG_PASS_RATIO = 0.62;

ChangeThresholds thresholdsAt(double passRatio)
{
    const double longPassShare = std::clamp((passRatio - SHORT_PASS_RATIO) / (LONG_PASS_RATIO - SHORT_PASS_RATIO), 0.0, 1.0);
    return {std::lerp(SHORT_PASS_THRESHOLDS.minGain, LONG_PASS_THRESHOLDS.minGain, longPassShare),
            std::lerp(SHORT_PASS_THRESHOLDS.costPerGigabyte, LONG_PASS_THRESHOLDS.costPerGigabyte, longPassShare)};
}
/// Weight of the newest measurement in the average pass time.
constexpr double PASS_TIME_WEIGHT = 0.2;
/// The search runs in slices, so that it does not delay the forwarding of requests.
constexpr int PROPOSALS_PER_SLICE = 1'000;
/// Time that a change may take to copy experts to one rank. The switch waits for the slowest rank, and demand moves in the meantime.
constexpr milliseconds MAX_COPY_TIME{150};
/// Number of the newest samples that a map is planned on after demand has shifted; older ones show the earlier demand.
constexpr size_t SAMPLES_AFTER_SHIFT = 12;
/// Time for which a planned change waits until all ranks use the map of the change before it.
constexpr milliseconds MAX_SETTLE_WAIT{400};

template<typename AnyDuration>
milliseconds toMilliseconds(AnyDuration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration);
}
} // namespace

MapController::MapController(GatewayContext &context) : context_(context), lease_(context, [this] { return changeInProgress(); })
{ }

bool MapController::changeInProgress() const
{
    return std::ranges::any_of(groups_, [](const auto &entry) { return entry.second->change != nullptr; });
}

void MapController::start()
{
    asio::co_spawn(context_.executor, lease_.run(), asio::detached);
    asio::co_spawn(context_.executor, loop(), asio::detached);
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
            refreshedAt_.clear();
            for (auto &[name, group] : groups_) {
                group->change.reset();
                group->reportsStale = true;
                group->samples.onNewEpoch();
            }
        }
        const auto config = context_.view.config();
        for (const auto &[name, service] : config->services) {
            if (!service.engine || !service.engine->experts) {
                continue;
            }
            const auto known = [wanted = name](const auto &entry) { return entry.second->service == wanted; };
            const auto reportsStale = [wanted = name](const auto &entry) { return entry.second->service == wanted && entry.second->reportsStale; };
            const bool readAgain = std::ranges::none_of(groups_, known) || std::ranges::any_of(groups_, reportsStale);
            const Instant due = refreshedAt_[name] + refreshInterval();
            if (readAgain && framework::monotonicNow() >= due) {
                co_await refreshReports(name);
            }
        }
        const Instant now = framework::monotonicNow();
        std::vector<std::string> down;
        for (auto &[name, group] : groups_) {
            step(group, now);
            if (group->down) {
                down.push_back(group->service);
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

asio::awaitable<void> MapController::refreshReports(std::string service)
{
    struct Reading
    {
        std::vector<std::pair<std::string, expertmap::RankReport>> reports;
        int outstanding = 0;
    };
    const auto reading = std::make_shared<Reading>();
    refreshedAt_[service] = framework::monotonicNow();
    const auto config = context_.view.config();
    for (const auto &[id, known] : context_.view.upstreams()) {
        if (known.upstream.service != service) {
            continue;
        }
        ++reading->outstanding;
        asio::co_spawn(
            context_.executor,
            [](MapController *self, std::shared_ptr<Reading> into, std::string upstream) -> asio::awaitable<void> {
                std::optional<expertmap::RankReport> report = co_await self->readReport(upstream);
                --into->outstanding;
                if (report && !report->group.empty()) {
                    into->reports.emplace_back(std::move(upstream), std::move(*report));
                }
            }(this, reading, id),
            asio::detached);
    }
    while (reading->outstanding > 0) {
        co_await transport::sleepFor(LOOP_INTERVAL);
    }
    const auto found = config->services.find(service);
    if (found != config->services.end() && found->second.engine && found->second.engine->experts) {
        applyReports(service, *found->second.engine->experts, reading->reports);
    }
    co_await transport::sleepFor(LOOP_INTERVAL);
}

void MapController::applyReports(const std::string &service, const fleet::ExpertLayout &layout,
                                 const std::vector<std::pair<std::string, expertmap::RankReport>> &reports)
{
    std::map<std::string, std::vector<std::pair<std::string, expertmap::RankReport>>> byGroup;
    for (const auto &entry : reports) {
        byGroup[entry.second.group].push_back(entry);
    }
    for (const auto &[name, members] : byGroup) {
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
        if (group->service == service && !byGroup.contains(name)) {
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
    group.bornMs.clear();
    const auto size = static_cast<size_t>(members.front().second.groupSize);
    std::vector<std::string> ranks(size);
    std::vector<int64_t> bornMs(size);
    std::vector<expertmap::RankReport> reports(size);
    int64_t epoch = 0;
    bool complete = members.size() == size;
    for (const auto &[upstream, report] : members) {
        const auto known = context_.view.upstreams().find(upstream);
        if (report.rank < 0 || static_cast<size_t>(report.rank) >= size || known == context_.view.upstreams().end()) {
            complete = false;
            continue;
        }
        const auto rank = static_cast<size_t>(report.rank);
        complete = complete && ranks[rank].empty() && report.open && (epoch == 0 || epoch == report.epoch);
        epoch = report.epoch;
        ranks[rank] = upstream;
        bornMs[rank] = known->second.upstream.bornMs;
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
    group.bornMs = std::move(bornMs);
    group.reports = std::move(reports);
    group.leftoverHold = anyHeld && sameMap;
    if (!sameMap || (anyArmed && !anyHeld)) {
        // Without a hold, armed ranks switch by themselves within a few passes.
        group.reportsStale = true;
        refreshedAt_[group.service] = now - refreshInterval() + ARMED_REFRESH_INTERVAL;
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

std::vector<bool> MapController::inOwnZone(std::span<const std::string> upstreams) const
{
    std::vector<bool> sameZone;
    for (const std::string &upstream : upstreams) {
        const auto known = context_.view.upstreams().find(upstream);
        sameZone.push_back(known != context_.view.upstreams().end() && known->second.upstream.zone == context_.settings.zone);
    }
    return sameZone;
}

bool MapController::ranksUnchanged(const Group &group) const
{
    for (size_t rank = 0; rank < group.ranks.size(); ++rank) {
        const auto known = context_.view.upstreams().find(group.ranks[rank]);
        if (known == context_.view.upstreams().end() || known->second.upstream.bornMs != group.bornMs[rank]) {
            return false;
        }
    }
    return true;
}

asio::awaitable<transport::HttpReply> MapController::callRank(std::string upstream, platform::HttpCall call, milliseconds timeout)
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
    transport::HttpReply reply = co_await context_.httpClient.call(viaAgent ? agent : engine, call.method, call.target, call.body, timeout, std::move(fields));
    // An unanswered order does not mean that the agent is down, because engines leave some orders unanswered.
    if (viaAgent && reply.status == 0 && call.method == "GET") {
        agentBackoffUntil_[upstream] = framework::monotonicNow() + AGENT_BACKOFF;
        context_.log.report({"maps", "agent_silent", ResultCode::UpstreamUnreachable, "", {{"upstream", upstream}, {"agent", agent}}});
    }
    co_return reply;
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
    return std::ranges::all_of(group.ranks, [&](const std::string &upstream) {
        const auto down = agentBackoffUntil_.find(upstream);
        return down == agentBackoffUntil_.end() || now >= down->second;
    });
}

void MapController::step(const std::shared_ptr<Group> &group, Instant now)
{
    if (group->ranks.empty()) {
        if (now - group->lastRefresh > REFRESH_INTERVAL) {
            group->reportsStale = true;
        }
        return;
    }
    if (!ranksUnchanged(*group)) {
        if (group->change) {
            group->change->abandon("a rank left the group");
            finishChange(*group, now);
        }
        group->reportsStale = now - group->lastRefresh > DOWN_REFRESH_INTERVAL;
        return;
    }
    if (group->change) {
        driveChange(group, now);
        return;
    }
    if (group->leftoverHold && !group->mapUnknown) {
        startCleanUp(*group, now);
        return;
    }
    if (group->mapUnknown) {
        if (!group->planning) {
            group->planning = true;
            asio::co_spawn(context_.executor, readMap(group), asio::detached);
        }
        return;
    }
    readSamples(group, now);
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
        asio::co_spawn(context_.executor, plan(group), asio::detached);
    }
}

bool MapController::passesStalled(Group &group, Instant now) const
{
    const int inFlight = context_.dispatcher.engineLoad(group.service, now).inFlight + context_.peers.inFlightOfOthers(group.service, now);
    if (inFlight == 0) {
        group.passStallDetector.onProgress(now);
    }
    return group.passStallDetector.isStalled(now);
}

void MapController::startCleanUp(Group &group, Instant now)
{
    // Every rank can prepare the current map again, because it adds no expert to any rank.
    expertmap::MapChange change{group.epoch, termFencing_, group.highestVersion + 1, group.map};
    const expertmap::SwitchOptions options = agentsReachable(group, now) ? expertmap::SwitchOptions::lowLatency() : expertmap::SwitchOptions{};
    group.changeMapText = platform::encodeMapText(change.map);
    group.change = std::make_shared<expertmap::GroupSwitch>(expertmap::GroupSwitch::cleanUp(options, std::move(change), group.reports, now));
    group.leftoverHold = false;
    context_.log.report({"maps", "clean_up", ResultCode::Ok, "", {{"group", group.name}, {"epoch", std::to_string(group.epoch)}}});
}

std::vector<expertmap::LoadSample> MapController::samplesToPlanOn(const Group &group) const
{
    const auto &samples = group.samples.samples();
    const size_t used = demandShifted(group) ? std::min(samples.size(), SAMPLES_AFTER_SHIFT) : samples.size();
    return {samples.end() - static_cast<std::ptrdiff_t>(used), samples.end()};
}

bool MapController::demandShifted(const Group &group) const
{
    const auto &samples = group.samples.samples();
    const auto newest = static_cast<std::ptrdiff_t>(std::min<size_t>(samples.size(), SAMPLES_PER_PLAN));
    double skew = 0.0;
    for (int set = 0; set < group.layout.sets; ++set) {
        std::vector<expertmap::SetSample> loads;
        for (auto sample = samples.end() - newest; sample != samples.end(); ++sample) {
            loads.push_back((*sample)[static_cast<size_t>(set)]);
        }
        skew += expertmap::meanSampleSkew(group.map[static_cast<size_t>(set)], group.layout.experts, loads) / group.layout.sets;
    }
    return skew > SHIFT_RATIO * group.plannedSkew;
}

void MapController::readSamples(const std::shared_ptr<Group> &group, Instant now)
{
    if (now < group->nextSample) {
        return;
    }
    const bool agents = agentsReachable(*group, now);
    const auto [ranks, sameZoneOnly]
        = agents ? group->sampledRanks.select(SAMPLED_RANKS, SAMPLED_RANKS_SAME_ZONE) : group->sampledRanks.select(REMOTE_SAMPLED_RANKS, REMOTE_SAMPLED_RANKS);
    group->nextSample = now + (!agents ? REMOTE_SAMPLE_INTERVAL : sameZoneOnly ? SAMPLE_INTERVAL_SAME_ZONE : SAMPLE_INTERVAL);
    if (!ranks.empty() && group->timedRank != ranks.front()) {
        group->timedRank = ranks.front();
        group->timedPass = 0;
    }
    for (const int rank : ranks) {
        asio::co_spawn(context_.executor, readCounts(group, rank), asio::detached);
    }
}

asio::awaitable<void> MapController::readCounts(std::shared_ptr<Group> group, int rank)
{
    // The ranks may have been cleared between the spawning and the start of this coroutine.
    if (group->ranks.size() <= static_cast<size_t>(rank)) {
        co_return;
    }
    const transport::HttpReply reply = co_await callRank(group->ranks[static_cast<size_t>(rank)], platform::countsCall(), REPORT_TIMEOUT);
    const framework::Ret read = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(counts, platform::decodeCounts(reply.status, reply.body, group->layout.sets));
        if (counts.epoch != group->epoch) {
            group->reportsStale = true;
            return {};
        }
        const Instant now = framework::monotonicNow();
        if (rank == group->timedRank) {
            if (counts.lastPass != group->timedPass) {
                group->passStallDetector.onProgress(now);
            }
            if (group->timedPass > 0 && counts.lastPass > group->timedPass) {
                const Duration measured = (now - group->timedPassAt) / (counts.lastPass - group->timedPass);
                group->passTime += PASS_TIME_WEIGHT * (std::clamp<Duration>(measured, MIN_PASS_TIME, MAX_PASS_TIME) - group->passTime);
            }
            group->timedPass = counts.lastPass;
            group->timedPassAt = now;
        }
        group->sampledRanks.onRead(rank, expertmap::totalSelections(counts));
        group->samples.onCounts(rank, counts);
        return {};
    });
    if (!read) {
        context_.log.report({"maps", "no_counts", read.code, "", {{"group", group->name}, {"rank", std::to_string(rank)}, {"detail", read.detail}}});
        group->reportsStale = true;
    }
}

asio::awaitable<void> MapController::readMap(std::shared_ptr<Group> group)
{
    const int64_t epoch = group->epoch;
    const size_t ranks = group->ranks.size();
    expertmap::GroupMap map(static_cast<size_t>(group->layout.sets), std::vector<expertmap::RankExperts>(ranks));
    bool complete = true;
    for (size_t rank = 0; rank < ranks && complete && group->ranks.size() == ranks; ++rank) {
        const transport::HttpReply reply = co_await callRank(group->ranks[rank], platform::mapListsCall(), REPORT_TIMEOUT);
        const framework::Ret read = framework::evaluate([&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(lists, platform::decodeMapLists(reply.status, reply.body, group->layout.sets));
            complete = lists.epoch == epoch && lists.version == group->mapVersion;
            for (size_t set = 0; complete && set < map.size(); ++set) {
                map[set][rank] = lists.experts[set];
            }
            return {};
        });
        complete = complete && read;
    }
    group->planning = false;
    if (!complete || group->epoch != epoch) {
        group->reportsStale = true;
        co_return;
    }
    group->map = std::move(map);
    group->mapUnknown = false;
    context_.log.report({"maps", "map_read", ResultCode::Ok, "", {{"group", group->name}, {"version", std::to_string(group->mapVersion)}}});
}

asio::awaitable<void> MapController::plan(std::shared_ptr<Group> group)
{
    co_await searchAndBeginChange(group);
    // Reset only now, because a search that starts during the preparation of a change would work on an outdated map.
    group->planning = false;
}

asio::awaitable<void> MapController::searchAndBeginChange(std::shared_ptr<Group> group)
{
    const int64_t epoch = group->epoch;
    const int64_t version = group->mapVersion;
    // Work on copies, because the group may restart with other ranks during the search.
    const fleet::ExpertLayout layout = group->layout;
    const ChangeThresholds thresholds = thresholdsAt(group->passTime / maxPause(group->service));
    expertmap::MapSearchOptions options;
    options.experts = layout.experts;
    options.maxExpertsPerRank = layout.placements;
    options.maxAddedPerRankAndSet = layout.spares;
    options.maxAddedPerRank = expertmap::copiesWithin(MAX_COPY_TIME, layout.copyTime);
    options.copyCost = thresholds.costPerGigabyte * layout.megabytesPerExpert / MEGABYTES_PER_GIGABYTE;
    expertmap::MapSearch search(options, group->map, samplesToPlanOn(*group), context_.random());
    while (search.improve(PROPOSALS_PER_SLICE)) {
        co_await transport::sleepFor(milliseconds{1});
    }
    const Instant now = framework::monotonicNow();
    group->nextPlan = now + PLAN_INTERVAL;
    group->plannedSkew = search.skew();
    const bool stillValid = lease_.held() && group->epoch == epoch && group->mapVersion == version && !group->change && !group->reportsStale;
    const bool worthIt = stillValid && search.initialSkew() - search.skew() >= thresholds.minGain;
    context_.log.report({"maps",
                         worthIt ? "change_begun" : "map_kept",
                         ResultCode::Ok,
                         "",
                         {{"group", group->name},
                          {"skew", std::to_string(search.initialSkew())},
                          {"planned_skew", std::to_string(search.skew())},
                          {"copies", std::to_string(search.copies())},
                          {"copies_of_a_rank", std::to_string(search.maxCopiesOfARank())},
                          {"samples", std::to_string(group->samples.samples().size())},
                          {"pass_ms", std::to_string(toMilliseconds(group->passTime).count())},
                          {"copy_cost", std::to_string(options.copyCost)}}});
    if (!worthIt) {
        co_return;
    }
    // Read the reports again, because orders need the current order sequences and passes.
    do {
        co_await refreshReports(group->service);
    } while (group->reportsStale && group->epoch == epoch && lease_.held() && framework::monotonicNow() - now < MAX_SETTLE_WAIT);
    if (!lease_.held() || context_.draining || group->reportsStale || group->leftoverHold || group->change || group->epoch != epoch
        || group->mapVersion != version || group->ranks.empty()) {
        co_return;
    }
    expertmap::MapChange change{epoch, termFencing_, group->highestVersion + 1, search.map()};
    const Instant begin = framework::monotonicNow();
    expertmap::SwitchOptions switchOptions;
    if (agentsReachable(*group, begin)) {
        switchOptions = begin >= lossTolerantUntil_ ? expertmap::SwitchOptions::lowLatency() : expertmap::SwitchOptions::lossTolerant();
    }
    group->changeMapText = platform::encodeMapText(change.map);
    group->change = std::make_shared<expertmap::GroupSwitch>(switchOptions, std::move(change), group->reports, toMilliseconds(group->passTime), begin);
}

void MapController::driveChange(const std::shared_ptr<Group> &group, Instant now)
{
    const auto change = group->change;
    if (change->finished()) {
        finishChange(*group, now);
        return;
    }
    for (const expertmap::SwitchCommand &command : change->tick(now)) {
        asio::co_spawn(context_.executor, sendCommand(group, change, command), asio::detached);
    }
}

asio::awaitable<void> MapController::sendCommand(std::shared_ptr<Group> group, std::shared_ptr<expertmap::GroupSwitch> change, expertmap::SwitchCommand command)
{
    const Instant requestedAt = framework::monotonicNow();
    if (group->ranks.size() <= static_cast<size_t>(command.rank)) {
        co_return;
    }
    const std::string upstream = group->ranks[static_cast<size_t>(command.rank)];
    if (!command.order) {
        const std::optional<expertmap::RankReport> report = co_await readReport(upstream);
        change->onReport(command.rank, report, requestedAt, framework::monotonicNow());
        co_return;
    }
    if (!lease_.held()) {
        change->onReply(command, expertmap::OrderOutcome::Unknown, framework::monotonicNow());
        co_return;
    }
    const milliseconds agentTimeout = command.order->kind == expertmap::OrderKind::Prepare ? AGENT_PREPARE_TIMEOUT : AGENT_ORDER_TIMEOUT;
    const milliseconds timeout = agentsReachable(*group, requestedAt) ? agentTimeout : ORDER_TIMEOUT;
    const transport::HttpReply reply = co_await callRank(upstream, platform::orderCall(*command.order, group->changeMapText), timeout);
    const expertmap::OrderOutcome outcome = platform::decodeOrderOutcome(reply.status);
    const Instant now = framework::monotonicNow();
    if (outcome == expertmap::OrderOutcome::Unknown) {
        lossTolerantUntil_ = now + LOSS_TOLERANT_PERIOD;
    }
    context_.metrics.onOrder(expertmap::toString(command.order->kind), expertmap::toString(outcome));
    context_.log.report({"maps",
                         "order",
                         outcome == expertmap::OrderOutcome::Unknown ? ResultCode::ReplyLost : ResultCode::Ok,
                         "",
                         {{"group", group->name},
                          {"rank", std::to_string(command.rank)},
                          {"order", std::string(expertmap::toString(command.order->kind))},
                          {"outcome", std::string(expertmap::toString(outcome))},
                          {"version", std::to_string(command.order->version)},
                          {"pass", std::to_string(command.order->pass)},
                          {"fencing", std::to_string(command.order->fencing)},
                          {"phase", std::string(expertmap::toString(change->phase()))},
                          {"ms", std::to_string(toMilliseconds(now - requestedAt).count())}}});
    change->onReply(command, outcome, now);
}

void MapController::finishChange(Group &group, Instant now)
{
    const expertmap::GroupSwitch &change = *group.change;
    const bool switched = change.phase() == expertmap::SwitchPhase::Switched;
    context_.log.report({"maps",
                         switched ? "switched" : "given_up",
                         switched ? ResultCode::Ok : ResultCode::MapRefused,
                         "",
                         {{"group", group.name}, {"version", std::to_string(change.change().version)}, {"reason", std::string(change.reason())}}});
    group.highestVersion = std::max(group.highestVersion, change.highestVersion());
    if (switched) {
        group.map = change.change().map;
        group.mapVersion = change.change().version;
        group.nextPlan = now + PLAN_INTERVAL;
        group.mapInUseFrom = now + PASSES_TO_SETTLE * std::clamp(toMilliseconds(group.passTime), MIN_SETTLE_PASS_TIME, MAX_SETTLE_PASS_TIME);
    } else {
        group.nextPlan = now + PLAN_INTERVAL;
        group.reportsStale = true;
    }
    if (change.superseded()) {
        lease_.drop("a rank has seen a higher fencing number");
    }
    group.change.reset();
}

} // namespace daisymount::gateway

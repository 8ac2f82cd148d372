// Drives sampling, planning and switching of expert maps.

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

constexpr milliseconds STEP{20};
constexpr milliseconds IDLE_STEP{200};
/// Measured passes outside of this are gaps of an idle or a stopped group.
constexpr milliseconds SHORTEST_PASS{20};
constexpr milliseconds LONGEST_PASS{300};
constexpr milliseconds SHORTEST_SETTLE{40};
constexpr milliseconds LONGEST_SETTLE{120};
constexpr milliseconds REPORT_PATIENCE{600};
constexpr milliseconds ORDER_PATIENCE{400};
/// Through an agent an answer takes a few milliseconds, and some orders get none.
constexpr milliseconds AGENT_ORDER_PATIENCE{60};
/// A whole map takes a large group's small VMs longer to pass on.
constexpr milliseconds AGENT_PREPARE_PATIENCE{400};
/// Without agents each report is priced as a probe.
constexpr milliseconds REMOTE_REFRESH_PAUSE{700};
constexpr milliseconds REFRESH_PAUSE{250};
/// While the group makes no passes its return is looked for this often.
constexpr milliseconds DOWN_REFRESH_PAUSE{200};
/// While ranks are armed they switch within a few passes.
constexpr milliseconds ARMED_REFRESH_PAUSE{60};
/// Passes that a change may take from its release until it is in force on all ranks.
constexpr int PASSES_TO_SETTLE = 2;
/// Through agents beside the engines reads are free; so many ranks are read a round. Those of the own zone come first, since the bytes
/// of the others are paid for.
constexpr int SAMPLED_RANKS = 12;
constexpr int SAMPLED_RANKS_NEAR = 24;
/// Between two reads of one rank.
constexpr milliseconds SAMPLE_INTERVAL{100};
constexpr milliseconds SAMPLE_INTERVAL_NEAR{200};
/// Without agents each read is priced and pauses the group for a moment.
constexpr int REMOTE_SAMPLED_RANKS = 2;
constexpr milliseconds REMOTE_SAMPLE_INTERVAL{1'000};
constexpr int64_t FIRST_SAMPLES = 8;
/// New samples after which a better map is looked for.
constexpr int64_t SAMPLES_PER_PLAN = 8;
constexpr milliseconds PLAN_INTERVAL{300};
/// Skew of the newest samples over the planned one above which other experts are in demand than the map was made for.
constexpr double SHIFT_RATIO = 1.15;
/// An agent that did not answer is left out for this long.
constexpr milliseconds AGENT_PAUSE{5'000};
/// After an order without an answer, changes are made with more time for a while.
constexpr milliseconds CAUTION{15'000};
/// What a change has to be worth. Copies slow the passes down while they last, and they are paid for.
struct PlanningEffort
{
    double leastGain; ///< Predicted skew that the change has to save.
    double costPerGigabyte; ///< Skew that each copied gigabyte has to save.
};
/// While passes are short, uneven ranks delay nobody.
constexpr PlanningEffort CALM_EFFORT{0.3, 0.038};
/// Near the pause that a stream may have, evenness is worth most.
constexpr PlanningEffort BUSY_EFFORT{0.1, 0.0154};
constexpr double MEGABYTES_PER_GIGABYTE = 1'000.0;
/// Parts of the permitted pause that a mean pass may take for either effort: single passes take twice as long. Linear between them.
constexpr double CALM_PASS_PART = 0.44;
constexpr double BUSY_PASS_PART = 0.62;

PlanningEffort effortAt(double passPart)
{
    const double busy = std::clamp((passPart - CALM_PASS_PART) / (BUSY_PASS_PART - CALM_PASS_PART), 0.0, 1.0);
    return {std::lerp(CALM_EFFORT.leastGain, BUSY_EFFORT.leastGain, busy), std::lerp(CALM_EFFORT.costPerGigabyte, BUSY_EFFORT.costPerGigabyte, busy)};
}
/// Of the newest measurement in the drifting pass time.
constexpr double PASS_TIME_WEIGHT = 0.2;
/// The search works in slices, so that callers' bytes do not wait for it.
constexpr int PROPOSALS_PER_SLICE = 1'000;
constexpr int PROPOSALS_PER_SET = 4'000;
/// Experts of one set that a change copies to one rank: the change is in force only when the last rank has them.
constexpr int MOST_COPIES = 2;

template<typename AnyDuration>
milliseconds toMilliseconds(AnyDuration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration);
}
} // namespace

MapController::MapController(GatewayContext &context) : context_(context), lease_(context, [this] { return changing(); })
{ }

bool MapController::changing() const
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
            co_await transport::sleepFor(IDLE_STEP);
            continue;
        }
        if (fencingInUse_ != lease_.fencing()) {
            // A new term: whatever an earlier one knew may have changed.
            fencingInUse_ = lease_.fencing();
            refreshedAt_.clear();
            for (auto &[name, group] : groups_) {
                group->change.reset();
                group->stale = true;
                group->samples.onNewEpoch();
            }
        }
        const auto config = context_.view.config();
        for (const auto &[name, service] : config->services) {
            if (!service.engine || !service.engine->experts) {
                continue;
            }
            const auto known = [wanted = name](const auto &entry) { return entry.second->service == wanted; };
            const auto stale = [wanted = name](const auto &entry) { return entry.second->service == wanted && entry.second->stale; };
            const bool readAgain = std::ranges::none_of(groups_, known) || std::ranges::any_of(groups_, stale);
            const Instant due = refreshedAt_[name] + refreshPause();
            if (readAgain && framework::monotonicNow() >= due) {
                co_await refresh(name);
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
        context_.fastUpstreamPolling = std::ranges::any_of(groups_, [](const auto &entry) { return entry.second->stale && entry.second->ranks.empty(); });
        context_.peers.self().groupsDown = std::move(down);
        co_await transport::sleepFor(STEP);
    }
}

asio::awaitable<std::optional<expertmap::RankReport>> MapController::readReport(std::string upstream)
{
    const transport::HttpReply reply = co_await callRank(upstream, platform::reportCall(), REPORT_PATIENCE);
    std::optional<expertmap::RankReport> report;
    const framework::Ret read = framework::attempt([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(decoded, platform::decodeReport(reply.status, reply.body));
        report = std::move(decoded);
        return {};
    });
    if (!read) {
        context_.log.report({"maps", "no_report", read.code, "", {{"upstream", upstream}, {"detail", read.detail}}});
    }
    co_return report;
}

asio::awaitable<void> MapController::refresh(std::string service)
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
        co_await transport::sleepFor(STEP);
    }
    const auto found = config->services.find(service);
    if (found != config->services.end() && found->second.engine && found->second.engine->experts) {
        adopt(service, *found->second.engine->experts, reading->reports);
    }
    co_await transport::sleepFor(STEP);
}

void MapController::adopt(const std::string &service, const fleet::ExpertLayout &layout,
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
        adoptGroup(*group, members);
    }
    for (auto &[name, group] : groups_) {
        if (group->service == service && !byGroup.contains(name)) {
            group->ranks.clear();
            group->stale = true;
            group->down = true;
        }
    }
}

void MapController::adoptGroup(Group &group, const std::vector<std::pair<std::string, expertmap::RankReport>> &members)
{
    const Instant now = framework::monotonicNow();
    group.lastRefresh = now;
    group.passes.onReports(now);
    group.ranks.clear();
    group.born.clear();
    const auto size = static_cast<size_t>(members.front().second.groupSize);
    std::vector<std::string> ranks(size);
    std::vector<int64_t> born(size);
    std::vector<expertmap::RankReport> reports(size);
    int64_t epoch = 0;
    bool whole = members.size() == size;
    for (const auto &[upstream, report] : members) {
        const auto known = context_.view.upstreams().find(upstream);
        if (report.rank < 0 || static_cast<size_t>(report.rank) >= size || known == context_.view.upstreams().end()) {
            whole = false;
            continue;
        }
        const auto rank = static_cast<size_t>(report.rank);
        whole = whole && ranks[rank].empty() && report.open && (epoch == 0 || epoch == report.epoch);
        epoch = report.epoch;
        ranks[rank] = upstream;
        born[rank] = known->second.upstream.bornMs;
        reports[rank] = report;
        for (const int64_t version : {report.mapVersion, report.preparedVersion.value_or(0), report.armedVersion.value_or(0)}) {
            group.highestVersion = std::max(group.highestVersion, version);
        }
    }
    // A group opens again in a new epoch, often before the registration of the rank that has come back is known here.
    const bool openAnew = std::ranges::all_of(members, [&](const auto &entry) { return entry.second.open && entry.second.epoch != group.epoch; });
    group.down = !whole && !openAnew;
    if (!whole) {
        group.stale = true;
        refreshedAt_[group.service] = now - refreshPause() + DOWN_REFRESH_PAUSE;
        return;
    }
    const bool anyArmed = std::ranges::any_of(reports, [](const auto &report) { return report.armedVersion.has_value(); });
    const bool anyHeld = std::ranges::any_of(reports, [](const auto &report) { return report.heldPass.has_value(); });
    const int64_t version = reports.front().mapVersion;
    const bool sameMap = std::ranges::all_of(reports, [&](const auto &report) { return report.mapVersion == version; });
    if (epoch != group.epoch) {
        group.samples.onNewEpoch();
        group.epoch = epoch;
        group.nextSample = Instant{0};
    }
    group.ranks = std::move(ranks);
    group.born = std::move(born);
    group.reports = std::move(reports);
    group.leftHeld = anyHeld && sameMap;
    if (!sameMap || (anyArmed && !anyHeld)) {
        // Armed and not held: the ranks are about to switch by themselves.
        group.stale = true;
        refreshedAt_[group.service] = now - refreshPause() + ARMED_REFRESH_PAUSE;
        return;
    }
    group.mapUnknown = false;
    if (version == 0) {
        group.map.assign(static_cast<size_t>(group.layout.sets), expertmap::placedInTurn(static_cast<int>(size), group.layout.experts));
    } else if (version != group.mapVersion || group.map.empty()) {
        group.mapUnknown = true;
    }
    group.mapVersion = version;
    group.stale = false;
    context_.log.report({"maps",
                         "group_adopted",
                         ResultCode::Ok,
                         "",
                         {{"group", group.name}, {"epoch", std::to_string(epoch)}, {"ranks", std::to_string(size)}, {"map", std::to_string(version)}}});
}

bool MapController::ranksUnchanged(const Group &group) const
{
    for (size_t rank = 0; rank < group.ranks.size(); ++rank) {
        const auto known = context_.view.upstreams().find(group.ranks[rank]);
        if (known == context_.view.upstreams().end() || known->second.upstream.bornMs != group.born[rank]) {
            return false;
        }
    }
    return true;
}

asio::awaitable<transport::HttpReply> MapController::callRank(std::string upstream, platform::HttpCall call, milliseconds patience)
{
    const auto known = context_.view.upstreams().find(upstream);
    if (known == context_.view.upstreams().end()) {
        co_return transport::HttpReply{};
    }
    const std::string engine = known->second.upstream.address;
    const std::string agent = engine.substr(0, engine.find(':')) + ":" + std::to_string(context_.settings.firstPeerPort);
    const Instant now = framework::monotonicNow();
    const bool viaAgent = now >= agentsDownUntil_[upstream];
    transport::HeaderFields fields = platform::expectedUpstreamField(upstream);
    transport::HttpReply reply = co_await context_.httpClient.call(viaAgent ? agent : engine, call.method, call.target, call.body, patience, std::move(fields));
    // An order without an answer says nothing about the agent: engines leave some of them unanswered.
    if (viaAgent && reply.status == 0 && call.method == "GET") {
        agentsDownUntil_[upstream] = framework::monotonicNow() + AGENT_PAUSE;
        context_.log.report({"maps", "agent_silent", ResultCode::UpstreamUnreachable, "", {{"upstream", upstream}, {"agent", agent}}});
    }
    co_return reply;
}

milliseconds MapController::permittedPause(const std::string &service) const
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

milliseconds MapController::refreshPause() const
{
    const Instant now = framework::monotonicNow();
    const bool silent = std::ranges::any_of(agentsDownUntil_, [now](const auto &entry) { return now < entry.second; });
    return silent ? REMOTE_REFRESH_PAUSE : REFRESH_PAUSE;
}

bool MapController::agentsAnswer(const Group &group, Instant now) const
{
    return std::ranges::all_of(group.ranks, [&](const std::string &upstream) {
        const auto down = agentsDownUntil_.find(upstream);
        return down == agentsDownUntil_.end() || now >= down->second;
    });
}

void MapController::step(const std::shared_ptr<Group> &group, Instant now)
{
    if (group->ranks.empty()) {
        if (now - group->lastRefresh > REFRESH_PAUSE) {
            group->stale = true;
        }
        return;
    }
    if (!ranksUnchanged(*group)) {
        if (group->change) {
            group->change->abandon("a rank left the group");
            finishChange(*group, now);
        }
        group->stale = now - group->lastRefresh > DOWN_REFRESH_PAUSE;
        return;
    }
    if (group->change) {
        driveChange(group, now);
        return;
    }
    if (group->leftHeld && !group->mapUnknown) {
        cleanUp(*group, now);
        return;
    }
    if (group->mapUnknown) {
        if (!group->planning) {
            group->planning = true;
            asio::co_spawn(context_.executor, readMap(group), asio::detached);
        }
        return;
    }
    sample(group, now);
    if (heldBack(*group, now)) {
        // Perhaps an order of an earlier controller that came late: the reports tell whether a pass is held.
        group->stale = true;
        return;
    }
    const bool fresh = group->samples.taken() - group->samplesAtPlan >= SAMPLES_PER_PLAN && group->samples.taken() >= FIRST_SAMPLES;
    const bool due = fresh && now >= group->settledAt && (now >= group->nextPlan || demandShifted(*group));
    if (due && !group->planning && !context_.draining) {
        group->planning = true;
        group->samplesAtPlan = group->samples.taken();
        asio::co_spawn(context_.executor, plan(group), asio::detached);
    }
}

bool MapController::heldBack(Group &group, Instant now) const
{
    const int inFlight = context_.dispatcher.engineLoad(group.service, now).inFlight + context_.peers.inFlightOfOthers(group.service, now);
    if (inFlight == 0) {
        group.passes.onPass(now);
    }
    return group.passes.heldBack(now);
}

void MapController::cleanUp(Group &group, Instant now)
{
    // The map in force adds no expert to any rank, so every rank can prepare it again.
    expertmap::MapChange change{group.epoch, fencingInUse_, group.highestVersion + 1, group.map};
    const expertmap::SwitchOptions options = agentsAnswer(group, now) ? expertmap::SwitchOptions::prompt() : expertmap::SwitchOptions{};
    group.changeText = platform::mapText(change.map);
    group.change = std::make_shared<expertmap::GroupSwitch>(expertmap::GroupSwitch::cleanUp(options, std::move(change), group.reports, now));
    group.leftHeld = false;
    context_.log.report({"maps", "clean_up", ResultCode::Ok, "", {{"group", group.name}, {"epoch", std::to_string(group.epoch)}}});
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

void MapController::sample(const std::shared_ptr<Group> &group, Instant now)
{
    if (now < group->nextSample) {
        return;
    }
    const bool agents = agentsAnswer(*group, now);
    std::vector<int> near;
    std::vector<int> all;
    for (size_t rank = 0; rank < group->ranks.size(); ++rank) {
        const auto known = context_.view.upstreams().find(group->ranks[rank]);
        const bool here = known != context_.view.upstreams().end() && known->second.upstream.zone == context_.settings.zone;
        (here ? near : all).push_back(static_cast<int>(rank));
    }
    all.insert(all.begin(), near.begin(), near.end());
    const bool nearIsEnough = agents && near.size() >= SAMPLED_RANKS;
    group->nextSample = now + (nearIsEnough ? SAMPLE_INTERVAL_NEAR : agents ? SAMPLE_INTERVAL : REMOTE_SAMPLE_INTERVAL);
    std::vector<int> &read = nearIsEnough ? near : all;
    read.resize(std::min<size_t>(read.size(), nearIsEnough ? SAMPLED_RANKS_NEAR : agents ? SAMPLED_RANKS : REMOTE_SAMPLED_RANKS));
    if (!read.empty() && group->timedRank != read.front()) {
        group->timedRank = read.front();
        group->passSeen = 0;
    }
    for (const int rank : read) {
        asio::co_spawn(context_.executor, readCounts(group, rank), asio::detached);
    }
}

asio::awaitable<void> MapController::readCounts(std::shared_ptr<Group> group, int rank)
{
    // The group may have lost its ranks between the decision to read and this coroutine's start.
    if (group->ranks.size() <= static_cast<size_t>(rank)) {
        co_return;
    }
    const transport::HttpReply reply = co_await callRank(group->ranks[static_cast<size_t>(rank)], platform::countsCall(), REPORT_PATIENCE);
    const framework::Ret read = framework::attempt([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(counts, platform::decodeCounts(reply.status, reply.body, group->layout.sets));
        if (counts.epoch != group->epoch) {
            group->stale = true;
            return {};
        }
        const Instant now = framework::monotonicNow();
        if (rank == group->timedRank) {
            if (counts.lastPass != group->passSeen) {
                group->passes.onPass(now);
            }
            if (group->passSeen > 0 && counts.lastPass > group->passSeen) {
                const Duration measured = (now - group->passSeenAt) / (counts.lastPass - group->passSeen);
                group->passTime += PASS_TIME_WEIGHT * (std::clamp<Duration>(measured, SHORTEST_PASS, LONGEST_PASS) - group->passTime);
            }
            group->passSeen = counts.lastPass;
            group->passSeenAt = now;
        }
        group->samples.onCounts(rank, counts);
        return {};
    });
    if (!read) {
        context_.log.report({"maps", "no_counts", read.code, "", {{"group", group->name}, {"rank", std::to_string(rank)}, {"detail", read.detail}}});
        group->stale = true;
    }
}

asio::awaitable<void> MapController::readMap(std::shared_ptr<Group> group)
{
    const int64_t epoch = group->epoch;
    const size_t ranks = group->ranks.size();
    expertmap::GroupMap map(static_cast<size_t>(group->layout.sets), std::vector<expertmap::RankExperts>(ranks));
    bool whole = true;
    for (size_t rank = 0; rank < ranks && whole && group->ranks.size() == ranks; ++rank) {
        const transport::HttpReply reply = co_await callRank(group->ranks[rank], platform::mapListsCall(), REPORT_PATIENCE);
        const framework::Ret read = framework::attempt([&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(lists, platform::decodeMapLists(reply.status, reply.body, group->layout.sets));
            whole = lists.epoch == epoch && lists.version == group->mapVersion;
            for (size_t set = 0; whole && set < map.size(); ++set) {
                map[set][rank] = lists.experts[set];
            }
            return {};
        });
        whole = whole && read;
    }
    group->planning = false;
    if (!whole || group->epoch != epoch) {
        group->stale = true;
        co_return;
    }
    group->map = std::move(map);
    group->mapUnknown = false;
    context_.log.report({"maps", "map_read", ResultCode::Ok, "", {{"group", group->name}, {"version", std::to_string(group->mapVersion)}}});
}

asio::awaitable<void> MapController::plan(std::shared_ptr<Group> group)
{
    co_await searchAndBegin(group);
    // Not before: a search that began while the change is being prepared would work on a map that is about to go.
    group->planning = false;
}

asio::awaitable<void> MapController::searchAndBegin(std::shared_ptr<Group> group)
{
    const int64_t epoch = group->epoch;
    const int64_t version = group->mapVersion;
    // The search takes a while, in which the group may form anew with other ranks: it works on copies.
    const fleet::ExpertLayout layout = group->layout;
    const expertmap::GroupMap current = group->map;
    const std::deque<expertmap::LoadSample> taken = group->samples.samples();
    const int ranks = current.empty() ? 0 : static_cast<int>(current.front().size());
    const PlanningEffort effort = effortAt(group->passTime / permittedPause(group->service));
    const double copyCost = effort.costPerGigabyte * layout.megabytesPerExpert / MEGABYTES_PER_GIGABYTE;
    expertmap::GroupMap next;
    double before = 0.0;
    double after = 0.0;
    int copies = 0;
    for (int set = 0; set < static_cast<int>(current.size()); ++set) {
        std::vector<expertmap::SetSample> samples;
        samples.reserve(taken.size());
        for (const expertmap::LoadSample &sample : taken) {
            samples.push_back(sample[static_cast<size_t>(set)]);
        }
        const expertmap::PlacementBounds bounds{ranks, layout.experts, layout.placements, std::min(layout.spares, MOST_COPIES), copyCost};
        expertmap::SamplePlacement search(bounds, current[static_cast<size_t>(set)], std::move(samples), context_.random());
        for (int done = 0; done < PROPOSALS_PER_SET && search.improve(PROPOSALS_PER_SLICE); done += PROPOSALS_PER_SLICE) {
            co_await transport::sleepFor(milliseconds{1});
        }
        before += search.skewAtStart() / layout.sets;
        after += search.skew() / layout.sets;
        copies += search.copies();
        next.push_back(search.placement());
    }
    const Instant now = framework::monotonicNow();
    group->nextPlan = now + PLAN_INTERVAL;
    group->plannedSkew = after;
    const bool stillValid = lease_.held() && group->epoch == epoch && group->mapVersion == version && !group->change && !group->stale;
    const bool worthIt = stillValid && before - after >= effort.leastGain;
    context_.log.report({"maps",
                         worthIt ? "change_begun" : "map_kept",
                         ResultCode::Ok,
                         "",
                         {{"group", group->name},
                          {"skew", std::to_string(before)},
                          {"planned_skew", std::to_string(after)},
                          {"copies", std::to_string(copies)},
                          {"samples", std::to_string(group->samples.samples().size())},
                          {"pass_ms", std::to_string(toMilliseconds(group->passTime).count())},
                          {"copy_cost", std::to_string(copyCost)}}});
    if (!worthIt) {
        co_return;
    }
    // The reports may be old: sequences and passes are read again before anything is ordered.
    co_await refresh(group->service);
    if (!lease_.held() || context_.draining || group->stale || group->leftHeld || group->change || group->epoch != epoch || group->mapVersion != version
        || group->ranks.empty()) {
        co_return;
    }
    expertmap::MapChange change{epoch, fencingInUse_, group->highestVersion + 1, std::move(next)};
    const Instant begin = framework::monotonicNow();
    expertmap::SwitchOptions options;
    if (agentsAnswer(*group, begin)) {
        options = begin >= cautiousUntil_ ? expertmap::SwitchOptions::prompt() : expertmap::SwitchOptions::careful();
    }
    group->changeText = platform::mapText(change.map);
    group->change = std::make_shared<expertmap::GroupSwitch>(options, std::move(change), group->reports, toMilliseconds(group->passTime), begin);
}

void MapController::driveChange(const std::shared_ptr<Group> &group, Instant now)
{
    const auto change = group->change;
    if (change->finished()) {
        finishChange(*group, now);
        return;
    }
    for (const expertmap::SwitchCommand &command : change->tick(now)) {
        asio::co_spawn(context_.executor, perform(group, change, command), asio::detached);
    }
}

asio::awaitable<void> MapController::perform(std::shared_ptr<Group> group, std::shared_ptr<expertmap::GroupSwitch> change, expertmap::SwitchCommand command)
{
    const Instant askedAt = framework::monotonicNow();
    if (group->ranks.size() <= static_cast<size_t>(command.rank)) {
        co_return;
    }
    const std::string upstream = group->ranks[static_cast<size_t>(command.rank)];
    if (!command.order) {
        const std::optional<expertmap::RankReport> report = co_await readReport(upstream);
        change->onReport(command.rank, report, askedAt, framework::monotonicNow());
        co_return;
    }
    if (!lease_.held()) {
        change->onReply(command, expertmap::OrderOutcome::Unknown, framework::monotonicNow());
        co_return;
    }
    const milliseconds agentPatience = command.order->kind == expertmap::OrderKind::Prepare ? AGENT_PREPARE_PATIENCE : AGENT_ORDER_PATIENCE;
    const milliseconds patience = agentsAnswer(*group, askedAt) ? agentPatience : ORDER_PATIENCE;
    const transport::HttpReply reply = co_await callRank(upstream, platform::orderCall(*command.order, group->changeText), patience);
    const expertmap::OrderOutcome outcome = platform::decodeOrderOutcome(reply.status);
    const Instant now = framework::monotonicNow();
    if (outcome == expertmap::OrderOutcome::Unknown) {
        cautiousUntil_ = now + CAUTION;
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
                          {"ms", std::to_string(toMilliseconds(now - askedAt).count())}}});
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
        group.settledAt = now + PASSES_TO_SETTLE * std::clamp(toMilliseconds(group.passTime), SHORTEST_SETTLE, LONGEST_SETTLE);
    } else {
        group.nextPlan = now + PLAN_INTERVAL;
        group.stale = true;
    }
    if (change.superseded()) {
        lease_.drop("a rank has seen a higher fencing number");
    }
    group.change.reset();
}

} // namespace daisymount::gateway

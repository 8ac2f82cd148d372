// Samples the expert load of rank groups and plans their maps.

#include "gateway/internal/mapcontrollercommon.h"

#include "framework/workpacer.h"
#include "platform/enginecodec.h"
#include "transport/tasks.h"

#include <algorithm>
#include <cmath>

namespace daisymount::gateway
{

namespace
{
namespace asio = transport::asio;
using framework::ResultCode;
using transport::Duration;

/// Measured pass times are clamped to this range, because longer ones include gaps of an idle or stopped group.
constexpr milliseconds MIN_PASS_TIME{20};
constexpr milliseconds MAX_PASS_TIME{300};
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
/// Ratio of the skew of the newest samples to the planned skew above which the demand has shifted to other experts.
constexpr double SHIFT_RATIO = 1.15;
/// The same ratio above which a large part of the demand has moved. A map that is planned on few samples is well above its planned skew at once.
constexpr double MOVED_RATIO = 1.4;
constexpr double MEGABYTES_PER_GIGABYTE = 1'000.0;
/// Weight of the newest measurement in the average pass time.
constexpr double PASS_TIME_WEIGHT = 0.2;
/// How often a planned search looks whether the one before it has ended.
constexpr milliseconds SEARCH_TURN_INTERVAL{5};
/// With many copies the search converges late, while demand moves on.
constexpr int ADAPTIVE_PROPOSALS_PER_SET = 2'000;
/// Time that a change may take to copy experts to one rank. The switch waits for the slowest rank, and demand moves in the meantime.
constexpr milliseconds MAX_COPY_TIME{150};
/// Time of the search, the orders and the switch of a change, beside its copies.
constexpr milliseconds SWITCH_TIME{600};
/// Number of the newest samples that a map is planned on.
constexpr size_t SAMPLES = 24;
constexpr size_t ADAPTIVE_SAMPLES = 30;
/// The same after demand has shifted; older ones show the earlier demand.
constexpr size_t SAMPLES_AFTER_SHIFT = 12;
/// The same where copies take long: a map that fits few samples only is not worth them.
constexpr size_t ADAPTIVE_SAMPLES_AFTER_SHIFT = 20;
/// Time without a sample, although the group has requests, after which this is logged.
constexpr milliseconds MAX_SAMPLE_GAP{2'000};
/// Time for which a planned change waits until all ranks use the map of the change before it.
constexpr milliseconds MAX_SETTLE_WAIT{400};

/// For short passes: load skew has no noticeable effect on requests.
constexpr ChangeThresholds SHORT_PASS_THRESHOLDS{0.3, 0.038};
/// For passes close to the permitted pause of a stream: balance is most valuable there.
constexpr ChangeThresholds LONG_PASS_THRESHOLDS{0.1, 0.0154};
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
} // namespace

ChangeThresholds MapController::changeThresholds(const Group &group) const
{
    // Adaptive limits admit as many requests as the skew of the map permits, so that evenness counts at any pass time.
    return context_.loadControl.isAdaptive(group.service) ? LONG_PASS_THRESHOLDS : thresholdsAt(group.passTime / maxPause(group.service));
}

std::vector<expertmap::LoadSample> MapController::samplesToPlanOn(const Group &group) const
{
    const auto &samples = group.samples.samples();
    const bool adaptive = context_.loadControl.isAdaptive(group.service);
    const size_t most = demandShifted(group) ? (adaptive ? ADAPTIVE_SAMPLES_AFTER_SHIFT : SAMPLES_AFTER_SHIFT) : (adaptive ? ADAPTIVE_SAMPLES : SAMPLES);
    const size_t used = std::min(samples.size(), most);
    return {samples.end() - static_cast<std::ptrdiff_t>(used), samples.end()};
}

bool MapController::demandShifted(const Group &group) const
{
    return newestSkew(group) > SHIFT_RATIO * group.plannedSkew;
}

double MapController::newestSkew(const Group &group) const
{
    const auto &samples = group.samples.samples();
    const auto newest = static_cast<std::ptrdiff_t>(std::min<size_t>(samples.size(), SAMPLES_PER_PLAN));
    return expertmap::meanMapSkew(group.map, group.layout.experts, std::vector<expertmap::LoadSample>(samples.end() - newest, samples.end()));
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
        transport::spawnTask(context_.executor, "read_counts", readCounts(group, rank));
    }
}

void MapController::reportSampleGap(Group &group, Instant now)
{
    if (!hasRequests(group, now)) {
        group.lastSampleAt = now;
    }
    if (now - group.lastSampleAt <= MAX_SAMPLE_GAP || group.sampleGapLogged) {
        return;
    }
    group.sampleGapLogged = true;
    context_.log.report({"maps",
                         "no_samples",
                         ResultCode::UpstreamFailed,
                         "",
                         {{"group", group.name},
                          {"map", std::to_string(group.mapVersion)},
                          {"idle_ranks", std::to_string(group.sampledRanks.idleRanks())},
                          {"ranks", std::to_string(group.ranks.size())}}});
}

asio::awaitable<void> MapController::readCounts(std::shared_ptr<Group> group, int rank)
{
    // The ranks may have been cleared between the spawning and the start of this coroutine.
    if (group->ranks.size() <= static_cast<size_t>(rank)) {
        co_return;
    }
    const transport::HttpReply reply
        = co_await callRank(group->ranks[static_cast<size_t>(rank)].upstream, platform::countsCall(), REPORT_TIMEOUT, maxCountsBytes(group->layout));
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
        if (group->samples.onCounts(rank, counts)) {
            group->lastSampleAt = now;
            group->sampleGapLogged = false;
        }
        return {};
    });
    if (!read) {
        context_.log.report({"maps", "no_counts", read.code, "", {{"group", group->name}, {"rank", std::to_string(rank)}, {"detail", read.detail}}});
        group->reportsStale = true;
    }
}

asio::awaitable<std::optional<expertmap::GroupMap>> MapController::readHeldExperts(std::shared_ptr<Group> group, std::optional<int64_t> version)
{
    const int64_t epoch = group->epoch;
    const size_t ranks = group->ranks.size();
    expertmap::GroupMap map(static_cast<size_t>(group->layout.sets), std::vector<expertmap::RankExperts>(ranks));
    bool complete = true;
    for (size_t rank = 0; rank < ranks && complete && group->ranks.size() == ranks; ++rank) {
        const transport::HttpReply reply
            = co_await callRank(group->ranks[rank].upstream, platform::mapListsCall(), REPORT_TIMEOUT, maxCountsBytes(group->layout));
        const framework::Ret read = framework::evaluate([&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(lists, platform::decodeMapLists(reply.status, reply.body, group->layout.sets));
            complete = lists.epoch == epoch && (!version || lists.version == *version);
            for (size_t set = 0; complete && set < map.size(); ++set) {
                map[set][rank] = lists.experts[set];
            }
            return {};
        });
        complete = complete && read;
    }
    if (!complete || group->epoch != epoch || group->ranks.size() != ranks) {
        co_return std::nullopt;
    }
    co_return map;
}

asio::awaitable<void> MapController::readMap(std::shared_ptr<Group> group)
{
    std::optional<expertmap::GroupMap> map = co_await readHeldExperts(group, group->mapVersion);
    group->planning = false;
    if (!map) {
        group->reportsStale = true;
        co_return;
    }
    group->map = std::move(*map);
    group->mapUnknown = false;
    context_.log.report({"maps", "map_read", ResultCode::Ok, "", {{"group", group->name}, {"version", std::to_string(group->mapVersion)}}});
}

asio::awaitable<void> MapController::repairMap(std::shared_ptr<Group> group)
{
    const int64_t term = termFencing_;
    std::optional<expertmap::GroupMap> held = co_await readHeldExperts(group, std::nullopt);
    group->planning = false;
    const Instant now = framework::monotonicNow();
    const bool stillValid = held && lease_.held() && termFencing_ == term && !group->change && !context_.draining && group->mixedMaps.needsRepair(now);
    std::optional<expertmap::GroupMap> map
        = stillValid ? expertmap::combinedMap(std::move(*held), group->layout.experts, group->layout.placements, group->layout.spares) : std::nullopt;
    context_.log.report({"maps",
                         map ? "repair_begun" : "repair_postponed",
                         map ? ResultCode::Ok : ResultCode::MapRefused,
                         "",
                         {{"group", group->name}, {"epoch", std::to_string(group->epoch)}, {"version", std::to_string(group->highestVersion)}}});
    if (!map) {
        co_return;
    }
    expertmap::MapChange change{group->epoch, termFencing_, expertmap::nextMapVersion(group->highestVersion, termFencing_), std::move(*map)};
    const bool isHeld = std::ranges::any_of(group->reports, [](const expertmap::RankReport &report) { return report.heldPass.has_value(); });
    const expertmap::SwitchOptions options = agentsReachable(*group, now) ? expertmap::SwitchOptions::lossTolerant() : expertmap::SwitchOptions{};
    // A hold of an earlier change is removed first; the ranks are brought to one map by the next repair.
    beginChange(*group,
                isHeld ? expertmap::GroupSwitch::cleanUp(options, std::move(change), group->reports, now)
                       : expertmap::GroupSwitch(options, std::move(change), group->reports, toMilliseconds(group->passTime), now),
                now);
}

asio::awaitable<void> MapController::plan(std::shared_ptr<Group> group)
{
    // One after the other: the first change begins sooner than if the searches shared the processor, and the turns of the loop stay short.
    while (searching_) {
        co_await transport::sleepFor(SEARCH_TURN_INTERVAL);
    }
    searching_ = true;
    co_await searchAndBeginChange(group);
    searching_ = false;
    // Reset only now, because a search that starts during the preparation of a change would work on an outdated map.
    group->planning = false;
}

expertmap::MapSearchOptions MapController::searchOptions(Group &group, Instant now)
{
    expertmap::MapSearchOptions options;
    options.experts = group.layout.experts;
    options.maxExpertsPerRank = group.layout.placements;
    options.maxAddedPerRankAndSet = group.layout.spares;
    options.copyCost = changeThresholds(group).costPerGigabyte * group.layout.megabytesPerExpert / MEGABYTES_PER_GIGABYTE;
    if (!context_.loadControl.isAdaptive(group.service)) {
        options.maxAddedPerRank = expertmap::copiesWithin(MAX_COPY_TIME, group.layout.copyTime);
        return options;
    }
    if (group.mapVersion > 0 && newestSkew(group) > MOVED_RATIO * group.plannedSkew) {
        group.demandShifts.onShifted(now);
    }
    options.spreadCopies = true;
    options.maxProposalsPerSet = ADAPTIVE_PROPOSALS_PER_SET;
    options.maxAddedPerRank
        = expertmap::copiesPerRank({group.layout.copyTime, group.demandShifts.untilNextShift(now), SWITCH_TIME, group.layout.sets, group.layout.spares});
    return options;
}

asio::awaitable<void> MapController::searchAndBeginChange(std::shared_ptr<Group> group)
{
    const int64_t epoch = group->epoch;
    const int64_t version = group->mapVersion;
    const int64_t term = termFencing_;
    const Instant searchBegun = framework::monotonicNow();
    const expertmap::MapSearchOptions options = searchOptions(*group, searchBegun);
    const double minGain = changeThresholds(*group).minGain;
    // A map fits the samples that it was searched with better than any others. Where copies are worth their time only if they keep their promise,
    // the gain is judged on samples that were held out.
    const bool adaptive = context_.loadControl.isAdaptive(group->service);
    expertmap::SplitSamples samples;
    if (adaptive) {
        samples = expertmap::splitSamples(samplesToPlanOn(*group));
    } else {
        samples.training = samplesToPlanOn(*group);
    }
    const expertmap::GroupMap oldMap = group->map;
    expertmap::MapSearch search(options, oldMap, samples.training, context_.random());
    framework::WorkPacer pacer({});
    bool searching = true;
    while (searching) {
        const Instant sliceBegun = framework::monotonicNow();
        searching = search.improve(pacer.units());
        pacer.onSlice(framework::monotonicNow() - sliceBegun);
        co_await transport::sleepFor(milliseconds{1});
    }
    searching_ = false;
    const Instant now = framework::monotonicNow();
    group->nextPlan = now + PLAN_INTERVAL;
    const double before = adaptive ? expertmap::meanMapSkew(oldMap, options.experts, samples.heldOut) : search.initialSkew();
    const double after = adaptive ? expertmap::meanMapSkew(search.map(), options.experts, samples.heldOut) : search.skew();
    group->plannedSkew = after;
    const bool stillValid = lease_.held() && termFencing_ == term && group->epoch == epoch && group->mapVersion == version && !group->mapUnknown
        && !group->change && !group->reportsStale;
    const bool worthIt = stillValid && before - after >= minGain;
    if (adaptive && !worthIt) {
        group->plannedSkew = before;
    }
    context_.log.report({"maps",
                         worthIt ? "change_begun" : "map_kept",
                         ResultCode::Ok,
                         "",
                         {{"group", group->name},
                          {"skew", std::to_string(before)},
                          {"planned_skew", std::to_string(after)},
                          {"fitted_skew", std::to_string(search.skew())},
                          {"copies", std::to_string(search.copies())},
                          {"copies_of_a_rank", std::to_string(search.maxCopiesOfARank())},
                          {"samples", std::to_string(group->samples.samples().size())},
                          {"pass_ms", std::to_string(toMilliseconds(group->passTime).count())},
                          {"copy_cost", std::to_string(options.copyCost)},
                          {"max_copies", std::to_string(options.maxAddedPerRank)},
                          {"search_ms", std::to_string(toMilliseconds(now - searchBegun).count())},
                          {"longest_slice_ms", std::to_string(toMilliseconds(pacer.longestSlice()).count())},
                          {"until_shift_ms", std::to_string(toMilliseconds(group->demandShifts.untilNextShift(now)).count())}}});
    if (!worthIt) {
        co_return;
    }
    // Read the reports again, because orders need the current order sequences and passes.
    std::string groupName;
    if (hasSeveralGroups(group->service)) {
        groupName = group->name;
    }
    do {
        co_await refreshReports(group->service, groupName);
    } while (group->reportsStale && group->epoch == epoch && lease_.held() && framework::monotonicNow() - now < MAX_SETTLE_WAIT);
    if (!lease_.held() || termFencing_ != term || context_.draining || group->mapUnknown || group->reportsStale || group->leftoverHold || group->change
        || group->epoch != epoch || group->mapVersion != version || group->ranks.empty()) {
        co_return;
    }
    expertmap::MapChange change{epoch, termFencing_, expertmap::nextMapVersion(group->highestVersion, termFencing_), search.map()};
    const Instant begin = framework::monotonicNow();
    expertmap::SwitchOptions switchOptions;
    if (agentsReachable(*group, begin)) {
        const auto quick = hasSeveralGroups(group->service) ? expertmap::SwitchOptions::busyController() : expertmap::SwitchOptions::lowLatency();
        switchOptions = begin >= lossTolerantUntil_ ? quick : expertmap::SwitchOptions::lossTolerant();
    }
    beginChange(*group, expertmap::GroupSwitch(switchOptions, std::move(change), group->reports, toMilliseconds(group->passTime), begin), begin);
}

} // namespace daisymount::gateway

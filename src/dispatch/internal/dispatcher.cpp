// Selects the upstream with the least expected load, with penalties for failing, slow and remote ones and a rate limit for cold ones.

#include "dispatch/dispatcher.h"

#include "dispatch/internal/placementcosts.h"
#include "framework/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace daisymount::dispatch
{

namespace
{
/// Half-life of the reported load from other entries.
constexpr double REPORT_HALF_LIFE_S = 0.5;
/// Time for which an unreachable or reported faulty upstream is avoided.
constexpr milliseconds AVOID_UNREACHABLE{1'000};
/// An upstream whose address was taken over does not return; its registration lapses within this time.
constexpr milliseconds AVOID_REPLACED{6'000};
/// Time for which an upstream that rejected a request as full is avoided.
constexpr milliseconds AVOID_FULL{60};
constexpr double FAILURE_WEIGHT = 0.25; ///< Weight of one result in the failure rate.
constexpr double FAILURE_HALF_LIFE_S = 2.0; ///< As the rate decays, a failing upstream gets requests again.
/// An upstream that answers after failing this often has recovered.
constexpr double RECOVERING_FAILURE_RATE = 0.5;
/// Upstreams that become known within this time after the first ones were running before.
constexpr Duration DISCOVERY_TIME = milliseconds{3'000};
constexpr double ANSWER_WEIGHT = 0.2; ///< Weight of one response in the average response time.
constexpr double SLOW_RATIO = 2.0; ///< Multiple of the mean response time of the service above which an upstream is slow.
/// Random part of the cost; keeps entries with the same data from selecting the same upstream.
constexpr double JITTER = 0.06;
/// Retry delays of rejected callers are spread over this period after the minimum.
constexpr milliseconds RETRY_AFTER_MIN{400};
constexpr int64_t RETRY_AFTER_SPREAD_MS = 1'200;
/// Fraction of the cold-start rate that is used; the rest covers bursts.
constexpr double COLD_USABLE_FRACTION = 0.8;
/// Fraction of the cold-start rate used when a random subset of entries shares it, since the size of the subset varies.
constexpr double COLD_SUBSET_RATE_FRACTION = 0.4;
/// Expected size of that subset, as a fraction of the number of full buckets within the bound.
constexpr double COLD_SUBSET_SIZE_FRACTION = 0.36;

double seconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}
} // namespace

Dispatcher::Dispatcher(const DispatcherOptions &options) : options_(options), notices_(options.seed), random_(static_cast<unsigned>(options.seed))
{ }

void Dispatcher::onFleetChange(const fleet::FleetView &view, Instant now)
{
    coldPerSecond_.clear();
    engineServices_.clear();
    for (const auto &[name, service] : view.config()->services) {
        if (service.coldPerSecond > 0.0) {
            coldPerSecond_[name] = service.coldPerSecond;
        }
        if (service.engine) {
            engineServices_.insert(name);
        }
    }
    if (!startedAt_ && !view.upstreams().empty()) {
        startedAt_ = now;
    }
    std::map<std::string_view, int64_t> newestAt; // By address: start time of the newest incarnation.
    for (const auto &[id, known] : view.upstreams()) {
        int64_t &newest = newestAt[known.upstream.address];
        newest = std::max(newest, known.upstream.bornMs);
    }
    for (const auto &[id, known] : view.upstreams()) {
        State &state = states_[id];
        if (state.upstream.bornMs != known.upstream.bornMs || state.upstream.address != known.upstream.address) {
            const int inFlight = state.inFlight;
            state = State{};
            state.inFlight = inFlight;
            state.coldRefilled = now;
            state.upstream = known.upstream;
            if (startedAt_ && now - *startedAt_ > DISCOVERY_TIME) {
                beginRampUp(state, now);
            }
        }
        state.upstream = known.upstream;
        state.group = groups_.keyOf(known.upstream.service, id);
        state.coldUntil = std::max(state.coldUntil, known.coldUntil);
        const bool replaced = known.upstream.bornMs < newestAt[known.upstream.address];
        const bool leaving = known.upstream.state != fleet::UpstreamState::Ready || notices_.isLeaving(id, known.upstream.bornMs);
        state.usable = !leaving && !view.zoneOut(known.upstream.zone) && !replaced;
        state.pausedUntil = notices_.pausedUntil(id, known.upstream.bornMs);
    }
    for (auto entry = states_.begin(); entry != states_.end();) {
        const bool registered = view.upstreams().contains(entry->first);
        entry->second.usable = entry->second.usable && registered;
        entry = registered || entry->second.inFlight > 0 ? std::next(entry) : states_.erase(entry);
    }
    allocateEngineSlots();
}

void Dispatcher::onGroupsChange(const GroupDirectory &groups)
{
    groups_ = groups;
    for (auto &[id, state] : states_) {
        state.group = groups_.keyOf(state.upstream.service, id);
    }
}

std::string_view Dispatcher::groupOf(std::string_view upstream) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? std::string_view{} : std::string_view(found->second.group);
}

void Dispatcher::setRampUp(bool enabled)
{
    rampUpEnabled_ = enabled;
}

void Dispatcher::beginRampUp(State &state, Instant now)
{
    // The passes of a rank group are limited as a whole, see ConcurrencyLimit.
    if (!rampUpEnabled_ || engineServices_.contains(state.upstream.service)) {
        return;
    }
    const auto usual = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(meanAnswerMs(state.upstream.service)));
    const uint64_t position = framework::hash64(state.upstream.id, options_.seed) % static_cast<uint64_t>(entries_);
    state.rampUp.begin({state.upstream.slots, entries_, usual}, position, now);
}

double Dispatcher::meanAnswerMs(std::string_view service) const
{
    double sum = 0.0;
    int answering = 0;
    for (const auto &[id, state] : states_) {
        if (state.upstream.service == service && state.firstAnswerMs > 0.0) {
            sum += state.firstAnswerMs;
            ++answering;
        }
    }
    return answering > 0 ? sum / answering : 0.0;
}

void Dispatcher::setEntries(int entries)
{
    entries_ = std::max(1, entries);
}

std::string_view Dispatcher::trialUpstream(std::string_view service, uint64_t key, Instant now) const
{
    std::string_view chosen;
    uint64_t highest = 0;
    for (const auto &[id, state] : states_) {
        if (!state.usable || state.upstream.service != service || now < state.pausedUntil) {
            continue;
        }
        const uint64_t rank = framework::hash64(id, key);
        if (chosen.empty() || rank > highest) {
            chosen = id;
            highest = rank;
        }
    }
    return chosen;
}

PlacementDecision Dispatcher::place(const PlacementRequest &request, Instant now)
{
    const std::string_view trialUpstreamId = request.trialKey ? trialUpstream(request.service, *request.trialKey, now) : std::string_view{};
    if (!request.trialKey && servingEntries_.size() >= MIN_ENTRIES_TO_RESERVE_SLOTS && engineServices_.contains(request.service)) {
        if (State *engine = chooseEngine(request, now)) {
            return makePlacement(*engine, now);
        }
    }
    const double meanMs = meanAnswerMs(request.service);
    State *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    bool known = false;
    bool cold = false;
    bool paused = false;
    for (auto &[id, state] : states_) {
        if (!state.usable || state.upstream.service != request.service || std::ranges::find(request.tried, id) != request.tried.end()) {
            continue;
        }
        if ((request.trialKey && id != trialUpstreamId) || (request.group && state.group != *request.group)) {
            continue;
        }
        known = true;
        if (now < state.pausedUntil) {
            paused = true;
            continue;
        }
        const bool avoided = isAvoided(state, request, now);
        if (avoided && !request.allowAvoided) {
            continue;
        }
        if (!hasColdToken(state, now)) {
            cold = true;
            continue;
        }
        const double candidate = cost(state, meanMs, now) + (avoided ? FAILURE_COST : 0.0) + (state.rampUp.allows(state.inFlight, now) ? 0.0 : RAMP_COST);
        if (candidate < bestCost) {
            bestCost = candidate;
            best = &state;
        }
    }
    if (best == nullptr) {
        const framework::ResultCode code = cold ? framework::ResultCode::ColdLimit
            : paused                            ? framework::ResultCode::UpstreamFull
            : known                             ? framework::ResultCode::UpstreamUnreachable
                                                : framework::ResultCode::NoUpstream;
        return refusal(request.service, code, now);
    }
    return makePlacement(*best, now);
}

bool Dispatcher::isAvoided(const State &state, const PlacementRequest &request, Instant now)
{
    return now < state.avoidUntil || std::ranges::find(request.silent, state.upstream.id) != request.silent.end();
}

Placement Dispatcher::makePlacement(State &state, Instant now)
{
    consumeColdToken(state, now);
    return {state.upstream.id, state.upstream.bornMs, state.upstream.address, expectedRequests(state, now) / state.upstream.slots,
            state.reportedAt == Instant{0} ? Duration{0} : now - state.reportedAt};
}

Refusal Dispatcher::refusal(std::string_view service, framework::ResultCode code, Instant now)
{
    // If all upstreams are paused, a retry is useless before the first pause ends.
    Instant earliest = Instant::max();
    for (const auto &[id, state] : states_) {
        if (state.usable && state.upstream.service == service) {
            earliest = std::min(earliest, std::max(now, state.pausedUntil));
        }
    }
    const auto pause = earliest == Instant::max() ? milliseconds{0} : std::chrono::ceil<milliseconds>(earliest - now);
    return {code, std::max(pause, RETRY_AFTER_MIN) + milliseconds{static_cast<int64_t>(random_()) % RETRY_AFTER_SPREAD_MS}};
}

void Dispatcher::onSent(std::string_view upstream, Instant /*now*/)
{
    if (State *state = find(upstream)) {
        ++state->inFlight;
    }
}

void Dispatcher::onFinished(std::string_view upstream, AttemptResult result, Duration firstAnswer, Instant now)
{
    State *state = find(upstream);
    if (state == nullptr) {
        return;
    }
    state->inFlight = std::max(0, state->inFlight - 1);
    if (result == AttemptResult::Served) {
        state->rampUp.onAnswer(firstAnswer, now);
    } else if (result != AttemptResult::Abandoned) {
        state->rampUp.onFailure(now);
    }
    if (result == AttemptResult::Abandoned) {
        return;
    }
    if (result == AttemptResult::Refused) {
        state->avoidUntil = std::max(state->avoidUntil, now + AVOID_FULL);
        return;
    }
    if (result == AttemptResult::Replaced) {
        state->avoidUntil = std::max(state->avoidUntil, now + AVOID_REPLACED);
        return;
    }
    if (result == AttemptResult::Unreachable) {
        state->avoidUntil = std::max(state->avoidUntil, now + AVOID_UNREACHABLE);
    }
    const double outcome = result == AttemptResult::Served ? 0.0 : 1.0;
    if (outcome == 0.0 && failureRate(*state, now) > RECOVERING_FAILURE_RATE && !state->rampUp.isActive()) {
        beginRampUp(*state, now);
    }
    state->failureRate = failureRate(*state, now) * (1.0 - FAILURE_WEIGHT) + outcome * FAILURE_WEIGHT;
    state->failureRateAt = now;
    if (result == AttemptResult::Served && firstAnswer.count() > 0) {
        const double ms = seconds(firstAnswer) * 1000.0;
        state->firstAnswerMs = state->firstAnswerMs == 0.0 ? ms : state->firstAnswerMs * (1.0 - ANSWER_WEIGHT) + ms * ANSWER_WEIGHT;
    }
}

void Dispatcher::onLoad(std::string_view upstream, const UpstreamLoad &load, Instant now)
{
    State *state = find(upstream);
    if (state == nullptr) {
        return;
    }
    state->othersAtReport = std::max(0, load.running + load.waiting - state->inFlight);
    state->inFlightAtReport = state->inFlight;
    state->reportedAt = now;
}

void Dispatcher::onProgress(std::string_view upstream, Instant now)
{
    if (State *state = find(upstream)) {
        state->lastProgressAt = now;
    }
}

std::optional<Duration> Dispatcher::silence(std::string_view upstream, Instant now) const
{
    const auto found = states_.find(upstream);
    if (found == states_.end() || found->second.lastProgressAt == Instant{0}) {
        return std::nullopt;
    }
    return now - found->second.lastProgressAt;
}

void Dispatcher::onReportedFaulty(std::string_view address, Instant now)
{
    for (auto &[id, state] : states_) {
        if (state.upstream.address == address) {
            state.avoidUntil = std::max(state.avoidUntil, now + AVOID_UNREACHABLE);
        }
    }
}

void Dispatcher::onCold(std::string_view upstream, milliseconds remaining, Instant now)
{
    if (State *state = find(upstream)) {
        state->coldUntil = std::max(state->coldUntil, now + remaining);
    }
}

bool Dispatcher::onLeaving(std::string_view upstream, int64_t bornMs, milliseconds age, Instant now)
{
    const bool isNew = notices_.onLeaving(upstream, bornMs, age, now);
    State *state = find(upstream);
    if (state != nullptr && state->upstream.bornMs == bornMs) {
        state->usable = false;
    }
    return isNew;
}

Instant Dispatcher::onBackoffRequested(std::string_view upstream, int64_t bornMs, milliseconds pause, Instant now)
{
    const Instant until = notices_.onBackoffRequested(upstream, bornMs, pause, now);
    State *state = find(upstream);
    if (state != nullptr && state->upstream.bornMs == bornMs) {
        state->pausedUntil = until;
    }
    return until;
}

std::vector<fleet::LeavingUpstream> Dispatcher::leavingToAnnounce(Instant now) const
{
    return notices_.leavingToAnnounce(now);
}

bool Dispatcher::acceptsRequests(std::string_view upstream, Instant now) const
{
    const auto found = states_.find(upstream);
    if (found == states_.end()) {
        return false;
    }
    const State &state = found->second;
    return state.usable && now >= state.pausedUntil && !notices_.isLeaving(upstream, state.upstream.bornMs);
}

bool Dispatcher::isServing(std::string_view upstream, int64_t bornMs) const
{
    const auto found = states_.find(upstream);
    return found != states_.end() && found->second.upstream.bornMs == bornMs && found->second.usable;
}

bool Dispatcher::isLeaving(std::string_view upstream, int64_t bornMs) const
{
    const auto found = states_.find(upstream);
    const bool registeredAsLeaving
        = found != states_.end() && found->second.upstream.bornMs == bornMs && found->second.upstream.state != fleet::UpstreamState::Ready;
    return registeredAsLeaving || notices_.isLeaving(upstream, bornMs);
}

std::vector<std::pair<std::string, int>> Dispatcher::inFlightByGroup() const
{
    std::map<std::string, int, std::less<>> counts;
    for (const auto &[id, state] : states_) {
        if (engineServices_.contains(state.upstream.service)) {
            counts[state.group] += state.inFlight;
        }
    }
    return {counts.begin(), counts.end()};
}

EngineLoad Dispatcher::engineLoad(std::string_view key, Instant now) const
{
    EngineLoad load;
    for (const auto &[id, state] : states_) {
        if (state.upstream.service == key || state.group == key) {
            load.inFlight += state.inFlight;
            load.usable += state.usable && now >= state.pausedUntil ? 1 : 0;
        }
    }
    return load;
}

bool Dispatcher::hasEngines(std::string_view service) const
{
    return engineServices_.contains(service);
}

int Dispatcher::inFlight(std::string_view upstream) const
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? 0 : found->second.inFlight;
}

double Dispatcher::expectedRequests(const State &state, Instant now) const
{
    double others = 0.0;
    if (state.reportedAt != Instant{0}) {
        others = state.othersAtReport * std::exp2(-seconds(now - state.reportedAt) / REPORT_HALF_LIFE_S);
    }
    return state.inFlight + others;
}

double Dispatcher::cost(const State &state, double meanAnswerMs, Instant now)
{
    double load = (expectedRequests(state, now) + 1.0) / state.upstream.slots;
    if (meanAnswerMs > 0.0 && state.firstAnswerMs > SLOW_RATIO * meanAnswerMs) {
        load *= state.firstAnswerMs / meanAnswerMs;
    }
    load += FAILURE_COST * failureRate(state, now);
    if (state.upstream.zone != options_.zone) {
        load += OTHER_ZONE_COST;
    }
    return load + JITTER * static_cast<double>(random_()) / static_cast<double>(std::minstd_rand::max());
}

double Dispatcher::failureRate(const State &state, Instant now) const
{
    return state.failureRate * std::exp2(-seconds(now - state.failureRateAt) / FAILURE_HALF_LIFE_S);
}

Dispatcher::ColdShare Dispatcher::coldShare(const State &state) const
{
    const auto limit = coldPerSecond_.find(state.upstream.service);
    if (limit == coldPerSecond_.end()) {
        return {};
    }
    // In any second every entry may start with a full bucket of at least one request.
    const double fullBuckets = (options_.coldOvershoot - COLD_USABLE_FRACTION) * limit->second + options_.coldSlack;
    if (entries_ <= fullBuckets) {
        return {COLD_USABLE_FRACTION * limit->second / entries_, std::max(1.0, options_.coldSlack / entries_), true};
    }
    // With more entries, only a random subset of them uses each cold upstream.
    const double subsetSize = std::max(1.0, COLD_SUBSET_SIZE_FRACTION * fullBuckets);
    const uint64_t draw = framework::hash64(state.upstream.id, options_.seed) % static_cast<uint64_t>(entries_);
    return {COLD_SUBSET_RATE_FRACTION * limit->second / subsetSize, 1.0, static_cast<double>(draw) < subsetSize};
}

bool Dispatcher::hasColdToken(State &state, Instant now)
{
    const ColdShare share = coldShare(state);
    if (now >= state.coldUntil || share.perSecond == 0.0) {
        return true;
    }
    if (!share.participates) {
        return false;
    }
    state.coldTokens = std::min(share.burst, state.coldTokens + share.perSecond * seconds(now - state.coldRefilled));
    state.coldRefilled = now;
    return state.coldTokens >= 1.0;
}

bool Dispatcher::consumeColdToken(State &state, Instant now)
{
    if (now < state.coldUntil && coldShare(state).perSecond > 0.0) {
        state.coldTokens -= 1.0;
        return true;
    }
    return false;
}

Dispatcher::State *Dispatcher::find(std::string_view upstream)
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? nullptr : &found->second;
}

} // namespace daisymount::dispatch

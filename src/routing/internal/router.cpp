// Router core.

#include "routing/router.h"

#include "framework/hash.h"
#include "routing/pickpolicies.h"

#include <algorithm>
#include <cmath>

namespace daisymount::routing
{

using framework::milliseconds;
using framework::ResultCode;
using framework::seconds;

namespace
{
/// Weight of a new first-token sample in the moving average.
constexpr double FIRST_TOKEN_WEIGHT = 0.2;
/// Weight of a sample that shows that a slow upstream has healed.
constexpr double HEALED_WEIGHT = 0.7;
/// Time after which half of a measured slowness is forgotten, so that a healed upstream is tried again.
constexpr Duration SLOWNESS_HALF_LIFE = seconds{3};
constexpr double MAX_SLOWNESS = 20.0;
constexpr Duration AVOID_FULL = milliseconds{50};
constexpr Duration AVOID_UNREACHABLE = seconds{1};
constexpr Duration AVOID_STALLED = seconds{2};

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Duration avoidanceFor(ResultCode code)
{
    switch (code) {
    case ResultCode::UpstreamUnreachable:
    case ResultCode::UpstreamFailed:
    case ResultCode::ZoneOutOfService:
    case ResultCode::Draining:
    case ResultCode::ConfigurationStale:
        return AVOID_UNREACHABLE;
    default:
        return AVOID_FULL;
    }
}
} // namespace

Router::Router(RouterOptions options) : options_(std::move(options)), random_(options_.seed)
{
    if (!options_.policy) {
        options_.policy = loadAwarePolicy();
    }
}

void Router::configure(const config::Config &config)
{
    std::map<std::string, UpstreamState, std::less<>> next;
    for (const auto &[name, upstream] : config.upstreams) {
        UpstreamState &state = next[name];
        if (const auto previous = upstreams_.find(name); previous != upstreams_.end()) {
            state = previous->second;
        }
        const auto service = config.services.find(upstream.service);
        state.service = upstream.service;
        state.zone = upstream.zone;
        state.address = upstream.address;
        state.out = config.isOut(upstream);
        state.assumedLimit = service == config.services.end() ? 1 : service->second.admission.coldConcurrency;
    }
    upstreams_ = std::move(next);
    rebuildSubsets();
}

void Router::rebuildSubsets()
{
    std::map<std::string, std::vector<std::pair<uint64_t, std::string>>> ranked;
    const uint64_t seed = framework::hash64(options_.self);
    for (const auto &[name, state] : upstreams_) {
        ranked[state.service].emplace_back(framework::hash64(name, seed), name);
    }
    subsets_.clear();
    for (auto &[service, entries] : ranked) {
        std::sort(entries.rbegin(), entries.rend());
        entries.resize(std::min(entries.size(), options_.subsetSize));
        std::vector<std::string> &subset = subsets_[service];
        for (auto &[rank, name] : entries) {
            subset.push_back(std::move(name));
        }
        std::sort(subset.begin(), subset.end());
    }
}

Router::UpstreamState *Router::find(std::string_view upstream)
{
    const auto found = upstreams_.find(upstream);
    return found == upstreams_.end() ? nullptr : &found->second;
}

bool Router::eligible(const UpstreamState &state) const
{
    return !state.out && !state.leaving && state.alive;
}

double Router::estimatedLoad(const UpstreamState &state) const
{
    const int64_t limit = std::max<int64_t>(1, state.hint.limit > 0 ? state.hint.limit : state.assumedLimit);
    const int64_t others = std::max<int64_t>(0, state.hint.inFlight + state.hint.queued - state.ownAtHint);
    return static_cast<double>(others + state.ownInFlight) / static_cast<double>(limit);
}

double Router::medianFirstTokenMs(const std::vector<const UpstreamState *> &states) const
{
    std::vector<double> samples;
    for (const UpstreamState *state : states) {
        if (state->firstTokenMs > 0.0) {
            samples.push_back(state->firstTokenMs);
        }
    }
    if (samples.empty()) {
        return 0.0;
    }
    const auto middle = samples.begin() + static_cast<std::ptrdiff_t>((samples.size() - 1) / 2);
    std::nth_element(samples.begin(), middle, samples.end());
    return *middle;
}

double Router::slowness(const UpstreamState &state, double medianMs, Instant now) const
{
    if (medianMs <= 0.0 || state.firstTokenMs <= medianMs) {
        return 1.0;
    }
    const double ratio = std::min(MAX_SLOWNESS, state.firstTokenMs / medianMs);
    if (state.ownInFlight > 0) {
        // One request at a time finds out whether a slow upstream has healed.
        return ratio;
    }
    const double age = toMilliseconds(now - state.firstTokenAt) / toMilliseconds(SLOWNESS_HALF_LIFE);
    return 1.0 + (ratio - 1.0) * std::exp2(-age);
}

std::vector<std::string> Router::reachableBy(const RouteQuery &query) const
{
    if (!query.designated.empty()) {
        return upstreams_.count(query.designated) != 0 ? std::vector<std::string>{std::string(query.designated)} : std::vector<std::string>{};
    }
    const auto subset = subsets_.find(query.service);
    return subset == subsets_.end() ? std::vector<std::string>{} : subset->second;
}

std::optional<Choice> Router::pick(const RouteQuery &query, Instant now)
{
    std::vector<const UpstreamState *> states;
    std::vector<Candidate> candidates;
    for (const std::string &name : reachableBy(query)) {
        const auto &[key, state] = *upstreams_.find(name);
        const bool excluded = query.excluded != nullptr && query.excluded->count(name) != 0;
        if (!eligible(state) || excluded) {
            continue;
        }
        states.push_back(&state);
        candidates.push_back({key, state.zone == options_.zone, state.ownInFlight, estimatedLoad(state), 1.0, now < state.avoidUntil});
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const double medianMs = medianFirstTokenMs(states);
    for (size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].slowness = slowness(*states[i], medianMs, now);
    }
    const size_t index = options_.policy(candidates, query, random_);
    const UpstreamState &chosen = *states[index];
    return Choice{std::string(candidates[index].name), chosen.address, chosen.hint.incarnation, query.prefixHash != 0};
}

void Router::onSent(std::string_view upstream, Instant /*now*/)
{
    if (UpstreamState *state = find(upstream)) {
        ++state->ownInFlight;
    }
}

void Router::onFirstToken(std::string_view upstream, Duration latency, Instant now)
{
    UpstreamState *state = find(upstream);
    if (state == nullptr) {
        return;
    }
    const double sample = toMilliseconds(latency);
    const bool first = state->firstTokenMs <= 0.0;
    const double weight = sample < state->firstTokenMs / 2.0 ? HEALED_WEIGHT : FIRST_TOKEN_WEIGHT;
    state->firstTokenMs = first ? sample : state->firstTokenMs + weight * (sample - state->firstTokenMs);
    state->firstTokenAt = now;
}

void Router::onFinished(std::string_view upstream, Instant /*now*/)
{
    UpstreamState *state = find(upstream);
    if (state != nullptr && state->ownInFlight > 0) {
        --state->ownInFlight;
    }
}

void Router::onHint(std::string_view upstream, const LoadHint &hint, Instant /*now*/)
{
    if (UpstreamState *state = find(upstream)) {
        state->hint = hint;
        state->ownAtHint = state->ownInFlight;
    }
}

void Router::onRefused(std::string_view upstream, ResultCode code, Instant now)
{
    if (UpstreamState *state = find(upstream)) {
        state->avoidUntil = std::max(state->avoidUntil, now + avoidanceFor(code));
    }
}

void Router::onStalled(std::string_view upstream, Instant now)
{
    if (UpstreamState *state = find(upstream)) {
        state->avoidUntil = std::max(state->avoidUntil, now + AVOID_STALLED);
    }
}

void Router::setAlive(std::string_view upstream, bool alive)
{
    if (UpstreamState *state = find(upstream)) {
        state->alive = alive;
    }
}

void Router::setLeaving(std::string_view upstream, bool leaving)
{
    if (UpstreamState *state = find(upstream)) {
        state->leaving = leaving;
    }
}

std::string Router::designatedUpstream(std::string_view service, const UpstreamNames &excluded) const
{
    constexpr uint64_t designationSeed = 0x5eed;
    std::pair<uint64_t, std::string> best;
    for (const auto &[name, state] : upstreams_) {
        if (state.service == service && eligible(state) && excluded.count(name) == 0) {
            best = std::max(best, {framework::hash64(name, designationSeed), name});
        }
    }
    return best.second;
}

} // namespace daisymount::routing

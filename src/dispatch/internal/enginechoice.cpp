// Division of the engines' places between entries, and the choice of an engine by it.

#include "dispatch/dispatcher.h"

#include "dispatch/internal/placementcosts.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace daisymount::dispatch
{

namespace
{
/// Engines that are looked at for a request that finds no place of its entry's own.
constexpr int SAMPLED_ENGINES = 5;
constexpr double ROUNDED_PLACE = 0.5;
} // namespace

void Dispatcher::setServingEntries(std::vector<ServingEntry> entries)
{
    servingEntries_ = std::move(entries);
    std::ranges::sort(servingEntries_, {}, [](const ServingEntry &entry) { return std::tie(entry.zone, entry.name); });
    shareEngines();
}

void Dispatcher::shareEngines()
{
    const bool shared = servingEntries_.size() >= MIN_ENTRIES_TO_RESERVE_SLOTS;
    for (const std::string &service : engineServices_) {
        std::map<std::string_view, std::vector<State *>> enginesIn; // By zone, each in the order of ids.
        for (auto &[id, state] : states_) {
            if (state.upstream.service == service) {
                state.homePlaces = 0.0;
                state.othersAtHome = 0.0;
                if (state.usable && shared) {
                    enginesIn[state.upstream.zone].push_back(&state);
                }
            }
        }
        for (const auto &[zone, engines] : enginesIn) {
            const auto zoneOf = [](const ServingEntry &entry) { return std::string_view(entry.zone); };
            const auto first = std::ranges::lower_bound(servingEntries_, zone, {}, zoneOf);
            const auto last = std::ranges::upper_bound(servingEntries_, zone, {}, zoneOf);
            shareZone(service, {first, last}, engines);
        }
    }
}

void Dispatcher::shareZone(std::string_view service, std::span<const ServingEntry> entries, std::span<State *const> engines)
{
    const double partsOfEntry = static_cast<double>(engines.size()) / static_cast<double>(entries.size());
    for (const HomeShare &share : homeShares(entries.size(), engines.size())) {
        State &engine = *engines[share.upstream];
        const ServingEntry &entry = entries[share.entry];
        const double places = share.part * engine.upstream.slots;
        if (entry.self) {
            engine.homePlaces = places;
        } else {
            // What an entry has beyond its own places may be anywhere.
            engine.othersAtHome += std::min(places, entry.inFlightAt(service) * share.part / partsOfEntry);
        }
    }
}

bool Dispatcher::mayTake(State &state, const PlacementRequest &request, Instant now)
{
    const bool avoided = now < state.avoidUntil && !request.lastChance;
    return state.usable && state.upstream.service == request.service && std::ranges::find(request.tried, state.upstream.id) == request.tried.end()
        && now >= state.pausedUntil && !avoided && coldAllows(state, now);
}

Dispatcher::State *Dispatcher::chooseEngine(const PlacementRequest &request, Instant now)
{
    State *home = nullptr;
    std::vector<State *> others;
    for (auto &[id, state] : states_) {
        if (!mayTake(state, request, now)) {
            continue;
        }
        others.push_back(&state);
        // Parts of places round to whole ones.
        const bool free = state.homePlaces > 0.0 && state.inFlight + 1 <= state.homePlaces + ROUNDED_PLACE && now >= state.avoidUntil;
        if (free && (home == nullptr || state.inFlight * home->homePlaces < home->inFlight * state.homePlaces)) {
            home = &state;
        }
    }
    if (home != nullptr || others.empty()) {
        return home;
    }
    State *lightest = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (int i = 0; i < SAMPLED_ENGINES; ++i) {
        State *candidate = others[random_() % others.size()];
        const double load = (candidate->inFlight + candidate->othersAtHome + 1.0) / candidate->upstream.slots + FAILURE_COST * failureRate(*candidate, now)
            + (now < candidate->avoidUntil ? FAILURE_COST : 0.0) + (candidate->upstream.zone != options_.zone ? OTHER_ZONE_COST : 0.0);
        if (load < least) {
            least = load;
            lightest = candidate;
        }
    }
    return lightest;
}

} // namespace daisymount::dispatch

// Reservation of engine slots for entries, and engine selection by reserved slots.

#include "dispatch/dispatcher.h"

#include "dispatch/internal/placementcosts.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace daisymount::dispatch
{

namespace
{
/// Engines sampled when no reserved slot is free.
constexpr int SAMPLED_ENGINES = 5;
/// Reserved slots are fractional and are rounded to whole slots.
constexpr double ROUNDING_TOLERANCE = 0.5;
} // namespace

void Dispatcher::setServingEntries(std::vector<ServingEntry> entries)
{
    servingEntries_ = std::move(entries);
    std::ranges::sort(servingEntries_, {}, [](const ServingEntry &entry) { return std::tie(entry.zone, entry.name); });
    allocateEngineSlots();
}

void Dispatcher::allocateEngineSlots()
{
    const bool shared = servingEntries_.size() >= MIN_ENTRIES_TO_RESERVE_SLOTS;
    for (const std::string &service : engineServices_) {
        std::map<std::string_view, std::vector<State *>> enginesIn; // By zone, each sorted by id.
        for (auto &[id, state] : states_) {
            if (state.upstream.service == service) {
                state.reservedSlots = 0.0;
                state.expectedOthersInFlight = 0.0;
                if (state.usable && shared) {
                    enginesIn[state.upstream.zone].push_back(&state);
                }
            }
        }
        for (const auto &[zone, engines] : enginesIn) {
            const auto zoneOf = [](const ServingEntry &entry) { return std::string_view(entry.zone); };
            const auto first = std::ranges::lower_bound(servingEntries_, zone, {}, zoneOf);
            const auto last = std::ranges::upper_bound(servingEntries_, zone, {}, zoneOf);
            allocateZoneSlots(service, {first, last}, engines);
        }
    }
}

void Dispatcher::allocateZoneSlots(std::string_view service, std::span<const ServingEntry> entries, std::span<State *const> engines)
{
    const double enginesPerEntry = static_cast<double>(engines.size()) / static_cast<double>(entries.size());
    for (const SlotAllocation &share : slotAllocations(entries.size(), engines.size())) {
        State &engine = *engines[share.upstream];
        const ServingEntry &entry = entries[share.entry];
        const double places = share.fraction * engine.upstream.slots;
        if (entry.self) {
            engine.reservedSlots = places;
        } else {
            // Requests in excess of the reserved slots may be on any engine and are not counted.
            engine.expectedOthersInFlight += std::min(places, entry.inFlightAt(service) * share.fraction / enginesPerEntry);
        }
    }
}

bool Dispatcher::isEligible(State &state, const PlacementRequest &request, Instant now)
{
    const bool avoided = isAvoided(state, request, now) && !request.allowAvoided;
    const bool wanted = state.upstream.service == request.service && (!request.group || state.group == *request.group);
    return state.usable && wanted && std::ranges::find(request.tried, state.upstream.id) == request.tried.end() && now >= state.pausedUntil && !avoided
        && hasColdToken(state, now);
}

Dispatcher::State *Dispatcher::chooseEngine(const PlacementRequest &request, Instant now)
{
    State *home = nullptr;
    std::vector<State *> others;
    for (auto &[id, state] : states_) {
        if (!isEligible(state, request, now)) {
            continue;
        }
        others.push_back(&state);
        const bool free = state.reservedSlots > 0.0 && state.inFlight + 1 <= state.reservedSlots + ROUNDING_TOLERANCE && !isAvoided(state, request, now);
        if (free && (home == nullptr || state.inFlight * home->reservedSlots < home->inFlight * state.reservedSlots)) {
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
        const double load = (candidate->inFlight + candidate->expectedOthersInFlight + 1.0) / candidate->upstream.slots
            + FAILURE_COST * failureRate(*candidate, now) + (isAvoided(*candidate, request, now) ? FAILURE_COST : 0.0)
            + (candidate->upstream.zone != options_.zone ? OTHER_ZONE_COST : 0.0);
        if (load < least) {
            least = load;
            lightest = candidate;
        }
    }
    return lightest;
}

} // namespace daisymount::dispatch

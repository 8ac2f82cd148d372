// Model of the pass time and the limit derived from it.

#include "dispatch/concurrencylimit.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace daisymount::dispatch
{

std::string_view toString(LimitReason reason)
{
    switch (reason) {
    case LimitReason::Unmeasured:
        return "unmeasured";
    case LimitReason::PassTime:
        return "pass_time";
    case LimitReason::Growing:
        return "growing";
    case LimitReason::Slots:
        return "slots";
    case LimitReason::Floor:
        break;
    }
    return "floor";
}

Duration modelledPassTime(const GroupCapacity &capacity, double inFlight)
{
    const fleet::EngineProfile &engine = capacity.engine;
    const double perRank = inFlight / std::max(1, capacity.ranks);
    const double contextThousands = (engine.usualPromptTokens + engine.usualAnswerTokens / 2.0) / 1'000.0;
    const double stepMs = engine.stepMs + perRank * (engine.stepMsPerSequence + engine.stepMsPerThousandContextTokens * contextThousands);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(stepMs * std::max(1, engine.stepsPerPass)));
}

namespace
{
/// Streams with the same group get their events within the same pass, so one window holds one or two passes.
constexpr Duration WINDOW = milliseconds{200};
/// Longer times between events count as this: they may be outages of the group, which tell nothing about its load.
constexpr Duration MAX_PASS_TIME = milliseconds{600};
constexpr size_t MIN_WINDOWS = 3;
/// Fraction of the permitted pause that the tail of the passes may take; the rest is for the way to the caller.
constexpr double USABLE_PAUSE = 0.93;
/// Permitted pause of services whose routes state none.
constexpr Duration DEFAULT_PAUSE = milliseconds{150};

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Requests in flight at which the modelled pass time is @p passMs.
double inFlightAt(const GroupCapacity &capacity, double passMs)
{
    const double unloaded = toMs(modelledPassTime(capacity, 0.0));
    const double perRequest = toMs(modelledPassTime(capacity, capacity.ranks)) - unloaded;
    return perRequest > 0.0 ? capacity.ranks * (passMs - unloaded) / perRequest : static_cast<double>(capacity.engine.slots) * capacity.ranks;
}
} // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitOptions &options) : options_(options)
{ }

void ConcurrencyLimit::onPass(Duration passTime, int inFlight, Instant now)
{
    if (passTime.count() <= 0) {
        return;
    }
    if (windows_.empty() || now - windows_.back().start >= WINDOW) {
        windows_.push_back({now});
    }
    Window &window = windows_.back();
    window.longestSeconds = std::max(window.longestSeconds, std::chrono::duration<double>(std::min(passTime, MAX_PASS_TIME)).count());
    window.inFlight += inFlight;
    ++window.passes;
}

void ConcurrencyLimit::onInFlight(int inFlight)
{
    inFlight_ = inFlight;
}

void ConcurrencyLimit::onReopened(Instant /*now*/)
{
    windows_.clear();
    limit_ = 0.0;
}

std::optional<double> ConcurrencyLimit::tailFactor(const GroupCapacity &capacity) const
{
    std::vector<double> factors;
    for (const Window &window : windows_) {
        const double modelledMs = toMs(modelledPassTime(capacity, window.inFlight / window.passes));
        if (modelledMs > 0.0) {
            factors.push_back(window.longestSeconds * 1'000.0 / modelledMs);
        }
    }
    if (factors.size() < MIN_WINDOWS) {
        return std::nullopt;
    }
    const auto index = static_cast<size_t>(options_.tailQuantile * static_cast<double>(factors.size() - 1));
    std::ranges::nth_element(factors, factors.begin() + static_cast<std::ptrdiff_t>(index));
    return factors[index];
}

ConcurrencyDecision ConcurrencyLimit::decide(const GroupCapacity &capacity, Instant now)
{
    while (!windows_.empty() && now - windows_.front().start > options_.observationTime) {
        windows_.pop_front();
    }
    const double slots = static_cast<double>(capacity.engine.slots) * capacity.ranks;
    const double floor = std::min<double>(capacity.ranks, slots);
    const std::optional<double> measured = tailFactor(capacity);
    const double factor = measured.value_or(options_.assumedFactor);
    const double permittedMs = USABLE_PAUSE * toMs(capacity.pauseObjective.count() > 0 ? capacity.pauseObjective : DEFAULT_PAUSE);
    const double target = std::clamp(inFlightAt(capacity, permittedMs / factor), floor, slots);
    LimitReason reason = !measured ? LimitReason::Unmeasured
        : target >= slots          ? LimitReason::Slots
        : target <= floor          ? LimitReason::Floor
                                   : LimitReason::PassTime;
    if (limit_ == 0.0 || target <= limit_ || !measured) {
        limit_ = limit_ == 0.0 ? target : std::min(limit_, target);
        grownAt_ = now;
    } else {
        reason = LimitReason::Growing;
        if (now - grownAt_ >= options_.growthInterval && inFlight_ >= options_.usedFraction * limit_) {
            limit_ = std::min(target, limit_ * options_.growth);
            grownAt_ = now;
        }
    }
    const Duration tail = measured ? std::chrono::duration_cast<Duration>(modelledPassTime(capacity, limit_) * factor) : Duration{0};
    return {limit_, reason, tail};
}

} // namespace daisymount::dispatch

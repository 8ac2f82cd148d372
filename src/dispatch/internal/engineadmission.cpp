// Admission in front of lock-step engines.

#include "dispatch/engineadmission.h"

#include <algorithm>
#include <limits>

namespace daisymount::dispatch
{

namespace
{
/// Part of its remaining time that a caller waits for before it comes again.
constexpr int64_t PATIENCE_DIVISOR = 3;
/// Refused callers return spread over this part of their patience, so that they do not come all at once.
constexpr double EARLIEST_RETURN = 0.3;
constexpr double LATEST_RETURN = 0.9;
/// While the group is away, later is better.
constexpr double EARLIEST_RETURN_DOWN = 0.8;
constexpr double LATEST_RETURN_DOWN = 0.97;
/// A request with less of its route's usual deadline left has been refused before.
constexpr double FRESH_PART = 0.95;
/// Deadlines that were longer in an earlier configuration are forgotten after this.
constexpr Duration FORGET_AFTER = framework::seconds{20};
} // namespace

EngineAdmission::EngineAdmission(const AdmissionOptions &options, uint64_t seed) : options_(options), random_(static_cast<unsigned>(seed))
{ }

AdmissionDecision EngineAdmission::decide(const AdmissionView &view)
{
    const auto patience = std::chrono::duration_cast<milliseconds>(view.left / PATIENCE_DIVISOR);
    const auto part = [&](double share) { return milliseconds{static_cast<int64_t>(static_cast<double>(patience.count()) * share)}; };
    if (view.groupDown) {
        // A caller comes back once: the first time it is sent away, the second time it waits while it can still be served.
        if (view.isRetry && view.left > options_.serviceTime && view.waited < options_.longestReturningWait) {
            return {Admission::Wait, milliseconds{0}};
        }
        return {Admission::Refuse, spread(part(EARLIEST_RETURN_DOWN), part(LATEST_RETURN_DOWN))};
    }
    if (view.inFlight < places(view) && withinShare(view)) {
        return {Admission::Admit, milliseconds{0}};
    }
    if (view.waited < (view.isRetry ? options_.longestReturningWait : options_.longestWait)) {
        return {Admission::Wait, milliseconds{0}};
    }
    return {Admission::Refuse, spread(part(EARLIEST_RETURN), part(LATEST_RETURN))};
}

bool EngineAdmission::withinShare(const AdmissionView &view) const
{
    // A group that opens again is filled by all entries at once, before they have heard of each other's requests.
    return view.passTimeKnown || view.ownInFlight < std::max(1.0, options_.shareWhileUnknown * places(view) / std::max(1, view.entries));
}

double EngineAdmission::places(const AdmissionView &view) const
{
    const double slots = static_cast<double>(view.engines) * view.slotsPerEngine;
    if (view.slotsPerEngine <= 0) {
        return std::numeric_limits<double>::infinity(); // The service does not tell: the engines refuse by themselves.
    }
    if (!view.passTimeKnown) {
        return slots * options_.unknownPartOfSlots;
    }
    // Callers that come back do not come a third time: they may take the last slots.
    return slots * (view.isRetry ? 1.0 : options_.slotFraction);
}

milliseconds EngineAdmission::spread(milliseconds from, milliseconds to)
{
    const int64_t span = std::max<int64_t>(1, (to - from).count());
    return from + milliseconds{static_cast<int64_t>(random_()) % span};
}

bool RetryDetector::isRetry(std::string_view route, milliseconds deadline, Instant now)
{
    auto found = longest_.find(route);
    if (found == longest_.end()) {
        found = longest_.emplace(std::string(route), Longest{}).first;
    }
    Longest &longest = found->second;
    if (deadline >= longest.deadline || now - longest.seenAt > FORGET_AFTER) {
        longest = {deadline, now};
    }
    return static_cast<double>(deadline.count()) < FRESH_PART * static_cast<double>(longest.deadline.count());
}

} // namespace daisymount::dispatch

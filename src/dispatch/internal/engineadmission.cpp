// Admission in front of lock-step engines.

#include "dispatch/engineadmission.h"

#include <algorithm>
#include <limits>

namespace daisymount::dispatch
{

namespace
{
/// Part of its remaining time that a caller waits for before it comes again.
constexpr int64_t CALLER_WAIT_DIVISOR = 3;
/// Refused callers return spread over this part of their patience, so that they do not come all at once.
constexpr double MIN_RETRY_AFTER_FRACTION = 0.3;
constexpr double MAX_RETRY_AFTER_FRACTION = 0.9;
/// While the group is away, later is better.
constexpr double MIN_RETRY_AFTER_FRACTION_DOWN = 0.8;
constexpr double MAX_RETRY_AFTER_FRACTION_DOWN = 0.97;
/// A request with less of its route's usual deadline left has been refused before.
constexpr double FIRST_ATTEMPT_MIN_FRACTION = 0.95;
/// Deadlines that were longer in an earlier configuration are forgotten after this.
constexpr Duration DEADLINE_RETENTION = framework::seconds{20};
} // namespace

EngineAdmission::EngineAdmission(const AdmissionOptions &options, uint64_t seed) : options_(options), random_(static_cast<unsigned>(seed))
{ }

AdmissionDecision EngineAdmission::decide(const AdmissionView &view)
{
    const auto callerWait = std::chrono::duration_cast<milliseconds>(view.left / CALLER_WAIT_DIVISOR);
    const auto part = [&](double share) { return milliseconds{static_cast<int64_t>(static_cast<double>(callerWait.count()) * share)}; };
    if (view.groupDown) {
        // A caller comes back once: the first time it is sent away, the second time it waits while it can still be served.
        if (view.isRetry && view.left > options_.typicalServiceTime && view.waited < options_.maxRetryWait) {
            return {Admission::Wait, milliseconds{0}};
        }
        return {Admission::Refuse, randomDelay(part(MIN_RETRY_AFTER_FRACTION_DOWN), part(MAX_RETRY_AFTER_FRACTION_DOWN))};
    }
    if (view.inFlight < slotLimit(view) && isWithinEntryShare(view)) {
        return {Admission::Admit, milliseconds{0}};
    }
    if (view.waited < (view.isRetry ? options_.maxRetryWait : options_.maxWait)) {
        return {Admission::Wait, milliseconds{0}};
    }
    return {Admission::Refuse, randomDelay(part(MIN_RETRY_AFTER_FRACTION), part(MAX_RETRY_AFTER_FRACTION))};
}

bool EngineAdmission::isWithinEntryShare(const AdmissionView &view) const
{
    // A group that opens again is filled by all entries at once, before they have heard of each other's requests.
    return view.passTimeKnown || view.ownInFlight < std::max(1.0, options_.entryShareUnknownPassTime * slotLimit(view) / std::max(1, view.entries));
}

double EngineAdmission::slotLimit(const AdmissionView &view) const
{
    const double slots = static_cast<double>(view.engines) * view.slotsPerEngine;
    if (view.slotsPerEngine <= 0) {
        return std::numeric_limits<double>::infinity(); // The service does not tell: the engines refuse by themselves.
    }
    if (!view.passTimeKnown) {
        return slots * options_.slotFractionUnknownPassTime;
    }
    // Callers that come back do not come a third time: they may take the last slots.
    return slots * (view.isRetry ? 1.0 : options_.slotFraction);
}

milliseconds EngineAdmission::randomDelay(milliseconds from, milliseconds to)
{
    const int64_t span = std::max<int64_t>(1, (to - from).count());
    return from + milliseconds{static_cast<int64_t>(random_()) % span};
}

bool RetryDetector::isRetry(std::string_view route, milliseconds deadline, Instant now)
{
    auto found = longest_.find(route);
    if (found == longest_.end()) {
        found = longest_.emplace(std::string(route), LongestDeadline{}).first;
    }
    LongestDeadline &longest = found->second;
    if (deadline >= longest.deadline || now - longest.seenAt > DEADLINE_RETENTION) {
        longest = {deadline, now};
    }
    return static_cast<double>(deadline.count()) < FIRST_ATTEMPT_MIN_FRACTION * static_cast<double>(longest.deadline.count());
}

} // namespace daisymount::dispatch

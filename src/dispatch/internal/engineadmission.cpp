// Admission decisions for lock-step engines.

#include "dispatch/engineadmission.h"

#include <algorithm>
#include <limits>

namespace daisymount::dispatch
{

namespace
{
/// Callers accept a retry delay of up to their remaining time divided by this.
constexpr int64_t CALLER_WAIT_DIVISOR = 3;
/// Retry delays are spread between these fractions of the accepted delay, to avoid synchronized retries.
constexpr double MIN_RETRY_AFTER_FRACTION = 0.3;
constexpr double MAX_RETRY_AFTER_FRACTION = 0.9;
/// During a group outage, longer retry delays are preferred.
constexpr double MIN_RETRY_AFTER_FRACTION_DOWN = 0.8;
constexpr double MAX_RETRY_AFTER_FRACTION_DOWN = 0.97;
/// A request with a smaller fraction of the usual deadline of its route is a retry.
constexpr double FIRST_ATTEMPT_MIN_FRACTION = 0.95;
/// A longer deadline from an earlier configuration is discarded after this time.
constexpr Duration DEADLINE_RETENTION = framework::seconds{20};
} // namespace

EngineAdmission::EngineAdmission(const AdmissionOptions &options, uint64_t seed) : options_(options), random_(static_cast<unsigned>(seed))
{ }

AdmissionDecision EngineAdmission::decide(const AdmissionView &view)
{
    const auto callerWait = std::chrono::duration_cast<milliseconds>(view.left / CALLER_WAIT_DIVISOR);
    const auto part = [&](double share) { return milliseconds{static_cast<int64_t>(static_cast<double>(callerWait.count()) * share)}; };
    if (view.groupDown) {
        // Callers retry once: the first attempt is rejected, the retry waits as long as it can still be served in time.
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
    // After an outage all entries send to the group before they know each other's requests in flight.
    return view.passTimeKnown || view.ownInFlight < std::max(1.0, options_.entryShareUnknownPassTime * slotLimit(view) / std::max(1, view.entries));
}

double EngineAdmission::slotLimit(const AdmissionView &view) const
{
    const double slots = static_cast<double>(view.engines) * view.slotsPerEngine;
    if (view.slotsPerEngine <= 0) {
        return std::numeric_limits<double>::infinity(); // Slots are not published: the engines limit requests themselves.
    }
    if (!view.passTimeKnown) {
        return slots * options_.slotFractionUnknownPassTime;
    }
    // Callers retry only once, so retries may use the last slots.
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

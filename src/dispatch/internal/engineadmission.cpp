// Admission decisions for lock-step engines.

#include "dispatch/engineadmission.h"

#include <algorithm>
#include <limits>

namespace daisymount::dispatch
{

EngineAdmission::EngineAdmission(const AdmissionOptions &options, uint64_t seed) : options_(options), retryDelay_(seed)
{ }

AdmissionDecision EngineAdmission::decide(const AdmissionView &view)
{
    // A rank that is only unreachable for the controller does not stop the others.
    if (view.groupDown && !view.groupProgressing) {
        // Callers retry once: the first attempt is rejected, the retry waits as long as it can still be served in time.
        if (view.isRetry && view.left > options_.typicalServiceTime && view.waited < options_.maxRetryWait) {
            return {Admission::Wait, milliseconds{0}};
        }
        return {Admission::Refuse, retryDelay_.choose(RefusalCause::Outage, view.left)};
    }
    if (view.groupSilent && view.waited >= (view.isRetry ? options_.maxRetryWait : options_.maxWait)) {
        return {Admission::Refuse, retryDelay_.choose(RefusalCause::Outage, view.left)};
    }
    if (!view.groupSilent && view.inFlight < slotLimit(view) && isWithinEntryShare(view)) {
        return {Admission::Admit, milliseconds{0}};
    }
    if (view.waited < (view.isRetry ? options_.maxRetryWait : options_.maxWait)) {
        return {Admission::Wait, milliseconds{0}};
    }
    return {Admission::Refuse, retryDelay_.choose(RefusalCause::Busy, view.left)};
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

} // namespace daisymount::dispatch

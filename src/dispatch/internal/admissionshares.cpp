// Max-min fair division of the capacity.

#include "dispatch/admissionshares.h"

#include <algorithm>

namespace daisymount::dispatch
{

std::string_view toString(ShareReason reason)
{
    switch (reason) {
    case ShareReason::Room:
        return "room";
    case ShareReason::Share:
        return "share";
    case ShareReason::Returning:
        return "returning";
    case ShareReason::OverShare:
        return "over_share";
    case ShareReason::LowPriority:
        break;
    }
    return "low_priority";
}

AdmissionShares::AdmissionShares(uint64_t seed) : retryDelay_(seed)
{ }

void AdmissionShares::onArrival(const DemandKey & /*key*/, Instant /*now*/)
{ }

void AdmissionShares::onPeerDemand(std::string_view /*entry*/, const DemandReport & /*report*/, Instant /*now*/)
{ }

void AdmissionShares::setEntries(int entries)
{
    entries_ = std::max(1, entries);
}

void AdmissionShares::setCapacity(double /*perSecond*/, Instant /*now*/)
{ }

DemandReport AdmissionShares::report(Instant /*now*/) const
{
    return {};
}

double AdmissionShares::ownShare(Instant /*now*/) const
{
    return 1.0 / entries_;
}

ShareDecision AdmissionShares::admit(const DemandKey & /*key*/, Duration /*left*/, Duration /*objective*/, Instant /*now*/)
{
    return {};
}

} // namespace daisymount::dispatch

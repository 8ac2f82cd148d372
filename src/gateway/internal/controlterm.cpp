// Expiry rules of the map controller's leadership term.

#include "gateway/controlterm.h"

#include <algorithm>

namespace daisymount::gateway
{

using framework::Instant;

void ControlTerm::begin(int64_t leaseId, int64_t fencing, Instant validUntil, Instant now)
{
    active_ = true;
    storeSilent_ = false;
    leaseId_ = leaseId;
    fencing_ = fencing;
    validUntil_ = validUntil;
    lastCheckAt_ = now;
}

void ControlTerm::end()
{
    active_ = false;
}

void ControlTerm::onRenewed(Instant validUntil)
{
    storeSilent_ = false;
    validUntil_ = std::max(validUntil_, validUntil);
}

void ControlTerm::onRenewalUnanswered()
{
    storeSilent_ = true;
}

std::string_view ControlTerm::endReason(Instant now)
{
    const bool suspended = now - lastCheckAt_ > SUSPENSION_THRESHOLD;
    lastCheckAt_ = now;
    if (!active_) {
        return {};
    }
    if (suspended && now >= validUntil_) {
        return "the machine was suspended";
    }
    if (now >= validUntil_ && !storeSilent_) {
        return "the lease was not renewed in time";
    }
    if (now >= validUntil_ + MAX_GRACE_PERIOD) {
        return "the store did not respond within the grace period";
    }
    return {};
}

bool ControlTerm::mayIssueOrders(Instant now) const
{
    if (!active_) {
        return false;
    }
    const bool suspended = now - lastCheckAt_ > SUSPENSION_THRESHOLD;
    return now < validUntil_ || (storeSilent_ && !suspended && now < validUntil_ + MAX_GRACE_PERIOD);
}

bool ControlTerm::active() const
{
    return active_;
}

int64_t ControlTerm::leaseId() const
{
    return leaseId_;
}

int64_t ControlTerm::fencing() const
{
    return fencing_;
}

bool ControlTerm::shouldHandOver(bool changeInProgress, bool otherServes, framework::Duration draining)
{
    return !changeInProgress || (otherServes && draining > MAX_HANDOVER);
}

} // namespace daisymount::gateway

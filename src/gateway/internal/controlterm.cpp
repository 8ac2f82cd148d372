// Expiry rules of the map controller's leadership term.

#include "gateway/controlterm.h"

#include <algorithm>

namespace daisymount::gateway
{

using framework::Instant;

void ControlTerm::begin(const ControlGrant &grant, Instant now)
{
    active_ = true;
    storeSilent_ = false;
    leaseId_ = grant.leaseId;
    fencing_ = grant.fencing;
    era_ = grant.era;
    validUntil_ = grant.validUntil;
    lastCheckAt_ = now;
}

void ControlTerm::end()
{
    active_ = false;
}

void ControlTerm::onRenewed(int64_t era, Instant validUntil)
{
    if (era != era_) {
        return;
    }
    storeSilent_ = false;
    validUntil_ = std::max(validUntil_, validUntil);
}

void ControlTerm::onConfirmed(int64_t era, Instant validUntil)
{
    era_ = era;
    onRenewed(era, validUntil);
}

void ControlTerm::onRenewalUnanswered()
{
    storeSilent_ = true;
}

std::string_view ControlTerm::endReason(Instant now, int64_t era)
{
    const bool suspended = now - lastCheckAt_ > SUSPENSION_THRESHOLD;
    lastCheckAt_ = now;
    if (!active_) {
        return {};
    }
    if (suspended && now >= validUntil_) {
        return "the machine was suspended";
    }
    if (now >= validUntil_ && needsConfirmation(era)) {
        return "the store did not confirm the lease in its new era";
    }
    if (now >= validUntil_ && !storeSilent_) {
        return "the lease was not renewed in time";
    }
    if (now >= validUntil_ + MAX_GRACE_PERIOD) {
        return "the store did not respond within the grace period";
    }
    return {};
}

bool ControlTerm::mayIssueOrders(Instant now, int64_t era) const
{
    if (!active_ || needsConfirmation(era)) {
        return false;
    }
    const bool suspended = now - lastCheckAt_ > SUSPENSION_THRESHOLD;
    return now < validUntil_ || (storeSilent_ && !suspended && now < validUntil_ + MAX_GRACE_PERIOD);
}

bool ControlTerm::active() const
{
    return active_;
}

bool ControlTerm::needsConfirmation(int64_t era) const
{
    return active_ && era != era_;
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

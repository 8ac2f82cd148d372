// Terms of the map controller.

#include "gateway/controlterm.h"

#include <algorithm>

namespace daisymount::gateway
{

using framework::Instant;

void ControlTerm::begin(int64_t lease, int64_t fencing, Instant validUntil, Instant now)
{
    active_ = true;
    storeSilent_ = false;
    lease_ = lease;
    fencing_ = fencing;
    validUntil_ = validUntil;
    askedAt_ = now;
}

void ControlTerm::end()
{
    active_ = false;
}

void ControlTerm::onKept(Instant validUntil)
{
    storeSilent_ = false;
    validUntil_ = std::max(validUntil_, validUntil);
}

void ControlTerm::onSilence()
{
    storeSilent_ = true;
}

std::string_view ControlTerm::endReason(Instant now)
{
    const bool suspended = now - askedAt_ > SUSPENDED_AFTER;
    askedAt_ = now;
    if (!active_) {
        return {};
    }
    if (suspended && now >= validUntil_) {
        return "the machine was suspended";
    }
    if (now >= validUntil_ && !storeSilent_) {
        return "not renewed in time";
    }
    if (now >= validUntil_ + LONGEST_HOLDOVER) {
        return "the store was silent for too long";
    }
    return {};
}

bool ControlTerm::mayOrder(Instant now) const
{
    if (!active_) {
        return false;
    }
    const bool suspended = now - askedAt_ > SUSPENDED_AFTER;
    return now < validUntil_ || (storeSilent_ && !suspended && now < validUntil_ + LONGEST_HOLDOVER);
}

bool ControlTerm::active() const
{
    return active_;
}

int64_t ControlTerm::lease() const
{
    return lease_;
}

int64_t ControlTerm::fencing() const
{
    return fencing_;
}

} // namespace daisymount::gateway

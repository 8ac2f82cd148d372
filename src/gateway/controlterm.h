// For how long a gateway may give orders to rank groups on a lease that it once got from the store.
//
// While the store is silent nobody can take the lease, so its last holder goes on for a while. This is safe without the lease: the ranks
// refuse orders with a lower fencing number than one that they have seen, and a successor orders every rank before it changes anything.

#pragma once

#include "framework/clock.h"

#include <cstdint>
#include <string_view>

namespace daisymount::gateway
{

class ControlTerm
{
public:
    /// Times are of the clock that goes on while the machine is suspended.
    void begin(int64_t leaseId, int64_t fencing, framework::Instant validUntil, framework::Instant now);
    void end();
    /// The store renewed the lease.
    void onRenewed(framework::Instant validUntil);
    /// A renewal got no answer.
    void onRenewalUnanswered();

    /// Why the term has ended, empty while it goes on. To be asked at least once a second, or the term counts as suspended.
    std::string_view endReason(framework::Instant now);

    bool mayIssueOrders(framework::Instant now) const;
    bool active() const;
    int64_t leaseId() const;
    /// Orders bear it; 0 before the first term.
    int64_t fencing() const;

    /// How long a term goes on behind its lease while the store is silent.
    static constexpr framework::Duration MAX_GRACE_PERIOD = framework::seconds{20};
    /// A machine that was asked nothing for this long was frozen: others may have taken over meanwhile.
    static constexpr framework::Duration SUSPENSION_THRESHOLD = framework::seconds{2};

private:
    bool active_ = false;
    bool storeSilent_ = false; ///< The last renewal got no answer.
    int64_t leaseId_ = 0;
    int64_t fencing_ = 0;
    framework::Instant validUntil_{0};
    framework::Instant lastCheckAt_{0};
};

} // namespace daisymount::gateway

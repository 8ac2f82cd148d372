// Leadership term of the map controller: decides whether this gateway may still send orders to rank groups.
//
// If the store stops responding, no other gateway can acquire the lease, so the current holder keeps control for a grace period after
// the lease expires. This is safe: a rank rejects an order whose fencing number is lower than one it has already seen, and a new
// controller holds the group at a rank of its own before it takes anything back (see groupswitch.h).

#pragma once

#include "framework/clock.h"

#include <cstdint>
#include <string_view>

namespace daisymount::gateway
{

class ControlTerm
{
public:
    /// All times are on a clock that keeps running while the machine is suspended.
    void begin(int64_t leaseId, int64_t fencing, framework::Instant validUntil, framework::Instant now);
    void end();
    /// Extends the term after the store has renewed the lease.
    void onRenewed(framework::Instant validUntil);
    /// Starts the grace period: the store did not respond to a renewal.
    void onRenewalUnanswered();

    /// Returns why the term has ended, or an empty string while it is valid. Must be called at least once per second; a gap longer than
    /// SUSPENSION_THRESHOLD is treated as a suspension of the machine.
    std::string_view endReason(framework::Instant now);

    bool mayIssueOrders(framework::Instant now) const;
    bool active() const;
    int64_t leaseId() const;
    /// Fencing number sent with each order; 0 before the first term.
    int64_t fencing() const;

    /// Tells whether a gateway that has been shutting down for @p draining should give up control. A group that is held stands until a controller
    /// completes the change, so that a change in progress is left to another gateway only if there is one.
    static bool shouldHandOver(bool changeInProgress, bool otherServes, framework::Duration draining);

    /// Time limit for completing a change on shutdown while another gateway can take over.
    static constexpr framework::Duration MAX_HANDOVER = framework::seconds{2};
    /// Time that a term outlives its lease while the store does not respond.
    static constexpr framework::Duration MAX_GRACE_PERIOD = framework::seconds{20};
    /// A longer gap between two checks means that the machine was suspended and another gateway may have taken control.
    static constexpr framework::Duration SUSPENSION_THRESHOLD = framework::seconds{2};

private:
    bool active_ = false;
    bool storeSilent_ = false; ///< The store did not respond to the last renewal.
    int64_t leaseId_ = 0;
    int64_t fencing_ = 0;
    framework::Instant validUntil_{0};
    framework::Instant lastCheckAt_{0};
};

} // namespace daisymount::gateway

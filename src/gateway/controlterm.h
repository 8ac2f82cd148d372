// Leadership term of the map controller: decides whether this gateway may still send orders to rank groups.
//
// If the store stops responding, no other gateway can acquire the lease, so the current holder keeps control for a grace period after
// the lease expires. This is safe: a rank rejects an order whose fencing number is lower than one it has already seen, and a new
// controller holds the group at a rank of its own before it takes anything back (see groupswitch.h).
//
// A term belongs to an era of the store. When the store comes back from an older copy, the lease may be gone or another gateway's, so that no orders are
// sent until the store has confirmed the lease in the new era.

#pragma once

#include "framework/clock.h"

#include <cstdint>
#include <string_view>

namespace daisymount::gateway
{

/// The lease as the store has granted it.
struct ControlGrant
{
    int64_t leaseId = 0;
    int64_t fencing = 0;
    int64_t era = 0; ///< Of the store, 0 if it tells none.
    framework::Instant validUntil{0};
};

class ControlTerm
{
public:
    /// All times are on a clock that keeps running while the machine is suspended, all eras are those of the store.
    void begin(const ControlGrant &grant, framework::Instant now);
    void end();
    /// Extends the term after the store has renewed the lease in @p era. No effect if the term belongs to another era.
    void onRenewed(int64_t era, framework::Instant validUntil);
    /// The store has the lease in @p era, too, and has renewed it there.
    void onConfirmed(int64_t era, framework::Instant validUntil);
    /// Starts the grace period: the store did not respond to a renewal.
    void onRenewalUnanswered();

    /// Returns why the term has ended, or an empty string while it is valid. Must be called at least once per second; a gap longer than
    /// SUSPENSION_THRESHOLD is treated as a suspension of the machine. @p era is the current one.
    std::string_view endReason(framework::Instant now, int64_t era);

    bool mayIssueOrders(framework::Instant now, int64_t era) const;
    bool active() const;
    /// True if the term is active and the store must confirm its lease in @p era.
    bool needsConfirmation(int64_t era) const;
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
    int64_t era_ = 0; ///< In which the store has last confirmed the lease.
    framework::Instant validUntil_{0};
    framework::Instant lastCheckAt_{0};
};

} // namespace daisymount::gateway

// Lease in the store that allows one gateway at a time to send orders to rank groups. Each holder has a higher fencing number than the last, also when the
// store has come back from an older copy: the number is kept in a key of its own and follows FencingCounter.

#pragma once

#include "gateway/controlcandidates.h"
#include "gateway/controlterm.h"
#include "gateway/fencingcounter.h"
#include "gateway/gatewaycontext.h"
#include "platform/storecodec.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace daisymount::gateway
{

class MapLease
{
public:
    /// A gateway that shuts down keeps the lease while @p changeInProgress returns true, up to a time limit.
    MapLease(GatewayContext &context, std::function<bool()> changeInProgress);

    /// Acquires, renews and releases the lease as needed. Never returns.
    transport::asio::awaitable<void> run();

    /// True while orders may be sent: the lease is valid, or the store is unavailable, so that no other gateway can have acquired it.
    bool held() const;
    /// Ranks reject orders with a lower fencing number than they have seen.
    int64_t fencing() const;
    /// A rank has refused an order of this term, because it has seen a higher fencing number. Ends the term; no further orders may be sent.
    void onFenced();

private:
    /// The keys of the lease, as read in one era of the store.
    struct LeaseKeys
    {
        int64_t era = 0;
        int64_t storeRevision = 0;
        platform::StoreItem controller; ///< Revision 0 if nobody holds the lease.
        platform::StoreItem fencing; ///< Revision 0 before the first term.
    };

    /// Acts on the state of the term, by one or a few calls to the store.
    transport::asio::awaitable<void> step();
    /// Returns std::nullopt if the store did not answer.
    transport::asio::awaitable<std::optional<LeaseKeys>> readKeys();
    transport::asio::awaitable<void> acquire();
    transport::asio::awaitable<void> renew();
    /// Goes on in a new era of the store if the store has the lease of this term there.
    transport::asio::awaitable<void> confirm();
    transport::asio::awaitable<void> release(std::string_view reason);
    /// Waits until the next step is due, at once if the store begins a new era.
    transport::asio::awaitable<void> pause();
    void drop(std::string_view reason);
    void endTerm(FencingCounter::TermEnd end, std::string_view reason);
    bool ownsLease(const LeaseKeys &keys) const;
    ControlCandidate self() const;
    /// The other serving gateways.
    std::vector<ControlCandidate> otherCandidates(Instant now) const;
    bool shouldAcquire() const;

    GatewayContext &context_;
    std::function<bool()> changeInProgress_;
    ControlTerm term_;
    FencingCounter counter_;
    ControlHandover handover_;
};

} // namespace daisymount::gateway

// Lease in the store that allows one gateway at a time to send orders to rank groups. Each holder has a higher fencing number than the last.

#pragma once

#include "gateway/controlcandidates.h"
#include "gateway/controlterm.h"
#include "gateway/gatewaycontext.h"
#include "platform/storecodec.h"

#include <cstdint>
#include <functional>
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
    /// Store revision at which the lease was acquired. Ranks reject orders with a lower fencing number than they have seen.
    int64_t fencing() const;
    /// Ends the term of this holder; no further orders may be sent.
    void drop(std::string_view reason);

private:
    transport::asio::awaitable<void> acquire();
    transport::asio::awaitable<void> renew();
    transport::asio::awaitable<void> release(std::string_view reason);
    ControlCandidate self() const;
    /// The other serving gateways.
    std::vector<ControlCandidate> otherCandidates(Instant now) const;
    bool shouldAcquire() const;

    GatewayContext &context_;
    std::function<bool()> changeInProgress_;
    ControlTerm term_;
    ControlHandover handover_;
};

} // namespace daisymount::gateway

// The right to give orders to rank groups: one gateway holds it, with a fencing number that grows from holder to holder.

#pragma once

#include "gateway/controlterm.h"
#include "gateway/gatewaycontext.h"
#include "platform/storecodec.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace daisymount::gateway
{

class MapLease
{
public:
    /// @p busy: a leaving gateway keeps the lease while this is true.
    MapLease(GatewayContext &context, std::function<bool()> changeInProgress);

    /// Acquires, renews or gives up the lease as needed. Runs as long as the process.
    transport::asio::awaitable<void> run();

    /// True while orders may be given: the lease has not ended, or the store is silent and nobody can have taken it.
    bool held() const;
    /// Revision of the store at which the lease was acquired; orders with a lower number are refused.
    int64_t fencing() const;
    /// Another holder was seen: nothing may be ordered any more.
    void drop(std::string_view reason);

private:
    transport::asio::awaitable<void> acquire();
    transport::asio::awaitable<void> renew();
    transport::asio::awaitable<void> release();
    bool shouldAcquire() const;

    GatewayContext &context_;
    std::function<bool()> changeInProgress_;
    ControlTerm term_;
};

} // namespace daisymount::gateway

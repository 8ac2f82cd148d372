// Session of one caller connection: reads requests within the configured limits and processes them sequentially.

#pragma once

#include "gateway/gatewaycontext.h"
#include "transport/connection.h"

namespace daisymount::gateway
{

/// Processes the requests of @p connection until it is closed.
transport::asio::awaitable<void> serveCaller(GatewayContext &context, transport::ConnectionPtr connection);

} // namespace daisymount::gateway

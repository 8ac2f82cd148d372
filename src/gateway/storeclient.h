// Calls of this process to the platform's store. Every call goes through here, so that every answer is held against the era of the store.

#pragma once

#include "framework/clock.h"
#include "platform/storecodec.h"
#include "transport/httpcaller.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisymount::gateway
{

struct GatewayContext;

struct StoreReply
{
    int status = 0; ///< 0 if no complete reply was received, or one that says nothing about the store as it is now; the call may have been executed.
    std::string body;
    int64_t era = 0; ///< Of the store as it answered. 0 if the reply told none.
};

class StoreClient
{
public:
    explicit StoreClient(GatewayContext &context);

    /// Sends @p call over a connection of @p caller. @p name stands for the call in logs and metrics.
    transport::asio::awaitable<StoreReply> call(transport::HttpCaller &caller, std::string_view name, platform::HttpCall call, framework::milliseconds timeout,
                                                uint64_t maxReplyBytes = transport::SHORT_REPLY_BYTES);

private:
    GatewayContext &context_;
};

} // namespace daisymount::gateway

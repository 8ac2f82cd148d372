// Persists convictions, i.e. fingerprints of requests that crash upstreams, in the platform's store. Gateways share convictions by
// heartbeat; the stored copy survives a simultaneous restart of all gateways.

#pragma once

#include "crashattribution/crashtypes.h"
#include "gateway/gatewaycontext.h"
#include "platform/storecodec.h"

#include <string>
#include <string_view>

namespace daisymount::gateway
{

class ConvictionStore
{
public:
    explicit ConvictionStore(GatewayContext &context);

    /// Loads the stored convictions, retrying until the store responds.
    void start();
    /// Stores a new conviction. To avoid duplicate writes, only the serving gateway whose name sorts first does so.
    void onConvicted(crashattribution::Fingerprint fingerprint);
    /// Deletes a conviction because an upstream has answered the request.
    void onConvictionLifted(crashattribution::Fingerprint fingerprint);

private:
    transport::asio::awaitable<void> load();
    transport::asio::awaitable<void> persist(crashattribution::Fingerprint fingerprint);
    transport::asio::awaitable<void> remove(crashattribution::Fingerprint fingerprint);
    transport::asio::awaitable<StoreReply> call(std::string_view name, platform::HttpCall call);
    bool isDesignatedWriter() const;

    GatewayContext &context_;
};

} // namespace daisymount::gateway

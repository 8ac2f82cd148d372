// Keeps convictions of requests that crash upstreams in the platform's store, for the case that all gateways end at once.

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

    /// Reads the convictions that are kept, once the store answers.
    void start();
    /// Keeps a conviction that has just become known here. Of several gateways only the first by name writes it.
    void onConvicted(crashattribution::Fingerprint fingerprint);
    /// An upstream has answered the request after all.
    void onConvictionLifted(crashattribution::Fingerprint fingerprint);

private:
    transport::asio::awaitable<void> load();
    transport::asio::awaitable<void> persist(crashattribution::Fingerprint fingerprint);
    transport::asio::awaitable<void> remove(crashattribution::Fingerprint fingerprint);
    transport::asio::awaitable<transport::HttpReply> call(std::string_view name, platform::HttpCall call);
    bool isDesignatedWriter() const;

    GatewayContext &context_;
};

} // namespace daisymount::gateway

// Persists convictions, i.e. fingerprints of requests that crash upstreams, in the platform's store. Gateways share convictions by
// heartbeat; the stored copy survives a simultaneous restart of all gateways. When the store comes back from an older copy, the gateways' word counts: the
// designated one writes what is missing and deletes what was lifted.

#pragma once

#include "crashattribution/crashtypes.h"
#include "gateway/gatewaycontext.h"
#include "platform/storecodec.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

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
    void onNewStoreEra();
    transport::asio::awaitable<void> load();
    transport::asio::awaitable<void> restore();
    /// Merges the stored convictions. Returns them, or an empty value if the store did not respond.
    transport::asio::awaitable<std::optional<std::vector<crashattribution::Fingerprint>>> readStored();
    transport::asio::awaitable<void> persist(crashattribution::Conviction conviction);
    transport::asio::awaitable<void> remove(crashattribution::Fingerprint fingerprint);
    transport::asio::awaitable<StoreReply> call(std::string_view name, platform::HttpCall call);
    bool isDesignatedWriter() const;

    GatewayContext &context_;
};

} // namespace daisymount::gateway

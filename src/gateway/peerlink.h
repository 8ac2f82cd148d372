// Exchanges heartbeats with other gateways by UDP and serves them what this one knows.

#pragma once

#include "gateway/gatewaycontext.h"

#include <boost/asio/ip/udp.hpp>

#include <span>
#include <string>
#include <string_view>

namespace daisymount::gateway
{

class PeerLink
{
public:
    explicit PeerLink(GatewayContext &context);

    void start();
    /// Tells the others at once, for example that this gateway is leaving.
    void broadcastHeartbeat();

private:
    void send(std::string_view message, std::span<const std::string> targets);
    void mergeCrashNews(const crashattribution::CrashNews &news, std::string_view from, Instant now);
    void convictCrashingRequests(Instant now);
    void applyLeavingUpstreams(const peers::Heartbeat &heartbeat, Instant now);
    /// Tells the dispatcher between whom the engines' places are divided.
    void updateServingEntries();
    transport::asio::awaitable<void> sendLoop();
    transport::asio::awaitable<void> receiveLoop();

    GatewayContext &context_;
    transport::asio::ip::udp::socket socket_;
};

} // namespace daisymount::gateway

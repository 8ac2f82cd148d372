// Exchanges heartbeats with other gateways over UDP and serves them this gateway's fleet snapshot over HTTP.

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
    /// Sends a heartbeat immediately instead of at the next interval, e.g. when this gateway starts to drain.
    std::string ownHeartbeat(Instant now);
    void broadcastHeartbeat();

private:
    /// Encoded operator keys for other gateways.
    const std::string &keysPage();
    /// Passes on what a heartbeat tells of the operators' keys.
    void learnKeys(const peers::Heartbeat &heartbeat, Instant sentAt, Instant now);
    void broadcastCrashUpdate(std::span<const std::string> targets);
    void send(std::string_view message, std::span<const std::string> targets);
    void mergeCrashUpdate(const crashattribution::CrashUpdate &update, std::string_view from, Instant now);
    void convictCrashingRequests(Instant now);
    /// Adopts a newer list of rank groups, and tells others of it if it is this gateway's own.
    void applyGroupList(dispatch::GroupList list, bool isOwn);
    /// Sends the list of rank groups to a member that knows an older one.
    void answerOlderGroupList(const peers::Peer &peer);
    void applyLeavingUpstreams(const peers::Heartbeat &heartbeat, Instant now);
    /// Passes the list of serving gateways, which share the engines' capacity, to the dispatcher.
    void updateServingEntries();
    /// Records the pauses of the event loop.
    transport::asio::awaitable<void> measurePauses();
    transport::asio::awaitable<void> sendLoop();
    transport::asio::awaitable<void> receiveLoop();

    GatewayContext &context_;
    transport::asio::ip::udp::socket socket_;
    std::string keysPage_; ///< Encoded once for each revision; empty before the first request.
    configsync::KeyRevisions keysPageRevisions_; ///< Of keysPage_.
    std::set<std::string> keysPageRetained_; ///< Zones that keysPage_ tells as retained.
};

} // namespace daisymount::gateway

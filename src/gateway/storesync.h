// Keeps the fleet view up to date from the store, or from peer gateways while this machine cannot reach the store.

#pragma once

#include "gateway/gatewaycontext.h"
#include "platform/storecodec.h"

#include <functional>
#include <set>
#include <string>

namespace daisymount::gateway
{

class StoreSync
{
public:
    /// @p onChange is called after each change of the view.
    StoreSync(GatewayContext &context, std::function<void()> onChange);

    /// Starts the synchronisation loops, which run until the process exits.
    void start();
    /// Ends this gateway's registration, so that peers need not wait for its lease to expire.
    transport::asio::awaitable<void> unregister();

    /// True if the store has responded to this machine recently.
    bool storeReachable() const;

private:
    /// Delay before the next call after @p failures consecutive failures: exponential backoff with jitter, so that a fleet whose calls are
    /// rejected does not overload the store. Limited to a fraction of the contact bound.
    milliseconds retryDelay(int failures) const;
    /// Waits while other gateways watch the operator keys on behalf of this one.
    transport::asio::awaitable<void> waitForWatchDuty();
    /// How long the store holds one watch request open while nothing changes.
    milliseconds watchTimeout() const;
    transport::asio::awaitable<void> watchOperatorKeys();
    transport::asio::awaitable<bool> readOperatorKeys();
    transport::asio::awaitable<void> pollUpstreams();
    transport::asio::awaitable<bool> readUpstreams();
    transport::asio::awaitable<void> maintainRegistration();
    transport::asio::awaitable<bool> renewRegistration();
    transport::asio::awaitable<void> discoverMembers();
    transport::asio::awaitable<void> syncFromPeers();
    /// Fetches a snapshot from @p peer and applies it. Returns false if the request fails or the snapshot is invalid.
    transport::asio::awaitable<bool> fetchFromPeer(peers::Peer peer, std::string_view page);

    transport::asio::awaitable<transport::HttpReply> call(std::string_view name, platform::HttpCall call, milliseconds timeout);
    transport::asio::awaitable<bool> readRange(std::string prefix, platform::ReadConsistency freshness, platform::StorePage &all);
    void applyOperatorItem(const platform::StoreItem &item, bool deleted);
    void applyZones(int64_t revision);
    void recordStoreResponse(bool answered);
    /// Logs a call without a useful reply. @p target is "store" or the name of a peer.
    void reportFailedCall(std::string_view target, std::string_view name, const transport::HttpReply &reply, Instant begin);
    void publishChange();

    GatewayContext &context_;
    std::function<void()> onChange_;
    transport::HttpCaller watchCaller_; ///< Separate connections, because long polls would block other calls.
    std::set<std::string> zonesOut_;
    int64_t watchRevision_ = 0; ///< The watch continues from here; 0 if the range must be read first.
    int64_t leaseId_ = 0; ///< 0 if not registered.
    Instant lastResponseAt_{0};
    Instant upstreamsUpdatedAt_{0}; ///< Last update from the store, or from the gateway that reads it for this zone.
    bool reachable_ = false;
};

} // namespace daisymount::gateway

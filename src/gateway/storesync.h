// Keeps the view of the fleet up to date from the store, or from peers while the store does not answer this machine.

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
    /// @p onChange: called after the view has changed.
    StoreSync(GatewayContext &context, std::function<void()> onChange);

    /// Starts the loops. They run as long as the process.
    void start();
    /// Ends this gateway's registration, so that others need not wait for its lease.
    transport::asio::awaitable<void> unregister();

    /// True when the store answered this machine recently.
    bool storeReachable() const;

private:
    /// Pause of a loop whose calls to the store failed @p failures times in a row. Grows, and differs between machines, so that a fleet
    /// that the store turns away does not add to its load; bounded by what the contact bound leaves.
    milliseconds retryDelay(int failures) const;
    /// Pauses while other members watch the operators' keys for this one.
    transport::asio::awaitable<void> waitForWatchDuty();
    /// How long one watch waits for a change.
    milliseconds watchTimeout() const;
    transport::asio::awaitable<void> watchOperatorKeys();
    transport::asio::awaitable<bool> readOperatorKeys();
    transport::asio::awaitable<void> pollUpstreams();
    transport::asio::awaitable<bool> readUpstreams();
    transport::asio::awaitable<void> maintainRegistration();
    transport::asio::awaitable<bool> renewRegistration();
    transport::asio::awaitable<void> discoverMembers();
    transport::asio::awaitable<void> syncFromPeers();
    /// Takes over what @p peer knows. False when it does not answer.
    transport::asio::awaitable<bool> fetchFromPeer(peers::Peer peer, std::string_view page);

    transport::asio::awaitable<transport::HttpReply> call(std::string_view name, platform::HttpCall call, milliseconds timeout);
    transport::asio::awaitable<bool> readRange(std::string prefix, platform::Freshness freshness, platform::StorePage &all);
    void applyOperatorItem(const platform::StoreItem &item, bool deleted);
    void applyZones(int64_t revision);
    void recordStoreResponse(bool answered);
    void publishChange();

    GatewayContext &context_;
    std::function<void()> onChange_;
    transport::HttpCaller watchCaller_; ///< Watches wait long: they have connections of their own.
    std::set<std::string> zonesOut_;
    int64_t watchRevision_ = 0; ///< Where the watch goes on, 0: the range has to be read.
    int64_t leaseId_ = 0; ///< 0: not registered.
    Instant lastResponseAt_{0};
    Instant upstreamsUpdatedAt_{0}; ///< From the store, or from the member that reads it for this zone.
    bool reachable_ = false;
};

} // namespace daisymount::gateway

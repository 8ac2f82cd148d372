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
    milliseconds retryPause(int failures) const;
    /// Pauses while other members watch the operators' keys for this one.
    transport::asio::awaitable<void> waitToWatch();
    /// How long one watch waits for a change.
    milliseconds watchWait() const;
    transport::asio::awaitable<void> watchOperator();
    transport::asio::awaitable<bool> readOperator();
    transport::asio::awaitable<void> pollUpstreams();
    transport::asio::awaitable<bool> readUpstreams();
    transport::asio::awaitable<void> keepRegistration();
    transport::asio::awaitable<bool> renewRegistration();
    transport::asio::awaitable<void> learnMembers();
    transport::asio::awaitable<void> askPeers();
    /// Takes over what @p peer knows. False when it does not answer.
    transport::asio::awaitable<bool> takeFrom(peers::Peer peer, std::string_view page);

    transport::asio::awaitable<transport::HttpReply> call(std::string_view name, platform::HttpCall call, milliseconds patience);
    transport::asio::awaitable<bool> readRange(std::string prefix, platform::ReadConsistency freshness, platform::StorePage &all);
    void applyOperatorItem(const platform::StoreItem &item, bool deleted);
    void applyZones(int64_t revision);
    void noteStore(bool answered);
    void noteChange();

    GatewayContext &context_;
    std::function<void()> onChange_;
    transport::HttpCaller watcher_; ///< Watches wait long: they have connections of their own.
    std::set<std::string> zonesOut_;
    int64_t operatorRevision_ = 0; ///< Where the watch goes on, 0: the range has to be read.
    int64_t lease_ = 0; ///< 0: not registered.
    Instant lastAnswer_{0};
    Instant upstreamsTakenAt_{0}; ///< From the store, or from the member that reads it for this zone.
    bool reachable_ = false;
};

} // namespace daisymount::gateway

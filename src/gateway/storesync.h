// Keeps the fleet view up to date from the store, or from peer gateways while this machine cannot reach the store.

#pragma once

#include "configsync/configcurrency.h"
#include "gateway/gatewaycontext.h"
#include "gateway/storeoutage.h"
#include "peers/peercodec.h"
#include "platform/storecodec.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

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

    /// Looks for newer operator keys at once, because a peer has told of some.
    void wakeSync();

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
    /// Reads all operator keys. Returns false if the store did not answer.
    transport::asio::awaitable<bool> readOperatorKeys();
    /// Reads the changes of the operator keys since the revision up to which they are known. The store waits for one up to @p wait.
    transport::asio::awaitable<bool> readChanges(std::string_view name, milliseconds wait);
    /// Gets newer operator keys from peers, or from the store where peers do not provide them in time.
    transport::asio::awaitable<void> syncOperatorKeys();
    transport::asio::awaitable<void> runSyncStep(configsync::SyncStep step);
    /// Returns true if the keys of @p peer were newer and have been applied.
    transport::asio::awaitable<bool> fetchKeys(std::string peer, milliseconds timeout);
    /// Live peers with newer operator keys.
    std::vector<configsync::KeySource> keySources(Instant now) const;
    /// Logs when the operator keys become stale, or are current again.
    void reportStaleness(Instant now);
    /// Tells others of operator keys that were read from the store.
    void publishKeys();
    transport::asio::awaitable<void> pollUpstreams();
    transport::asio::awaitable<bool> readUpstreams();
    transport::asio::awaitable<void> maintainRegistration();
    transport::asio::awaitable<bool> renewRegistration();
    /// Random delay of a registration in a new era.
    milliseconds registrationDelay() const;
    transport::asio::awaitable<void> discoverMembers();
    transport::asio::awaitable<void> syncUpstreamsFromPeers();
    transport::asio::awaitable<bool> fetchUpstreams(peers::Peer peer);
    /// Fetches @p page of a peer. Returns an empty value if the request fails or the reply is invalid.
    transport::asio::awaitable<std::optional<peers::FleetSnapshot>> fetchPage(std::string peer, std::string ip, std::string_view page, milliseconds timeout);

    transport::asio::awaitable<StoreReply> call(std::string_view name, platform::HttpCall call, milliseconds timeout);
    /// Reads all items with @p prefix. Returns false if the store did not answer, or began a new era meanwhile.
    transport::asio::awaitable<bool> readRange(std::string prefix, platform::ReadConsistency freshness, platform::StorePage &all);
    /// Compares the first keys with those of peers, which know better if the store has come back from an older copy.
    transport::asio::awaitable<void> checkKeysWithPeers();
    /// Fetches from @p peer what it has out of service, or newer than this gateway.
    transport::asio::awaitable<void> adoptKeys(peers::Peer peer);
    /// Applies the newer ones of the keys of @p peer. Returns true if there were any.
    bool applyKeysOfPeer(std::string_view peer, const peers::FleetSnapshot &snapshot);
    void onNewStoreEra();
    /// Asks the store, and if it does not answer @p peer, whether there is the era that a heartbeat of @p peer has told. A datagram alone proves no era: if it
    /// were wrong, all answers of the store would count as outdated.
    transport::asio::awaitable<void> verifyEra(peers::Peer peer);
    /// Of an answer that has just been received.
    storeera::StoreRevision inCurrentEra(int64_t revision) const;
    /// @p source is the call that returned @p item.
    void applyConfigItem(const platform::StoreItem &item, std::string_view source);
    /// Logs the zones that differ from @p before. @p source is the call or the peer that told of them.
    void reportZones(const std::set<std::string> &before, std::string_view source, storeera::StoreRevision revision);
    /// Evaluates the end of a call that began at @p askedAt.
    void recordStoreResponse(bool answered, Instant askedAt);
    void publishChange();

    GatewayContext &context_;
    std::function<void()> onChange_;
    transport::HttpCaller watchCaller_; ///< Separate connections, because long polls would block other calls.
    transport::asio::steady_timer syncWake_; ///< Ends the pause of syncOperatorKeys().
    Instant watchNeededAt_{0}; ///< When this gateway last had to watch the store.
    bool wasStale_ = false; ///< Last state that reportStaleness() has logged.
    transport::asio::steady_timer registrationWake_; ///< Ends the pause of maintainRegistration().
    int64_t leaseId_ = 0; ///< Granted in the current era; 0 if not registered in it.
    std::optional<peers::Peer> eraTeller_; ///< Has told of a later era that is not verified yet.
    int64_t refutedEra_ = 0; ///< Told by peers while the store was in an earlier one.
    StoreOutage outage_;
    Instant upstreamsUpdatedAt_{0}; ///< Last update from the store, or from the gateway that reads it for this zone.
    bool reachable_ = false;
};

} // namespace daisymount::gateway

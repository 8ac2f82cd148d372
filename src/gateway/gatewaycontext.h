// State shared by the components of a gateway. Must only be accessed from the reactor thread.

#pragma once

#include "configsync/configcurrency.h"
#include "crashattribution/crashattribution.h"
#include "dispatch/completiontimes.h"
#include "dispatch/dispatcher.h"
#include "dispatch/engineadmission.h"
#include "dispatch/groupdirectory.h"
#include "dispatch/passpace.h"
#include "dispatch/retrydelay.h"
#include "dispatch/retrydetector.h"
#include "dispatch/retryshare.h"
#include "dispatch/silencedetector.h"
#include "fleet/fleetview.h"
#include "fleet/nodesettings.h"
#include "framework/looppauses.h"
#include "gateway/crashwatch.h"
#include "gateway/draintally.h"
#include "gateway/gatewaylog.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/loadcontrol.h"
#include "gateway/storeclient.h"
#include "gateway/upstreampool.h"
#include "peers/peertable.h"
#include "storeera/eratracker.h"
#include "transport/httpcaller.h"

#include <functional>
#include <random>
#include <set>
#include <vector>

namespace daisymount::gateway
{

class Exchange;

/// Revisions of the operators' keys in @p view.
configsync::KeyRevisions keyRevisions(const fleet::FleetView &view);

struct GatewayContext
{
    fleet::NodeSettings settings;
    transport::asio::any_io_executor executor;
    framework::LoopPauses loopPauses;
    fleet::FleetView view;
    storeera::EraTracker storeEra; ///< Of everything in view that was read from the store.
    configsync::ConfigCurrency currency; ///< Of the operators' keys in view.
    dispatch::Dispatcher dispatcher;
    dispatch::GroupDirectory groups; ///< Empty if engines are admitted by slots.
    dispatch::EngineAdmission admission;
    dispatch::RetryDetector retryDetector;
    dispatch::RetryDelay retryDelay;
    dispatch::PassTimeTracker passTimeTracker;
    dispatch::SilenceDetector silenceDetector;
    dispatch::CompletionTimes completionTimes;
    dispatch::RetryBudgetShare retryBudget;
    UpstreamPool pool;
    transport::HttpCaller httpClient;
    StoreClient store;
    peers::PeerTable peers;
    crashattribution::CrashAttribution crashes;
    CrashDetector crashDetector;
    GatewayLog log;
    GatewayMetrics metrics;
    LoadControl loadControl;
    std::mt19937 random;
    std::function<void(crashattribution::Fingerprint)> onConvicted
        = [](crashattribution::Fingerprint) {}; ///< Called when a request is convicted of crashing upstreams, by this gateway or by another one.
    std::function<void(crashattribution::Fingerprint)> onConvictionLifted
        = [](crashattribution::Fingerprint) {}; ///< Called when an upstream's response ends a conviction.

    std::function<void(dispatch::GroupList)> onGroupList
        = [](const dispatch::GroupList &) {}; ///< Called with a list of rank groups that may be newer than groups.
    std::function<void()> onOwnKeysRead = [] {}; ///< Called when this gateway has read changed operator keys from the store.
    std::function<void()> onNewerKeysKnown = [] {}; ///< Called when a peer tells of newer operator keys.
    std::function<void(const peers::Peer &)> onNewerEraTold = [](const peers::Peer &) {}; ///< Called when a heartbeat tells of an era later than storeEra.
    std::vector<std::function<void()>> onNewStoreEra; ///< Called in turn after storeEra has risen and view and currency know of it.
    std::function<void()> onCrashRecorded = [] {}; ///< Called when this gateway has found that an upstream crashed.

    std::set<crashattribution::Fingerprint> trials; ///< Suspects that this gateway is trying at an upstream.
    bool awaitsPeerKeys = false; ///< Set while a gateway that has just started does not know yet whether its peers have newer keys than the store.
    bool draining = false; ///< Set by SIGTERM: the gateway reports not ready and closes each connection after its response.
    Instant drainingSince{0};
    Instant callersGoneAt = Instant::max(); ///< When callers have given up their cached addresses of this gateway.
    Instant exitAt = Instant::max(); ///< When responses that are not complete are cut off.
    Instant upstreamsReadAt{0}; ///< When this gateway last read the upstreams from the store, not from another gateway.
    bool fastUpstreamPolling = false; ///< Set while a group lacks a rank: the store is polled at shorter intervals for its new registration.
    std::set<const Exchange *> openExchanges; ///< Of the requests that were read completely and are not yet answered.
    DrainTally drainTally; ///< What became of the requests since SIGTERM.
    int requestsBeingRead = 0; ///< Requests of which the first bytes, but not all, have been received.
    Instant acceptedAt{0}; ///< When the most recent caller connection was accepted.
    milliseconds streamStallTimeout{30'000}; ///< A stream without a complete event that carries data for this long is ended, even if other bytes arrive.
    size_t bufferedBytes = 0; ///< Total size of the request bodies that are being read or forwarded.

    /// Returns true when no request is being read or processed and no connection was accepted so recently that its first request may be in
    /// transit.
    bool nothingPending(Instant now) const;
    /// Clock on which silence of others is measured, see framework::LoopPauses.
    Instant listeningTime(Instant now) const;
    /// True if the settings ask to refuse requests, because nothing has shown for too long that the configuration is current.
    bool mustRefuseAsStale(Instant now) const;
    /// Logs a call to @p target, "store" or the name of a peer, that began at @p begin and ended without a useful reply.
    void reportFailedCall(std::string_view target, std::string_view name, const transport::HttpReply &reply, Instant begin);

    GatewayContext(fleet::NodeSettings nodeSettings, const transport::asio::any_io_executor &reactor, peers::Peer self, uint64_t seed);

private:
    /// Voids what rests on revisions of an earlier era, and tells the components.
    void beginStoreEra(int64_t era);
};

} // namespace daisymount::gateway

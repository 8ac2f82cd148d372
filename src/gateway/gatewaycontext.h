// What the parts of a gateway share. All of it belongs to the reactor thread.

#pragma once

#include "crashattribution/crashattribution.h"
#include "dispatch/dispatcher.h"
#include "dispatch/engineadmission.h"
#include "dispatch/passpace.h"
#include "dispatch/retryshare.h"
#include "fleet/fleetview.h"
#include "fleet/nodesettings.h"
#include "gateway/crashwatch.h"
#include "gateway/gatewaylog.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/upstreampool.h"
#include "peers/peertable.h"
#include "transport/httpcaller.h"

#include <functional>
#include <random>

namespace daisymount::gateway
{

struct GatewayContext
{
    fleet::NodeSettings settings;
    transport::asio::any_io_executor executor;
    fleet::FleetView view;
    dispatch::Dispatcher dispatcher;
    dispatch::EngineAdmission admission;
    dispatch::ReturningCallers returningCallers;
    dispatch::PassPace passPace;
    dispatch::RetryShare retryBudget;
    UpstreamPool pool;
    transport::HttpCaller httpClient;
    peers::PeerTable peers;
    crashattribution::CrashAttribution crashes;
    CrashWatch crashWatch;
    GatewayLog log;
    GatewayMetrics metrics;
    std::mt19937 random;
    std::function<void(crashattribution::Fingerprint)> onConvicted = [](crashattribution::Fingerprint) {}; ///< Here or elsewhere.
    std::function<void(crashattribution::Fingerprint)> onLifted = [](crashattribution::Fingerprint) {}; ///< An answer ended a conviction.

    bool draining = false; ///< SIGTERM has come: not ready, connections are closed behind their answers.
    Instant drainingSince{0};
    Instant upstreamsReadAt{0}; ///< When this gateway last read the upstreams from the store itself.
    bool fastUpstreamPolling = false; ///< A rank of a group is missing: its new registration is looked for in short intervals.
    int activeRequests = 0; ///< Read whole and not answered yet.
    int requestsBeingRead = 0; ///< Begun by their callers and not read whole yet.
    Instant acceptedAt{0}; ///< When the last connection of a caller was accepted.
    milliseconds streamStallTimeout{30'000}; ///< A stream that brings no whole event for so long has ended, whatever bytes still come.
    size_t bufferedBytes = 0; ///< Bodies of requests that are being read or forwarded.

    /// No request is being read or answered, and none is about to come on a connection that was opened just now.
    bool nothingPending(Instant now) const;

    GatewayContext(fleet::NodeSettings nodeSettings, const transport::asio::any_io_executor &reactor, peers::Peer self, uint64_t seed);
};

} // namespace daisymount::gateway

// Messages in which gateways report their own state and relay that of other members.

#pragma once

#include "configsync/configcurrency.h"
#include "dispatch/admissionshares.h"
#include "fleet/fleettypes.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace daisymount::peers
{

using framework::Duration;
using framework::Instant;
using framework::milliseconds;

/// Revisions of the fleet state of a gateway. They show which members can supply newer state to a gateway without access to the store.
struct KnownRevisions
{
    configsync::ConfigRevision config;
    storeera::StoreRevision zones{0, -1};
    storeera::StoreRevision upstreams;
    int64_t groupsTerm = 0; ///< Of the list of rank groups, see dispatch::GroupList.
    int64_t groups = 0;
    uint32_t zonesDigest = 0; ///< Of the zones out of service, see configsync::KeyRevisions.
};

/// Demand on a service with adaptive admission.
struct ServiceDemand
{
    std::string service;
    dispatch::DemandReport demand;
};

struct Peer
{
    std::string name;
    int64_t incarnation = 0; ///< Unix milliseconds of the process start; a newer incarnation supersedes older state.
    std::string ip;
    std::string callerAddress;
    std::string zone;
    bool serving = false; ///< Ready and not shutting down.
    bool controlsMaps = false; ///< Holds the lease of the map controller.
    bool watchesStore = false; ///< Watches the operators' keys, and the store responded to the last watch.
    std::vector<std::string> groupsDown; ///< Keys of the rank groups that execute no passes, as reported by the map controller.
    std::vector<std::pair<std::string, int>> inFlight; ///< Requests in flight from this gateway to the engines, by group key.
    milliseconds storeReadAge{NEVER_READ}; ///< Age of its last read of the upstreams from the store, at the time of the heartbeat.
    int64_t storeEra = 0; ///< Newest era of the store that the member knows. Not lower than those of its revisions.
    bool retainsZones = false; ///< Keeps zones out of service that the store has lost, see fleet::ZonesOutOfService.
    KnownRevisions revisions;
    int64_t confirmedRevision = 0; ///< See configsync::KeyReport. Of storeEra.
    milliseconds confirmedAge{0}; ///< At the time of the heartbeat.
    double processorShare = 1.0; ///< Of a core.

    /// What the member tells of the operators' keys.
    configsync::KeyReport keyReport() const
    {
        return {{revisions.config, revisions.zones, revisions.zonesDigest}, storeEra, confirmedRevision, confirmedAge};
    }

    static constexpr int64_t NEVER_READ = 1'000'000;
};

/// State of a member as relayed by another one.
struct RelayedPeer
{
    Peer peer;
    milliseconds age{0}; ///< Time since the first relaying member received the state from the member itself.
};

struct Heartbeat
{
    Peer sender;
    std::vector<RelayedPeer> others;
    std::vector<fleet::LeavingUpstream> leaving = {}; ///< Recent shutdown notices of upstreams.
    std::vector<ServiceDemand> demand = {}; ///< Of the callers of the sender; not relayed.
};

} // namespace daisymount::peers

// What gateways tell each other about themselves and the members that they have heard of.

#pragma once

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

/// Revisions of what a gateway knows; they tell who can help one that is cut off from the store.
struct KnownRevisions
{
    int64_t config = 0;
    int64_t zones = -1;
    int64_t upstreams = 0;
};

struct Peer
{
    std::string name;
    int64_t incarnation = 0; ///< Unix milliseconds of its start: a restart supersedes what was said before.
    std::string ip;
    std::string callerAddress;
    std::string zone;
    bool serving = false; ///< Ready and not leaving.
    bool controlsMaps = false; ///< Holds the lease of the map controller.
    bool watchesStore = false; ///< It watches the operators' keys and the store answered its last watch.
    std::vector<std::string> groupsDown; ///< Services whose rank group makes no passes, from the map controller.
    std::vector<std::pair<std::string, int>> inFlight; ///< Requests at the engines of each service, from this gateway.
    milliseconds storeReadAge{NEVER_READ}; ///< Since it last read the upstreams from the store itself, when it said so.
    KnownRevisions revisions;

    static constexpr int64_t NEVER_READ = 1'000'000;
};

/// A member as told by another one.
struct RelayedPeer
{
    Peer peer;
    milliseconds age{0}; ///< Since the teller, or whoever told it, heard from that member itself.
};

struct Heartbeat
{
    Peer sender;
    std::vector<RelayedPeer> others;
    std::vector<fleet::LeavingUpstream> leaving = {}; ///< Of which the receiver may not have heard.
};

} // namespace daisymount::peers

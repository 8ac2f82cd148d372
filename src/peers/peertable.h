// Which gateways are alive, from their own heartbeats and from what others have heard.

#pragma once

#include "peers/peertypes.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::peers
{

struct PeerTableOptions
{
    Duration aliveTimeout = milliseconds{1'800}; ///< Heard of within this: callers may be sent there.
    Duration allocationTimeout = framework::seconds{5}; ///< Of silence: divisions that all members make alike must not follow each lost heartbeat.
    Duration memberExpiry = framework::seconds{20}; ///< Until then a silent member counts as possibly alive.
    size_t zoneFanout = 16; ///< Members of the own zone that get a heartbeat in one round; those bytes cost nothing.
    size_t remoteFanout = 4; ///< Members of other zones; those bytes are paid for.
    size_t remoteFanoutLarge = 1; ///< The same in a fleet of manyMembers: others of the zone tell the same news to those zones.
    size_t largeClusterSize = 48;
    size_t minServingToShareWatches = 16; ///< Serving members from which only some watch the store for all.
    size_t watchersPerZone = 2;
    size_t minWatchers = 3; ///< Over all zones, known to be answered by the store, before a member relies on them.
    Duration readerStagger = milliseconds{150}; ///< Between two members of a zone that find its reader's reading too old.
    Duration maxStagger = milliseconds{600};
    Duration maxReaderAge = milliseconds{900}; ///< Age up to which another member's reading of the store may be relied on.
    Duration discoveryTime = framework::seconds{3}; ///< From the first sign of the process; by then heartbeats have told of all members.
    int assumedMembers = 100; ///< Assumed before anything is known.
    size_t relayedPeers = 10; ///< Members that one heartbeat tells of.
    size_t relayedPeersLarge = 24; ///< The same in a fleet of manyMembers; still one packet.
    uint64_t seed = 1;
};

class PeerTable
{
public:
    PeerTable(Peer self, const PeerTableOptions &options);

    /// Changes what this gateway tells of itself.
    Peer &self();
    const Peer &self() const;

    /// A member of which only the address is known: seeds and the store's registry.
    void addAddress(std::string_view ip, Instant now);
    void onHeartbeat(const Heartbeat &heartbeat, Instant now);

    /// The message of one round, with the freshest news.
    Heartbeat heartbeat(Instant now);
    /// IPs that this round's heartbeat goes to.
    std::vector<std::string> targets(Instant now);
    void expire(Instant now);

    /// Members that callers may be sent to, without this gateway.
    std::vector<Peer> serving(Instant now) const;
    /// Members that were heard of lately enough to keep their part of what is divided among all; without this gateway. A member that has
    /// been silent for longer than aliveWithin has no requests under way.
    std::vector<Peer> allocationPeers(Instant now) const;
    /// Requests that the other members have at the engines of @p service, as far as they have told.
    int inFlightOfOthers(std::string_view service, Instant now) const;
    /// The member of the own zone that reads the upstreams from the store for the others. Empty when it is this gateway or when that
    /// member's last reading is too old to rely on.
    std::optional<Peer> zoneReader(Instant now) const;
    /// True when this gateway has to watch the operators' keys in the store itself: as one of few in its zone, or since too few others are
    /// known to do so.
    bool mustWatchStore(Instant now) const;
    /// True when the map controller, this gateway or another one, tells that the service's rank group makes no passes.
    bool groupDown(std::string_view service, Instant now) const;
    /// The store's registry of members has been read and all its addresses were learnt.
    void onRegistryRead();
    /// Members that may be alive, this gateway among them. Many until the registry has been read or heartbeats have had time to come: after
    /// all machines have started anew nobody may take more than its share of what cold upstreams bear.
    int possiblyAliveCount(Instant now) const;
    /// The live member that knows most of the upstreams, zones or configuration beyond @p known.
    std::optional<Peer> mostUpToDatePeer(const KnownRevisions &known, Instant now) const;
    /// A live member that knows a newer configuration, or newer zones out of service, than @p known.
    std::optional<Peer> peerWithNewerConfig(KnownRevisions known, Instant now) const;

private:
    struct Member
    {
        Peer peer;
        Instant heardAt{0};
    };

    void merge(const Peer &peer, Instant heardAt);
    /// Serving members of the own zone whose names come before this gateway's.
    size_t positionInZone(Instant now) const;

    Peer self_;
    PeerTableOptions options_;
    std::map<std::string, Member, std::less<>> members_; ///< By name, never this gateway.
    std::map<std::string, Instant, std::less<>> addresses_; ///< IPs whose gateway has not been heard of, and since when.
    std::optional<Instant> startedAt_; ///< Of the first round of heartbeats.
    bool registryRead_ = false;
    std::minstd_rand random_;
};

} // namespace daisymount::peers

// Membership table of the gateways, built from direct heartbeats and from state relayed by other members.

#pragma once

#include "peers/peertypes.h"

#include <functional>
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
    Duration aliveTimeout = milliseconds{1'800}; ///< Maximum age of the last sign of life for a member to which callers may be sent.
    /// Silence after which a member loses its part of divided capacity. All members must compute the same division, so it must not change
    /// with each lost heartbeat.
    Duration allocationTimeout = framework::seconds{5};
    Duration memberExpiry = framework::seconds{20}; ///< Silence up to which a member counts as possibly alive.
    size_t zoneFanout = 16; ///< Members of the same zone that receive a heartbeat per round; traffic within a zone is free.
    size_t remoteFanout = 4; ///< Members of other zones that receive a heartbeat per round; this traffic is billed.
    size_t remoteFanoutLarge = 1; ///< Same from largeClusterSize members; others of the zone send the same state to those zones.
    size_t largeClusterSize = 48;
    size_t minServingToShareWatches = 16; ///< Number of serving members from which only some watch the store on behalf of all.
    size_t watchersPerZone = 2;
    size_t minWatchers = 3; ///< Watchers over all zones with a responding store, required before a member relies on them.
    Duration readerStagger = milliseconds{150}; ///< Delay between members of a zone that replace an outdated reader.
    Duration maxStagger = milliseconds{600};
    Duration maxReaderAge = milliseconds{900}; ///< Maximum age of another member's last store read for relying on that member.
    Duration discoveryTime = framework::seconds{3}; ///< Time after the first heartbeat round by which all members are known from heartbeats.
    int assumedMembers = 100; ///< Number of members assumed before discovery.
    size_t relayedPeers = 10; ///< Members relayed in one heartbeat.
    size_t relayedPeersLarge = 24; ///< Same from largeClusterSize members; still fits into one packet.
    /// Part of a span in which this gateway read no messages. It does not count as silence of others, up to maxPauseCredit.
    std::function<Duration(Instant from, Instant to)> pausedWithin = [](Instant, Instant) { return Duration{0}; };
    Duration maxPauseCredit = framework::seconds{2};
    uint64_t seed = 1;
};

class PeerTable
{
public:
    PeerTable(Peer self, const PeerTableOptions &options);

    /// State of this gateway as sent in heartbeats.
    Peer &self();
    const Peer &self() const;

    /// Adds a member known only by address, from the seeds or the store's registry.
    void addAddress(std::string_view ip, Instant now);
    /// Returns true if the sender has just started: its incarnation was not known.
    bool onHeartbeat(const Heartbeat &heartbeat, Instant now);

    /// Creates the heartbeat of one round.
    Heartbeat heartbeat(Instant now);
    /// Selects the IPs that receive the heartbeat of this round.
    std::vector<std::string> targets(Instant now);
    void expire(Instant now);

    /// Members to which callers may be sent, without this gateway.
    std::vector<Peer> serving(Instant now) const;
    /// Members that keep their part of divided capacity, without this gateway. Members silent for longer than aliveTimeout are returned
    /// without requests in flight.
    std::vector<Peer> allocationPeers(Instant now) const;
    /// Requests in flight from the other members to the engines of a service or of the group with @p key, as last reported.
    int inFlightOfOthers(std::string_view key, Instant now) const;
    /// The member of the same zone that reads the upstreams from the store on behalf of the others. Empty if it is this gateway or if the
    /// last read of that member is too old.
    std::optional<Peer> zoneReader(Instant now) const;
    /// True if this gateway has to watch the operators' keys in the store itself: it is a watcher of its zone, or too few others are known
    /// to watch.
    bool mustWatchStore(Instant now) const;
    /// True if the map controller, on this gateway or another one, reports that the rank group with @p key executes no passes.
    bool groupDown(std::string_view key, Instant now) const;
    /// True if each member that is known by its address has been heard of since the start of this gateway, and there is one.
    bool hasHeardAll() const;
    /// The store's registry of members has been read and all its addresses were added.
    void onRegistryRead();
    /// Number of possibly live members including this gateway. At least assumedMembers until the registry has been read or discoveryTime
    /// has passed, so that no entry exceeds its share of the rate of cold upstreams after a restart of all machines.
    int possiblyAliveCount(Instant now) const;
    /// True if no serving member of the same zone has a name that precedes that of this gateway.
    bool isFirstOfZone(Instant now) const;
    /// A live member with newer upstreams than @p known; members of the same zone are preferred, then newer upstreams.
    std::optional<Peer> mostUpToDatePeer(const KnownRevisions &known, Instant now) const;
    /// Live members with a newer configuration or newer zones out of service than @p known.
    std::vector<Peer> peersWithNewerConfig(const KnownRevisions &known, Instant now) const;
    /// Highest term of a list of rank groups that a member tells, also one that is silent now; 0 if none does.
    int64_t highestGroupsTerm() const;

private:
    struct Member
    {
        Peer peer;
        Instant heardAt{0};
    };

    void merge(const Peer &peer, Instant heardAt);
    /// False for this gateway and for a member that had its address before.
    bool isOther(const Peer &peer) const;
    /// Time for which nothing was heard of the member although this gateway listened.
    Duration silence(const Member &member, Instant now) const;
    bool isAlive(const Member &member, Instant now) const;
    /// Number of serving members of the same zone whose names precede that of this gateway.
    size_t positionInZone(Instant now) const;

    Peer self_;
    PeerTableOptions options_;
    std::map<std::string, Member, std::less<>> members_; ///< By name, without this gateway.
    std::map<std::string, Instant, std::less<>> addresses_; ///< IPs without a known gateway, with the time they were added.
    std::optional<Instant> startedAt_; ///< Time of the first heartbeat round.
    bool registryRead_ = false;
    std::minstd_rand random_;
};

} // namespace daisymount::peers

// Membership by random probing with piggybacked changes: cost per node does not grow with the fleet.

#pragma once

#include "membership/membershiptypes.h"

#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace daisymount::membership
{

/// Deterministic core; one per node.
class Gossip
{
public:
    /// Members and records are compared in this many parts.
    static constexpr int64_t BUCKETS = 16;

    Gossip(GossipOptions options, GossipHooks hooks);

    /// Probes, expires suspicions, joins while alone. Call about ten times per period.
    void tick(Instant now);
    void onPacket(const Packet &packet, Instant now);

    /// Spreads @p value under @p key. @p version must grow per key. @p urgent: sent at once to some members.
    void publish(std::string_view key, int64_t version, std::string_view value, bool urgent, Instant now);
    /// Announces a graceful shutdown of this node.
    void leave(Instant now);

    const std::map<std::string, Member, std::less<>> &members() const;
    std::optional<Record> record(std::string_view key) const;
    /// All records whose key begins with @p prefix.
    std::vector<Record> records(std::string_view prefix) const;
    /// Last time that a packet of @p member came directly; empty when never.
    std::optional<Instant> lastHeard(std::string_view member) const;
    /// Time of the last packet from any member.
    Instant lastContact() const;
    /// How many other members were heard of within @p window, and how many there are.
    std::pair<size_t, size_t> contactShare(Duration window, Instant now) const;

private:
    struct Rumour
    {
        std::string id; ///< "m/<member>" or "r/<key>".
        int remaining; ///< Packets that still carry it.
    };

    struct Probe
    {
        std::string target;
        uint64_t sequence = 0;
        Instant sentAt{0};
        bool indirect = false; ///< Ping requests were sent.
        bool answered = true;
    };

    struct Relay
    {
        std::string requester;
        uint64_t sequence = 0; ///< The requester's.
    };

    void probe(Instant now);
    void checkProbe(Instant now);
    void joinIfAlone(Instant now);
    void reconnect(Instant now);
    void expireSuspects(Instant now);
    void mergeMember(const Member &member, Instant now);
    void mergeRecord(const Record &record, bool urgent, Instant now);
    void refute(const Member &claim, Instant now);
    void spread(const std::string &id);
    void sendTo(std::string_view name, Packet packet);
    void fillRumours(Packet &packet);
    void addRumour(Packet &packet, const std::string &id, size_t &bytes) const;
    void sendState(std::string_view address, std::optional<int64_t> bucket);
    uint64_t bucketHash(int64_t bucket) const;
    void setMember(const Member &member);
    void setRecord(const Record &record);
    std::vector<std::string> reachableMembers() const;
    Packet packetOf(PacketType type, uint64_t sequence) const;

    GossipOptions options_;
    GossipHooks hooks_;
    std::mt19937_64 random_;
    std::map<std::string, Member, std::less<>> members_; ///< Self included.
    std::map<std::string, Record, std::less<>> records_;
    std::array<uint64_t, BUCKETS> bucketHashes_{}; ///< Of members and records; kept up to date by setMember and setRecord.
    std::map<std::string, Instant, std::less<>> heardAt_;
    std::map<std::string, Instant, std::less<>> suspectSince_;
    std::map<uint64_t, Relay> relays_; ///< By own sequence number.
    std::vector<Rumour> rumours_; ///< Freshest last.
    std::vector<std::string> probeOrder_;
    Probe probe_;
    Instant nextProbeAt_{0};
    Instant nextJoinAt_{0};
    Instant nextReconnectAt_{0};
    Instant lastContact_{0};
    uint64_t sequence_ = 0;
    int64_t nextBucket_ = 0;
};

} // namespace daisymount::membership

// Types of membership: who is in the fleet, and small versioned records that all nodes come to share.

#pragma once

#include "framework/clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::membership
{

using framework::Duration;
using framework::Instant;

enum class MemberState : uint8_t {
    Alive = 0,
    Suspect = 1,
    Leaving = 2, ///< Shutting down gracefully.
    Dead = 3,
};

/// One process of the fleet. A higher incarnation wins; within one, the higher state.
struct Member
{
    std::string name;
    std::string role; ///< "entry" or "sidecar".
    std::string zone;
    std::string address; ///< IPv4 address and port for datagrams and HTTP alike.
    uint64_t incarnation = 0; ///< Raised by the member itself, on restart and to refute a suspicion.
    MemberState state = MemberState::Alive;
};

/// A small value that spreads to all nodes. The higher version wins.
struct Record
{
    std::string key; ///< "<kind>/<origin>"; single-writer unless the kind says otherwise.
    int64_t version = 0;
    std::string value;
};

enum class PacketType : uint8_t {
    Ping = 0,
    Ack = 1,
    PingRequest = 2, ///< Asks the receiver to ping the target on the sender's behalf.
    Join = 3, ///< Asks for everything.
    Sync = 4, ///< Carries state only.
};

/// One datagram between members.
struct Packet
{
    PacketType type = PacketType::Ping;
    uint64_t sequence = 0; ///< Echoed by an Ack.
    bool urgent = false; ///< Records that are new to the receiver travel on at once.
    std::string from;
    std::string target; ///< Of a PingRequest.
    int64_t bucket = -1; ///< Bucket that bucketHash covers; -1 when absent.
    uint64_t bucketHash = 0;
    std::vector<Member> members;
    std::vector<Record> records;
};

struct GossipOptions
{
    Member self;
    std::vector<std::string> seeds; ///< Addresses asked to join through.
    uint64_t seed = 1;
    Duration period = framework::milliseconds{500}; ///< One probe per period.
    Duration suspectAfter = framework::seconds{2}; ///< A suspect that does not refute is dead after this.
    size_t maxPacketBytes = 1200; ///< Budget of rumours per datagram.
};

/// What gossip needs from outside and tells to the outside.
struct GossipHooks
{
    std::function<void(std::string_view address, const Packet &packet)> send;
    std::function<void(const Member &member)> memberChanged;
    std::function<void(const Record &record)> recordChanged;
};

} // namespace daisymount::membership

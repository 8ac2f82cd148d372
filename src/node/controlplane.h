// What every node does besides its duty: membership, configuration, and noticing that it has been cut off.

#pragma once

#include "framework/eventlog.h"
#include "membership/configagent.h"
#include "membership/gossip.h"
#include "store/iplatformstore.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace daisymount::node
{

using framework::Duration;
using framework::Instant;

struct ControlPlaneOptions
{
    membership::GossipOptions gossip;
};

struct ControlPlaneHooks
{
    std::function<void(std::string_view address, const membership::Packet &packet)> send;
    std::function<void(std::string_view member)> fetchConfig;
    std::function<void(const membership::VersionedConfig &config)> configApplied;
    std::function<void(const membership::Member &member)> memberChanged;
    std::function<void(const membership::Record &record)> recordChanged;
    std::function<void(bool cutOff)> cutOffChanged;
};

/// Deterministic composition of the membership cores; one per node.
class ControlPlane
{
public:
    ControlPlane(ControlPlaneOptions options, store::IPlatformStore &store, framework::IEventLog &log, ControlPlaneHooks hooks);

    void tick(Instant now);
    void onPacket(const membership::Packet &packet, Instant now);
    void onConfigOffered(int64_t revision, std::string_view stored);

    membership::Gossip &gossip();
    const membership::VersionedConfig &config() const;
    std::string encodedConfig() const;
    bool isCutOff() const;
    /// True while this node is one of the few of its zone that ask the platform's services.
    bool isWatcher() const;
    /// Names of live entries, sorted.
    std::vector<std::string> liveEntries() const;
    bool isAlive(std::string_view member) const;
    /// Address of a member, empty when unknown.
    std::string addressOf(std::string_view member) const;

private:
    void checkContact(Instant now);
    bool hasMajority() const;
    std::string regionOf(std::string_view zone) const;

    ControlPlaneOptions options_;
    framework::IEventLog &log_;
    ControlPlaneHooks hooks_;
    membership::Gossip gossip_;
    std::shared_ptr<membership::ConfigAgent> agent_;
    Instant nextContactCheckAt_{0};
    Instant lastMajorityAt_{0}; ///< Last time that most of the region was reachable.
    bool started_ = false;
    bool cutOff_ = false;
};

} // namespace daisymount::node

// Control plane core.

#include "node/controlplane.h"

namespace daisymount::node
{

using membership::Member;
using membership::MemberState;
using membership::Record;
using membership::VersionedConfig;

namespace
{
constexpr Duration CONTACT_CHECK_INTERVAL = framework::milliseconds{250};
}

ControlPlane::ControlPlane(ControlPlaneOptions options, store::IPlatformStore &store, framework::IEventLog &log, ControlPlaneHooks hooks)
    : options_(std::move(options))
    , log_(log)
    , hooks_(std::move(hooks))
    , gossip_(options_.gossip,
              {hooks_.send,
               [this](const Member &member) {
                   const std::vector<std::pair<std::string_view, std::string>> fields{
                       {"member", member.name}, {"state", std::to_string(static_cast<int>(member.state))}, {"incarnation", std::to_string(member.incarnation)}};
                   log_.report({"membership", "member_changed", framework::ResultCode::Ok, "", fields});
                   if (hooks_.memberChanged) {
                       hooks_.memberChanged(member);
                   }
               },
               [this](const Record &record) {
                   if (record.key == membership::ConfigAgent::CONFIG_RECORD) {
                       agent_->onRecord(record);
                   }
                   if (hooks_.recordChanged) {
                       hooks_.recordChanged(record);
                   }
               }})
{
    membership::ConfigAgentHooks agentHooks;
    agentHooks.fetch = hooks_.fetchConfig;
    agentHooks.applied = [this](const VersionedConfig &config) {
        const std::vector<std::pair<std::string_view, std::string>> fields{{"revision", std::to_string(config.revision)}, {"change", config.stored.changeId}};
        log_.report({"configuration", "applied", framework::ResultCode::Ok, "", fields});
        hooks_.configApplied(config);
    };
    agentHooks.rejected = [this](int64_t revision, const std::string &reason) {
        const std::vector<std::pair<std::string_view, std::string>> fields{{"revision", std::to_string(revision)}, {"reason", reason}};
        log_.report({"configuration", "rejected", framework::ResultCode::ConfigurationInvalid, "", fields});
    };
    agent_ = std::make_shared<membership::ConfigAgent>(options_.gossip.self.name, store, gossip_, std::move(agentHooks));
}

membership::Gossip &ControlPlane::gossip()
{
    return gossip_;
}

const VersionedConfig &ControlPlane::config() const
{
    return agent_->current();
}

std::string ControlPlane::encodedConfig() const
{
    return agent_->encoded();
}

bool ControlPlane::isCutOff() const
{
    return cutOff_;
}

bool ControlPlane::isWatcher() const
{
    return agent_->isWatcher();
}

void ControlPlane::tick(Instant now)
{
    gossip_.tick(now);
    agent_->tick(now);
    checkContact(now);
}

void ControlPlane::onPacket(const membership::Packet &packet, Instant now)
{
    gossip_.onPacket(packet, now);
}

void ControlPlane::onConfigOffered(int64_t revision, std::string_view stored)
{
    agent_->onOffered(revision, stored);
}

std::string ControlPlane::regionOf(std::string_view zone) const
{
    const auto found = config().config.zones.find(std::string(zone));
    return found == config().config.zones.end() ? std::string() : found->second.region;
}

bool ControlPlane::hasMajority() const
{
    const std::string region = regionOf(options_.gossip.self.zone);
    size_t configured = 0;
    size_t live = 0;
    const auto count = [&](const std::string &name, const std::string &zone) {
        if (regionOf(zone) != region) {
            return;
        }
        ++configured;
        live += isAlive(name) ? 1 : 0;
    };
    for (const auto &[name, entry] : config().config.entries) {
        count(name, entry.zone);
    }
    for (const auto &[name, upstream] : config().config.upstreams) {
        count(name, upstream.zone);
    }
    return live * 2 > configured;
}

void ControlPlane::checkContact(Instant now)
{
    if (config().revision == 0 || now < nextContactCheckAt_) {
        return;
    }
    nextContactCheckAt_ = now + CONTACT_CHECK_INTERVAL;
    const Duration staleAfter = config().config.membership.staleAfter;
    const bool storeConfirms = agent_->confirmedAt() > Instant{0} && now - agent_->confirmedAt() < staleAfter;
    const bool majority = hasMajority();
    agent_->setWithoutMajority(!majority);
    if (!started_ || storeConfirms || majority) {
        started_ = true;
        lastMajorityAt_ = now;
    }
    const bool cutOff = now - lastMajorityAt_ >= staleAfter;
    if (cutOff != cutOff_) {
        cutOff_ = cutOff;
        hooks_.cutOffChanged(cutOff);
    }
}

std::vector<std::string> ControlPlane::liveEntries() const
{
    std::vector<std::string> names;
    for (const auto &[name, member] : gossip_.members()) {
        if (member.role == "entry" && member.state == MemberState::Alive) {
            names.push_back(name);
        }
    }
    return names;
}

bool ControlPlane::isAlive(std::string_view member) const
{
    const auto found = gossip_.members().find(member);
    return found != gossip_.members().end() && found->second.state != MemberState::Dead;
}

std::string ControlPlane::addressOf(std::string_view member) const
{
    const auto found = gossip_.members().find(member);
    return found == gossip_.members().end() ? std::string() : found->second.address;
}

} // namespace daisymount::node

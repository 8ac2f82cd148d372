// Entry control.

#include "entry/entrycontrol.h"

#include "entry/entrymessages.h"
#include "framework/hash.h"

#include <algorithm>
#include <cstdlib>

namespace daisymount::entry
{

using membership::Member;
using membership::MemberState;
using membership::Record;

namespace
{
constexpr Duration PUBLISH_INTERVAL = framework::milliseconds{250};
constexpr size_t ADDRESSES_PER_ANSWER = 3;
constexpr std::string_view DEMAND_PREFIX = "demand/";
constexpr std::string_view USAGE_PREFIX = "usage/";
constexpr std::string_view CRASH_PREFIX = "crash/";
constexpr std::string_view CONVICTION_PREFIX = "convicted/";
constexpr std::string_view VM_PREFIX = "vm/";

bool hasPrefix(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}
} // namespace

EntryControl::EntryControl(std::string self, EntryControlHooks hooks) : self_(std::move(self)), hooks_(std::move(hooks))
{ }

void EntryControl::attach(EntryCore &core, routing::IRouter &router, claims::ClaimsRegistry &claims)
{
    core_ = &core;
    router_ = &router;
    claims_ = &claims;
}

void EntryControl::configure(const config::Config &config)
{
    config_ = config;
    core_->configure(config);
    for (const auto &[name, member] : members_) {
        onMember(Member(member));
    }
}

void EntryControl::onMember(const Member &member)
{
    members_[member.name] = member;
    router_->setAlive(member.name, member.state != MemberState::Dead);
    const bool leaving = member.state == MemberState::Leaving;
    if (member.role == "sidecar" && (leaving || member.state == MemberState::Alive)) {
        router_->setLeaving(member.name, leaving);
    }
    if (member.role == "entry" && (member.state == MemberState::Dead || leaving)) {
        core_->limiter().forgetPeer(member.name);
    }
}

void EntryControl::onRecord(const Record &record, Instant now)
{
    const std::string_view key = record.key;
    if (hasPrefix(key, DEMAND_PREFIX)) {
        core_->limiter().onPeerDemand(key.substr(DEMAND_PREFIX.size()), decodeDemand(record.value), now);
    } else if (hasPrefix(key, USAGE_PREFIX)) {
        core_->billing().onPeerUsage(key.substr(USAGE_PREFIX.size()), decodeUsage(record.value));
    } else if (hasPrefix(key, CRASH_PREFIX)) {
        core_->onCrashReport(decodeCrash(record.value), now);
    } else if (hasPrefix(key, VM_PREFIX)) {
        router_->setLeaving(key.substr(VM_PREFIX.size()), record.value == "leaving");
    } else if (hasPrefix(key, CONVICTION_PREFIX)) {
        const uint64_t fingerprint = std::strtoull(record.key.c_str() + CONVICTION_PREFIX.size(), nullptr, 10);
        const int64_t untilMs = std::strtoll(record.value.c_str(), nullptr, 10);
        core_->onConviction({fingerprint, std::chrono::milliseconds{std::max<int64_t>(0, untilMs - hooks_.unixMs())}}, now);
    }
}

void EntryControl::onConvicted(quarantine::Fingerprint fingerprint)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(config_.quarantine.duration);
    hooks_.publish(std::string(CONVICTION_PREFIX) + std::to_string(fingerprint), std::to_string(hooks_.unixMs() + remaining.count()), true);
}

framework::Ret EntryControl::onMessage(const std::string &method, const Json::Value &params, Instant now)
{
    return framework::evaluate([&] { return dispatch(method, params, now); });
}

framework::Result<void> EntryControl::dispatch(const std::string &method, const Json::Value &params, Instant now)
{
    if (method == "claims.forward") {
        BOOST_LEAF_AUTO(message, forwardFromJson(params));
        const std::string id = claims::ClaimsRegistry::replyId(message.record.record);
        const auto reply = [this, id, to = message.from](const claims::ClaimOutcome &outcome) {
            hooks_.send(addressOf(to), "claims.verdict", toJson(VerdictMessage{id, outcome}));
        };
        claims_->onForwarded(message.record, reply, now, hooks_.unixMs());
    } else if (method == "claims.verdict") {
        BOOST_LEAF_AUTO(verdict, verdictFromJson(params));
        claims_->onForwardReply(verdict.id, verdict.outcome, now, hooks_.unixMs());
    } else if (method == "owner.query") {
        BOOST_LEAF_AUTO(query, queryFromJson(params));
        hooks_.send(addressOf(query.asker), "owner.answer", toJson(core_->onOwnerQuery(query)));
    } else if (method == "owner.answer") {
        BOOST_LEAF_AUTO(answer, answerFromJson(params));
        core_->onOwnerAnswer(answer, now);
    }
    return {};
}

void EntryControl::forward(std::string_view home, const claims::ForwardedRecord &record)
{
    hooks_.send(addressOf(home), "claims.forward", toJson(ForwardMessage{self_, record}));
}

void EntryControl::query(std::string_view entry, const OwnerQuery &query)
{
    if (entry == self_) {
        ownQueries_.push_back(query);
        return;
    }
    hooks_.send(addressOf(entry), "owner.query", toJson(query));
}

bool EntryControl::isAlive(std::string_view entry) const
{
    const auto found = members_.find(entry);
    return entry == self_ || (found != members_.end() && found->second.state != MemberState::Dead);
}

std::vector<std::string> EntryControl::liveEntries() const
{
    std::vector<std::string> names{self_};
    for (const auto &[name, member] : members_) {
        if (member.role == "entry" && member.state == MemberState::Alive && name != self_) {
            names.push_back(name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::string EntryControl::addressOf(std::string_view member) const
{
    const auto found = members_.find(member);
    return found == members_.end() ? std::string() : found->second.address;
}

std::vector<std::string> EntryControl::addressesFor(std::string_view organisation, bool draining) const
{
    const uint64_t seed = framework::hash64(organisation);
    std::vector<std::pair<uint64_t, std::string>> ranked;
    for (const auto &[name, entry] : config_.entries) {
        const auto member = members_.find(name);
        const bool live = name == self_ ? !draining : member != members_.end() && member->second.state == MemberState::Alive;
        const auto zone = config_.zones.find(entry.zone);
        const bool out = entry.out || (zone != config_.zones.end() && zone->second.out);
        if (live && !out) {
            ranked.emplace_back(framework::hash64(name, seed), entry.address);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), ADDRESSES_PER_ANSWER));
    std::vector<std::string> addresses;
    addresses.reserve(ranked.size());
    for (auto &[rank, address] : ranked) {
        addresses.push_back(std::move(address));
    }
    return addresses;
}

void EntryControl::tick(Instant now)
{
    std::vector<OwnerQuery> questions;
    questions.swap(ownQueries_);
    for (const OwnerQuery &question : questions) {
        core_->onOwnerAnswer(core_->onOwnerQuery(question), now);
    }
    if (now < nextPublishAt_) {
        return;
    }
    nextPublishAt_ = now + PUBLISH_INTERVAL;
    std::string demand = encodeDemand(core_->limiter().demand(now));
    if (demand != lastDemand_) {
        lastDemand_ = demand;
        hooks_.publish(std::string(DEMAND_PREFIX) + self_, demand, false);
    }
    std::string usage = encodeUsage(core_->billing().usage(hooks_.unixMs()));
    if (usage != lastUsage_) {
        lastUsage_ = usage;
        hooks_.publish(std::string(USAGE_PREFIX) + self_, usage, false);
    }
}

} // namespace daisymount::entry

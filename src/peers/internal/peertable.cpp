// Merges heartbeats; newer incarnations and later signs of life take precedence. The start of a process orders its incarnations only within
// aliveTimeout, since its clock may have been set back.

#include "peers/peertable.h"

#include "dispatch/groupdirectory.h"

#include <algorithm>

namespace daisymount::peers
{

PeerTable::PeerTable(Peer self, const PeerTableOptions &options) : self_(std::move(self)), options_(options), random_(static_cast<unsigned>(options.seed))
{ }

Peer &PeerTable::self()
{
    return self_;
}

const Peer &PeerTable::self() const
{
    return self_;
}

Duration PeerTable::silence(const Member &member, Instant now) const
{
    const Duration credit = std::min(options_.maxPauseCredit, options_.pausedWithin(member.heardAt, now));
    return now - member.heardAt - credit;
}

bool PeerTable::isAlive(const Member &member, Instant now) const
{
    return now - member.heardAt <= options_.aliveTimeout || silence(member, now) <= options_.aliveTimeout;
}

void PeerTable::addAddress(std::string_view ip, Instant now)
{
    const bool known = ip == self_.ip || std::ranges::any_of(members_, [&](const auto &entry) { return entry.second.peer.ip == ip; });
    if (!known) {
        addresses_[std::string(ip)] = now;
    }
}

bool PeerTable::onHeartbeat(const Heartbeat &heartbeat, Instant now)
{
    const auto sender = members_.find(heartbeat.sender.name);
    const std::optional<int64_t> incarnationBefore = sender == members_.end() ? std::nullopt : std::optional(sender->second.peer.incarnation);
    merge(heartbeat.sender, now);
    const bool isNewIncarnation = !incarnationBefore || sender->second.peer.incarnation != *incarnationBefore;
    for (const RelayedPeer &relayed : heartbeat.others) {
        if (relayed.age < options_.memberExpiry) {
            merge(relayed.peer, now - relayed.age);
        }
    }
    return isOther(heartbeat.sender) && isNewIncarnation;
}

bool PeerTable::isOther(const Peer &peer) const
{
    return !peer.name.empty() && peer.name != self_.name && (peer.ip.empty() || peer.ip != self_.ip);
}

void PeerTable::merge(const Peer &peer, Instant heardAt)
{
    if (!isOther(peer)) {
        return;
    }
    addresses_.erase(peer.ip);
    const auto found = members_.find(peer.name);
    if (found == members_.end()) {
        members_.emplace(peer.name, Member{peer, heardAt});
        return;
    }
    Member &member = found->second;
    if (peer.incarnation == member.peer.incarnation || heardAt - member.heardAt > options_.aliveTimeout || member.heardAt - heardAt > options_.aliveTimeout) {
        if (heardAt > member.heardAt) {
            member = {peer, heardAt};
        }
        return;
    }
    if (peer.incarnation > member.peer.incarnation) {
        member = {peer, std::max(heardAt, member.heardAt)};
    }
}

Heartbeat PeerTable::heartbeat(Instant now)
{
    startedAt_ = startedAt_.value_or(now);
    Heartbeat message{self_, {}};
    std::vector<const Member *> others;
    for (const auto &[name, member] : members_) {
        others.push_back(&member);
    }
    std::ranges::shuffle(others, random_);
    const size_t relayedPeers = members_.size() >= options_.largeClusterSize ? options_.relayedPeersLarge : options_.relayedPeers;
    for (const Member *member : others) {
        if (message.others.size() == relayedPeers) {
            break;
        }
        message.others.push_back({member->peer, std::chrono::duration_cast<milliseconds>(now - member->heardAt)});
    }
    return message;
}

std::vector<std::string> PeerTable::targets(Instant /*now*/)
{
    std::vector<std::string> local;
    std::vector<std::string> remote;
    for (const auto &[name, member] : members_) {
        (member.peer.zone == self_.zone ? local : remote).push_back(member.peer.ip);
    }
    const auto choose = [&](std::vector<std::string> &from, size_t limit) {
        std::ranges::shuffle(from, random_);
        from.resize(std::min(from.size(), limit));
    };
    choose(local, options_.zoneFanout);
    choose(remote, members_.size() >= options_.largeClusterSize ? options_.remoteFanoutLarge : options_.remoteFanout);
    std::vector<std::string> all = std::move(local);
    all.insert(all.end(), remote.begin(), remote.end());
    // Addresses without a known gateway are few and receive a heartbeat each round.
    for (const auto &[ip, since] : addresses_) {
        all.push_back(ip);
    }
    return all;
}

void PeerTable::expire(Instant now)
{
    std::erase_if(members_, [&](const auto &entry) { return silence(entry.second, now) > options_.memberExpiry; });
    std::erase_if(addresses_, [&](const auto &entry) { return now - entry.second > options_.memberExpiry; });
}

std::vector<Peer> PeerTable::serving(Instant now) const
{
    std::vector<Peer> found;
    for (const auto &[name, member] : members_) {
        if (member.peer.serving && isAlive(member, now)) {
            found.push_back(member.peer);
        }
    }
    return found;
}

std::vector<Peer> PeerTable::allocationPeers(Instant now) const
{
    std::vector<Peer> found;
    for (const auto &[name, member] : members_) {
        if (!member.peer.serving || silence(member, now) > options_.allocationTimeout) {
            continue;
        }
        found.push_back(member.peer);
        if (!isAlive(member, now)) {
            found.back().inFlight.clear();
        }
    }
    return found;
}

int PeerTable::inFlightOfOthers(std::string_view key, Instant now) const
{
    int sum = 0;
    for (const auto &[name, member] : members_) {
        if (!isAlive(member, now)) {
            continue;
        }
        for (const auto &[otherKey, count] : member.peer.inFlight) {
            sum += dispatch::isKeyOf(otherKey, key) ? count : 0;
        }
    }
    return sum;
}

std::optional<Peer> PeerTable::zoneReader(Instant now) const
{
    const Member *reader = nullptr;
    for (const auto &[name, member] : members_) {
        const bool alive = member.peer.serving && isAlive(member, now);
        if (alive && member.peer.zone == self_.zone && name < self_.name && (reader == nullptr || name < reader->peer.name)) {
            reader = &member;
        }
    }
    if (reader == nullptr) {
        return std::nullopt;
    }
    // Members replace an outdated reader one after the other, so that the reads of the first ones serve the rest.
    const Duration stagger = std::min(options_.maxStagger, options_.readerStagger * static_cast<int64_t>(positionInZone(now) - 1));
    const auto age = [&](const Member &member) { return now - member.heardAt + member.peer.storeReadAge; };
    for (const auto &[name, member] : members_) {
        const bool alive = member.peer.serving && isAlive(member, now);
        if (alive && member.peer.zone == self_.zone && age(member) < age(*reader)) {
            reader = &member;
        }
    }
    return age(*reader) > options_.maxReaderAge + stagger ? std::nullopt : std::optional<Peer>(reader->peer);
}

size_t PeerTable::positionInZone(Instant now) const
{
    return static_cast<size_t>(std::ranges::count_if(members_, [&](const auto &entry) {
        const Member &member = entry.second;
        return member.peer.serving && isAlive(member, now) && member.peer.zone == self_.zone && entry.first < self_.name;
    }));
}

bool PeerTable::mustWatchStore(Instant now) const
{
    size_t serving = 0;
    size_t watching = 0;
    for (const auto &[name, member] : members_) {
        const bool alive = member.peer.serving && isAlive(member, now);
        serving += alive ? 1 : 0;
        watching += alive && member.peer.watchesStore ? 1 : 0;
    }
    return serving + 1 < options_.minServingToShareWatches || positionInZone(now) < options_.watchersPerZone || watching < options_.minWatchers;
}

bool PeerTable::groupDown(std::string_view key, Instant now) const
{
    const auto reportsDown = [&](const Peer &peer) { return peer.controlsMaps && std::ranges::find(peer.groupsDown, key) != peer.groupsDown.end(); };
    return reportsDown(self_) || std::ranges::any_of(members_, [&](const auto &entry) { return isAlive(entry.second, now) && reportsDown(entry.second.peer); });
}

bool PeerTable::hasHeardAll() const
{
    return addresses_.empty() && !members_.empty();
}

void PeerTable::onRegistryRead()
{
    registryRead_ = true;
}

int PeerTable::possiblyAliveCount(Instant now) const
{
    const auto alive = std::ranges::count_if(members_, [&](const auto &entry) { return silence(entry.second, now) <= options_.memberExpiry; });
    const int known = static_cast<int>(alive) + static_cast<int>(addresses_.size()) + 1;
    const bool discoveryComplete = registryRead_ || (startedAt_ && now - *startedAt_ >= options_.discoveryTime);
    return discoveryComplete ? known : std::max(known, options_.assumedMembers);
}

bool PeerTable::isFirstOfZone(Instant now) const
{
    return positionInZone(now) == 0;
}

std::optional<Peer> PeerTable::mostUpToDatePeer(const KnownRevisions &known, Instant now) const
{
    const Peer *best = nullptr;
    for (const auto &[name, member] : members_) {
        const KnownRevisions &revisions = member.peer.revisions;
        if (revisions.upstreams <= known.upstreams || !isAlive(member, now)) {
            continue;
        }
        // Traffic within a zone is free.
        const bool closer = best != nullptr && member.peer.zone == self_.zone && best->zone != self_.zone;
        const bool farther = best != nullptr && member.peer.zone != self_.zone && best->zone == self_.zone;
        if (best == nullptr || closer || (!farther && revisions.upstreams > best->revisions.upstreams)) {
            best = &member.peer;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<Peer>(*best);
}

std::vector<Peer> PeerTable::peersWithNewerConfig(const KnownRevisions &known, Instant now) const
{
    std::vector<Peer> newer;
    for (const auto &[name, member] : members_) {
        if (isAlive(member, now) && configsync::isNewer(member.peer.keyReport().revisions, {known.config, known.zones, known.zonesDigest})) {
            newer.push_back(member.peer);
        }
    }
    return newer;
}

int64_t PeerTable::highestGroupsTerm() const
{
    int64_t highest = 0;
    for (const auto &[name, member] : members_) {
        highest = std::max(highest, member.peer.revisions.groupsTerm);
    }
    return highest;
}

} // namespace daisymount::peers

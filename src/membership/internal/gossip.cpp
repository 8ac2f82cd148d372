// Gossip core.

#include "membership/gossip.h"

#include "framework/hash.h"

#include <algorithm>
#include <cmath>

namespace daisymount::membership
{

namespace
{
constexpr int64_t BUCKETS = Gossip::BUCKETS;
constexpr size_t INDIRECT_PROBES = 3;
constexpr size_t URGENT_FANOUT = 4;
/// Packets that carry a change, per doubling of the fleet.
constexpr int TRANSMISSIONS_PER_DOUBLING = 3;
/// Encoded size of a member or record without its strings, in bytes.
constexpr size_t ITEM_OVERHEAD_BYTES = 32;
constexpr size_t MAX_RELAYS = 256;
constexpr Duration RECONNECT_INTERVAL = framework::seconds{2};

bool supersedes(const Member &candidate, const Member &known)
{
    if (candidate.incarnation != known.incarnation) {
        return candidate.incarnation > known.incarnation;
    }
    return candidate.state > known.state;
}

int64_t bucketOf(std::string_view id)
{
    return static_cast<int64_t>(framework::hash64(id) % BUCKETS);
}

uint64_t hashOf(std::string_view id, const Member &member)
{
    return framework::hash64(id, member.incarnation * 4 + static_cast<uint64_t>(member.state));
}

uint64_t hashOf(std::string_view id, const Record &record)
{
    return framework::hash64(id, static_cast<uint64_t>(record.version));
}

size_t sizeOf(const Member &member)
{
    return ITEM_OVERHEAD_BYTES + member.name.size() + member.role.size() + member.zone.size() + member.address.size();
}

size_t sizeOf(const Record &record)
{
    return ITEM_OVERHEAD_BYTES + record.key.size() + record.value.size();
}
} // namespace

Gossip::Gossip(GossipOptions options, GossipHooks hooks) : options_(std::move(options)), hooks_(std::move(hooks)), random_(options_.seed)
{
    setMember(options_.self);
}

const std::map<std::string, Member, std::less<>> &Gossip::members() const
{
    return members_;
}

std::optional<Record> Gossip::record(std::string_view key) const
{
    const auto found = records_.find(key);
    return found == records_.end() ? std::nullopt : std::optional<Record>(found->second);
}

std::vector<Record> Gossip::records(std::string_view prefix) const
{
    std::vector<Record> result;
    for (auto it = records_.lower_bound(prefix); it != records_.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        result.push_back(it->second);
    }
    return result;
}

std::optional<Instant> Gossip::lastHeard(std::string_view member) const
{
    const auto found = heardAt_.find(member);
    return found == heardAt_.end() ? std::nullopt : std::optional<Instant>(found->second);
}

Instant Gossip::lastContact() const
{
    return lastContact_;
}

std::pair<size_t, size_t> Gossip::contactShare(Duration window, Instant now) const
{
    size_t heard = 0;
    size_t known = 0;
    for (const auto &[name, member] : members_) {
        if (name == options_.self.name || member.state == MemberState::Dead) {
            continue;
        }
        ++known;
        const auto at = heardAt_.find(name);
        heard += at != heardAt_.end() && now - at->second <= window ? 1 : 0;
    }
    return {heard, known};
}

std::vector<std::string> Gossip::reachableMembers() const
{
    std::vector<std::string> names;
    for (const auto &[name, member] : members_) {
        if (name != options_.self.name && member.state != MemberState::Dead) {
            names.push_back(name);
        }
    }
    return names;
}

Packet Gossip::packetOf(PacketType type, uint64_t sequence) const
{
    Packet packet;
    packet.type = type;
    packet.sequence = sequence;
    packet.from = options_.self.name;
    return packet;
}

void Gossip::sendTo(std::string_view name, Packet packet)
{
    const auto found = members_.find(name);
    if (found == members_.end()) {
        return;
    }
    fillRumours(packet);
    hooks_.send(found->second.address, packet);
}

void Gossip::spread(const std::string &id)
{
    std::erase_if(rumours_, [&](const Rumour &rumour) { return rumour.id == id; });
    const double doublings = std::log2(static_cast<double>(members_.size() + 1));
    rumours_.push_back({id, TRANSMISSIONS_PER_DOUBLING * static_cast<int>(std::ceil(doublings))});
}

void Gossip::addRumour(Packet &packet, const std::string &id, size_t &bytes) const
{
    const std::string_view name = std::string_view(id).substr(2);
    if (id.front() == 'm') {
        const Member &member = members_.find(name)->second;
        bytes += sizeOf(member);
        packet.members.push_back(member);
        return;
    }
    const Record &record = records_.find(name)->second;
    bytes += sizeOf(record);
    packet.records.push_back(record);
}

void Gossip::fillRumours(Packet &packet)
{
    size_t bytes = 0;
    for (auto rumour = rumours_.rbegin(); rumour != rumours_.rend() && bytes < options_.maxPacketBytes; ++rumour) {
        addRumour(packet, rumour->id, bytes);
        --rumour->remaining;
    }
    std::erase_if(rumours_, [](const Rumour &rumour) { return rumour.remaining <= 0; });
    // Rumours sent less often come first next time.
    std::stable_sort(rumours_.begin(), rumours_.end(), [](const Rumour &left, const Rumour &right) { return left.remaining < right.remaining; });
}

uint64_t Gossip::bucketHash(int64_t bucket) const
{
    const bool valid = bucket >= 0 && bucket < BUCKETS;
    return valid ? bucketHashes_[static_cast<size_t>(bucket)] : 0;
}

void Gossip::setMember(const Member &member)
{
    const std::string id = "m/" + member.name;
    uint64_t &hash = bucketHashes_[static_cast<size_t>(bucketOf(id))];
    const auto [known, inserted] = members_.try_emplace(member.name, member);
    if (!inserted) {
        hash ^= hashOf(id, known->second);
        known->second = member;
    }
    hash ^= hashOf(id, member);
}

void Gossip::setRecord(const Record &record)
{
    const std::string id = "r/" + record.key;
    uint64_t &hash = bucketHashes_[static_cast<size_t>(bucketOf(id))];
    const auto [known, inserted] = records_.try_emplace(record.key, record);
    if (!inserted) {
        hash ^= hashOf(id, known->second);
        known->second = record;
    }
    hash ^= hashOf(id, record);
}

void Gossip::sendState(std::string_view address, std::optional<int64_t> bucket)
{
    std::vector<std::string> ids;
    for (const auto &[name, member] : members_) {
        ids.push_back("m/" + name);
    }
    for (const auto &[key, record] : records_) {
        ids.push_back("r/" + key);
    }
    Packet packet = packetOf(PacketType::Sync, 0);
    size_t bytes = 0;
    for (const std::string &id : ids) {
        if (bucket && bucketOf(id) != *bucket) {
            continue;
        }
        addRumour(packet, id, bytes);
        if (bytes >= options_.maxPacketBytes) {
            hooks_.send(address, packet);
            packet = packetOf(PacketType::Sync, 0);
            bytes = 0;
        }
    }
    if (bytes > 0) {
        hooks_.send(address, packet);
    }
}

void Gossip::tick(Instant now)
{
    joinIfAlone(now);
    reconnect(now);
    checkProbe(now);
    expireSuspects(now);
    if (now >= nextProbeAt_) {
        nextProbeAt_ = now + options_.period;
        probe(now);
    }
}

void Gossip::joinIfAlone(Instant now)
{
    if (members_.size() > 1 || now < nextJoinAt_) {
        return;
    }
    nextJoinAt_ = now + options_.period;
    Packet packet = packetOf(PacketType::Join, 0);
    packet.members.push_back(members_.find(options_.self.name)->second);
    for (const std::string &seed : options_.seeds) {
        if (seed != options_.self.address) {
            hooks_.send(seed, packet);
        }
    }
}

void Gossip::reconnect(Instant now)
{
    if (now < nextReconnectAt_) {
        return;
    }
    nextReconnectAt_ = now + RECONNECT_INTERVAL;
    std::vector<const Member *> dead;
    for (const auto &[name, member] : members_) {
        if (member.state == MemberState::Dead) {
            dead.push_back(&member);
        }
    }
    if (dead.empty()) {
        return;
    }
    // Each side of a healed partition holds the other for dead and would never ask. Told what is held of it, a live member refutes it.
    const Member &target = *dead[random_() % dead.size()];
    Packet packet = packetOf(PacketType::Join, 0);
    packet.members = {members_.find(options_.self.name)->second, target};
    hooks_.send(target.address, packet);
}

void Gossip::probe(Instant now)
{
    if (!probe_.answered) {
        const auto target = members_.find(probe_.target);
        if (target != members_.end() && target->second.state == MemberState::Alive) {
            Member suspect = target->second;
            suspect.state = MemberState::Suspect;
            mergeMember(suspect, now);
        }
    }
    // Each member is probed once per round, in random order.
    while (!probeOrder_.empty() && members_.count(probeOrder_.back()) == 0) {
        probeOrder_.pop_back();
    }
    if (probeOrder_.empty()) {
        probeOrder_ = reachableMembers();
        std::shuffle(probeOrder_.begin(), probeOrder_.end(), random_);
    }
    if (probeOrder_.empty()) {
        return;
    }
    probe_ = {probeOrder_.back(), ++sequence_, now, false, false};
    probeOrder_.pop_back();
    Packet packet = packetOf(PacketType::Ping, probe_.sequence);
    packet.bucket = nextBucket_;
    packet.bucketHash = bucketHash(nextBucket_);
    nextBucket_ = (nextBucket_ + 1) % BUCKETS;
    sendTo(probe_.target, std::move(packet));
}

void Gossip::checkProbe(Instant now)
{
    if (probe_.answered || probe_.indirect || now < probe_.sentAt + options_.period / 2) {
        return;
    }
    probe_.indirect = true;
    std::vector<std::string> helpers = reachableMembers();
    std::shuffle(helpers.begin(), helpers.end(), random_);
    size_t asked = 0;
    for (const std::string &helper : helpers) {
        if (helper == probe_.target || asked == INDIRECT_PROBES) {
            continue;
        }
        ++asked;
        Packet packet = packetOf(PacketType::PingRequest, probe_.sequence);
        packet.target = probe_.target;
        sendTo(helper, std::move(packet));
    }
}

void Gossip::expireSuspects(Instant now)
{
    std::vector<Member> dead;
    for (const auto &[name, since] : suspectSince_) {
        if (now >= since + options_.suspectAfter) {
            dead.push_back(members_.find(name)->second);
        }
    }
    for (Member &member : dead) {
        member.state = MemberState::Dead;
        mergeMember(member, now);
    }
}

void Gossip::mergeMember(const Member &member, Instant now)
{
    if (member.name == options_.self.name) {
        refute(member, now);
        return;
    }
    const auto known = members_.find(member.name);
    if (known != members_.end() && !supersedes(member, known->second)) {
        return;
    }
    setMember(member);
    suspectSince_.erase(member.name);
    if (member.state == MemberState::Suspect) {
        suspectSince_[member.name] = now;
    }
    spread("m/" + member.name);
    if (hooks_.memberChanged) {
        hooks_.memberChanged(member);
    }
}

void Gossip::refute(const Member &claim, Instant /*now*/)
{
    Member self = members_.find(options_.self.name)->second;
    const bool wrong = claim.incarnation >= self.incarnation && claim.state != self.state;
    if (!wrong) {
        return;
    }
    self.incarnation = claim.incarnation + 1;
    setMember(self);
    spread("m/" + self.name);
}

void Gossip::mergeRecord(const Record &record, bool urgent, Instant /*now*/)
{
    const auto known = records_.find(record.key);
    if (known != records_.end() && record.version <= known->second.version) {
        return;
    }
    setRecord(record);
    spread("r/" + record.key);
    if (hooks_.recordChanged) {
        hooks_.recordChanged(record);
    }
    if (!urgent) {
        return;
    }
    std::vector<std::string> names = reachableMembers();
    std::shuffle(names.begin(), names.end(), random_);
    names.resize(std::min(names.size(), URGENT_FANOUT));
    for (const std::string &name : names) {
        Packet packet = packetOf(PacketType::Sync, 0);
        packet.urgent = true;
        sendTo(name, std::move(packet));
    }
}

void Gossip::publish(std::string_view key, int64_t version, std::string_view value, bool urgent, Instant now)
{
    mergeRecord({std::string(key), version, std::string(value)}, urgent, now);
}

void Gossip::leave(Instant /*now*/)
{
    Member self = members_.find(options_.self.name)->second;
    self.state = MemberState::Leaving;
    ++self.incarnation;
    setMember(self);
    spread("m/" + self.name);
    for (const std::string &name : reachableMembers()) {
        sendTo(name, packetOf(PacketType::Sync, 0));
    }
}

void Gossip::onPacket(const Packet &packet, Instant now)
{
    lastContact_ = now;
    heardAt_[packet.from] = now;
    for (const Member &member : packet.members) {
        mergeMember(member, now);
    }
    for (const Record &record : packet.records) {
        mergeRecord(record, packet.urgent, now);
    }
    switch (packet.type) {
    case PacketType::Ping: {
        const bool differs = packet.bucket >= 0 && bucketHash(packet.bucket) != packet.bucketHash;
        sendTo(packet.from, packetOf(PacketType::Ack, packet.sequence));
        const auto sender = members_.find(packet.from);
        if (differs && sender != members_.end()) {
            sendState(sender->second.address, packet.bucket);
        }
        break;
    }
    case PacketType::PingRequest: {
        if (relays_.size() >= MAX_RELAYS) {
            relays_.erase(relays_.begin());
        }
        const uint64_t own = ++sequence_;
        relays_[own] = {packet.from, packet.sequence};
        sendTo(packet.target, packetOf(PacketType::Ping, own));
        break;
    }
    case PacketType::Ack: {
        if (packet.sequence == probe_.sequence) {
            probe_.answered = true;
        }
        const auto relay = relays_.find(packet.sequence);
        if (relay != relays_.end()) {
            sendTo(relay->second.requester, packetOf(PacketType::Ack, relay->second.sequence));
            relays_.erase(relay);
        }
        break;
    }
    case PacketType::Join:
        // Its own record comes first.
        if (!packet.members.empty()) {
            sendState(packet.members.front().address, std::nullopt);
        }
        break;
    case PacketType::Sync:
        break;
    }
}

} // namespace daisymount::membership

// Binary codec of heartbeats. They are sent several times a second to many members, partly over billed links between zones.

#include "peers/internal/compactcodec.h"
#include "peers/peercodec.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace daisymount::peers
{

namespace
{
using framework::fail;
using framework::Result;
using framework::ResultCode;

constexpr std::string_view MAGIC = "DH5";
constexpr uint64_t MAX_ROWS = 256;
constexpr int64_t MAX_AGE_MS = 24LL * 60 * 60 * 1000;
/// Rates are sent as whole multiples of 1 / RATE_UNITS requests per second.
constexpr double RATE_UNITS = 10.0;
constexpr double MAX_RATE = 1e6;
constexpr int64_t MAX_PRIORITY = 1'000;
/// Processor shares are sent as whole multiples of 1 / PROCESSOR_SHARE_UNITS of a core.
constexpr double PROCESSOR_SHARE_UNITS = 100.0;
constexpr double MAX_PROCESSOR_SHARE = 1'024.0;
constexpr uint64_t SERVING = 1;
constexpr uint64_t CONTROLS_MAPS = 2;
constexpr uint64_t WATCHES_STORE = 4;
constexpr uint64_t RETAINS_ZONES = 8;
/// Revisions of the upstreams and zones of an era before that of the member. They are older than those of any other member of that era.
constexpr uint64_t UPSTREAMS_OF_EARLIER_ERA = 16;
constexpr uint64_t ZONES_OF_EARLIER_ERA = 32;
constexpr uint64_t CONFIG_OF_EARLIER_ERA = 64;
/// The member knows another era of the store than the one that sends the heartbeat.
constexpr uint64_t OTHER_ERA = 128;
constexpr uint64_t ALL_FLAGS = 255;

/// What most members have in common with the one that sends the heartbeat. Numbers are sent relative to it.
struct CommonState
{
    int64_t storeEra = 0;
    configsync::ConfigRevision config;
};

uint64_t flagsOf(const Peer &peer, int64_t senderEra)
{
    return (peer.serving ? SERVING : 0) | (peer.controlsMaps ? CONTROLS_MAPS : 0) | (peer.watchesStore ? WATCHES_STORE : 0)
        | (peer.retainsZones ? RETAINS_ZONES : 0) | (peer.revisions.upstreams.era < peer.storeEra ? UPSTREAMS_OF_EARLIER_ERA : 0)
        | (peer.revisions.zones.era < peer.storeEra ? ZONES_OF_EARLIER_ERA : 0)
        | (peer.revisions.config.revision.era < peer.storeEra ? CONFIG_OF_EARLIER_ERA : 0) | (peer.storeEra != senderEra ? OTHER_ERA : 0);
}

/// An era of which only is told that it is earlier than @p era.
int64_t eraBefore(int64_t era)
{
    return std::max<int64_t>(0, era - 1);
}

milliseconds boundedAge(int64_t ageMs)
{
    return milliseconds{std::clamp<int64_t>(ageMs, 0, MAX_AGE_MS)};
}

void writePeer(CompactWriter &writer, const Peer &peer, const CommonState &common)
{
    writer.text(peer.name);
    writer.signedNumber(peer.incarnation);
    writer.text(peer.ip);
    writer.text(peer.callerAddress.substr(peer.callerAddress.starts_with(peer.ip) ? peer.ip.size() : 0));
    writer.number(peer.callerAddress.starts_with(peer.ip) ? 1 : 0);
    writer.text(peer.zone);
    writer.number(flagsOf(peer, common.storeEra));
    writer.number(peer.groupsDown.size());
    for (const std::string &service : peer.groupsDown) {
        writer.text(service);
    }
    writer.number(peer.inFlight.size());
    for (const auto &[service, count] : peer.inFlight) {
        writer.text(service);
        writer.number(static_cast<uint64_t>(std::max(0, count)));
    }
    writer.signedNumber(peer.storeReadAge.count());
    if (peer.storeEra != common.storeEra) {
        writer.relativeNumber(peer.storeEra, common.storeEra);
    }
    if (peer.revisions.config.revision.era < peer.storeEra) {
        writer.relativeNumber(peer.revisions.config.revision.era, peer.storeEra);
    }
    writer.relativeNumber(peer.revisions.config.revision.revision, common.config.revision.revision);
    writer.relativeNumber(peer.revisions.config.version, common.config.version);
    writer.signedNumber(peer.revisions.zones.revision);
    writer.signedNumber(peer.revisions.upstreams.revision);
    writer.signedNumber(peer.revisions.groupsTerm);
    writer.signedNumber(peer.revisions.groups);
    writer.number(peer.revisions.zonesDigest);
    writer.signedNumber(peer.confirmedRevision);
    writer.signedNumber(peer.confirmedAge.count());
    writer.number(static_cast<uint64_t>(std::lround(std::clamp(peer.processorShare, 0.0, MAX_PROCESSOR_SHARE) * PROCESSOR_SHARE_UNITS)));
}

Result<Peer> readPeer(CompactReader &reader, const CommonState &common)
{
    Peer peer;
    BOOST_LEAF_ASSIGN(peer.name, reader.text());
    BOOST_LEAF_ASSIGN(peer.incarnation, reader.signedNumber());
    BOOST_LEAF_ASSIGN(peer.ip, reader.text());
    BOOST_LEAF_AUTO(addressSuffix, reader.text());
    BOOST_LEAF_AUTO(addressHasIp, reader.number(1));
    peer.callerAddress = (addressHasIp == 1 ? peer.ip : std::string()) + addressSuffix;
    BOOST_LEAF_ASSIGN(peer.zone, reader.text());
    BOOST_LEAF_AUTO(flags, reader.number(ALL_FLAGS));
    peer.serving = (flags & SERVING) != 0;
    peer.controlsMaps = (flags & CONTROLS_MAPS) != 0;
    peer.watchesStore = (flags & WATCHES_STORE) != 0;
    peer.retainsZones = (flags & RETAINS_ZONES) != 0;
    BOOST_LEAF_AUTO(down, reader.number(MAX_ROWS));
    for (uint64_t i = 0; i < down; ++i) {
        BOOST_LEAF_AUTO(service, reader.text());
        peer.groupsDown.push_back(std::move(service));
    }
    BOOST_LEAF_AUTO(services, reader.number(MAX_ROWS));
    for (uint64_t i = 0; i < services; ++i) {
        BOOST_LEAF_AUTO(service, reader.text());
        BOOST_LEAF_AUTO(count, reader.number(std::numeric_limits<int>::max()));
        peer.inFlight.emplace_back(std::move(service), static_cast<int>(count));
    }
    BOOST_LEAF_AUTO(age, reader.signedNumber());
    peer.storeReadAge = boundedAge(age);
    peer.storeEra = common.storeEra;
    if ((flags & OTHER_ERA) != 0) {
        BOOST_LEAF_ASSIGN(peer.storeEra, reader.relativeNumber(common.storeEra));
    }
    peer.revisions.config.revision.era = peer.storeEra;
    if ((flags & CONFIG_OF_EARLIER_ERA) != 0) {
        BOOST_LEAF_ASSIGN(peer.revisions.config.revision.era, reader.relativeNumber(peer.storeEra));
    }
    if (peer.revisions.config.revision.era < 0 || peer.revisions.config.revision.era > peer.storeEra) {
        return fail(ResultCode::BadMessage, "a heartbeat with impossible eras");
    }
    BOOST_LEAF_ASSIGN(peer.revisions.config.revision.revision, reader.relativeNumber(common.config.revision.revision));
    BOOST_LEAF_ASSIGN(peer.revisions.config.version, reader.relativeNumber(common.config.version));
    peer.revisions.zones.era = (flags & ZONES_OF_EARLIER_ERA) != 0 ? eraBefore(peer.storeEra) : peer.storeEra;
    BOOST_LEAF_ASSIGN(peer.revisions.zones.revision, reader.signedNumber());
    peer.revisions.upstreams.era = (flags & UPSTREAMS_OF_EARLIER_ERA) != 0 ? eraBefore(peer.storeEra) : peer.storeEra;
    BOOST_LEAF_ASSIGN(peer.revisions.upstreams.revision, reader.signedNumber());
    BOOST_LEAF_ASSIGN(peer.revisions.groupsTerm, reader.signedNumber());
    BOOST_LEAF_ASSIGN(peer.revisions.groups, reader.signedNumber());
    BOOST_LEAF_AUTO(zonesDigest, reader.number(std::numeric_limits<uint32_t>::max()));
    peer.revisions.zonesDigest = static_cast<uint32_t>(zonesDigest);
    BOOST_LEAF_ASSIGN(peer.confirmedRevision, reader.signedNumber());
    BOOST_LEAF_AUTO(confirmedAge, reader.signedNumber());
    peer.confirmedAge = boundedAge(confirmedAge);
    BOOST_LEAF_AUTO(processorShare, reader.number(static_cast<uint64_t>(MAX_PROCESSOR_SHARE * PROCESSOR_SHARE_UNITS)));
    peer.processorShare = static_cast<double>(processorShare) / PROCESSOR_SHARE_UNITS;
    return peer;
}

uint64_t encodeRate(double perSecond)
{
    return static_cast<uint64_t>(std::lround(std::clamp(perSecond, 0.0, MAX_RATE) * RATE_UNITS));
}

Result<double> readRate(CompactReader &reader)
{
    BOOST_LEAF_AUTO(units, reader.number(static_cast<uint64_t>(MAX_RATE * RATE_UNITS)));
    return static_cast<double>(units) / RATE_UNITS;
}

void writeDemand(CompactWriter &writer, const ServiceDemand &demand)
{
    writer.text(demand.service);
    writer.number(demand.demand.priorities.size());
    for (const dispatch::DemandReport::Priority &priority : demand.demand.priorities) {
        writer.signedNumber(priority.priority);
        writer.number(encodeRate(priority.perSecond));
        writer.number(encodeRate(priority.returningPerSecond));
        writer.number(priority.largest.size());
        for (const dispatch::DemandReport::Organisation &organisation : priority.largest) {
            writer.number(organisation.hash);
            writer.number(encodeRate(organisation.perSecond));
        }
    }
}

Result<ServiceDemand> readDemand(CompactReader &reader)
{
    ServiceDemand demand;
    BOOST_LEAF_ASSIGN(demand.service, reader.text());
    BOOST_LEAF_AUTO(priorities, reader.number(MAX_ROWS));
    for (uint64_t i = 0; i < priorities; ++i) {
        dispatch::DemandReport::Priority priority;
        BOOST_LEAF_AUTO(value, reader.signedNumber());
        priority.priority = static_cast<int>(std::clamp<int64_t>(value, 0, MAX_PRIORITY));
        BOOST_LEAF_ASSIGN(priority.perSecond, readRate(reader));
        BOOST_LEAF_ASSIGN(priority.returningPerSecond, readRate(reader));
        BOOST_LEAF_AUTO(organisations, reader.number(dispatch::DemandReport::MAX_ORGANISATIONS));
        for (uint64_t k = 0; k < organisations; ++k) {
            BOOST_LEAF_AUTO(hash, reader.number(std::numeric_limits<uint32_t>::max()));
            BOOST_LEAF_AUTO(rate, readRate(reader));
            priority.largest.push_back({static_cast<uint32_t>(hash), rate});
        }
        demand.demand.priorities.push_back(std::move(priority));
    }
    return demand;
}
} // namespace

std::string encodeHeartbeat(const Heartbeat &heartbeat)
{
    CompactWriter writer;
    const CommonState common{heartbeat.sender.storeEra, heartbeat.sender.revisions.config};
    writer.relativeNumber(common.storeEra, 0);
    writer.relativeNumber(common.config.revision.revision, 0);
    writer.relativeNumber(common.config.version, 0);
    writePeer(writer, heartbeat.sender, common);
    writer.number(heartbeat.others.size());
    for (const RelayedPeer &relayed : heartbeat.others) {
        writePeer(writer, relayed.peer, common);
        writer.signedNumber(std::max<int64_t>(0, relayed.age.count()));
    }
    writer.number(heartbeat.leaving.size());
    for (const fleet::LeavingUpstream &leaving : heartbeat.leaving) {
        writer.text(leaving.upstream);
        writer.signedNumber(leaving.bornMs);
        writer.signedNumber(std::max<int64_t>(0, leaving.age.count()));
    }
    writer.number(heartbeat.demand.size());
    for (const ServiceDemand &demand : heartbeat.demand) {
        writeDemand(writer, demand);
    }
    return writer.finish(MAGIC);
}

Result<Heartbeat> decodeHeartbeat(std::string_view bytes)
{
    if (!bytes.starts_with(MAGIC)) {
        return fail(ResultCode::BadMessage, "no heartbeat: unknown magic");
    }
    CompactReader reader(bytes.substr(MAGIC.size()));
    BOOST_LEAF_CHECK(reader.readTexts());
    Heartbeat heartbeat;
    CommonState common;
    BOOST_LEAF_ASSIGN(common.storeEra, reader.relativeNumber(0));
    BOOST_LEAF_ASSIGN(common.config.revision.revision, reader.relativeNumber(0));
    BOOST_LEAF_ASSIGN(common.config.version, reader.relativeNumber(0));
    BOOST_LEAF_ASSIGN(heartbeat.sender, readPeer(reader, common));
    BOOST_LEAF_AUTO(others, reader.number(MAX_ROWS));
    for (uint64_t i = 0; i < others; ++i) {
        BOOST_LEAF_AUTO(peer, readPeer(reader, common));
        BOOST_LEAF_AUTO(age, reader.signedNumber());
        heartbeat.others.push_back({std::move(peer), boundedAge(age)});
    }
    BOOST_LEAF_AUTO(leaving, reader.number(MAX_ROWS));
    for (uint64_t i = 0; i < leaving; ++i) {
        BOOST_LEAF_AUTO(upstream, reader.text());
        BOOST_LEAF_AUTO(born, reader.signedNumber());
        BOOST_LEAF_AUTO(age, reader.signedNumber());
        heartbeat.leaving.push_back({std::move(upstream), born, boundedAge(age)});
    }
    BOOST_LEAF_AUTO(demands, reader.number(MAX_ROWS));
    for (uint64_t i = 0; i < demands; ++i) {
        BOOST_LEAF_AUTO(demand, readDemand(reader));
        heartbeat.demand.push_back(std::move(demand));
    }
    if (!reader.atEnd()) {
        return fail(ResultCode::BadMessage, "trailing bytes after a heartbeat");
    }
    return heartbeat;
}

} // namespace daisymount::peers

// Heartbeat loops and the HTTP server for fleet snapshots.

#include "gateway/peerlink.h"

#include "peers/peercodec.h"
#include "transport/httpserver.h"
#include "transport/tasks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace daisymount::gateway
{

namespace
{
namespace asio = transport::asio;
using framework::ResultCode;

/// Four heartbeats fit into the time after which a silent peer is considered dead.
constexpr milliseconds HEARTBEAT_INTERVAL{300};
constexpr size_t MAX_DATAGRAM_BYTES = 16 * 1024;
/// Fraction of the members with an older list of rank groups to which a gateway sends its own when it hears of them. Each of them is heard by
/// all members of its zone, and one answer is enough.
constexpr double GROUP_LIST_ANSWERS = 0.25;

asio::ip::udp::endpoint peerEndpoint(const std::string &ip, uint16_t port)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address_v4(ip, error);
    return error ? asio::ip::udp::endpoint() : asio::ip::udp::endpoint(address, port);
}
} // namespace

PeerLink::PeerLink(GatewayContext &context) : context_(context), socket_(context.executor)
{
    socket_.open(asio::ip::udp::v4());
    socket_.bind(peerEndpoint(context.settings.ip, context.settings.firstPeerPort));
    socket_.non_blocking(true);
}

void PeerLink::start()
{
    context_.onGroupList = [this](dispatch::GroupList list) { applyGroupList(std::move(list), true); };
    context_.onOwnKeysRead = [this] { broadcastHeartbeat(); };
    context_.onCrashRecorded = [this] { broadcastCrashUpdate(context_.peers.targets(framework::monotonicNow())); };
    transport::spawnLoop(context_.executor, "measure_pauses", [this] { return measurePauses(); });
    transport::spawnLoop(context_.executor, "send_heartbeats", [this] { return sendLoop(); });
    transport::spawnLoop(context_.executor, "receive_heartbeats", [this] { return receiveLoop(); });
    const auto endpoint = transport::parseEndpoint(context_.settings.ip + ":" + std::to_string(context_.settings.firstPeerPort));
    transport::listenAndServe(context_.executor, *endpoint, [this](const transport::ServerRequest &request) {
        peers::FleetSnapshot snapshot;
        if (request.target == peers::KEYS_PAGE) {
            return transport::ServerResponse{200, "application/json", keysPage()};
        }
        if (request.target == peers::UPSTREAMS_PAGE) {
            snapshot.upstreams = context_.view.upstreamItems();
        } else {
            return transport::ServerResponse{404, "text/plain", "unknown page\n"};
        }
        return transport::ServerResponse{200, "application/json", peers::encodeSnapshot(snapshot)};
    });
}

const std::string &PeerLink::keysPage()
{
    const fleet::FleetView &view = context_.view;
    const configsync::KeyRevisions revisions = keyRevisions(view);
    if (keysPage_.empty() || revisions != keysPageRevisions_ || view.retainedZonesOut() != keysPageRetained_) {
        keysPageRevisions_ = revisions;
        keysPageRetained_ = view.retainedZonesOut();
        keysPage_ = peers::encodeSnapshot({view.configItem(), view.storedZonesOut(), view.zonesRevision(), {}, keysPageRetained_});
    }
    return keysPage_;
}

void PeerLink::learnKeys(const peers::Heartbeat &heartbeat, Instant sentAt, Instant now)
{
    if (heartbeat.sender.storeEra > context_.storeEra.current()) {
        context_.onNewerEraTold(heartbeat.sender);
    }
    bool newer = context_.currency.onPeerReport(heartbeat.sender.keyReport(), sentAt, now);
    for (const peers::RelayedPeer &relayed : heartbeat.others) {
        if (relayed.peer.name != context_.settings.name) {
            newer = context_.currency.onPeerReport(relayed.peer.keyReport(), sentAt - relayed.age, now) || newer;
        }
    }
    if (newer) {
        context_.onNewerKeysKnown();
    }
}

std::string PeerLink::ownHeartbeat(Instant now)
{
    const auto sinceRead = std::chrono::duration_cast<milliseconds>(now - context_.upstreamsReadAt);
    context_.peers.self().storeReadAge = std::min(sinceRead, milliseconds{peers::Peer::NEVER_READ});
    const configsync::KeyReport keys = context_.currency.report(now);
    context_.peers.self().storeEra = context_.storeEra.current();
    context_.peers.self().retainsZones = !context_.view.retainedZonesOut().empty();
    context_.peers.self().confirmedRevision = keys.confirmedRevision;
    context_.peers.self().confirmedAge = keys.confirmedAge;
    context_.peers.self().inFlight = context_.dispatcher.inFlightByGroup();
    context_.peers.self().revisions.groupsTerm = context_.groups.list().term;
    context_.peers.self().revisions.groups = context_.groups.list().revision;
    peers::Heartbeat heartbeat = context_.peers.heartbeat(now);
    heartbeat.leaving = context_.dispatcher.leavingToAnnounce(now);
    heartbeat.demand = context_.loadControl.demand(now);
    return peers::encodeHeartbeat(heartbeat);
}

void PeerLink::broadcastHeartbeat()
{
    const Instant now = framework::monotonicNow();
    const std::string heartbeat = ownHeartbeat(now);
    const std::vector<std::string> targets = context_.peers.targets(now);
    send(heartbeat, targets);
    broadcastCrashUpdate(targets);
}

void PeerLink::applyGroupList(dispatch::GroupList list, bool isOwn)
{
    if (context_.settings.admission == fleet::AdmissionMode::Slots || !context_.groups.update(std::move(list))) {
        return;
    }
    context_.dispatcher.onGroupsChange(context_.groups);
    const dispatch::GroupList &known = context_.groups.list();
    context_.log.report(
        {"members",
         "groups_changed",
         ResultCode::Ok,
         "",
         {{"term", std::to_string(known.term)}, {"revision", std::to_string(known.revision)}, {"groups", std::to_string(known.groups.size())}}});
    if (isOwn) {
        send(peers::encodeGroupList(known), context_.peers.targets(framework::monotonicNow()));
    }
}

void PeerLink::answerOlderGroupList(const peers::Peer &peer)
{
    const dispatch::GroupList &known = context_.groups.list();
    const bool older = known.isNewerThan({peer.revisions.groupsTerm, peer.revisions.groups, {}});
    if (older && std::uniform_real_distribution<double>(0.0, 1.0)(context_.random) < GROUP_LIST_ANSWERS) {
        const std::string target[] = {peer.ip};
        send(peers::encodeGroupList(known), target);
    }
}

void PeerLink::broadcastCrashUpdate(std::span<const std::string> targets)
{
    const crashattribution::CrashUpdate update = context_.crashes.nextUpdate(framework::monotonicNow());
    if (!update.empty()) {
        send(peers::encodeCrashUpdate(update), targets);
    }
}

void PeerLink::send(std::string_view message, std::span<const std::string> targets)
{
    for (const std::string &ip : targets) {
        boost::system::error_code sendError;
        // A failed send is ignored: the next heartbeat repeats the information.
        socket_.send_to(asio::buffer(message), peerEndpoint(ip, context_.settings.firstPeerPort), 0, sendError);
    }
}

void PeerLink::mergeCrashUpdate(const crashattribution::CrashUpdate &update, std::string_view from, Instant now)
{
    for (const crashattribution::Fingerprint fingerprint : context_.crashes.merge(update, now)) {
        context_.metrics.onCrashEvent("convicted_elsewhere");
        context_.log.report({"crashes",
                             "convicted_elsewhere",
                             ResultCode::Quarantined,
                             "",
                             {{"fingerprint", crashattribution::toText(fingerprint)},
                              {"told_by", std::string(from)},
                              {"refused_ms", std::to_string(context_.crashes.remainingRejection(fingerprint, now).count())}}});
        context_.onConvicted(fingerprint);
    }
}

void PeerLink::convictCrashingRequests(Instant now)
{
    for (const crashattribution::ConvictionEvidence &verdict : context_.crashes.evaluate(now)) {
        std::string crashes;
        for (const crashattribution::CrashObservation &crash : verdict.crashes) {
            crashes += (crashes.empty() ? "" : " ") + crash.incarnation.upstream + "/" + std::to_string(crash.incarnation.bornMs) + "/"
                + std::to_string(crash.age.count()) + "ms";
        }
        context_.metrics.onCrashEvent("convicted");
        context_.log.report({"crashes",
                             "convicted",
                             ResultCode::Quarantined,
                             "",
                             {{"fingerprint", crashattribution::toText(verdict.fingerprint)},
                              {"crashes", crashes},
                              {"refused_ms", std::to_string(context_.crashes.remainingRejection(verdict.fingerprint, now).count())}}});
        context_.onConvicted(verdict.fingerprint);
    }
}

void PeerLink::applyLeavingUpstreams(const peers::Heartbeat &heartbeat, Instant now)
{
    for (const fleet::LeavingUpstream &leaving : heartbeat.leaving) {
        if (context_.dispatcher.onLeaving(leaving.upstream, leaving.bornMs, leaving.age, now)) {
            context_.log.report({"upstreams",
                                 "leaving",
                                 ResultCode::Draining,
                                 "",
                                 {{"upstream", leaving.upstream}, {"told_by", heartbeat.sender.name}, {"age_ms", std::to_string(leaving.age.count())}}});
        }
    }
}

void PeerLink::updateServingEntries()
{
    const peers::Peer &self = context_.peers.self();
    std::vector<dispatch::ServingEntry> entries{{self.name, self.zone, true, {}}};
    for (peers::Peer &peer : context_.peers.allocationPeers(framework::monotonicNow())) {
        entries.push_back({std::move(peer.name), std::move(peer.zone), false, std::move(peer.inFlight)});
    }
    context_.dispatcher.setServingEntries(std::move(entries));
}

asio::awaitable<void> PeerLink::measurePauses()
{
    while (true) {
        context_.loopPauses.onTick(framework::monotonicNow());
        co_await transport::sleepFor(framework::LoopPauses::TICK_INTERVAL);
    }
}

asio::awaitable<void> PeerLink::sendLoop()
{
    while (true) {
        convictCrashingRequests(framework::monotonicNow());
        broadcastHeartbeat();
        context_.peers.expire(framework::monotonicNow());
        const Instant now = framework::monotonicNow();
        const int entries = context_.peers.possiblyAliveCount(now);
        context_.dispatcher.setEntries(entries);
        context_.dispatcher.setRampUp(context_.loadControl.isAnyAdaptive());
        context_.retryBudget.setEntries(entries, now);
        updateServingEntries();
        co_await transport::sleepFor(HEARTBEAT_INTERVAL);
    }
}

asio::awaitable<void> PeerLink::receiveLoop()
{
    std::string buffer(MAX_DATAGRAM_BYTES, '\0');
    while (true) {
        asio::ip::udp::endpoint from;
        const auto [error, bytes] = co_await socket_.async_receive_from(asio::buffer(buffer), from, asio::as_tuple(asio::use_awaitable));
        if (error) {
            co_await transport::sleepFor(HEARTBEAT_INTERVAL);
            continue;
        }
        const framework::Ret handled = framework::evaluate([&, size = bytes]() -> framework::Result<void> {
            const std::string_view message = std::string_view(buffer).substr(0, size);
            const Instant now = framework::monotonicNow();
            if (peers::isCrashUpdate(message)) {
                BOOST_LEAF_AUTO(update, peers::decodeCrashUpdate(message));
                mergeCrashUpdate(update, from.address().to_string(), now);
                return {};
            }
            if (peers::isGroupList(message)) {
                BOOST_LEAF_AUTO(list, peers::decodeGroupList(message));
                applyGroupList(std::move(list), false);
                return {};
            }
            BOOST_LEAF_AUTO(heartbeat, peers::decodeHeartbeat(message));
            // The heartbeat may have waited while this gateway read nothing.
            const Instant sentAt = context_.loopPauses.earliestArrival(now);
            if (context_.peers.onHeartbeat(heartbeat, sentAt)) {
                // A gateway that starts refuses requests until it has heard of its peers' keys.
                const std::string target[] = {heartbeat.sender.ip};
                send(ownHeartbeat(now), target);
            }
            learnKeys(heartbeat, sentAt, now);
            applyLeavingUpstreams(heartbeat, now);
            context_.loadControl.onPeerDemand(heartbeat.sender.name, heartbeat.demand, now);
            answerOlderGroupList(heartbeat.sender);
            return {};
        });
        if (!handled) {
            context_.log.report({"members", "bad_heartbeat", handled.code, "", {{"from", from.address().to_string()}, {"detail", handled.detail}}});
        }
    }
}

} // namespace daisymount::gateway

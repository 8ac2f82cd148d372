// Loops that read and watch the store, and the fallback to peers.

#include "gateway/storesync.h"

#include "framework/json.h"
#include "peers/peercodec.h"
#include "platform/fleetcodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace daisymount::gateway
{

namespace
{
namespace asio = transport::asio;
using framework::ResultCode;
using platform::Freshness;

/// A call that takes longer is repeated: the store answers in milliseconds, when slow in some hundred.
constexpr milliseconds CALL_PATIENCE{1'000};
/// A watch waits so much less than the contact bound that a connection gone silent is noticed within it.
constexpr milliseconds WATCH_MARGIN{1'000};
constexpr milliseconds LEAST_WATCH_WAIT{500};
/// Readings of the upstreams within the time that a leaving one may still get requests.
constexpr int READINGS_PER_DRAIN = 4;
constexpr milliseconds RETRY_PAUSE{200};
constexpr int MOST_DOUBLINGS = 4;
/// A store that is back is noticed within this part of the contact bound.
constexpr int RETRY_PAUSES_PER_CONTACT = 3;
/// How often a member that relies on others' watches looks whether it still may.
constexpr milliseconds WATCH_DUTY_POLL{200};
/// Without an answer for this much longer than a watch waits, the store counts as lost to this machine.
constexpr milliseconds LOST_MARGIN{1'100};
constexpr milliseconds UPSTREAMS_WANTED_POLL{50};
/// Upstreams that were read longer ago are asked for at peers.
constexpr milliseconds UPSTREAMS_STALE{900};
constexpr milliseconds PEER_POLL{250};
constexpr milliseconds PEER_PATIENCE{400};
constexpr milliseconds REGISTRATION_TTL{9'000};
constexpr milliseconds REGISTRATION_RENEWAL{3'000};
constexpr milliseconds MEMBER_POLL{5'000};
constexpr std::string_view MEMBER_PREFIX = "daisymount/entries/";
} // namespace

StoreSync::StoreSync(GatewayContext &context, std::function<void()> onChange) : context_(context), onChange_(std::move(onChange)), watcher_(context.executor)
{ }

void StoreSync::start()
{
    asio::co_spawn(context_.executor, watchOperator(), asio::detached);
    asio::co_spawn(context_.executor, pollUpstreams(), asio::detached);
    asio::co_spawn(context_.executor, keepRegistration(), asio::detached);
    asio::co_spawn(context_.executor, learnMembers(), asio::detached);
    asio::co_spawn(context_.executor, askPeers(), asio::detached);
}

bool StoreSync::storeReachable() const
{
    return reachable_;
}

milliseconds StoreSync::watchWait() const
{
    return std::max(LEAST_WATCH_WAIT, context_.settings.bounds.contact - WATCH_MARGIN);
}

milliseconds StoreSync::retryPause(int failures) const
{
    const milliseconds longest = context_.settings.bounds.contact / RETRY_PAUSES_PER_CONTACT;
    const milliseconds pause = std::min(longest, RETRY_PAUSE * (1 << std::min(failures, MOST_DOUBLINGS)));
    const int64_t spread = std::max<int64_t>(1, pause.count() / 2);
    return pause - milliseconds{std::uniform_int_distribution<int64_t>(0, spread)(context_.random)};
}

asio::awaitable<transport::HttpReply> StoreSync::call(std::string_view name, platform::HttpCall call, milliseconds patience)
{
    const bool watch = name == "watch";
    transport::HttpCaller &caller = watch ? watcher_ : context_.httpClient;
    transport::HttpReply reply = co_await caller.call(context_.settings.store.address, call.method, call.target, call.body, patience);
    const bool answered = reply.status != 0 && reply.status != 429 && reply.status != 503;
    context_.metrics.onStoreCall(name, reply.status == 0 ? "no_reply" : std::to_string(reply.status));
    noteStore(answered);
    co_return reply;
}

void StoreSync::noteStore(bool answered)
{
    const Instant now = framework::monotonicNow();
    if (answered) {
        const bool regained = lastAnswer_ != Instant{0} && now - lastAnswer_ > watchWait() + LOST_MARGIN;
        lastAnswer_ = now;
        if (!reachable_) {
            reachable_ = true;
            context_.log.report({"store", "store_regained", ResultCode::Ok, "", {{"config_revision", std::to_string(context_.view.configRevision())}}});
        }
        if (regained) {
            context_.view.onStoreRegained(now);
        }
    } else if (reachable_ && now - lastAnswer_ > watchWait() + LOST_MARGIN) {
        reachable_ = false;
        context_.log.report({"store", "store_lost", ResultCode::StoreDown, "", {{"last_answer_ms", std::to_string((now - lastAnswer_).count() / 1000)}}});
    }
}

void StoreSync::noteChange()
{
    auto &revisions = context_.peers.self().revisions;
    revisions = {context_.view.configRevision(), context_.view.zonesRevision(), context_.view.upstreamsRevision()};
    onChange_();
}

asio::awaitable<bool> StoreSync::readRange(std::string prefix, Freshness freshness, platform::StorePage &all)
{
    std::string after;
    while (true) {
        const transport::HttpReply reply = co_await call("range", platform::rangeCall(prefix, after, freshness), CALL_PATIENCE);
        bool more = false;
        const framework::Ret read = framework::attempt([&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(page, platform::decodePage(reply.status, reply.body));
            // Pages are no snapshot: a change between two of them is newer than the first one's revision.
            all.revision = all.items.empty() ? page.revision : std::min(all.revision, page.revision);
            for (platform::StoreItem &item : page.items) {
                all.items.push_back(std::move(item));
            }
            more = page.more && !all.items.empty();
            return {};
        });
        if (!read) {
            co_return false;
        }
        if (!more) {
            co_return true;
        }
        after = all.items.back().key;
    }
}

asio::awaitable<bool> StoreSync::readOperator()
{
    platform::StorePage page;
    if (!co_await readRange(std::string(platform::OPERATOR_PREFIX), Freshness::Linearizable, page)) {
        co_return false;
    }
    zonesOut_.clear();
    for (const platform::StoreItem &item : page.items) {
        applyOperatorItem(item, false);
    }
    operatorRevision_ = page.revision;
    context_.peers.self().watchesStore = true;
    applyZones(page.revision);
    noteChange();
    co_return true;
}

asio::awaitable<void> StoreSync::watchOperator()
{
    int failures = 0;
    while (true) {
        co_await waitToWatch();
        if (operatorRevision_ == 0) {
            failures = co_await readOperator() ? 0 : failures + 1;
            if (failures > 0) {
                co_await transport::sleepFor(retryPause(failures - 1));
            }
            continue;
        }
        const auto reply
            = co_await call("watch", platform::watchCall(platform::OPERATOR_PREFIX, operatorRevision_, watchWait()), watchWait() + CALL_PATIENCE / 2);
        const framework::Ret watched = framework::attempt([&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(changes, platform::decodeChanges(reply.status, reply.body));
            bool zonesChanged = false;
            for (const platform::StoreChange &change : changes.changes) {
                applyOperatorItem(change.item, change.deleted);
                zonesChanged = zonesChanged || change.item.key.starts_with(platform::ZONE_OUT_PREFIX);
            }
            operatorRevision_ = std::max(operatorRevision_, changes.revision);
            if (zonesChanged) {
                // Only changes count: peers ask for what is newer than their own.
                applyZones(operatorRevision_);
            }
            if (!changes.changes.empty()) {
                noteChange();
            }
            return {};
        });
        context_.peers.self().watchesStore = static_cast<bool>(watched);
        failures = watched ? 0 : failures + 1;
        if (watched.code == ResultCode::CasConflict) {
            context_.log.report({"store", "history_gone", watched.code, "", {{"revision", std::to_string(operatorRevision_)}}});
            operatorRevision_ = 0;
        } else if (!watched) {
            co_await transport::sleepFor(retryPause(failures - 1));
        }
    }
}

asio::awaitable<void> StoreSync::waitToWatch()
{
    const Instant begin = framework::monotonicNow();
    bool relied = false;
    while (context_.view.hasConfig() && !context_.peers.mustWatchStore(framework::monotonicNow())) {
        if (!relied) {
            relied = true;
            context_.peers.self().watchesStore = false;
            context_.log.report({"store", "watch_left_to_others", ResultCode::Ok, "", {{"revision", std::to_string(operatorRevision_)}}});
        }
        co_await transport::sleepFor(WATCH_DUTY_POLL);
    }
    if (relied) {
        // What happened meanwhile came from peers: the watch begins with a whole reading.
        operatorRevision_ = 0;
        const auto ms = std::chrono::duration_cast<milliseconds>(framework::monotonicNow() - begin);
        context_.log.report({"store", "watch_resumed", ResultCode::Ok, "", {{"relied_ms", std::to_string(ms.count())}}});
    }
}

void StoreSync::applyOperatorItem(const platform::StoreItem &item, bool deleted)
{
    if (item.key == platform::CONFIG_KEY && !deleted) {
        const bool applied = context_.view.applyConfig({item.key, item.value, item.revision});
        context_.log.report({"configuration",
                             applied ? "applied" : "kept",
                             ResultCode::Ok,
                             "",
                             {{"revision", std::to_string(item.revision)}, {"version", std::to_string(context_.view.config()->version)}}});
    } else if (item.key.starts_with(platform::ZONE_OUT_PREFIX)) {
        const std::string zone = item.key.substr(platform::ZONE_OUT_PREFIX.size());
        deleted ? static_cast<void>(zonesOut_.erase(zone)) : static_cast<void>(zonesOut_.insert(zone));
        context_.log.report({"zones",
                             deleted ? "zone_back" : "zone_out",
                             ResultCode::ZoneOutOfService,
                             "",
                             {{"availability_zone", zone}, {"revision", std::to_string(item.revision)}}});
    }
}

void StoreSync::applyZones(int64_t revision)
{
    context_.view.applyZonesOut(zonesOut_, revision);
    context_.peers.self().revisions.zones = context_.view.zonesRevision();
}

asio::awaitable<bool> StoreSync::readUpstreams()
{
    platform::StorePage page;
    if (!co_await readRange(std::string(platform::UPSTREAM_PREFIX), Freshness::Linearizable, page)) {
        co_return false;
    }
    fleet::Snapshot snapshot;
    snapshot.revision = page.revision;
    for (platform::StoreItem &item : page.items) {
        snapshot.items.push_back({item.key.substr(platform::UPSTREAM_PREFIX.size()), std::move(item.value), item.revision});
    }
    context_.upstreamsReadAt = framework::monotonicNow();
    context_.view.applyUpstreams(snapshot, context_.upstreamsReadAt);
    noteChange();
    co_return true;
}

asio::awaitable<void> StoreSync::pollUpstreams()
{
    int failures = 0;
    while (true) {
        bool read = false;
        const bool hurry = context_.fastUpstreamPolling;
        const std::optional<peers::Peer> reader = hurry ? std::nullopt : context_.peers.zoneReader(framework::monotonicNow());
        if (reader) {
            read = co_await takeFrom(*reader, peers::UPSTREAMS_PAGE);
        }
        if (!read) {
            read = co_await readUpstreams();
        }
        if (read) {
            upstreamsTakenAt_ = framework::monotonicNow();
        }
        failures = read ? 0 : failures + 1;
        const milliseconds pause = read ? context_.settings.bounds.drain / READINGS_PER_DRAIN : retryPause(failures - 1);
        const Instant next = framework::monotonicNow() + (hurry ? std::min(pause, RETRY_PAUSE) : pause);
        // A rank that has gone missing meanwhile shortens the pause.
        while (framework::monotonicNow() < next && hurry == context_.fastUpstreamPolling) {
            co_await transport::sleepFor(UPSTREAMS_WANTED_POLL);
        }
        context_.view.expire(framework::monotonicNow());
    }
}

asio::awaitable<bool> StoreSync::renewRegistration()
{
    if (lease_ != 0) {
        const auto reply = co_await call("keep", platform::keepLeaseCall(lease_), CALL_PATIENCE);
        const framework::Ret kept = framework::attempt([&] { return platform::decodeKeep(reply.status); });
        if (kept.code == ResultCode::LeaseLapsed) {
            lease_ = 0;
        }
        co_return static_cast<bool>(kept);
    }
    const auto granted = co_await call("lease", platform::grantLeaseCall(REGISTRATION_TTL), CALL_PATIENCE);
    int64_t lease = 0;
    const framework::Ret ret = framework::attempt([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(decoded, platform::decodeLease(granted.status, granted.body));
        lease = decoded.id;
        return {};
    });
    if (!ret) {
        co_return false;
    }
    platform::StoreTransaction transaction;
    Json::Value value;
    value["ip"] = context_.settings.ip;
    transaction.writes.push_back({std::string(MEMBER_PREFIX) + context_.settings.name, framework::writeJson(value), 0, lease});
    const auto written = co_await call("txn", platform::transactionCall(transaction), CALL_PATIENCE);
    const framework::Ret done = framework::attempt([&]() -> framework::Result<void> {
        BOOST_LEAF_CHECK(platform::decodeTransaction(written.status, written.body));
        return {};
    });
    if (done) {
        lease_ = lease;
    }
    co_return static_cast<bool>(done);
}

asio::awaitable<void> StoreSync::keepRegistration()
{
    int failures = 0;
    while (true) {
        failures = co_await renewRegistration() ? 0 : failures + 1;
        co_await transport::sleepFor(failures == 0 ? REGISTRATION_RENEWAL : std::max(RETRY_PAUSE * 4, retryPause(failures)));
    }
}

asio::awaitable<void> StoreSync::unregister()
{
    if (lease_ != 0) {
        co_await call("lease_end", platform::endLeaseCall(lease_), CALL_PATIENCE);
    }
}

asio::awaitable<void> StoreSync::learnMembers()
{
    // Registrations are only needed to meet: members that have met keep in touch by heartbeats.
    milliseconds pause = RETRY_PAUSE * 5;
    while (true) {
        platform::StorePage page;
        if (co_await readRange(std::string(MEMBER_PREFIX), Freshness::Stale, page)) {
            const Instant now = framework::monotonicNow();
            for (const platform::StoreItem &item : page.items) {
                const framework::Ret parsed = framework::attempt([&]() -> framework::Result<void> {
                    BOOST_LEAF_AUTO(json, framework::parseJsonObject(item.value));
                    context_.peers.learnAddress(framework::stringField(json, "ip"), now);
                    return {};
                });
                if (!parsed) {
                    context_.log.report({"members", "bad_registration", parsed.code, "", {{"key", item.key}}});
                }
            }
            context_.peers.onRegistryRead();
            context_.dispatcher.setEntries(context_.peers.possiblyAlive(now));
        }
        co_await transport::sleepFor(pause);
        pause = std::min<milliseconds>(pause * 2, MEMBER_POLL);
    }
}

asio::awaitable<void> StoreSync::askPeers()
{
    while (true) {
        co_await transport::sleepFor(PEER_POLL);
        const Instant now = framework::monotonicNow();
        const peers::KnownRevisions &known = context_.peers.self().revisions;
        // A watch that seems to work may have gone silent: a peer that knows a newer configuration tells.
        std::optional<peers::Peer> peer = context_.peers.aheadInConfiguration(known, now);
        std::string_view page = peers::FLEET_PAGE;
        if (!peer && now - upstreamsTakenAt_ > UPSTREAMS_STALE) {
            peer = context_.peers.bestInformed(known, now);
            page = peers::UPSTREAMS_PAGE;
        }
        if (!peer) {
            continue;
        }
        co_await takeFrom(*peer, page);
    }
}

asio::awaitable<bool> StoreSync::takeFrom(peers::Peer peer, std::string_view page)
{
    const std::string address = peer.ip + ":" + std::to_string(context_.settings.firstPeerPort);
    const transport::HttpReply reply = co_await context_.httpClient.call(address, "GET", std::string(page), "", PEER_PATIENCE);
    if (reply.status != 200) {
        co_return false;
    }
    const framework::Ret taken = framework::attempt([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(snapshot, peers::decodeSnapshot(reply.body));
        if (context_.view.applyConfig(snapshot.config)) {
            context_.log.report(
                {"configuration", "applied_from_peer", ResultCode::Ok, "", {{"peer", peer.name}, {"revision", std::to_string(snapshot.config.revision)}}});
        }
        if (snapshot.zonesRevision > context_.view.zonesRevision()) {
            zonesOut_ = snapshot.zonesOut;
            context_.view.applyZonesOut(snapshot.zonesOut, snapshot.zonesRevision);
        }
        context_.view.applyUpstreams(snapshot.upstreams, framework::monotonicNow());
        noteChange();
        return {};
    });
    if (!taken) {
        context_.log.report({"members", "bad_snapshot", taken.code, "", {{"peer", peer.name}, {"detail", taken.detail}}});
    }
    co_return static_cast<bool>(taken);
}

} // namespace daisymount::gateway

// Loops that read and watch the store, with peer gateways as fallback.

#include "gateway/storesync.h"

#include "framework/json.h"
#include "peers/peercodec.h"
#include "platform/fleetcodec.h"
#include "transport/tasks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace daisymount::gateway
{

namespace
{
namespace asio = transport::asio;
using framework::ResultCode;
using platform::ReadConsistency;

/// A call that takes longer is retried: the store responds within milliseconds, or within a few hundred milliseconds when slow.
constexpr milliseconds CALL_TIMEOUT{1'000};
/// Number of reads of the upstream list within the time that a draining upstream may still receive requests.
constexpr int READS_PER_DRAIN = 4;
constexpr milliseconds RETRY_DELAY{200};
constexpr int MAX_DOUBLINGS = 4;
/// The longest retry delay is the contact bound divided by this number, so that a recovered store is detected in time.
constexpr int RETRIES_PER_CONTACT = 3;
constexpr milliseconds UPSTREAMS_WANTED_POLL_INTERVAL{50};
/// An upstream list older than this is requested from a peer.
constexpr milliseconds UPSTREAMS_STALE_AFTER{900};
constexpr milliseconds PEER_POLL_INTERVAL{250};
constexpr milliseconds PEER_TIMEOUT{400};
constexpr milliseconds REGISTRATION_TTL{9'000};
constexpr milliseconds REGISTRATION_RENEWAL_INTERVAL{3'000};
/// All members hear of a new era at the same moment. Their new registrations are spread over this time for each of them, up to the maximum.
constexpr milliseconds REGISTRATION_SPACING{5};
constexpr milliseconds MAX_REGISTRATION_DELAY{1'000};
constexpr milliseconds MAX_MEMBER_POLL_INTERVAL{5'000};
/// The store's largest value is 1 MB. A page of a range is about as large, in base64, and a watch may return several versions of a value.
constexpr uint64_t MAX_STORE_REPLY_BYTES = 8U << 20U;
/// A configuration of the largest size and the entries of some hundred upstreams.
constexpr uint64_t MAX_SNAPSHOT_BYTES = 4U << 20U;
constexpr std::string_view MEMBER_PREFIX = "daisymount/entries/";
} // namespace

StoreSync::StoreSync(GatewayContext &context, std::function<void()> onChange)
    : context_(context), onChange_(std::move(onChange)), watchCaller_(context.executor), syncWake_(context.executor), registrationWake_(context.executor)
{
    context.onNewStoreEra.emplace_back([this] { onNewStoreEra(); });
    context.onNewerEraTold = [this](const peers::Peer &peer) {
        if (peer.storeEra != refutedEra_) {
            eraTeller_ = peer;
            wakeSync();
        }
    };
    const auto pausedWithin = [&context](Instant from, Instant to) { return context.loopPauses.within(from, to); };
    watchCaller_.setPausedWithin(pausedWithin);
}

void StoreSync::start()
{
    transport::spawnLoop(context_.executor, "watch_operator_keys", [this] { return watchOperatorKeys(); });
    transport::spawnLoop(context_.executor, "poll_upstreams", [this] { return pollUpstreams(); });
    transport::spawnLoop(context_.executor, "maintain_registration", [this] { return maintainRegistration(); });
    transport::spawnLoop(context_.executor, "discover_members", [this] { return discoverMembers(); });
    transport::spawnLoop(context_.executor, "sync_operator_keys", [this] { return syncOperatorKeys(); });
    transport::spawnLoop(context_.executor, "sync_upstreams", [this] { return syncUpstreamsFromPeers(); });
    context_.awaitsPeerKeys = true;
    transport::spawnTask(context_.executor, "check_keys_with_peers", checkKeysWithPeers(), [this] { context_.awaitsPeerKeys = false; });
}

void StoreSync::onNewStoreEra()
{
    // The copy may have given the lease to another process.
    leaseId_ = 0;
    registrationWake_.cancel();
    syncWake_.cancel();
}

storeera::StoreRevision StoreSync::inCurrentEra(int64_t revision) const
{
    return {context_.storeEra.current(), revision};
}

bool StoreSync::storeReachable() const
{
    return reachable_;
}

milliseconds StoreSync::retryDelay(int failures) const
{
    const milliseconds maxDelay = context_.settings.bounds.contact / RETRIES_PER_CONTACT;
    const milliseconds delay = std::min(maxDelay, RETRY_DELAY * (1 << std::min(failures, MAX_DOUBLINGS)));
    const int64_t jitter = std::max<int64_t>(1, delay.count() / 2);
    return delay - milliseconds{std::uniform_int_distribution<int64_t>(0, jitter)(context_.random)};
}

asio::awaitable<StoreReply> StoreSync::call(std::string_view name, platform::HttpCall call, milliseconds timeout)
{
    transport::HttpCaller &caller = name == "watch" ? watchCaller_ : context_.httpClient;
    const Instant begin = framework::monotonicNow();
    StoreReply reply = co_await context_.store.call(caller, name, std::move(call), timeout, MAX_STORE_REPLY_BYTES);
    const bool answered = reply.status != 0 && reply.status != 429 && reply.status != 503;
    recordStoreResponse(answered, begin);
    co_return reply;
}

void StoreSync::recordStoreResponse(bool answered, Instant askedAt)
{
    const Instant now = framework::monotonicNow();
    if (answered) {
        const bool regained = outage_.onAnswered(now);
        if (!reachable_) {
            reachable_ = true;
            context_.log.report({"store", "store_regained", ResultCode::Ok, "", {{"config_revision", context_.view.configRevision().toText()}}});
        }
        if (regained) {
            context_.view.onStoreRegained(now);
        }
        return;
    }
    outage_.onUnanswered(askedAt, now);
    if (reachable_ && outage_.isOut()) {
        reachable_ = false;
        context_.log.report(
            {"store", "store_lost", ResultCode::StoreDown, "", {{"last_answer_ms", std::to_string((now - outage_.lastAnswerAt()).count() / 1000)}}});
    }
}

void StoreSync::publishChange()
{
    auto &revisions = context_.peers.self().revisions;
    revisions.config = keyRevisions(context_.view).config;
    revisions.zones = context_.view.zonesRevision();
    revisions.zonesDigest = context_.view.zonesDigest();
    revisions.upstreams = context_.view.upstreamsRevision();
    onChange_();
}

asio::awaitable<bool> StoreSync::readRange(std::string prefix, ReadConsistency freshness, platform::StorePage &all)
{
    std::string after;
    int64_t era = 0;
    while (true) {
        const StoreReply reply = co_await call("range", platform::rangeCall(prefix, after, freshness), CALL_TIMEOUT);
        // Pages of different eras must not be joined.
        if (!after.empty() && reply.era != era) {
            co_return false;
        }
        era = reply.era;
        bool more = false;
        const framework::Ret read = framework::evaluate([&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(page, platform::decodePage(reply.status, reply.body));
            // The pages do not form one snapshot. Using the lowest revision ensures that a change made between two reads is not missed.
            all.revision = all.items.empty() ? page.revision : std::min(all.revision, page.revision);
            for (platform::StoreItem &item : page.items) {
                all.items.push_back(std::move(item));
            }
            more = page.hasMore && !all.items.empty();
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

asio::awaitable<bool> StoreSync::readUpstreams()
{
    const Instant askedAt = framework::monotonicNow();
    platform::StorePage page;
    if (!co_await readRange(std::string(platform::UPSTREAM_PREFIX), ReadConsistency::Linearizable, page)) {
        co_return false;
    }
    fleet::Snapshot snapshot;
    snapshot.revision = inCurrentEra(page.revision);
    for (platform::StoreItem &item : page.items) {
        snapshot.items.push_back({item.key.substr(platform::UPSTREAM_PREFIX.size()), std::move(item.value), inCurrentEra(item.revision)});
    }
    context_.upstreamsReadAt = askedAt;
    context_.view.applyUpstreams(snapshot, framework::monotonicNow());
    publishChange();
    co_return true;
}

asio::awaitable<void> StoreSync::pollUpstreams()
{
    int failures = 0;
    while (true) {
        bool read = false;
        const int64_t era = context_.storeEra.current();
        const bool expedite = context_.fastUpstreamPolling;
        const std::optional<peers::Peer> reader = expedite ? std::nullopt : context_.peers.zoneReader(framework::monotonicNow());
        if (reader) {
            read = co_await fetchUpstreams(*reader);
        }
        if (!read) {
            read = co_await readUpstreams();
        }
        if (read) {
            upstreamsUpdatedAt_ = framework::monotonicNow();
        }
        failures = read ? 0 : failures + 1;
        const milliseconds delay = read ? context_.settings.bounds.drain / READS_PER_DRAIN : retryDelay(failures - 1);
        const Instant next = framework::monotonicNow() + (expedite ? std::min(delay, RETRY_DELAY) : delay);
        // Interrupts the delay when a missing rank or a new era makes a new upstream list urgent.
        while (framework::monotonicNow() < next && expedite == context_.fastUpstreamPolling && (era == context_.storeEra.current() || era == 0)) {
            co_await transport::sleepFor(UPSTREAMS_WANTED_POLL_INTERVAL);
        }
        const std::set<std::string> zones = context_.view.zonesOut();
        if (context_.view.expire(framework::monotonicNow())) {
            reportZones(zones, "retention_ended", context_.view.zonesRevision());
            onChange_();
        }
    }
}

asio::awaitable<bool> StoreSync::renewRegistration()
{
    if (leaseId_ != 0) {
        const auto reply = co_await call("keep", platform::renewLeaseCall(leaseId_), CALL_TIMEOUT);
        const framework::Ret kept = framework::evaluate([&] { return platform::decodeLeaseRenewal(reply.status); });
        if (kept.code == ResultCode::LeaseLapsed) {
            leaseId_ = 0;
        }
        co_return static_cast<bool>(kept) && leaseId_ != 0;
    }
    if (context_.draining) {
        co_return true;
    }
    const auto granted = co_await call("lease", platform::grantLeaseCall(REGISTRATION_TTL), CALL_TIMEOUT);
    int64_t lease = 0;
    const framework::Ret ret = framework::evaluate([&]() -> framework::Result<void> {
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
    const auto written = co_await call("txn", platform::transactionCall(transaction), CALL_TIMEOUT);
    const framework::Ret done = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_CHECK(platform::decodeTransaction(written.status, written.body));
        return {};
    });
    if (done && granted.era == context_.storeEra.current()) {
        leaseId_ = lease;
    }
    co_return static_cast<bool>(done) && leaseId_ != 0;
}

milliseconds StoreSync::registrationDelay() const
{
    const milliseconds range = std::min(MAX_REGISTRATION_DELAY, REGISTRATION_SPACING * context_.peers.possiblyAliveCount(framework::monotonicNow()));
    return milliseconds{std::uniform_int_distribution<int64_t>(0, range.count())(context_.random)};
}

asio::awaitable<void> StoreSync::maintainRegistration()
{
    int failures = 0;
    while (true) {
        failures = co_await renewRegistration() ? 0 : failures + 1;
        registrationWake_.expires_after(failures == 0 ? REGISTRATION_RENEWAL_INTERVAL : std::max(RETRY_DELAY * 4, retryDelay(failures)));
        const auto [woken] = co_await registrationWake_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (woken) {
            co_await transport::sleepFor(registrationDelay());
        }
    }
}

asio::awaitable<void> StoreSync::unregister()
{
    if (leaseId_ != 0) {
        co_await call("lease_end", platform::revokeLeaseCall(leaseId_), CALL_TIMEOUT);
    }
}

asio::awaitable<void> StoreSync::discoverMembers()
{
    // Registrations serve only for discovery; known peers are tracked by heartbeat. The poll interval therefore grows.
    milliseconds delay = RETRY_DELAY * 5;
    while (true) {
        platform::StorePage page;
        if (co_await readRange(std::string(MEMBER_PREFIX), ReadConsistency::Stale, page)) {
            const Instant now = framework::monotonicNow();
            for (const platform::StoreItem &item : page.items) {
                const framework::Ret parsed = framework::evaluate([&]() -> framework::Result<void> {
                    BOOST_LEAF_AUTO(json, framework::parseJsonObject(item.value));
                    context_.peers.addAddress(framework::stringField(json, "ip"), now);
                    return {};
                });
                if (!parsed) {
                    context_.log.report({"members", "bad_registration", parsed.code, "", {{"key", item.key}}});
                }
            }
            context_.peers.onRegistryRead();
            if (context_.awaitsPeerKeys) {
                // The members that have just become known answer at once.
                context_.onOwnKeysRead();
            }
            context_.dispatcher.setEntries(context_.peers.possiblyAliveCount(now));
        }
        co_await transport::sleepFor(delay);
        delay = std::min<milliseconds>(delay * 2, MAX_MEMBER_POLL_INTERVAL);
    }
}

asio::awaitable<void> StoreSync::syncUpstreamsFromPeers()
{
    while (true) {
        co_await transport::sleepFor(PEER_POLL_INTERVAL);
        const Instant now = framework::monotonicNow();
        if (now - upstreamsUpdatedAt_ <= UPSTREAMS_STALE_AFTER) {
            continue;
        }
        const std::optional<peers::Peer> peer = context_.peers.mostUpToDatePeer(context_.peers.self().revisions, now);
        if (!peer) {
            continue;
        }
        co_await fetchUpstreams(*peer);
    }
}

asio::awaitable<bool> StoreSync::fetchUpstreams(peers::Peer peer)
{
    const std::optional<peers::FleetSnapshot> snapshot = co_await fetchPage(peer.name, peer.ip, peers::UPSTREAMS_PAGE, PEER_TIMEOUT);
    if (!snapshot) {
        co_return false;
    }
    context_.storeEra.onPeerEra(snapshot->upstreams.revision.era, peer.name);
    context_.view.applyUpstreams(snapshot->upstreams, framework::monotonicNow());
    publishChange();
    // A peer that has not heard of the new era says nothing about the store as it is now.
    co_return snapshot->upstreams.revision.era == context_.storeEra.current();
}

asio::awaitable<std::optional<peers::FleetSnapshot>> StoreSync::fetchPage(std::string peer, std::string ip, std::string_view page, milliseconds timeout)
{
    const std::string address = ip + ":" + std::to_string(context_.settings.firstPeerPort);
    const Instant begin = framework::monotonicNow();
    const transport::HttpReply reply = co_await context_.httpClient.call(address, "GET", std::string(page), "", timeout, {}, MAX_SNAPSHOT_BYTES);
    if (reply.status != 200) {
        context_.reportFailedCall(peer, page, reply, begin);
        co_return std::nullopt;
    }
    std::optional<peers::FleetSnapshot> snapshot;
    const framework::Ret decoded = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(snapshot, peers::decodeSnapshot(reply.body));
        return {};
    });
    if (!decoded) {
        context_.log.report({"members", "bad_snapshot", decoded.code, "", {{"peer", peer}, {"detail", decoded.detail}}});
    }
    co_return snapshot;
}

} // namespace daisymount::gateway

// Keeps the operators' keys, the configuration and the zones out of service, current: watches of the store, and newer keys of peers.

#include "framework/json.h"
#include "gateway/storesync.h"
#include "platform/fleetcodec.h"
#include "transport/tasks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace daisymount::gateway
{

namespace
{
namespace asio = transport::asio;
using framework::ResultCode;
using platform::ReadConsistency;
using transport::Duration;

/// Time in which the store answers, beside the time that a call waits for a change.
constexpr milliseconds ANSWER_TIMEOUT{500};
constexpr milliseconds CHECK_TIMEOUT{1'000};
/// A watch call that does not wait for a change.
constexpr milliseconds NO_WAIT{1};
/// Subtracted from the contact bound to get the watch timeout, so that a dead connection is detected within the bound.
constexpr milliseconds WATCH_MARGIN{1'000};
constexpr milliseconds MIN_WATCH_TIMEOUT{500};
/// The first gateway of a zone asks this often within the time for which keys may be without evidence that they are current.
constexpr int CONFIRMATIONS_PER_MAX_AGE = 3;
constexpr milliseconds MIN_CONFIRMATION_INTERVAL{200};
/// How often a gateway that relies on the watches of others checks whether it must watch the store itself.
constexpr milliseconds WATCH_DUTY_POLL_INTERVAL{200};
/// A gateway goes on watching for this long after others do, since beliefs about the members change as heartbeats are lost.
constexpr milliseconds WATCH_DUTY_RETENTION{3'000};
constexpr milliseconds SYNC_INTERVAL{250};
/// A gateway that starts waits this long for the first peer that serves, unless all peers have just started, too.
constexpr milliseconds FIRST_PEER_WAIT{200};
constexpr milliseconds PEER_CHECK_INTERVAL{10};
constexpr milliseconds PEER_KEYS_TIMEOUT{400};
/// After this time a gateway that starts serves by the keys that it has.
constexpr milliseconds MAX_PEER_CHECK_TIME{1'500};

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

/// Returns the zone that the operators' key @p key takes out of service, or an empty value if it is another key.
std::optional<std::string_view> evacuatedZone(std::string_view key)
{
    const bool isZone = key.starts_with(platform::ZONE_EVACUATION_PREFIX);
    return isZone ? std::optional(key.substr(platform::ZONE_EVACUATION_PREFIX.size())) : std::nullopt;
}
} // namespace

milliseconds StoreSync::watchTimeout() const
{
    if (context_.peers.isFirstOfZone(framework::monotonicNow())) {
        return std::max(MIN_CONFIRMATION_INTERVAL, context_.settings.bounds.maxConfigAge() / CONFIRMATIONS_PER_MAX_AGE);
    }
    return std::max(MIN_WATCH_TIMEOUT, context_.settings.bounds.contact - WATCH_MARGIN);
}

asio::awaitable<void> StoreSync::waitForWatchDuty()
{
    const Instant begin = framework::monotonicNow();
    bool leftToOthers = false;
    while (true) {
        const Instant now = framework::monotonicNow();
        if (!context_.view.hasConfig() || context_.peers.mustWatchStore(now)) {
            watchNeededAt_ = now;
        }
        if (now - watchNeededAt_ <= WATCH_DUTY_RETENTION) {
            break;
        }
        if (!leftToOthers) {
            leftToOthers = true;
            context_.peers.self().watchesStore = false;
            context_.log.report({"store", "watch_left_to_others", ResultCode::Ok, "", {{"revision", std::to_string(context_.currency.confirmedRevision())}}});
        }
        co_await transport::sleepFor(WATCH_DUTY_POLL_INTERVAL);
    }
    if (leftToOthers) {
        context_.log.report({"store", "watch_resumed", ResultCode::Ok, "", {{"relied_ms", millisecondsText(framework::monotonicNow() - begin)}}});
    }
}

asio::awaitable<void> StoreSync::watchOperatorKeys()
{
    int failures = 0;
    while (true) {
        co_await waitForWatchDuty();
        bool read = false;
        const int64_t era = context_.storeEra.current();
        if (context_.currency.confirmedRevision() == 0) {
            read = co_await readOperatorKeys();
        } else {
            read = co_await readChanges("watch", watchTimeout());
        }
        context_.peers.self().watchesStore = read;
        // The first answer of a new era only tells that all keys have to be read.
        const bool newEra = context_.storeEra.current() != era;
        failures = read || newEra ? 0 : failures + 1;
        if (failures > 0) {
            co_await transport::sleepFor(retryDelay(failures - 1));
        }
    }
}

asio::awaitable<bool> StoreSync::readOperatorKeys()
{
    const Instant askedAt = framework::monotonicNow();
    platform::StorePage page;
    if (!co_await readRange(std::string(platform::OPERATOR_PREFIX), ReadConsistency::Linearizable, page)) {
        co_return false;
    }
    std::set<std::string> zones;
    for (const platform::StoreItem &item : page.items) {
        applyConfigItem(item, "range");
        if (const std::optional<std::string_view> zone = evacuatedZone(item.key)) {
            zones.emplace(*zone);
        }
    }
    const std::set<std::string> before = context_.view.zonesOut();
    context_.view.applyZonesOut(zones, inCurrentEra(page.revision));
    reportZones(before, "read", inCurrentEra(page.revision));
    context_.currency.onApplied(keyRevisions(context_.view));
    context_.currency.onKeysRead(page.revision, askedAt);
    publishKeys();
    co_return true;
}

asio::awaitable<bool> StoreSync::readChanges(std::string_view name, milliseconds wait)
{
    const Instant askedAt = framework::monotonicNow();
    const int64_t after = context_.currency.confirmedRevision();
    const milliseconds timeout = wait + (wait == NO_WAIT ? CHECK_TIMEOUT : ANSWER_TIMEOUT);
    const int64_t era = context_.storeEra.current();
    const auto reply = co_await call(name, platform::watchCall(platform::OPERATOR_PREFIX, after, wait), timeout);
    if (context_.storeEra.current() != era) {
        // The revisions of the new era may have passed the one that was asked for.
        co_return false;
    }
    const framework::Ret read = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(changes, platform::decodeChanges(reply.status, reply.body));
        int64_t lastChange = 0;
        const std::set<std::string> before = context_.view.zonesOut();
        for (const platform::StoreChange &change : changes.changes) {
            lastChange = std::max(lastChange, change.item.revision);
            if (!change.deleted) {
                applyConfigItem(change.item, name);
            }
            if (const std::optional<std::string_view> zone = evacuatedZone(change.item.key)) {
                context_.view.applyZoneChange(*zone, !change.deleted, inCurrentEra(change.item.revision));
            }
        }
        reportZones(before, name, inCurrentEra(lastChange));
        // A call without changes was answered when its wait had ended.
        const bool waited = changes.changes.empty() && framework::monotonicNow() - askedAt >= wait;
        context_.currency.onApplied(keyRevisions(context_.view));
        context_.currency.onChangesRead(lastChange, changes.revision, waited ? askedAt + wait : askedAt);
        if (!changes.changes.empty()) {
            publishKeys();
        }
        return {};
    });
    if (read.code == ResultCode::CasConflict) {
        context_.log.report({"store", "history_gone", read.code, "", {{"revision", std::to_string(after)}}});
        context_.currency.onHistoryGone();
    }
    co_return static_cast<bool>(read);
}

void StoreSync::applyConfigItem(const platform::StoreItem &item, std::string_view source)
{
    if (item.key != platform::CONFIG_KEY) {
        return;
    }
    const fleet::StoredItem offered{item.key, item.value, inCurrentEra(item.revision)};
    const int64_t versionBefore = context_.view.config()->version;
    const storeera::StoreRevision revisionBefore = context_.view.configRevision();
    const Duration behind = context_.currency.behindFor(framework::monotonicNow());
    const bool applied = context_.view.applyConfig(offered);
    const bool rejected = !applied && offered.revision > context_.view.configRevision() && offered.revision.era == context_.view.configRevision().era;
    context_.log.report({"configuration",
                         applied        ? "applied"
                             : rejected ? "rejected"
                                        : "kept",
                         rejected ? ResultCode::BadMessage : ResultCode::Ok,
                         "",
                         {{"told_by", std::string(source)},
                          {"revision", offered.revision.toText()},
                          {"version", std::to_string(context_.view.config()->version)},
                          {"revision_before", revisionBefore.toText()},
                          {"version_before", std::to_string(versionBefore)},
                          {"behind_ms", millisecondsText(behind)}}});
}

void StoreSync::reportZones(const std::set<std::string> &before, std::string_view source, storeera::StoreRevision revision)
{
    const auto report = [&](const std::set<std::string> &zones, const std::set<std::string> &others, std::string_view event) {
        for (const std::string &zone : zones) {
            if (!others.contains(zone)) {
                context_.log.report({"zones",
                                     event,
                                     ResultCode::ZoneOutOfService,
                                     "",
                                     {{"availability_zone", zone}, {"revision", revision.toText()}, {"told_by", std::string(source)}}});
            }
        }
    };
    const std::set<std::string> &now = context_.view.zonesOut();
    report(now, before, "zone_out");
    report(before, now, "zone_back");
}

void StoreSync::publishKeys()
{
    publishChange();
    context_.onOwnKeysRead();
}

void StoreSync::wakeSync()
{
    syncWake_.cancel();
}

std::vector<configsync::KeySource> StoreSync::keySources(Instant now) const
{
    std::vector<configsync::KeySource> sources;
    for (const peers::Peer &peer : context_.peers.peersWithNewerConfig(context_.peers.self().revisions, now)) {
        sources.push_back({peer.name, peer.zone == context_.settings.zone, peer.keyReport().revisions});
    }
    return sources;
}

void StoreSync::reportStaleness(Instant now)
{
    const bool stale = context_.view.hasConfig() && context_.currency.isStale(now);
    if (stale == wasStale_) {
        return;
    }
    wasStale_ = stale;
    const std::optional<Duration> age = context_.currency.evidenceAge(now);
    context_.log.report({"configuration",
                         stale ? "stale" : "current",
                         stale ? ResultCode::ConfigurationStale : ResultCode::Ok,
                         "",
                         {{"behind_ms", millisecondsText(context_.currency.behindFor(now))},
                          {"evidence_age_ms", age ? millisecondsText(*age) : std::string("none")},
                          {"revision", context_.view.configRevision().toText()}}});
}

asio::awaitable<void> StoreSync::syncOperatorKeys()
{
    while (true) {
        syncWake_.expires_after(SYNC_INTERVAL);
        co_await syncWake_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (eraTeller_ && context_.view.hasConfig()) {
            co_await verifyEra(*std::exchange(eraTeller_, std::nullopt));
        }
        const Instant now = framework::monotonicNow();
        reportStaleness(now);
        co_await runSyncStep(context_.currency.next(keySources(now), now));
    }
}

asio::awaitable<void> StoreSync::verifyEra(peers::Peer peer)
{
    bool answered = false;
    if (context_.currency.confirmedRevision() == 0) {
        answered = co_await readOperatorKeys();
    } else {
        answered = co_await readChanges("check", NO_WAIT);
    }
    if (context_.storeEra.current() >= peer.storeEra) {
        co_return;
    }
    if (answered) {
        refutedEra_ = peer.storeEra;
        context_.log.report({"store",
                             "era_refuted",
                             ResultCode::BadMessage,
                             "",
                             {{"told_by", peer.name}, {"told_era", std::to_string(peer.storeEra)}, {"era", std::to_string(context_.storeEra.current())}}});
        co_return;
    }
    const std::optional<peers::FleetSnapshot> snapshot = co_await fetchPage(peer.name, peer.ip, peers::KEYS_PAGE, PEER_KEYS_TIMEOUT);
    if (snapshot) {
        applyKeysOfPeer(peer.name, *snapshot);
    }
}

asio::awaitable<void> StoreSync::runSyncStep(configsync::SyncStep step)
{
    if (step.action == configsync::SyncAction::FetchFromPeer) {
        const bool fetched = co_await fetchKeys(step.peer, step.timeout);
        context_.currency.onFetchEnded(step.peer, fetched, framework::monotonicNow());
    } else if (step.action == configsync::SyncAction::AskStore) {
        // The watch reads the first keys, and tries again by itself while the store does not answer.
        const bool onDuty = framework::monotonicNow() - watchNeededAt_ <= WATCH_DUTY_RETENTION;
        bool asked = false;
        if (!context_.view.hasConfig() || (onDuty && !context_.peers.self().watchesStore)) {
            asked = false;
        } else if (context_.currency.confirmedRevision() == 0) {
            asked = co_await readOperatorKeys();
        } else {
            asked = co_await readChanges("check", NO_WAIT);
        }
        context_.currency.onStoreAsked(asked, framework::monotonicNow());
    }
}

asio::awaitable<bool> StoreSync::fetchKeys(std::string peer, milliseconds timeout)
{
    std::string ip;
    for (const peers::Peer &known : context_.peers.peersWithNewerConfig(context_.peers.self().revisions, framework::monotonicNow())) {
        ip = known.name == peer ? known.ip : ip;
    }
    if (ip.empty()) {
        co_return false;
    }
    const std::optional<peers::FleetSnapshot> snapshot = co_await fetchPage(peer, ip, peers::KEYS_PAGE, timeout);
    if (!snapshot) {
        co_return false;
    }
    co_return applyKeysOfPeer(peer, *snapshot);
}

bool StoreSync::applyKeysOfPeer(std::string_view peer, const peers::FleetSnapshot &snapshot)
{
    context_.storeEra.onPeerEra(std::max(snapshot.config.revision.era, snapshot.zonesRevision.era), peer);
    const Duration behind = context_.currency.behindFor(framework::monotonicNow());
    const int64_t versionBefore = context_.view.config()->version;
    const bool newConfig = context_.view.applyConfig(snapshot.config);
    if (newConfig) {
        context_.log.report({"configuration",
                             "applied_from_peer",
                             ResultCode::Ok,
                             "",
                             {{"peer", std::string(peer)},
                              {"revision", snapshot.config.revision.toText()},
                              {"version", std::to_string(context_.view.config()->version)},
                              {"version_before", std::to_string(versionBefore)},
                              {"behind_ms", millisecondsText(behind)}}});
    }
    const bool newZones = snapshot.zonesRevision > context_.view.zonesRevision();
    const std::set<std::string> before = context_.view.zonesOut();
    context_.view.applyZonesOut(snapshot.zonesOut, snapshot.zonesRevision);
    reportZones(before, peer, snapshot.zonesRevision);
    if (newConfig || newZones) {
        context_.currency.onApplied(keyRevisions(context_.view));
        publishChange();
    }
    return newConfig || newZones;
}

asio::awaitable<void> StoreSync::checkKeysWithPeers()
{
    const Instant begin = framework::monotonicNow();
    std::set<std::string> asked;
    while (context_.awaitsPeerKeys) {
        co_await transport::sleepFor(PEER_CHECK_INTERVAL);
        const Instant now = framework::monotonicNow();
        const std::vector<peers::Peer> serving = context_.peers.serving(now);
        if (!context_.view.hasConfig() || (serving.empty() && !context_.peers.hasHeardAll() && now - begin < FIRST_PEER_WAIT)) {
            continue;
        }
        const auto knowsMore = [&](const peers::Peer &peer) {
            return !asked.contains(peer.name)
                && (peer.retainsZones || peer.storeEra < context_.storeEra.current()
                    || configsync::isNewer(peer.keyReport().revisions, keyRevisions(context_.view)));
        };
        const auto source = std::ranges::find_if(serving, knowsMore);
        if (source == serving.end() || now - begin >= MAX_PEER_CHECK_TIME) {
            context_.awaitsPeerKeys = false;
        } else {
            asked.insert(source->name);
            co_await adoptKeys(*source);
        }
    }
    onChange_();
}

asio::awaitable<void> StoreSync::adoptKeys(peers::Peer peer)
{
    const std::optional<peers::FleetSnapshot> snapshot = co_await fetchPage(peer.name, peer.ip, peers::KEYS_PAGE, PEER_KEYS_TIMEOUT);
    if (!snapshot) {
        co_return;
    }
    applyKeysOfPeer(peer.name, *snapshot);
    std::set<std::string> retained = snapshot->zonesRetained;
    if (peer.storeEra < context_.storeEra.current()) {
        // The peer has not heard of the new era yet.
        retained.insert(snapshot->zonesOut.begin(), snapshot->zonesOut.end());
    }
    const std::set<std::string> before = context_.view.zonesOut();
    context_.view.retainZonesOut(retained, framework::monotonicNow() + context_.settings.bounds.evacuate);
    reportZones(before, peer.name, snapshot->zonesRevision);
}

} // namespace daisymount::gateway

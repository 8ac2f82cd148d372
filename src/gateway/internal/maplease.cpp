// Acquires, renews, confirms and releases the map controller's lease.

#include "gateway/maplease.h"

#include <time.h>

#include <algorithm>
#include <charconv>

namespace daisymount::gateway
{

namespace
{
namespace asio = transport::asio;
using framework::ResultCode;

constexpr std::string_view KEY_PREFIX = "daisymount/maps/";
constexpr std::string_view LEASE_KEY = "daisymount/maps/controller";
/// Has no lease, so that the number outlasts its holder.
constexpr std::string_view FENCING_KEY = "daisymount/maps/fencing";
/// A longer lease leaves groups without a controller for longer after a crash; a shorter one expires when the store is slow.
constexpr milliseconds LEASE_TTL{2'500};
constexpr milliseconds RENEW_INTERVAL{700};
/// Covers the clock drift between gateway and store. The store counts the lease from the arrival of the call.
constexpr milliseconds CLOCK_DRIFT_MARGIN{300};
constexpr milliseconds STORE_CALL_TIMEOUT{600};
constexpr milliseconds ACQUIRE_INTERVAL{500};
/// While this gateway leaves, or the store has to confirm the lease.
constexpr milliseconds SHORT_INTERVAL{100};

/// Time that includes suspension of the machine, because a lease also expires while its holder is suspended.
Instant bootTime()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<Instant>(std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec});
}

/// std::nullopt if @p text is no number.
std::optional<int64_t> parseNumber(std::string_view text)
{
    int64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? std::optional(number) : std::nullopt;
}
} // namespace

MapLease::MapLease(GatewayContext &context, std::function<bool()> changeInProgress) : context_(context), changeInProgress_(std::move(changeInProgress))
{ }

bool MapLease::held() const
{
    return term_.mayIssueOrders(bootTime(), context_.storeEra.current());
}

int64_t MapLease::fencing() const
{
    return term_.fencing();
}

void MapLease::onFenced()
{
    endTerm(FencingCounter::TermEnd::Refused, "a rank has seen a higher fencing number");
}

void MapLease::drop(std::string_view reason)
{
    endTerm(FencingCounter::TermEnd::Accepted, reason);
}

void MapLease::endTerm(FencingCounter::TermEnd end, std::string_view reason)
{
    if (!term_.active()) {
        return;
    }
    term_.end();
    counter_.onTermEnded(end);
    context_.peers.self().controlsMaps = false;
    context_.log.report({"maps", "control_lost", ResultCode::LeaseLapsed, "", {{"fencing", std::to_string(term_.fencing())}, {"reason", std::string(reason)}}});
}

bool MapLease::shouldAcquire() const
{
    if (context_.draining || !context_.view.hasConfig()) {
        return false;
    }
    const auto &services = context_.view.config()->services;
    const bool anyGroup = std::ranges::any_of(services, [](const auto &entry) { return entry.second.engine && entry.second.engine->experts; });
    if (!anyGroup) {
        return false;
    }
    return shouldAcquireControl(self(), otherCandidates(framework::monotonicNow()));
}

ControlCandidate MapLease::self() const
{
    const peers::Peer &own = context_.peers.self();
    return {own.name, own.processorShare, own.controlsMaps};
}

std::vector<ControlCandidate> MapLease::otherCandidates(Instant now) const
{
    std::vector<ControlCandidate> candidates;
    for (const peers::Peer &peer : context_.peers.serving(now)) {
        candidates.push_back({peer.name, peer.processorShare, peer.controlsMaps});
    }
    return candidates;
}

asio::awaitable<void> MapLease::run()
{
    while (true) {
        co_await step();
        co_await pause();
    }
}

asio::awaitable<void> MapLease::step()
{
    const int64_t era = context_.storeEra.current();
    const std::string_view ended = term_.endReason(bootTime(), era);
    if (!ended.empty()) {
        drop(ended);
    }
    if (!term_.active()) {
        if (shouldAcquire()) {
            co_await acquire();
        }
        co_return;
    }
    if (term_.needsConfirmation(era)) {
        co_await confirm();
        co_return;
    }
    const Instant now = framework::monotonicNow();
    const bool leaving
        = context_.draining && ControlTerm::shouldHandOver(changeInProgress_(), !context_.peers.serving(now).empty(), now - context_.drainingSince);
    const bool handsOver = handover_.isDue(self(), otherCandidates(now), now) && !changeInProgress_();
    if (leaving || handsOver) {
        co_await release(leaving ? "graceful shutdown" : "a stronger gateway serves");
    } else {
        co_await renew();
    }
}

asio::awaitable<void> MapLease::pause()
{
    const int64_t era = context_.storeEra.current();
    const bool pressing = context_.draining || term_.needsConfirmation(era);
    const milliseconds duration = !term_.active() ? ACQUIRE_INTERVAL : pressing ? SHORT_INTERVAL : RENEW_INTERVAL;
    const Instant end = framework::monotonicNow() + duration;
    for (Instant now = framework::monotonicNow(); now < end && context_.storeEra.current() == era; now = framework::monotonicNow()) {
        co_await transport::sleepFor(std::min<framework::Duration>(SHORT_INTERVAL, end - now));
    }
}

asio::awaitable<std::optional<MapLease::LeaseKeys>> MapLease::readKeys()
{
    const platform::HttpCall read = platform::rangeCall(KEY_PREFIX, "", platform::ReadConsistency::Linearizable);
    const StoreReply reply = co_await context_.store.call(context_.httpClient, "control_read", read, STORE_CALL_TIMEOUT);
    std::optional<LeaseKeys> keys;
    framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(page, platform::decodePage(reply.status, reply.body));
        keys = LeaseKeys{reply.era, page.revision, {}, {}};
        for (platform::StoreItem &item : page.items) {
            if (item.key == LEASE_KEY) {
                keys->controller = std::move(item);
            } else if (item.key == FENCING_KEY) {
                keys->fencing = std::move(item);
            }
        }
        return {};
    });
    co_return keys;
}

asio::awaitable<void> MapLease::acquire()
{
    const std::optional<LeaseKeys> keys = co_await readKeys();
    // A key of this gateway belongs to an earlier term, or to a write whose reply was lost.
    if (!keys || (keys->controller.revision != 0 && keys->controller.value != context_.settings.name)) {
        co_return;
    }
    const std::optional<int64_t> stored = keys->fencing.revision == 0 ? 0 : parseNumber(keys->fencing.value);
    if (!stored) {
        context_.log.report({"maps", "bad_fencing_number", ResultCode::BadMessage, "", {{"value", keys->fencing.value}}});
    }
    const KnownFencing known{stored.value_or(0), keys->storeRevision, std::max(context_.groups.list().term, context_.peers.highestGroupsTerm())};
    const std::optional<int64_t> number = counter_.next(known, keys->era);
    if (!number) {
        context_.log.report({"maps", "no_fencing_number", ResultCode::StaleFencing, "", {{"stored", keys->fencing.value}}});
        co_return;
    }
    const Instant requestedAt = bootTime();
    const platform::HttpCall grant = platform::grantLeaseCall(LEASE_TTL);
    const StoreReply granted = co_await context_.store.call(context_.httpClient, "control_lease", grant, STORE_CALL_TIMEOUT);
    platform::StoreLease lease;
    const framework::Ret leased = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(lease, platform::decodeLease(granted.status, granted.body));
        return {};
    });
    if (!leased || granted.era != keys->era) {
        co_return;
    }
    platform::StoreTransaction transaction;
    transaction.expected.push_back({std::string(LEASE_KEY), keys->controller.revision});
    transaction.expected.push_back({std::string(FENCING_KEY), keys->fencing.revision});
    transaction.writes.push_back({std::string(LEASE_KEY), context_.settings.name, 0, lease.id});
    transaction.writes.push_back({std::string(FENCING_KEY), std::to_string(*number), 0, 0});
    const platform::HttpCall write = platform::transactionCall(transaction);
    const StoreReply written = co_await context_.store.call(context_.httpClient, "control_txn", write, STORE_CALL_TIMEOUT);
    const framework::Ret done = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_CHECK(platform::decodeTransaction(written.status, written.body));
        return {};
    });
    context_.metrics.onStoreCall("control", done ? "ok" : std::string(framework::resultCodeInfo(done.code).name));
    if (!done || written.era != keys->era) {
        // The write may have succeeded although its reply was lost. In another era its condition may have held for other values, and the lease may be
        // another gateway's.
        co_return;
    }
    counter_.onTermBegun(*number);
    term_.begin({lease.id, *number, written.era, requestedAt + lease.ttl - CLOCK_DRIFT_MARGIN}, bootTime());
    context_.peers.self().controlsMaps = true;
    context_.log.report({"maps", "control_gained", ResultCode::Ok, "", {{"fencing", std::to_string(*number)}, {"era", std::to_string(written.era)}}});
}

asio::awaitable<void> MapLease::renew()
{
    const int64_t era = context_.storeEra.current();
    const Instant requestedAt = bootTime();
    const platform::HttpCall keep = platform::renewLeaseCall(term_.leaseId());
    const StoreReply reply = co_await context_.store.call(context_.httpClient, "control_keep", keep, STORE_CALL_TIMEOUT);
    const framework::Ret kept = framework::evaluate([&] { return platform::decodeLeaseRenewal(reply.status); });
    const bool answered = reply.era == era;
    if (kept && answered) {
        term_.onRenewed(era, requestedAt + LEASE_TTL - CLOCK_DRIFT_MARGIN);
    } else if (kept.code == ResultCode::LeaseLapsed && answered) {
        drop("the lease has expired in the store");
    } else {
        term_.onRenewalUnanswered();
    }
}

bool MapLease::ownsLease(const LeaseKeys &keys) const
{
    return keys.controller.revision != 0 && keys.controller.value == context_.settings.name && keys.controller.lease == term_.leaseId();
}

asio::awaitable<void> MapLease::confirm()
{
    const std::optional<LeaseKeys> keys = co_await readKeys();
    if (!keys) {
        co_return;
    }
    if (!ownsLease(*keys)) {
        drop("the store has lost the lease");
        co_return;
    }
    const Instant requestedAt = bootTime();
    const platform::HttpCall keep = platform::renewLeaseCall(term_.leaseId());
    const StoreReply reply = co_await context_.store.call(context_.httpClient, "control_keep", keep, STORE_CALL_TIMEOUT);
    const framework::Ret kept = framework::evaluate([&] { return platform::decodeLeaseRenewal(reply.status); });
    if (reply.era != keys->era || !term_.active()) {
        co_return;
    }
    if (kept) {
        term_.onConfirmed(keys->era, requestedAt + LEASE_TTL - CLOCK_DRIFT_MARGIN);
        context_.log.report(
            {"maps", "control_confirmed", ResultCode::Ok, "", {{"fencing", std::to_string(term_.fencing())}, {"era", std::to_string(keys->era)}}});
    } else if (kept.code == ResultCode::LeaseLapsed) {
        drop("the lease has expired in the store");
    }
}

asio::awaitable<void> MapLease::release(std::string_view reason)
{
    const int64_t era = context_.storeEra.current();
    drop(reason);
    // Ending the lease by its id could end another gateway's, if the store has come back from a copy since the last renewal.
    const std::optional<LeaseKeys> keys = co_await readKeys();
    if (!keys || keys->era != era || !ownsLease(*keys)) {
        co_return;
    }
    platform::StoreTransaction transaction;
    transaction.expected.push_back({std::string(LEASE_KEY), keys->controller.revision});
    transaction.removals.emplace_back(LEASE_KEY);
    co_await context_.store.call(context_.httpClient, "control_release", platform::transactionCall(transaction), STORE_CALL_TIMEOUT);
}

} // namespace daisymount::gateway

// Lease of the map controller in the store.

#include "gateway/maplease.h"

#include <time.h>

#include <algorithm>

namespace daisymount::gateway
{

namespace
{
namespace asio = transport::asio;
using framework::ResultCode;

constexpr std::string_view LEASE_KEY = "daisymount/maps/controller";
/// Short enough that a group is not left without a controller for long, long enough for a slow store.
constexpr milliseconds LEASE_TTL{2'500};
constexpr milliseconds RENEWAL{700};
/// The lease runs from the arrival of the call in the store; this covers the difference of the clocks' speeds.
constexpr milliseconds SAFETY{300};
constexpr milliseconds CALL_PATIENCE{600};
constexpr milliseconds TRY_PAUSE{500};
/// A leaving holder ends the change that is under way, but does not keep its successor waiting for longer than this.
constexpr milliseconds LONGEST_HANDOVER{2'000};
constexpr milliseconds HANDOVER_POLL{100};

/// A clock that counts suspensions: a lease ends while its holder sleeps.
Instant bootTime()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<Instant>(std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec});
}
} // namespace

MapLease::MapLease(GatewayContext &context, std::function<bool()> busy) : context_(context), busy_(std::move(busy))
{ }

bool MapLease::held() const
{
    return term_.mayOrder(bootTime());
}

int64_t MapLease::fencing() const
{
    return term_.fencing();
}

void MapLease::drop(std::string_view reason)
{
    if (!term_.active()) {
        return;
    }
    term_.end();
    context_.peers.self().controlsMaps = false;
    context_.log.report({"maps", "control_lost", ResultCode::LeaseLapsed, "", {{"fencing", std::to_string(term_.fencing())}, {"reason", std::string(reason)}}});
}

bool MapLease::shouldTry() const
{
    if (context_.draining || !context_.view.hasConfig()) {
        return false;
    }
    const auto &services = context_.view.config()->services;
    const bool anyGroup = std::ranges::any_of(services, [](const auto &entry) { return entry.second.engine && entry.second.engine->experts; });
    if (!anyGroup) {
        return false;
    }
    // The first by name among those that are serving tries, unless one of them already controls the maps.
    for (const peers::Peer &peer : context_.peers.serving(framework::monotonicNow())) {
        if (peer.controlsMaps || peer.name < context_.peers.self().name) {
            return false;
        }
    }
    return true;
}

asio::awaitable<void> MapLease::run()
{
    while (true) {
        const std::string_view ended = term_.endReason(bootTime());
        if (!ended.empty()) {
            drop(ended);
        }
        const bool leaving = context_.draining && (!busy_() || framework::monotonicNow() - context_.drainingSince > LONGEST_HANDOVER);
        if (term_.active() && leaving) {
            co_await release();
        } else if (term_.active()) {
            co_await renew();
        } else if (shouldTry()) {
            co_await acquire();
        }
        const milliseconds pause = !term_.active() ? TRY_PAUSE : context_.draining ? HANDOVER_POLL : RENEWAL;
        co_await transport::sleepFor(pause);
    }
}

asio::awaitable<void> MapLease::acquire()
{
    const Instant asked = bootTime();
    const platform::HttpCall grant = platform::grantLeaseCall(LEASE_TTL);
    const transport::HttpReply granted
        = co_await context_.httpClient.call(context_.settings.store.address, grant.method, grant.target, grant.body, CALL_PATIENCE);
    platform::StoreLease lease;
    const framework::Ret leased = framework::attempt([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(lease, platform::decodeLease(granted.status, granted.body));
        return {};
    });
    if (!leased) {
        co_return;
    }
    platform::StoreTransaction transaction;
    transaction.expected.push_back({std::string(LEASE_KEY), 0});
    transaction.writes.push_back({std::string(LEASE_KEY), context_.settings.name, 0, lease.id});
    const platform::HttpCall write = platform::transactionCall(transaction);
    const transport::HttpReply written
        = co_await context_.httpClient.call(context_.settings.store.address, write.method, write.target, write.body, CALL_PATIENCE);
    int64_t revision = 0;
    const framework::Ret done = framework::attempt([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(revision, platform::decodeTransaction(written.status, written.body));
        return {};
    });
    context_.metrics.onStoreCall("control", done ? "ok" : std::string(framework::resultCodeInfo(done.code).name));
    if (!done) {
        // A lost reply may have taken effect: the key then lives as long as the lease, which nobody renews.
        co_return;
    }
    term_.begin(lease.id, revision, asked + lease.ttl - SAFETY, bootTime());
    context_.peers.self().controlsMaps = true;
    context_.log.report({"maps", "control_gained", ResultCode::Ok, "", {{"fencing", std::to_string(revision)}}});
}

asio::awaitable<void> MapLease::renew()
{
    const Instant asked = bootTime();
    const platform::HttpCall keep = platform::keepLeaseCall(term_.lease());
    const transport::HttpReply reply = co_await context_.httpClient.call(context_.settings.store.address, keep.method, keep.target, keep.body, CALL_PATIENCE);
    const framework::Ret kept = framework::attempt([&] { return platform::decodeKeep(reply.status); });
    if (kept) {
        term_.onKept(asked + LEASE_TTL - SAFETY);
    } else if (kept.code == ResultCode::LeaseLapsed) {
        drop("the store has ended the lease");
    } else {
        term_.onSilence();
    }
}

asio::awaitable<void> MapLease::release()
{
    const platform::HttpCall end = platform::endLeaseCall(term_.lease());
    drop("graceful shutdown");
    co_await context_.httpClient.call(context_.settings.store.address, end.method, end.target, end.body, CALL_PATIENCE);
}

} // namespace daisymount::gateway

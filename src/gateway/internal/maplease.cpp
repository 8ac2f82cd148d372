// Acquires, renews and releases the map controller's lease.

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
/// A longer lease leaves groups without a controller for longer after a crash; a shorter one expires when the store is slow.
constexpr milliseconds LEASE_TTL{2'500};
constexpr milliseconds RENEW_INTERVAL{700};
/// Covers the clock drift between gateway and store. The store counts the lease from the arrival of the call.
constexpr milliseconds CLOCK_DRIFT_MARGIN{300};
constexpr milliseconds STORE_CALL_TIMEOUT{600};
constexpr milliseconds ACQUIRE_INTERVAL{500};
constexpr milliseconds HANDOVER_POLL_INTERVAL{100};

/// Time that includes suspension of the machine, because a lease also expires while its holder is suspended.
Instant bootTime()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<Instant>(std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec});
}
} // namespace

MapLease::MapLease(GatewayContext &context, std::function<bool()> changeInProgress) : context_(context), changeInProgress_(std::move(changeInProgress))
{ }

bool MapLease::held() const
{
    return term_.mayIssueOrders(bootTime());
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
        const std::string_view ended = term_.endReason(bootTime());
        if (!ended.empty()) {
            drop(ended);
        }
        const Instant now = framework::monotonicNow();
        const bool leaving
            = context_.draining && ControlTerm::shouldHandOver(changeInProgress_(), !context_.peers.serving(now).empty(), now - context_.drainingSince);
        const bool handsOver = term_.active() && handover_.isDue(self(), otherCandidates(now), now) && !changeInProgress_();
        if (term_.active() && (leaving || handsOver)) {
            co_await release(leaving ? "graceful shutdown" : "a stronger gateway serves");
        } else if (term_.active()) {
            co_await renew();
        } else if (shouldAcquire()) {
            co_await acquire();
        }
        const milliseconds pause = !term_.active() ? ACQUIRE_INTERVAL : context_.draining ? HANDOVER_POLL_INTERVAL : RENEW_INTERVAL;
        co_await transport::sleepFor(pause);
    }
}

asio::awaitable<void> MapLease::acquire()
{
    const Instant requestedAt = bootTime();
    const platform::HttpCall grant = platform::grantLeaseCall(LEASE_TTL);
    const StoreReply granted = co_await context_.store.call(context_.httpClient, "control_lease", grant, STORE_CALL_TIMEOUT);
    platform::StoreLease lease;
    const framework::Ret leased = framework::evaluate([&]() -> framework::Result<void> {
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
    const StoreReply written = co_await context_.store.call(context_.httpClient, "control_txn", write, STORE_CALL_TIMEOUT);
    int64_t revision = 0;
    const framework::Ret done = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(revision, platform::decodeTransaction(written.status, written.body));
        return {};
    });
    context_.metrics.onStoreCall("control", done ? "ok" : std::string(framework::resultCodeInfo(done.code).name));
    if (!done) {
        // The write may have succeeded although its reply was lost. The key then expires with the lease, which is not renewed.
        co_return;
    }
    term_.begin(lease.id, revision, requestedAt + lease.ttl - CLOCK_DRIFT_MARGIN, bootTime());
    context_.peers.self().controlsMaps = true;
    context_.log.report({"maps", "control_gained", ResultCode::Ok, "", {{"fencing", std::to_string(revision)}}});
}

asio::awaitable<void> MapLease::renew()
{
    const Instant requestedAt = bootTime();
    const platform::HttpCall keep = platform::renewLeaseCall(term_.leaseId());
    const StoreReply reply = co_await context_.store.call(context_.httpClient, "control_keep", keep, STORE_CALL_TIMEOUT);
    const framework::Ret kept = framework::evaluate([&] { return platform::decodeLeaseRenewal(reply.status); });
    if (kept) {
        term_.onRenewed(requestedAt + LEASE_TTL - CLOCK_DRIFT_MARGIN);
    } else if (kept.code == ResultCode::LeaseLapsed) {
        drop("the lease has expired in the store");
    } else {
        term_.onRenewalUnanswered();
    }
}

asio::awaitable<void> MapLease::release(std::string_view reason)
{
    const platform::HttpCall end = platform::revokeLeaseCall(term_.leaseId());
    drop(reason);
    co_await context_.store.call(context_.httpClient, "control_lease_end", end, STORE_CALL_TIMEOUT);
}

} // namespace daisymount::gateway

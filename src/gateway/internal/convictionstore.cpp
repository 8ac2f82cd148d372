// Each conviction has a key of its own, attached to a lease that expires when the conviction does.

#include "gateway/convictionstore.h"

#include "framework/json.h"
#include "transport/tasks.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>

namespace daisymount::gateway
{

namespace
{
namespace asio = transport::asio;
using crashattribution::Fingerprint;
using framework::ResultCode;

/// A page of a range.
constexpr uint64_t MAX_REPLY_BYTES = 2U << 20U;
constexpr std::string_view KEY_PREFIX = "daisymount/convictions/";
constexpr const char *CONVICTED_AT_FIELD = "convicted_unix_ms";
constexpr milliseconds CALL_TIMEOUT{1'000};
constexpr milliseconds RETRY_INTERVAL{1'000};
/// After this many failed writes the conviction is not stored and remains only in the memory of the gateways.
constexpr int MAX_WRITE_ATTEMPTS = 5;
constexpr int HEX_BASE = 16;

int64_t unixMillis()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string storeKey(Fingerprint fingerprint)
{
    return std::string(KEY_PREFIX) + crashattribution::toText(fingerprint);
}

std::optional<crashattribution::Conviction> decode(const platform::StoreItem &item)
{
    crashattribution::Conviction conviction;
    if (!item.key.starts_with(KEY_PREFIX)) {
        return std::nullopt;
    }
    const std::string_view digits = std::string_view(item.key).substr(KEY_PREFIX.size());
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), conviction.fingerprint, HEX_BASE);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    const framework::Ret read = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(json, framework::parseJsonObject(item.value));
        const int64_t now = unixMillis();
        conviction.age = milliseconds{now - framework::boundedField(json, CONVICTED_AT_FIELD, 0, now)};
        return {};
    });
    return read ? std::optional(conviction) : std::nullopt;
}
} // namespace

ConvictionStore::ConvictionStore(GatewayContext &context) : context_(context)
{
    context.onNewStoreEra.emplace_back([this] { onNewStoreEra(); });
}

void ConvictionStore::start()
{
    transport::spawnLoop(context_.executor, "load_convictions", [this] { return load(); });
}

void ConvictionStore::onConvicted(Fingerprint fingerprint)
{
    if (isDesignatedWriter()) {
        transport::spawnTask(context_.executor, "persist_conviction", persist({fingerprint, milliseconds{0}}));
    }
}

void ConvictionStore::onConvictionLifted(Fingerprint fingerprint)
{
    transport::spawnTask(context_.executor, "remove_conviction", remove(fingerprint));
}

void ConvictionStore::onNewStoreEra()
{
    if (isDesignatedWriter()) {
        transport::spawnTask(context_.executor, "restore_convictions", restore());
    }
}

bool ConvictionStore::isDesignatedWriter() const
{
    const std::vector<peers::Peer> others = context_.peers.serving(framework::monotonicNow());
    return std::ranges::none_of(others, [this](const peers::Peer &peer) { return peer.name < context_.settings.name; });
}

asio::awaitable<StoreReply> ConvictionStore::call(std::string_view name, platform::HttpCall call)
{
    co_return co_await context_.store.call(context_.httpClient, name, std::move(call), CALL_TIMEOUT, MAX_REPLY_BYTES);
}

asio::awaitable<std::optional<std::vector<Fingerprint>>> ConvictionStore::readStored()
{
    // Only the first page is read. More than a page would mean that hundreds of requests were convicted within ten minutes; the
    // remaining ones would soon be convicted again.
    const StoreReply reply = co_await call("range", platform::rangeCall(KEY_PREFIX, "", platform::ReadConsistency::Stale));
    std::vector<Fingerprint> stored;
    const framework::Ret read = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(page, platform::decodePage(reply.status, reply.body));
        crashattribution::CrashUpdate storedUpdate;
        for (const platform::StoreItem &item : page.items) {
            if (const std::optional<crashattribution::Conviction> conviction = decode(item)) {
                storedUpdate.convictions.push_back(*conviction);
                stored.push_back(conviction->fingerprint);
            } else {
                context_.log.report({"crashes", "bad_conviction", ResultCode::BadMessage, "", {{"key", item.key}}});
            }
        }
        for (const Fingerprint fingerprint : context_.crashes.merge(storedUpdate, framework::monotonicNow())) {
            context_.metrics.onCrashEvent("convicted_elsewhere");
            context_.log.report({"crashes",
                                 "convicted_elsewhere",
                                 ResultCode::Quarantined,
                                 "",
                                 {{"fingerprint", crashattribution::toText(fingerprint)}, {"told_by", "store"}}});
        }
        return {};
    });
    co_return read ? std::optional(std::move(stored)) : std::nullopt;
}

asio::awaitable<void> ConvictionStore::load()
{
    while (true) {
        const std::optional<std::vector<Fingerprint>> stored = co_await readStored();
        if (stored) {
            co_return;
        }
        co_await transport::sleepFor(RETRY_INTERVAL);
    }
}

asio::awaitable<void> ConvictionStore::restore()
{
    const int64_t era = context_.storeEra.current();
    std::optional<std::vector<Fingerprint>> stored = co_await readStored();
    while (!stored && context_.storeEra.current() == era) {
        co_await transport::sleepFor(RETRY_INTERVAL);
        stored = co_await readStored();
    }
    // A later era has a task of its own.
    if (!stored || context_.storeEra.current() != era) {
        co_return;
    }
    for (const Fingerprint fingerprint : *stored) {
        if (context_.crashes.status(fingerprint, framework::monotonicNow()) != crashattribution::CrashStatus::Convicted) {
            transport::spawnTask(context_.executor, "remove_conviction", remove(fingerprint));
        }
    }
    for (const crashattribution::Conviction &conviction : context_.crashes.convicted(framework::monotonicNow())) {
        if (std::ranges::find(*stored, conviction.fingerprint) == stored->end()) {
            transport::spawnTask(context_.executor, "persist_conviction", persist(conviction));
        }
    }
}

asio::awaitable<void> ConvictionStore::persist(crashattribution::Conviction conviction)
{
    const Fingerprint fingerprint = conviction.fingerprint;
    const int64_t convictedAt = unixMillis() - conviction.age.count();
    framework::Ret result;
    for (int attempt = 0; attempt < MAX_WRITE_ATTEMPTS; ++attempt) {
        const milliseconds refused = context_.crashes.remainingRejection(fingerprint, framework::monotonicNow());
        const milliseconds lifetime = std::max(refused, context_.settings.store.leaseTtlMin);
        const StoreReply granted = co_await call("lease", platform::grantLeaseCall(lifetime));
        platform::StoreTransaction transaction;
        result = framework::evaluate([&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(lease, platform::decodeLease(granted.status, granted.body));
            Json::Value value;
            value[CONVICTED_AT_FIELD] = static_cast<Json::Int64>(convictedAt);
            transaction.expected.push_back({storeKey(fingerprint), 0});
            transaction.writes.push_back({storeKey(fingerprint), framework::writeJson(value), 0, lease.id});
            return {};
        });
        if (result) {
            StoreReply written = co_await call("txn", platform::transactionCall(transaction));
            if (written.era != granted.era) {
                // The lease and the condition belong to a store that has been replaced.
                written = {};
            }
            result = framework::evaluate([&]() -> framework::Result<void> {
                BOOST_LEAF_CHECK(platform::decodeTransaction(written.status, written.body));
                return {};
            });
        }
        // The key already exists if another gateway wrote it, or if the reply to an earlier attempt was lost.
        if (result || result.code == ResultCode::CasConflict) {
            break;
        }
        co_await transport::sleepFor(RETRY_INTERVAL);
    }
    context_.log.report(
        {"crashes", result ? "conviction_kept" : "conviction_not_kept", result.code, "", {{"fingerprint", crashattribution::toText(fingerprint)}}});
}

asio::awaitable<void> ConvictionStore::remove(Fingerprint fingerprint)
{
    platform::StoreTransaction transaction;
    transaction.removals.push_back(storeKey(fingerprint));
    const StoreReply reply = co_await call("txn", platform::transactionCall(transaction));
    context_.log.report({"crashes",
                         "conviction_removed",
                         reply.status == 200 ? ResultCode::Ok : ResultCode::StoreDown,
                         "",
                         {{"fingerprint", crashattribution::toText(fingerprint)}}});
}

} // namespace daisymount::gateway

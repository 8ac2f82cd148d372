// One key a conviction, with a lease that ends with it.

#include "gateway/convictionstore.h"

#include "framework/json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

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

constexpr std::string_view PREFIX = "daisymount/convictions/";
constexpr const char *CONVICTED_AT = "convicted_unix_ms";
constexpr milliseconds CALL_PATIENCE{1'000};
constexpr milliseconds RETRY_PAUSE{1'000};
/// A conviction that cannot be written in so many attempts is kept by the other gateways alone.
constexpr int WRITE_ATTEMPTS = 5;
constexpr int HEXADECIMAL = 16;

int64_t unixMillis()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string keyOf(Fingerprint fingerprint)
{
    return std::string(PREFIX) + crashattribution::toText(fingerprint);
}

std::optional<crashattribution::Conviction> decode(const platform::StoreItem &item)
{
    crashattribution::Conviction conviction;
    const std::string_view digits = std::string_view(item.key).substr(PREFIX.size());
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), conviction.fingerprint, HEXADECIMAL);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    const framework::Ret read = framework::attempt([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(json, framework::parseJsonObject(item.value));
        conviction.age = milliseconds{std::max<int64_t>(0, unixMillis() - framework::intField(json, CONVICTED_AT))};
        return {};
    });
    return read ? std::optional(conviction) : std::nullopt;
}
} // namespace

ConvictionStore::ConvictionStore(GatewayContext &context) : context_(context)
{ }

void ConvictionStore::start()
{
    asio::co_spawn(context_.executor, load(), asio::detached);
}

void ConvictionStore::onConvicted(Fingerprint fingerprint)
{
    if (isFirst()) {
        asio::co_spawn(context_.executor, keep(fingerprint), asio::detached);
    }
}

void ConvictionStore::onLifted(Fingerprint fingerprint)
{
    asio::co_spawn(context_.executor, remove(fingerprint), asio::detached);
}

bool ConvictionStore::isFirst() const
{
    const std::vector<peers::Peer> others = context_.peers.serving(framework::monotonicNow());
    return std::ranges::none_of(others, [this](const peers::Peer &peer) { return peer.name < context_.settings.name; });
}

asio::awaitable<transport::HttpReply> ConvictionStore::call(std::string_view name, platform::HttpCall call)
{
    transport::HttpReply reply = co_await context_.httpClient.call(context_.settings.store.address, call.method, call.target, call.body, CALL_PATIENCE);
    context_.metrics.onStoreCall(name, reply.status == 0 ? "no_reply" : std::to_string(reply.status));
    co_return reply;
}

asio::awaitable<void> ConvictionStore::load()
{
    // More than one page of them is never needed: a fleet that convicts hundreds of requests in ten minutes convicts them again soon.
    while (true) {
        const transport::HttpReply reply = co_await call("range", platform::rangeCall(PREFIX, "", platform::Freshness::Stale));
        const framework::Ret read = framework::attempt([&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(page, platform::decodePage(reply.status, reply.body));
            crashattribution::CrashNews kept;
            for (const platform::StoreItem &item : page.items) {
                if (const std::optional<crashattribution::Conviction> conviction = decode(item)) {
                    kept.convictions.push_back(*conviction);
                } else {
                    context_.log.report({"crashes", "bad_conviction", ResultCode::BadMessage, "", {{"key", item.key}}});
                }
            }
            for (const Fingerprint fingerprint : context_.crashes.merge(kept, framework::monotonicNow())) {
                context_.metrics.onCrashEvent("convicted_elsewhere");
                context_.log.report({"crashes",
                                     "convicted_elsewhere",
                                     ResultCode::Quarantined,
                                     "",
                                     {{"fingerprint", crashattribution::toText(fingerprint)}, {"told_by", "store"}}});
            }
            return {};
        });
        if (read) {
            co_return;
        }
        co_await transport::sleepFor(RETRY_PAUSE);
    }
}

asio::awaitable<void> ConvictionStore::keep(Fingerprint fingerprint)
{
    const int64_t convictedAt = unixMillis();
    framework::Ret kept;
    for (int attempt = 0; attempt < WRITE_ATTEMPTS; ++attempt) {
        const milliseconds refused = context_.crashes.refusedFor(fingerprint, framework::monotonicNow());
        const milliseconds lifetime = std::max(refused, context_.settings.store.leaseTtlMin);
        const transport::HttpReply granted = co_await call("lease", platform::grantLeaseCall(lifetime));
        platform::StoreTransaction transaction;
        kept = framework::attempt([&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(lease, platform::decodeLease(granted.status, granted.body));
            Json::Value value;
            value[CONVICTED_AT] = static_cast<Json::Int64>(convictedAt);
            transaction.expected.push_back({keyOf(fingerprint), 0});
            transaction.writes.push_back({keyOf(fingerprint), framework::writeJson(value), 0, lease.id});
            return {};
        });
        if (kept) {
            const transport::HttpReply written = co_await call("txn", platform::transactionCall(transaction));
            kept = framework::attempt([&]() -> framework::Result<void> {
                BOOST_LEAF_CHECK(platform::decodeTransaction(written.status, written.body));
                return {};
            });
        }
        // A key that exists is an earlier attempt whose reply was lost, or another gateway's.
        if (kept || kept.code == ResultCode::CasConflict) {
            break;
        }
        co_await transport::sleepFor(RETRY_PAUSE);
    }
    context_.log.report({"crashes", kept ? "conviction_kept" : "conviction_not_kept", kept.code, "", {{"fingerprint", crashattribution::toText(fingerprint)}}});
}

asio::awaitable<void> ConvictionStore::remove(Fingerprint fingerprint)
{
    platform::StoreTransaction transaction;
    transaction.removals.push_back(keyOf(fingerprint));
    const transport::HttpReply reply = co_await call("txn", platform::transactionCall(transaction));
    context_.log.report({"crashes",
                         "conviction_removed",
                         reply.status == 200 ? ResultCode::Ok : ResultCode::StoreDown,
                         "",
                         {{"fingerprint", crashattribution::toText(fingerprint)}}});
}

} // namespace daisymount::gateway

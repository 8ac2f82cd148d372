// One connection attempt to a suspected upstream, then its registration until it shows a sign of life.

#include "gateway/crashwatch.h"

#include "gateway/gatewaycontext.h"
#include "gateway/internal/exchangecommon.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace daisymount::gateway
{

namespace
{
namespace asio = transport::asio;
using framework::ResultCode;

/// By then a process that ends has also closed the socket that it listens at.
constexpr milliseconds CONNECT_DELAY{100};
constexpr milliseconds CONNECT_PATIENCE{350};
/// Registrations end after three missed heartbeats, and the list of upstreams is up to a second old.
constexpr milliseconds REGISTRATION_WAIT{6'000};
constexpr milliseconds REGISTRATION_POLL{250};
} // namespace

CrashWatch::CrashWatch(GatewayContext &context) : context_(context)
{ }

void CrashWatch::onBroken(const dispatch::Placement &placement, BrokenAttempt attempt)
{
    if (!context_.dispatcher.isServing(placement.upstream, placement.bornMs)) {
        return;
    }
    Watched &watched = watched_[{placement.upstream, placement.bornMs}];
    watched.unexamined.push_back(std::move(attempt));
    if (watched.unexamined.size() == 1) {
        ++watched.examinations;
        asio::co_spawn(context_.executor, examine(placement), asio::detached);
    }
}

void CrashWatch::onSignOfLife(const dispatch::Placement &placement, transport::Instant sentAt)
{
    if (watched_.empty()) {
        return;
    }
    const auto found = watched_.find({placement.upstream, placement.bornMs});
    if (found != watched_.end()) {
        found->second.lifeSentAt = std::max(found->second.lifeSentAt, sentAt);
    }
}

asio::awaitable<void> CrashWatch::examine(dispatch::Placement placement)
{
    co_await transport::sleepFor(CONNECT_DELAY);
    const crashattribution::UpstreamIncarnation incarnation{placement.upstream, placement.bornMs};
    const std::vector<BrokenAttempt> attempts = std::move(watched_[incarnation].unexamined);
    watched_[incarnation].unexamined.clear();
    Evidence evidence = co_await refusesConnections(placement);
    if (evidence == Evidence::None) {
        evidence = co_await losesRegistration(placement, attempts.back().brokenAt);
    }
    // One that has said that it leaves may have ended as planned.
    if (evidence != Evidence::None && !context_.dispatcher.isLeaving(placement.upstream, placement.bornMs)) {
        onCrash(incarnation, evidence, attempts);
    }
    if (--watched_[incarnation].examinations == 0) {
        watched_.erase(incarnation);
    }
}

asio::awaitable<CrashWatch::Evidence> CrashWatch::refusesConnections(const dispatch::Placement &placement)
{
    const auto endpoint = transport::parseEndpoint(placement.address);
    if (!endpoint) {
        co_return Evidence::None;
    }
    transport::ConnectOutcome outcome = co_await transport::tryConnect(context_.executor, *endpoint, CONNECT_PATIENCE);
    if (outcome.connection) {
        // No proof of life: a supervisor may hold the listening socket while the process starts again.
        context_.pool.release(placement, std::move(outcome.connection));
    }
    co_return outcome.refused ? Evidence::Refuses : Evidence::None;
}

asio::awaitable<CrashWatch::Evidence> CrashWatch::losesRegistration(const dispatch::Placement &placement, transport::Instant brokenAt)
{
    const crashattribution::UpstreamIncarnation incarnation{placement.upstream, placement.bornMs};
    const Instant end = framework::monotonicNow() + REGISTRATION_WAIT;
    while (framework::monotonicNow() < end && watched_[incarnation].lifeSentAt <= brokenAt) {
        const auto known = context_.view.upstreams().find(placement.upstream);
        if (known == context_.view.upstreams().end() || known->second.upstream.bornMs != placement.bornMs) {
            co_return Evidence::Unregistered;
        }
        co_await transport::sleepFor(REGISTRATION_POLL);
    }
    co_return Evidence::None;
}

void CrashWatch::onCrash(const crashattribution::UpstreamIncarnation &incarnation, Evidence evidence, const std::vector<BrokenAttempt> &attempts)
{
    const Instant now = framework::monotonicNow();
    context_.metrics.onCrashEvent("upstream_crashed");
    context_.log.report({"crashes",
                         "upstream_crashed",
                         ResultCode::UpstreamFailed,
                         "",
                         {{"upstream", incarnation.upstream},
                          {"born_ms", std::to_string(incarnation.bornMs)},
                          {"evidence", evidence == Evidence::Refuses ? "refuses_connections" : "unregistered"},
                          {"requests", std::to_string(attempts.size())},
                          {"age_ms", std::to_string(toMilliseconds(now - attempts.front().brokenAt).count())}}});
    for (const BrokenAttempt &attempt : attempts) {
        context_.crashes.onCrash(attempt.fingerprint, incarnation, attempt.sentAt, attempt.brokenAt, now);
        context_.metrics.onCrashEvent("suspected");
        context_.log.report({"crashes",
                             "suspected",
                             ResultCode::UpstreamFailed,
                             attempt.requestId,
                             {{"fingerprint", crashattribution::toText(attempt.fingerprint)},
                              {"upstream", incarnation.upstream},
                              {"born_ms", std::to_string(incarnation.bornMs)},
                              {"under_way_ms", std::to_string(toMilliseconds(attempt.brokenAt - attempt.sentAt).count())},
                              {"crashes", std::to_string(context_.crashes.crashes(attempt.fingerprint, now))}}});
    }
}

} // namespace daisymount::gateway

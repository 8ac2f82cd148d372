// A probe connects once to the suspected upstream, then polls its registration until the upstream answers a request.

#include "gateway/crashwatch.h"

#include "gateway/gatewaycontext.h"
#include "gateway/internal/exchangecommon.h"
#include "transport/tasks.h"

#include <algorithm>

namespace daisymount::gateway
{

namespace
{
namespace asio = transport::asio;
using framework::ResultCode;

/// A terminating process closes its listening socket within this time after its connections.
constexpr milliseconds CONNECT_DELAY{100};
constexpr milliseconds CONNECT_TIMEOUT{350};
/// A registration expires after three missed heartbeats, and the local list of upstreams may lag by up to one second.
constexpr milliseconds DEREGISTRATION_TIMEOUT{6'000};
constexpr milliseconds REGISTRATION_POLL_INTERVAL{250};
} // namespace

CrashDetector::CrashDetector(GatewayContext &context) : context_(context)
{ }

std::shared_ptr<const ProbeResult> CrashDetector::onAttemptInterrupted(const dispatch::Placement &placement, InterruptedAttempt attempt)
{
    if (!context_.dispatcher.isServing(placement.upstream, placement.bornMs)) {
        return nullptr;
    }
    attempt.probeResult = std::make_shared<ProbeResult>(ProbeResult::Pending);
    std::shared_ptr<const ProbeResult> result = attempt.probeResult;
    PendingProbes &pending = pendingProbes_[{placement.upstream, placement.bornMs}];
    pending.unprobedAttempts.push_back(std::move(attempt));
    if (pending.unprobedAttempts.size() == 1) {
        ++pending.activeProbes;
        transport::spawnTask(context_.executor, "probe_upstream", probe(placement), [this, placement] {
            pendingProbes_.erase({placement.upstream, placement.bornMs});
        });
    }
    return result;
}

void CrashDetector::onUpstreamAnswered(const dispatch::Placement &placement, transport::Instant sentAt)
{
    if (pendingProbes_.empty()) {
        return;
    }
    const auto found = pendingProbes_.find({placement.upstream, placement.bornMs});
    if (found != pendingProbes_.end()) {
        found->second.lastAnsweredSentAt = std::max(found->second.lastAnsweredSentAt, sentAt);
    }
}

asio::awaitable<void> CrashDetector::probe(dispatch::Placement placement)
{
    co_await transport::sleepFor(CONNECT_DELAY);
    const crashattribution::UpstreamIncarnation incarnation{placement.upstream, placement.bornMs};
    std::vector<InterruptedAttempt> attempts = std::move(pendingProbes_[incarnation].unprobedAttempts);
    pendingProbes_[incarnation].unprobedAttempts.clear();
    Evidence evidence = co_await probeConnection(placement);
    for (const InterruptedAttempt &attempt : attempts) {
        *attempt.probeResult = evidence == Evidence::None ? ProbeResult::Reachable : ProbeResult::Crashed;
    }
    if (evidence == Evidence::None) {
        for (const InterruptedAttempt &attempt : attempts) {
            if (attempt.answered) {
                clearSuspicion(attempt, placement.upstream, true);
            }
        }
        std::erase_if(attempts, [](const InterruptedAttempt &attempt) { return attempt.answered; });
    }
    if (evidence == Evidence::None && !attempts.empty()) {
        evidence = co_await awaitDeregistration(placement, attempts.back().interruptedAt);
    }
    // An upstream that announced its departure may have terminated as planned.
    if (evidence != Evidence::None && !context_.dispatcher.isLeaving(placement.upstream, placement.bornMs)) {
        onCrash(incarnation, evidence, attempts);
    }
    if (--pendingProbes_[incarnation].activeProbes == 0) {
        pendingProbes_.erase(incarnation);
    }
}

asio::awaitable<CrashDetector::Evidence> CrashDetector::probeConnection(const dispatch::Placement &placement)
{
    const auto endpoint = transport::parseEndpoint(placement.address);
    if (!endpoint) {
        co_return Evidence::None;
    }
    transport::ConnectOutcome outcome = co_await transport::tryConnect(context_.executor, *endpoint, CONNECT_TIMEOUT);
    if (outcome.connection) {
        // This does not prove that the upstream is alive: a supervisor may hold the listening socket while the process restarts.
        context_.pool.release(placement, std::move(outcome.connection));
    }
    co_return outcome.refused ? Evidence::ConnectionRefused : Evidence::None;
}

asio::awaitable<CrashDetector::Evidence> CrashDetector::awaitDeregistration(const dispatch::Placement &placement, transport::Instant interruptedAt)
{
    const crashattribution::UpstreamIncarnation incarnation{placement.upstream, placement.bornMs};
    const Instant end = framework::monotonicNow() + DEREGISTRATION_TIMEOUT;
    while (framework::monotonicNow() < end && pendingProbes_[incarnation].lastAnsweredSentAt <= interruptedAt) {
        const auto known = context_.view.upstreams().find(placement.upstream);
        if (known == context_.view.upstreams().end() || known->second.upstream.bornMs != placement.bornMs) {
            co_return Evidence::Unregistered;
        }
        co_await transport::sleepFor(REGISTRATION_POLL_INTERVAL);
    }
    co_return Evidence::None;
}

void CrashDetector::onCrash(const crashattribution::UpstreamIncarnation &incarnation, Evidence evidence, const std::vector<InterruptedAttempt> &attempts)
{
    const Instant now = framework::monotonicNow();
    context_.metrics.onCrashEvent("upstream_crashed");
    context_.log.report({"crashes",
                         "upstream_crashed",
                         ResultCode::UpstreamFailed,
                         "",
                         {{"upstream", incarnation.upstream},
                          {"born_ms", std::to_string(incarnation.bornMs)},
                          {"evidence", evidence == Evidence::ConnectionRefused ? "refuses_connections" : "unregistered"},
                          {"requests", std::to_string(attempts.size())},
                          {"age_ms", std::to_string(toMilliseconds(now - attempts.front().interruptedAt).count())}}});
    for (const InterruptedAttempt &attempt : attempts) {
        for (const crashattribution::Fingerprint suspect : suspectsOf(attempt, now)) {
            context_.crashes.onCrash(suspect, incarnation, attempt.sentAt, attempt.interruptedAt, now);
            context_.metrics.onCrashEvent("suspected");
            context_.log.report({"crashes",
                                 "suspected",
                                 ResultCode::UpstreamFailed,
                                 attempt.requestId,
                                 {{"fingerprint", crashattribution::toText(suspect)},
                                  {"of", suspect == attempt.fingerprint ? "request" : "prompt_part"},
                                  {"prompt_parts", attempt.promptParts},
                                  {"upstream", incarnation.upstream},
                                  {"born_ms", std::to_string(incarnation.bornMs)},
                                  {"under_way_ms", std::to_string(toMilliseconds(attempt.interruptedAt - attempt.sentAt).count())},
                                  {"crashes", std::to_string(context_.crashes.crashes(suspect, now))}}});
        }
    }
    context_.onCrashRecorded();
}

void CrashDetector::clearSuspicion(const InterruptedAttempt &attempt, std::string_view upstream, bool includingParts)
{
    const Instant now = framework::monotonicNow();
    std::vector<crashattribution::Fingerprint> cleared{attempt.fingerprint};
    if (includingParts) {
        cleared.insert(cleared.end(), attempt.partFingerprints.begin(), attempt.partFingerprints.end());
    }
    for (const crashattribution::Fingerprint fingerprint : cleared) {
        if (context_.crashes.status(fingerprint, now) == crashattribution::CrashStatus::Convicted) {
            context_.onConvictionLifted(fingerprint);
        }
        if (context_.crashes.onAnswered(fingerprint, now)) {
            context_.metrics.onCrashEvent("cleared");
            context_.log.report({"crashes",
                                 "cleared",
                                 ResultCode::Ok,
                                 attempt.requestId,
                                 {{"fingerprint", crashattribution::toText(fingerprint)},
                                  {"of", fingerprint == attempt.fingerprint ? "request" : "prompt_part"},
                                  {"prompt_parts", attempt.promptParts},
                                  {"upstream", std::string(upstream)}}});
        }
    }
}

std::vector<crashattribution::Fingerprint> CrashDetector::suspectsOf(const InterruptedAttempt &attempt, transport::Instant now) const
{
    std::vector<crashattribution::Fingerprint> suspects;
    for (const crashattribution::Fingerprint part : attempt.partFingerprints) {
        if (!context_.crashes.isCleared(part, now)) {
            suspects.push_back(part);
        }
    }
    if (suspects.empty()) {
        suspects.push_back(attempt.fingerprint);
    }
    return suspects;
}

} // namespace daisymount::gateway

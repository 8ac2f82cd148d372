// Requests that may crash upstreams: evidence from their attempts, quarantine, and trials of suspects at one upstream at a time.

#include "gateway/exchange.h"

#include "framework/hash.h"
#include "gateway/internal/exchangecommon.h"

#include <algorithm>

namespace daisymount::gateway
{

namespace
{
using crashattribution::CrashStatus;
using crashattribution::Fingerprint;
using crashattribution::TrialLimit;
using framework::ResultCode;
namespace asio = transport::asio;

/// A request that has delivered events for this long is not suspected when its upstream crashes: requests that crash an upstream do so as they
/// start to run.
constexpr milliseconds STARTUP_CRASH_WINDOW{1'000};
/// A prompt part is suspected from its first crash. A request as a whole is repeated by few callers, so one crash is no reason to delay it.
constexpr size_t PART_CRASHES_TO_LIMIT = 1;
constexpr size_t REQUEST_CRASHES_TO_LIMIT = 2;
/// Other gateways send what clears a request within two rounds of heartbeats.
constexpr milliseconds CLEARANCE_WAIT{600};
constexpr milliseconds CLEARANCE_POLL_INTERVAL{20};
/// Retry-After of a request whose suspect another request or gateway is trying.
constexpr milliseconds TRIAL_RETRY_AFTER{1'000};
} // namespace

void Exchange::recordCrashEvidence(const Attempt &attempt, AttemptOutcome outcome, Instant now)
{
    probeResult_ = nullptr;
    InterruptedAttempt interrupted{fingerprint_, partFingerprints_, request_.headers.requestId, promptPartsText(), attempt.startedAt, now};
    const bool outlivedCrashWindow = attempt.firstEventAt != Instant{0} && now - attempt.firstEventAt >= STARTUP_CRASH_WINDOW;
    if (outcome == AttemptOutcome::Answered && attempt.reader.endsAtEof() && !outlivedCrashWindow) {
        // The end of the response and a crash of the upstream look the same.
        interrupted.answered = true;
        context_.crashDetector.onAttemptInterrupted(attempt.placement, std::move(interrupted));
        return;
    }
    if (outcome == AttemptOutcome::Answered || outcome == AttemptOutcome::FailureAnswer) {
        // A failure does not show that the upstream began to answer the prompt.
        context_.crashDetector.clearSuspicion(interrupted, attempt.placement.upstream, outcome == AttemptOutcome::Answered);
        endTrial();
        return;
    }
    const bool connectionBroken = outcome == AttemptOutcome::MayHaveRun && attempt.pooled.connection
        && attempt.pooled.connection->readEnd() != transport::ReadEnd::Open && (!attempt.reader.done() || attempt.truncated);
    if (connectionBroken && !outlivedCrashWindow) {
        probeResult_ = context_.crashDetector.onAttemptInterrupted(attempt.placement, std::move(interrupted));
    }
}

void Exchange::clearIfOutlived(const Attempt &attempt, Instant now)
{
    if (!outlivedCrashes_ && now - attempt.firstEventAt >= STARTUP_CRASH_WINDOW) {
        outlivedCrashes_ = true;
        const InterruptedAttempt answered{fingerprint_, partFingerprints_, request_.headers.requestId, promptPartsText()};
        context_.crashDetector.clearSuspicion(answered, attempt.placement.upstream, true);
        endTrial();
    }
}

std::optional<milliseconds> Exchange::quarantineTimeLeft(Instant now)
{
    std::vector<Fingerprint> fingerprints{fingerprint_};
    fingerprints.insert(fingerprints.end(), partFingerprints_.begin(), partFingerprints_.end());
    const auto convicted
        = std::ranges::find_if(fingerprints, [&](Fingerprint fingerprint) { return context_.crashes.status(fingerprint, now) == CrashStatus::Convicted; });
    if (convicted == fingerprints.end()) {
        return std::nullopt;
    }
    const auto index = static_cast<size_t>(convicted - fingerprints.begin());
    const milliseconds timeLeft = context_.crashes.remainingRejection(*convicted, now);
    context_.metrics.onCrashEvent("refused");
    context_.log.report({"crashes",
                         "refused",
                         ResultCode::Quarantined,
                         request_.headers.requestId,
                         {{"fingerprint", crashattribution::toText(*convicted)},
                          {"prompt_part", index == 0 ? std::string() : request_.headers.sharedPromptParts[index - 1]},
                          {"attempts", std::to_string(triedUpstreams_.size())},
                          {"retry_after_ms", std::to_string(timeLeft.count())}}});
    return timeLeft;
}

std::optional<TrialLimit> Exchange::trialLimit(Instant now) const
{
    std::optional<TrialLimit> strictest = context_.crashes.trialLimit(fingerprint_, REQUEST_CRASHES_TO_LIMIT, now);
    for (const Fingerprint part : partFingerprints_) {
        const std::optional<TrialLimit> limit = context_.crashes.trialLimit(part, PART_CRASHES_TO_LIMIT, now);
        if (limit && (!strictest || limit->crashes > strictest->crashes || (limit->crashes == strictest->crashes && limit->wait > strictest->wait))) {
            strictest = limit;
        }
    }
    return strictest;
}

bool Exchange::mayTry(Fingerprint suspect, size_t entries, Instant now) const
{
    const auto rank = [suspect](const std::string &name) { return framework::hash64(name, suspect); };
    const uint64_t own = rank(context_.settings.name);
    const std::vector<peers::Peer> others = context_.peers.serving(now);
    return static_cast<size_t>(std::ranges::count_if(others, [&](const peers::Peer &peer) { return rank(peer.name) > own; })) < entries;
}

asio::awaitable<std::optional<milliseconds>> Exchange::waitForTrial()
{
    const Instant begin = framework::monotonicNow();
    const Instant end = std::min<Instant>(answerLimit(), begin + CLEARANCE_WAIT);
    while (!trial_ && !callerDisconnected_) {
        const Instant now = framework::monotonicNow();
        const std::optional<TrialLimit> limit = trialLimit(now);
        if (!limit) {
            co_return std::nullopt;
        }
        const bool isOwnTurn = limit->entries > 0 && mayTry(limit->suspect, limit->entries, now);
        const bool isTrying = isOwnTurn && context_.trials.insert(limit->suspect).second;
        const milliseconds retryAfter = std::max(limit->wait, TRIAL_RETRY_AFTER);
        if (isTrying || now >= end) {
            context_.metrics.onCrashEvent(isTrying ? "trial" : "held");
            context_.log.report({"crashes",
                                 isTrying ? "trial" : "held",
                                 isTrying ? ResultCode::Ok : ResultCode::AwaitingTrial,
                                 request_.headers.requestId,
                                 {{"fingerprint", crashattribution::toText(limit->suspect)},
                                  {"prompt_parts", promptPartsText()},
                                  {"crashes", std::to_string(limit->crashes)},
                                  {"wait_ms", std::to_string(limit->wait.count())},
                                  {"entries", std::to_string(limit->entries)},
                                  {"waited_ms", std::to_string(toMilliseconds(now - begin).count())}}});
        }
        if (isTrying) {
            trial_ = limit->suspect;
            co_return std::nullopt;
        }
        if (now >= end) {
            co_return retryAfter;
        }
        co_await transport::sleepFor(CLEARANCE_POLL_INTERVAL);
    }
    co_return std::nullopt;
}

void Exchange::endTrial()
{
    if (trial_) {
        context_.trials.erase(*trial_);
        trial_.reset();
    }
}

bool Exchange::arePartsCleared(Instant now) const
{
    return std::ranges::all_of(partFingerprints_, [&](Fingerprint part) { return context_.crashes.isCleared(part, now); });
}

asio::awaitable<bool> Exchange::mayRetryAfterInterruption()
{
    const Instant end = std::min<Instant>(answerLimit(), framework::monotonicNow() + CLEARANCE_WAIT);
    while (probeResult_ && *probeResult_ != ProbeResult::Reachable && !arePartsCleared(framework::monotonicNow())) {
        if (framework::monotonicNow() >= end || callerDisconnected_) {
            co_return false;
        }
        co_await transport::sleepFor(CLEARANCE_POLL_INTERVAL);
    }
    co_return canRetry(AttemptOutcome::MayHaveRun);
}

} // namespace daisymount::gateway

// Compares the silence of each upstream with the progress of its service.

#include "dispatch/silencedetector.h"

#include <algorithm>

namespace daisymount::dispatch
{

namespace
{
using framework::Duration;
using framework::Instant;
using framework::milliseconds;

/// An upstream with streams under way that sends no event for so long, and for so many pauses between events, is silent.
constexpr Duration SILENT_AFTER = milliseconds{250};
constexpr int SILENT_PAUSES = 3;
/// The same for an upstream at which all streams wait for their first event, which takes queueing and prompt processing.
constexpr Duration SILENT_AFTER_WAITING = milliseconds{700};
constexpr int SILENT_PAUSES_WAITING = 8;
/// A stream that is silent for so long is continued at another upstream.
constexpr Duration FAIL_OVER_AFTER = milliseconds{400};
constexpr int FAIL_OVER_PAUSES = 4;
/// A longer time without an event of any stream interrupts the progress of a service: its upstreams stand together, or this process did.
constexpr Duration MAX_GAP = milliseconds{200};
constexpr int MAX_GAP_PAUSES = 2;
/// One silent stream may have been preempted.
constexpr int MIN_STREAMS = 2;
/// Longer intervals are outages, not passes.
constexpr Duration MAX_PAUSE = milliseconds{1'000};
constexpr int PAUSE_WEIGHT_DIVISOR = 16; ///< Inverse weight of one interval in the mean.
/// Time between requests that test a silent upstream; doubled with each test up to the maximum.
constexpr Duration TEST_INTERVAL = milliseconds{1'000};
constexpr Duration MAX_TEST_INTERVAL = milliseconds{4'000};
/// A silent upstream without streams is forgotten after this time.
constexpr Duration SILENT_RETENTION = framework::seconds{30};
} // namespace

SilenceDetector::AttemptId SilenceDetector::onSent(std::string_view service, std::string_view upstream, Instant now)
{
    std::erase_if(upstreams_, [&](const auto &entry) {
        return entry.second.silent && entry.second.begun + entry.second.waiting == 0 && now - entry.second.silentSince > SILENT_RETENTION;
    });
    Upstream *known = find(upstream);
    if (known == nullptr) {
        known = &upstreams_.emplace(std::string(upstream), Upstream{std::string(service)}).first->second;
    }
    changeCounts(*known, 0, 1, now);
    if (known->silent) {
        known->nextTestAt = now + std::min(MAX_TEST_INTERVAL, TEST_INTERVAL * (1 << std::min(known->tests, 2)));
        ++known->tests;
    }
    attempts_.emplace(nextAttempt_, Attempt{std::string(upstream), now});
    return nextAttempt_++;
}

void SilenceDetector::onProgress(AttemptId attempt, Instant now)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    Attempt &known = found->second;
    Upstream &upstream = *find(known.upstream);
    ServiceProgress &progress = services_[upstream.service];
    const Duration pause = now - known.lastAt;
    if (known.begun && pause <= MAX_PAUSE) {
        progress.meanPause = progress.meanPause.count() == 0 ? pause : progress.meanPause + (pause - progress.meanPause) / PAUSE_WEIGHT_DIVISOR;
    }
    if (!isProgressing(progress, now)) {
        progress.uninterruptedSince = now;
    }
    progress.lastAt = now;
    progress.silent = false;
    if (!known.begun) {
        known.begun = true;
        changeCounts(upstream, 1, -1, now);
    }
    known.lastAt = now;
    upstream.lastAt = now;
    if (upstream.silent) {
        upstream.silent = false;
        upstream.tests = 0;
        if (onSilenceChanged) {
            onSilenceChanged(known.upstream, false, now - upstream.silentSince);
        }
    }
}

void SilenceDetector::changeCounts(Upstream &upstream, int begun, int waiting, Instant now)
{
    upstream.begun += begun;
    upstream.waiting += waiting;
    ServiceProgress &progress = services_[upstream.service];
    if (progress.begun < MIN_STREAMS) {
        progress.fewStreamsUntil = now;
    }
    progress.begun += begun;
    progress.waiting += waiting;
}

void SilenceDetector::onEnded(AttemptId attempt, Instant now)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    const auto upstream = upstreams_.find(found->second.upstream);
    changeCounts(upstream->second, found->second.begun ? -1 : 0, found->second.begun ? 0 : -1, now);
    if (upstream->second.begun + upstream->second.waiting == 0 && !upstream->second.silent) {
        upstreams_.erase(upstream);
    }
    attempts_.erase(found);
}

std::vector<std::string> SilenceDetector::silentUpstreams(std::string_view service, Instant now)
{
    std::vector<std::string> silent;
    for (auto &[name, upstream] : upstreams_) {
        if (upstream.service != service) {
            continue;
        }
        update(name, upstream, now);
        const bool mayTest = upstream.begun + upstream.waiting == 0 && now >= upstream.nextTestAt;
        if (upstream.silent && !mayTest) {
            silent.push_back(name);
        }
    }
    return silent;
}

bool SilenceDetector::shouldFailOver(AttemptId attempt, Instant now)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return false;
    }
    Upstream &upstream = *find(found->second.upstream);
    update(found->second.upstream, upstream, now);
    const ServiceProgress &progress = services_[upstream.service];
    return upstream.silent && isProgressing(progress, now)
        && now - std::max(found->second.lastAt, progress.uninterruptedSince) > limit(progress, FAIL_OVER_AFTER, FAIL_OVER_PAUSES);
}

bool SilenceDetector::isServiceSilent(std::string_view service, Instant now)
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return false;
    }
    ServiceProgress &progress = found->second;
    const Instant since = std::max(progress.lastAt, progress.fewStreamsUntil);
    if (progress.begun >= MIN_STREAMS && now - since > limit(progress, SILENT_AFTER, SILENT_PAUSES)) {
        progress.silent = true;
    }
    return progress.silent && progress.begun + progress.waiting > 0;
}

bool SilenceDetector::isWaitingInVain(AttemptId attempt, Instant now)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end() || found->second.begun) {
        return false;
    }
    Upstream &upstream = *find(found->second.upstream);
    update(found->second.upstream, upstream, now);
    const ServiceProgress &progress = services_[upstream.service];
    return upstream.silent || now - std::max(progress.lastAt, found->second.lastAt) > limit(progress, SILENT_AFTER_WAITING, SILENT_PAUSES_WAITING);
}

Duration SilenceDetector::limit(const ServiceProgress &progress, Duration minimum, int pauses)
{
    return std::max(minimum, progress.meanPause * pauses);
}

bool SilenceDetector::isProgressing(const ServiceProgress &progress, Instant now)
{
    return now - progress.lastAt <= limit(progress, MAX_GAP, MAX_GAP_PAUSES);
}

void SilenceDetector::update(std::string_view name, Upstream &upstream, Instant now)
{
    const ServiceProgress &progress = services_[upstream.service];
    if (upstream.silent || upstream.begun + upstream.waiting == 0 || !isProgressing(progress, now)) {
        return;
    }
    const bool begun = upstream.begun > 0;
    const Instant since = std::max({upstream.lastAt, progress.uninterruptedSince, begun ? Instant{0} : oldestWaiting(name, now)});
    const Duration permitted = begun ? limit(progress, SILENT_AFTER, SILENT_PAUSES) : limit(progress, SILENT_AFTER_WAITING, SILENT_PAUSES_WAITING);
    if (now - since <= permitted) {
        return;
    }
    upstream.silent = true;
    upstream.silentSince = since;
    upstream.nextTestAt = now + TEST_INTERVAL;
    if (onSilenceChanged) {
        onSilenceChanged(name, true, now - since);
    }
}

Instant SilenceDetector::oldestWaiting(std::string_view upstream, Instant now) const
{
    Instant oldest = now;
    for (const auto &[id, attempt] : attempts_) {
        if (attempt.upstream == upstream && !attempt.begun) {
            oldest = std::min(oldest, attempt.lastAt);
        }
    }
    return oldest;
}

SilenceDetector::Upstream *SilenceDetector::find(std::string_view upstream)
{
    const auto found = upstreams_.find(upstream);
    return found == upstreams_.end() ? nullptr : &found->second;
}

} // namespace daisymount::dispatch

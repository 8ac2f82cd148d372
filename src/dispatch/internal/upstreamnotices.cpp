// Bounded map of notices by incarnation; the least recently updated one is evicted first.

#include "dispatch/upstreamnotices.h"

#include <algorithm>

namespace daisymount::dispatch
{

namespace
{
using framework::Instant;
using framework::milliseconds;

/// Several times the number of upstreams in the largest deployment, enough for an hour of successive replacements.
constexpr size_t MAX_NOTICES = 4'096;
/// Heartbeats reach all entries within a few rounds, well inside this time.
constexpr milliseconds ANNOUNCE_DURATION{4'000};
/// Leaves room for the other contents of a heartbeat datagram.
constexpr size_t MAX_ANNOUNCED = 16;
/// After a pause, entries resume over a period of the pause divided by this, within the bounds below.
constexpr int64_t SPREAD_DIVISOR = 4;
constexpr int64_t MIN_SPREAD_MS = 50;
constexpr int64_t MAX_SPREAD_MS = 1'000;
} // namespace

UpstreamNotices::UpstreamNotices(uint64_t seed) : random_(static_cast<unsigned>(seed))
{ }

bool UpstreamNotices::onLeaving(std::string_view upstream, int64_t bornMs, milliseconds age, Instant now)
{
    Notice &notice = noticeOf(upstream, bornMs, now);
    const bool isNew = !notice.leaving;
    if (isNew) {
        notice.leaving = true;
        notice.leavingSince = now - age;
    }
    return isNew;
}

Instant UpstreamNotices::onBackoffRequested(std::string_view upstream, int64_t bornMs, milliseconds pause, Instant now)
{
    Notice &notice = noticeOf(upstream, bornMs, now);
    const int64_t spread = std::clamp(pause.count() / SPREAD_DIVISOR, MIN_SPREAD_MS, MAX_SPREAD_MS);
    const Instant until = now + pause + milliseconds{static_cast<int64_t>(random_()) % spread};
    notice.pausedUntil = std::max(notice.pausedUntil, until);
    return notice.pausedUntil;
}

bool UpstreamNotices::isLeaving(std::string_view upstream, int64_t bornMs) const
{
    const Notice *notice = find(upstream, bornMs);
    return notice != nullptr && notice->leaving;
}

Instant UpstreamNotices::pausedUntil(std::string_view upstream, int64_t bornMs) const
{
    const Notice *notice = find(upstream, bornMs);
    return notice == nullptr ? Instant{0} : notice->pausedUntil;
}

std::vector<fleet::LeavingUpstream> UpstreamNotices::leavingToAnnounce(Instant now) const
{
    std::vector<fleet::LeavingUpstream> announced;
    for (const auto &[incarnation, notice] : notices_) {
        if (notice.leaving && now - notice.leavingSince <= ANNOUNCE_DURATION && announced.size() < MAX_ANNOUNCED) {
            announced.push_back({incarnation.first, incarnation.second, std::chrono::duration_cast<milliseconds>(now - notice.leavingSince)});
        }
    }
    return announced;
}

UpstreamNotices::Notice &UpstreamNotices::noticeOf(std::string_view upstream, int64_t bornMs, Instant now)
{
    const std::pair<std::string, int64_t> incarnation(upstream, bornMs);
    if (notices_.size() >= MAX_NOTICES && !notices_.contains(incarnation)) {
        notices_.erase(std::ranges::min_element(notices_, {}, [](const auto &entry) { return entry.second.updatedAt; }));
    }
    Notice &notice = notices_[incarnation];
    notice.updatedAt = now;
    return notice;
}

const UpstreamNotices::Notice *UpstreamNotices::find(std::string_view upstream, int64_t bornMs) const
{
    const auto found = notices_.find(std::pair<std::string, int64_t>(upstream, bornMs));
    return found == notices_.end() ? nullptr : &found->second;
}

} // namespace daisymount::dispatch

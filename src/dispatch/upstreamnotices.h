// What upstreams have said of themselves in their answers and the store may not say yet, or says no more: that one leaves, or that it
// wants no requests from this entry for a time.
//
// Load: many entries before few upstreams, while the store is away or its list of upstreams is seconds old.

#pragma once

#include "fleet/fleettypes.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisymount::dispatch
{

class UpstreamNotices
{
public:
    explicit UpstreamNotices(uint64_t seed);

    /// The incarnation leaves, since @p age before @p now. Returns true when that is news.
    bool onLeaving(std::string_view upstream, int64_t bornMs, framework::milliseconds age, framework::Instant now);
    /// The incarnation turned a request away and wants none for @p pause. Returns when it gets requests again: entries that were turned
    /// away together come back one after the other.
    framework::Instant onBackoffRequested(std::string_view upstream, int64_t bornMs, framework::milliseconds pause, framework::Instant now);

    bool isLeaving(std::string_view upstream, int64_t bornMs) const;
    /// Until then the incarnation gets no requests; 0 without a pause.
    framework::Instant pausedUntil(std::string_view upstream, int64_t bornMs) const;
    /// What other entries may not have heard yet.
    std::vector<fleet::LeavingUpstream> leavingToAnnounce(framework::Instant now) const;

private:
    struct Notice
    {
        bool leaving = false; ///< Never taken back: only another incarnation serves again.
        framework::Instant leavingSince{0};
        framework::Instant pausedUntil{0};
        framework::Instant updatedAt{0};
    };

    Notice &noticeOf(std::string_view upstream, int64_t bornMs, framework::Instant now);
    const Notice *find(std::string_view upstream, int64_t bornMs) const;

    std::map<std::pair<std::string, int64_t>, Notice, std::less<>> notices_; ///< By id and birth, at most MOST_NOTICES.
    std::minstd_rand random_;
};

} // namespace daisymount::dispatch

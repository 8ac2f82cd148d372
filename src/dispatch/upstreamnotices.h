// Shutdown notices and requested pauses from responses of upstreams. They take precedence over the store, which may be out of date.
//
// Expected load: many entries and few upstreams while the store is unavailable or its list of upstreams is seconds old.

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

    /// The incarnation announced its shutdown @p age before @p now. Returns true on the first notice.
    bool onLeaving(std::string_view upstream, int64_t bornMs, framework::milliseconds age, framework::Instant now);
    /// The incarnation rejected a request and asked for no further ones for @p pause. Returns the time at which requests resume, with a
    /// random delay so that entries rejected at the same time do not resume at once.
    framework::Instant onBackoffRequested(std::string_view upstream, int64_t bornMs, framework::milliseconds pause, framework::Instant now);

    bool isLeaving(std::string_view upstream, int64_t bornMs) const;
    /// End of the pause requested by the incarnation; 0 if none.
    framework::Instant pausedUntil(std::string_view upstream, int64_t bornMs) const;
    /// Recent shutdown notices for the other entries.
    std::vector<fleet::LeavingUpstream> leavingToAnnounce(framework::Instant now) const;

private:
    struct Notice
    {
        bool leaving = false; ///< Never reset: only a new incarnation can serve again.
        framework::Instant leavingSince{0};
        framework::Instant pausedUntil{0};
        framework::Instant updatedAt{0};
    };

    Notice &noticeOf(std::string_view upstream, int64_t bornMs, framework::Instant now);
    const Notice *find(std::string_view upstream, int64_t bornMs) const;

    std::map<std::pair<std::string, int64_t>, Notice, std::less<>> notices_; ///< By id and bornMs, at most MAX_NOTICES.
    std::minstd_rand random_;
};

} // namespace daisymount::dispatch

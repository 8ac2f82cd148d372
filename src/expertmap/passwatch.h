// Detects that a group with pending requests has stopped making passes.
//
// Has to tolerate large groups, whose controller may be busy planning for longer than a pass takes.

#pragma once

#include "framework/clock.h"

namespace daisymount::expertmap
{

class PassStallDetector
{
public:
    /// The group has begun another pass, or has no pending requests.
    void onProgress(framework::Instant now)
    {
        lastProgress_ = now;
    }

    /// The reports of all ranks were read. They show whether a pass is held, so the time-out starts again.
    void onReportsRead(framework::Instant now)
    {
        lastProgress_ = now;
    }

    /// True if a hold that was executed late may be stopping the group, so that its reports have to be read.
    bool isStalled(framework::Instant now) const
    {
        return now - lastProgress_ > STALL_TIMEOUT;
    }

    /// Several times the duration of the longest passes.
    static constexpr framework::Duration STALL_TIMEOUT = framework::milliseconds{600};

private:
    framework::Instant lastProgress_{0};
};

} // namespace daisymount::expertmap

// Whether a group that has requests makes passes, from what its controller reads of it.
//
// Load: large groups whose controller is busy planning for longer than a pass takes.

#pragma once

#include "framework/clock.h"

namespace daisymount::expertmap
{

class PassStallDetector
{
public:
    /// The group was seen to have begun another pass, or has no requests and needs none.
    void onProgress(framework::Instant now)
    {
        lastProgress_ = now;
    }

    /// The ranks' reports were read: they tell of a pass that is held. Whether passes are made is seen from then on.
    void onReportsRead(framework::Instant now)
    {
        lastProgress_ = now;
    }

    /// The group may be held by an order that came late: its reports have to be read.
    bool isStalled(framework::Instant now) const
    {
        return now - lastProgress_ > STALL_TIMEOUT;
    }

    /// Several of the longest passes.
    static constexpr framework::Duration STALL_TIMEOUT = framework::milliseconds{600};

private:
    framework::Instant lastProgress_{0};
};

} // namespace daisymount::expertmap

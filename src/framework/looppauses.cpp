// Records late ticks as pauses.

#include "framework/looppauses.h"

#include <algorithm>

namespace daisymount::framework
{

void LoopPauses::onTick(Instant now)
{
    const Instant expected = lastTick_ + TICK_INTERVAL;
    if (lastTick_ != Instant{0} && now > expected + TOLERANCE) {
        pauses_.push_back({expected, now});
        onPause(now - expected);
    }
    while (!pauses_.empty() && now - pauses_.front().end > RETENTION) {
        pauses_.pop_front();
    }
    lastTick_ = now;
}

Duration LoopPauses::within(Instant from, Instant to) const
{
    Duration sum{0};
    const auto addOverlap = [&](const Pause &pause) { sum += std::max<Duration>(Duration{0}, std::min(pause.end, to) - std::max(pause.begin, from)); };
    std::ranges::for_each(pauses_, addOverlap);
    const Instant expected = lastTick_ + TICK_INTERVAL;
    if (lastTick_ != Instant{0} && to > expected + TOLERANCE) {
        addOverlap({expected, to});
    }
    return sum;
}

Duration LoopPauses::longest(Instant now) const
{
    Duration longest{0};
    for (const Pause &pause : pauses_) {
        if (now - pause.end <= RETENTION) {
            longest = std::max(longest, pause.end - pause.begin);
        }
    }
    return longest;
}

} // namespace daisymount::framework

// Records late ticks as pauses.

#include "framework/looppauses.h"

#include <algorithm>

namespace daisymount::framework
{

LoopPauses::Pause LoopPauses::current(Instant now) const
{
    const Instant begin = lastTick_ + TICK_INTERVAL + TOLERANCE;
    return lastTick_ != Instant{0} && now > begin ? Pause{begin, now} : Pause{now, now};
}

void LoopPauses::onTick(Instant now)
{
    const Pause pause = current(now);
    if (pause.end > pause.begin) {
        pauses_.push_back(pause);
        total_ += pause.end - pause.begin;
        onPause(pause.end - pause.begin);
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
    addOverlap(current(to));
    return sum;
}

Instant LoopPauses::listeningTime(Instant now) const
{
    const Pause pause = current(now);
    return now - total_ - (pause.end - pause.begin);
}

Instant LoopPauses::earliestArrival(Instant now) const
{
    const Pause ongoing = current(now);
    if (ongoing.begin < now) {
        return ongoing.begin;
    }
    const bool justEnded = !pauses_.empty() && now - pauses_.back().end <= TICK_INTERVAL;
    return justEnded ? pauses_.back().begin : now;
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

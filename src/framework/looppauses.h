// Pauses of an event loop: spans in which a process handled nothing, since one handler took long or the processor was not given to it.
//
// Expected load: a process with a fraction of a core, whose turns last up to a second while it searches or a large message arrives. Messages
// that arrive during a pause are read after it, so silence that is measured across a pause is partly the process's own.

#pragma once

#include "framework/clock.h"

#include <deque>
#include <functional>

namespace daisymount::framework
{

class LoopPauses
{
public:
    /// Must be called by the loop every TICK_INTERVAL.
    void onTick(Instant now);
    /// Part of the span from @p from to @p to in which the loop was paused, including a pause that has not ended by then. Pauses that ended more than
    /// RETENTION ago are forgotten.
    Duration within(Instant from, Instant to) const;
    /// Clock that stands still during pauses. Silence of others is measured on it, since what they sent in a pause may not have been read yet.
    Instant listeningTime(Instant now) const;
    /// Earliest time at which a message that is read at @p now may have arrived: the beginning of a pause that has hardly ended.
    Instant earliestArrival(Instant now) const;
    /// The longest pause that ended within RETENTION before @p now.
    Duration longest(Instant now) const;

    /// Called when a pause has ended, with its length.
    std::function<void(Duration)> onPause = [](Duration) {};

    static constexpr milliseconds TICK_INTERVAL{100};
    /// A pause begins when a tick is late by this.
    static constexpr milliseconds TOLERANCE{100};
    static constexpr milliseconds RETENTION{30'000};

private:
    struct Pause
    {
        Instant begin{0};
        Instant end{0};
    };

    /// The pause that has not ended at @p now; empty if there is none.
    Pause current(Instant now) const;

    std::deque<Pause> pauses_; ///< Oldest first, without overlap, none that ended more than RETENTION ago.
    Duration total_{0}; ///< Sum of all pauses that have ended.
    Instant lastTick_{0}; ///< 0 before the first tick.
};

} // namespace daisymount::framework

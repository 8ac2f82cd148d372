// Counts events over a sliding window in slots of a fixed width.

#pragma once

#include "framework/clock.h"

#include <array>
#include <cstdint>

namespace daisymount::dispatch
{

class SlidingCount
{
public:
    explicit SlidingCount(framework::Duration window) : slotWidth_(window / SLOTS)
    { }

    void add(framework::Instant now, int64_t count = 1)
    {
        slots_[advanceTo(now)].count += count;
    }

    /// Number of events in the last window, extended by up to one slot.
    int64_t total(framework::Instant now) const
    {
        const int64_t current = now / slotWidth_;
        int64_t sum = 0;
        for (const Slot &slot : slots_) {
            if (slot.number > current - static_cast<int64_t>(SLOTS) - 1 && slot.number <= current) {
                sum += slot.count;
            }
        }
        return sum;
    }

private:
    static constexpr size_t SLOTS = 20;

    struct Slot
    {
        int64_t number = -1; ///< Index of the slot, counted from the clock epoch.
        int64_t count = 0;
    };

    size_t advanceTo(framework::Instant now)
    {
        const int64_t number = now / slotWidth_;
        // The extra slot keeps the oldest slot of the window complete.
        Slot &slot = slots_[static_cast<size_t>(number) % slots_.size()];
        if (slot.number != number) {
            slot = {number, 0};
        }
        return static_cast<size_t>(number) % slots_.size();
    }

    framework::Duration slotWidth_;
    std::array<Slot, SLOTS + 1> slots_{};
};

} // namespace daisymount::dispatch

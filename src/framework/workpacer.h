// Divides long background work on an event loop into slices, so that the loop's turns stay short on slow machines too.

#pragma once

#include "framework/clock.h"

namespace daisymount::framework
{

struct WorkPacerOptions
{
    Duration sliceTime = milliseconds{4}; ///< Time that a slice should take, as measured.
    int minUnits = 16;
    int maxUnits = 1'000;
};

class WorkPacer
{
public:
    explicit WorkPacer(const WorkPacerOptions &options);

    /// Units of work of the next slice.
    int units() const;
    /// The slice of units() took @p time.
    void onSlice(Duration time);
    /// The longest slice so far.
    Duration longestSlice() const;

private:
    WorkPacerOptions options_;
    int units_; ///< Between minUnits and maxUnits.
    Duration longestSlice_{0};
};

} // namespace daisymount::framework

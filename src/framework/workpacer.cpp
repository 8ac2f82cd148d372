// Adapts the size of slices to the time that they take.

#include "framework/workpacer.h"

#include <algorithm>

namespace daisymount::framework
{

namespace
{
/// A slice grows by at most this factor, because a single one may have been measured as too short.
constexpr double MAX_GROWTH = 1.5;
} // namespace

WorkPacer::WorkPacer(const WorkPacerOptions &options) : options_(options), units_(options.minUnits)
{ }

int WorkPacer::units() const
{
    return units_;
}

void WorkPacer::onSlice(Duration time)
{
    longestSlice_ = std::max(longestSlice_, time);
    const double ratio = time.count() > 0 ? std::chrono::duration<double>(options_.sliceTime) / std::chrono::duration<double>(time) : MAX_GROWTH;
    units_ = std::clamp(static_cast<int>(units_ * std::min(ratio, MAX_GROWTH)), options_.minUnits, options_.maxUnits);
}

Duration WorkPacer::longestSlice() const
{
    return longestSlice_;
}

} // namespace daisymount::framework

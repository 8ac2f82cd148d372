// Weighs the evenness that copies bring against the time that they take.

#include "expertmap/copyplan.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace daisymount::expertmap
{

namespace
{
using framework::Duration;
using framework::Instant;
using framework::milliseconds;

/// Shifts that follow sooner are the same one, seen in further samples.
constexpr Duration MIN_SHIFT_INTERVAL = milliseconds{1'200};
/// After this multiple of the mean interval without a shift, the mean no longer holds.
constexpr int STALE_INTERVALS = 4;
constexpr int INTERVAL_WEIGHT_DIVISOR = 3;
/// Intervals between shifts vary: late in one, at least this part of the mean is expected to be left.
constexpr int MIN_REMAINING_DIVISOR = 2;
/// Copies per set and rank after which a map has reached 1 - 1/e of the possible evenness: the most requested experts are copied first.
constexpr double COPIES_SCALE = 0.35;
/// Fraction by which passes are longer while ranks copy.
constexpr double COPY_SLOWDOWN = 0.15;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
} // namespace

void DemandShiftTracker::onShifted(Instant now)
{
    if (!lastShift_) {
        lastShift_ = now;
        return;
    }
    const Duration interval = now - *lastShift_;
    if (interval < MIN_SHIFT_INTERVAL) {
        return;
    }
    lastShift_ = now;
    meanInterval_ = meanInterval_.count() == 0 ? interval : meanInterval_ + (interval - meanInterval_) / INTERVAL_WEIGHT_DIVISOR;
}

Duration DemandShiftTracker::untilNextShift(Instant now) const
{
    if (meanInterval_.count() == 0 || now - *lastShift_ > STALE_INTERVALS * meanInterval_) {
        return DEFAULT_INTERVAL;
    }
    return std::max<Duration>(meanInterval_ / MIN_REMAINING_DIVISOR, meanInterval_ - (now - *lastShift_) % meanInterval_);
}

int copiesPerRank(const CopyPlanInput &input)
{
    const int most = std::max(1, input.sets * input.maxAddedPerSet);
    if (input.copyTime.count() <= 0) {
        return most;
    }
    int best = 1;
    double bestBenefit = 0.0;
    for (int copies = 1; copies <= most; ++copies) {
        const double copying = copies * seconds(input.copyTime);
        const double used = std::max(0.0, seconds(input.untilShift) - copying - seconds(input.switchTime));
        const double evenness = 1.0 - std::exp(-copies / (COPIES_SCALE * std::max(1, input.sets)));
        const double benefit = evenness * used - COPY_SLOWDOWN * copying;
        if (benefit > bestBenefit) {
            bestBenefit = benefit;
            best = copies;
        }
    }
    return best;
}

} // namespace daisymount::expertmap

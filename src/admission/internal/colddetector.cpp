// Cold detection.

#include "admission/colddetector.h"

namespace daisymount::admission
{

namespace
{
/// Samples before jumps are looked for.
constexpr int64_t BASELINE_SAMPLES = 8;
constexpr double BASELINE_WEIGHT = 0.05;
/// A sample above this multiple of the baseline is a jump. Prompts whose prefix is not cached take up to four times as long.
constexpr double JUMP_FACTOR = 6.0;
/// Jumps in a row that mean a cold upstream; a single slow request does not.
constexpr int JUMPS_TO_COLD = 4;
} // namespace

bool ColdDetector::observe(framework::Duration firstToken)
{
    const double sample = std::chrono::duration<double, std::milli>(firstToken).count();
    if (samples_ < BASELINE_SAMPLES) {
        ++samples_;
        baselineMs_ += (sample - baselineMs_) / static_cast<double>(samples_);
        return false;
    }
    if (sample <= baselineMs_ * JUMP_FACTOR) {
        consecutiveJumps_ = 0;
        baselineMs_ += BASELINE_WEIGHT * (sample - baselineMs_);
        return false;
    }
    ++consecutiveJumps_;
    if (consecutiveJumps_ < JUMPS_TO_COLD) {
        return false;
    }
    reset();
    return true;
}

void ColdDetector::reset()
{
    baselineMs_ = 0.0;
    samples_ = 0;
    consecutiveJumps_ = 0;
}

double ColdDetector::baselineMs() const
{
    return samples_ < BASELINE_SAMPLES ? 0.0 : baselineMs_;
}

} // namespace daisymount::admission

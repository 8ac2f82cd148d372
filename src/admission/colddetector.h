// Detects that a warm upstream has turned cold from a lasting jump of its first-token latency.

#pragma once

#include "framework/clock.h"

#include <cstdint>

namespace daisymount::admission
{

class ColdDetector
{
public:
    /// Takes one sample; returns true when it completes a jump. Starts afresh after that.
    bool observe(framework::Duration firstToken);

    /// Forgets the baseline.
    void reset();

    /// Usual latency in milliseconds; 0 until enough samples.
    double baselineMs() const;

private:
    double baselineMs_ = 0.0;
    int64_t samples_ = 0; ///< Samples in the baseline.
    int consecutiveJumps_ = 0;
};

} // namespace daisymount::admission

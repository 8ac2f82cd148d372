// Conversion of numbers from other processes, which may have any value, to integers.

#pragma once

#include <cmath>
#include <cstdint>

namespace daisymount::framework
{

/// Rounds @p value towards zero and limits it to the range from @p min to @p max. NaN gives @p min.
inline int64_t boundedInteger(double value, int64_t min, int64_t max)
{
    if (std::isnan(value) || value <= static_cast<double>(min)) {
        return min;
    }
    return value >= static_cast<double>(max) ? max : static_cast<int64_t>(value);
}

} // namespace daisymount::framework

// Rows of the bench tables.

#pragma once

#include <cstdio>
#include <ctime>
#include <string>

namespace daisymount::bench
{

inline void printTitle(const std::string &title)
{
    std::printf("\n%s\n  %-52s %12s %12s %12s %8s  %s\n", title.c_str(), "measure", "target", "baseline", "figure", "ratio", "met");
}

/// @p met is "yes", "no" or "-" where there is no target.
inline void printRow(const std::string &name, const std::string &target, double baseline, double figure, const std::string &met)
{
    const double ratio = baseline > 0.0 ? figure / baseline : 0.0;
    std::printf("  %-52s %12s %12.3f %12.3f %8.3f  %s\n", name.c_str(), target.c_str(), baseline, figure, ratio, met.c_str());
}

inline std::string verdict(bool met)
{
    return met ? "yes" : "no";
}

/// Processor time of this process in seconds.
inline double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

} // namespace daisymount::bench

// Service-level accounting: how fast each service and organisation uses up its error budget.

#pragma once

#include "config/configtypes.h"
#include "framework/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisymount::slo
{

/// One ended request as service levels see it.
struct Sample
{
    std::string_view service;
    std::string_view organisation;
    bool answered = false; ///< A complete answer was given.
    framework::Duration firstToken{0};
    bool gapsWithinObjective = true; ///< At most 5 in 100 gaps between tokens above the objective.
    bool callerError = false; ///< Not counted: the caller's fault.
};

/// Counts of one window.
struct Counts
{
    int64_t total = 0;
    int64_t answered = 0;
    int64_t firstTokenGood = 0; ///< Answered requests within the first-token objective.
    int64_t betweenTokensGood = 0;

    Counts &operator+=(const Counts &other);
};

/// Windows over which burn is reported.
constexpr std::array<std::pair<std::string_view, int64_t>, 3> WINDOWS{{{"5min", 5}, {"1h", 60}, {"6h", 360}}};

struct BurnRow
{
    std::string service;
    std::string organisation;
    std::array<Counts, WINDOWS.size()> windows; ///< In the order of WINDOWS.
};

/// Share of the error budget used per unit of allowed share: 1 uses the budget up exactly within its period.
double burnRate(int64_t good, int64_t total, double target);

/// Deterministic core; one per entry. Keeps one count per minute for six hours.
class BurnMeter
{
public:
    void configure(const config::Config &config);
    void add(const Sample &sample, int64_t unixMs);
    std::vector<BurnRow> rows(int64_t unixMs) const;

private:
    static constexpr int64_t MINUTES = 360;

    struct Series
    {
        std::map<int64_t, Counts> minutes; ///< By Unix minute; at most MINUTES entries.
    };

    std::map<std::string, config::Objectives, std::less<>> objectives_;
    std::map<std::pair<std::string, std::string>, Series> series_;
};

} // namespace daisymount::slo

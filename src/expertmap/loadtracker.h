// Exponentially weighted averages of expert loads. Tolerates reports that are late, duplicated or missing.

#pragma once

#include "expertmap/expertmaptypes.h"

#include <map>
#include <optional>
#include <vector>

namespace daisymount::expertmap
{

/// Load of one layer on one rank over a time interval.
struct LoadReport
{
    int layer = 0;
    int rank = 0;
    uint64_t sequence = 0; ///< Increases with each report of the rank and layer.
    Instant from{0};
    Instant to{0};
    std::vector<std::pair<int, double>> tokensOfExpert; ///< Tokens routed to each expert of the rank.
    double stepMs = 0.0; ///< Mean computation time per step on the rank, without waiting for others.
};

enum class RankCondition : uint8_t {
    Normal,
    Overloaded, ///< Slow because of a higher load than the other ranks have.
    Stalled, ///< Slow without a higher load, so that moving experts would not help.
};

class LoadTracker
{
public:
    /// @p halfLife is the age at which the weight of a sample has dropped to one half.
    LoadTracker(int layers, int ranks, int experts, Duration halfLife);

    /// Ignores outdated and duplicate reports.
    void onReport(const LoadReport &report);
    /// Returns the tokens per second of each expert of @p layer.
    std::vector<double> loads(int layer) const;
    RankCondition condition(int rank) const;
    /// True if every rank has reported @p layer at least once.
    bool complete(int layer) const;

private:
    struct RankState
    {
        std::optional<uint64_t> sequence;
        Instant to{0};
        std::map<int, double> rateOfExpert;
        double stepMs = 0.0;
        double rate = 0.0; ///< Tokens per second of the rank.
    };

    const RankState &state(int layer, int rank) const;

    int ranks_;
    int experts_;
    Duration halfLife_;
    std::vector<RankState> states_; ///< layers x ranks.
};

} // namespace daisymount::expertmap

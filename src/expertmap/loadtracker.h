// Drifting averages of expert loads, from reports that lag, come twice or leave gaps.

#pragma once

#include "expertmap/expertmaptypes.h"

#include <map>
#include <optional>
#include <vector>

namespace daisymount::expertmap
{

/// What one rank reports of one layer over an interval.
struct LoadReport
{
    int layer = 0;
    int rank = 0;
    uint64_t sequence = 0; ///< Grows with each report of the rank and layer.
    Instant from{0};
    Instant to{0};
    std::vector<std::pair<int, double>> tokensOfExpert; ///< Tokens routed to the experts that the rank holds.
    double stepMs = 0.0; ///< Mean time that the rank itself needed per step.
};

enum class RankCondition : uint8_t {
    Normal,
    Overloaded, ///< Slow because it has more work than the others.
    Stalled, ///< Slow although it has no more work than the others: moving experts would not help.
};

class LoadTracker
{
public:
    /// @p halfLife: age at which a sample has lost half of its weight.
    LoadTracker(int layers, int ranks, int experts, Duration halfLife);

    /// Old and doubled reports are ignored.
    void onReport(const LoadReport &report);
    /// Tokens a second per expert of @p layer.
    std::vector<double> loads(int layer) const;
    RankCondition condition(int rank) const;
    /// True when every rank has reported @p layer at least once.
    bool complete(int layer) const;

private:
    struct RankState
    {
        std::optional<uint64_t> sequence;
        Instant to{0};
        std::map<int, double> rateOfExpert;
        double stepMs = 0.0;
        double rate = 0.0; ///< All tokens a second of the rank.
    };

    const RankState &state(int layer, int rank) const;

    int ranks_;
    int experts_;
    Duration halfLife_;
    std::vector<RankState> states_; ///< layers x ranks.
};

} // namespace daisymount::expertmap

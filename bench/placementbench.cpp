// Placement of experts: all sizes, three traces, three policies, one run.

#include "benches.h"
#include "table.h"

#include "expertmap/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <vector>

namespace daisymount::bench
{

namespace
{
using namespace expertmap;

enum class TraceKind {
    Drift,
    Jump,
    Flat,
};

struct Size
{
    int experts;
    int ranks;
    int layers;
};

constexpr double ZIPF_EXPONENT = 0.8;
constexpr int WINDOWS = 16;
constexpr double TOKENS_PER_WINDOW = 2e6;
constexpr double TRIGGER_SKEW = 1.03;

/// Popularity of one layer's experts, window by window.
class Trace
{
public:
    Trace(TraceKind kind, int experts, uint64_t seed) : kind_(kind), random_(seed), popularity_(static_cast<size_t>(experts))
    {
        for (size_t i = 0; i < popularity_.size(); ++i) {
            popularity_[i] = kind == TraceKind::Flat ? 1.0 : 1.0 / std::pow(static_cast<double>(i + 1), ZIPF_EXPONENT);
        }
        std::shuffle(popularity_.begin(), popularity_.end(), random_);
    }

    std::vector<double> next(int window)
    {
        if (kind_ == TraceKind::Drift) {
            std::normal_distribution<double> step(0.0, 0.05);
            for (double &weight : popularity_) {
                weight *= std::exp(step(random_));
            }
        } else if (kind_ == TraceKind::Jump && window % 5 == 4) {
            // Quotations in the morning, label dates in the evening: a quarter of the experts trade places.
            for (size_t i = 0; i < popularity_.size() / 4; ++i) {
                std::swap(popularity_[random_() % popularity_.size()], popularity_[random_() % popularity_.size()]);
            }
        }
        const double total = std::accumulate(popularity_.begin(), popularity_.end(), 0.0);
        std::vector<double> loads;
        for (const double weight : popularity_) {
            const double mean = TOKENS_PER_WINDOW * weight / total;
            std::normal_distribution<double> sample(mean, std::sqrt(mean));
            loads.push_back(std::max(0.0, sample(random_)));
        }
        return loads;
    }

private:
    TraceKind kind_;
    std::mt19937_64 random_;
    std::vector<double> popularity_;
};

struct Outcome
{
    double skew = 0.0; ///< Mean over the windows after the first change, measured on the next window's load.
    double moved = 0.0; ///< Experts moved per layer over the whole trace.
    double msPerLayer = 0.0; ///< Slowest single computation.
};

Outcome runPolicy(const PlacementPolicy &policy, const Size &size, TraceKind kind)
{
    Outcome outcome;
    int samples = 0;
    for (int layer = 0; layer < size.layers; ++layer) {
        Trace trace(kind, size.experts, static_cast<uint64_t>(layer + 1));
        LayerMap map = LayerMap::contiguous(size.ranks, size.experts / size.ranks + 1, size.experts);
        for (int window = 0; window < WINDOWS; ++window) {
            const std::vector<double> loads = trace.next(window);
            const double skew = skewOf(rankLoads(map, loads));
            if (window > 0) {
                outcome.skew += skew;
                ++samples;
            }
            if (skew < TRIGGER_SKEW) {
                continue;
            }
            const double before = cpuSeconds();
            const LayerMap next = policy(map, loads);
            outcome.msPerLayer = std::max(outcome.msPerLayer, (cpuSeconds() - before) * 1e3);
            outcome.moved += movedExperts(map, next);
            map = next;
        }
    }
    outcome.skew /= samples;
    outcome.moved /= size.layers;
    return outcome;
}

const char *nameOf(TraceKind kind)
{
    return kind == TraceKind::Drift ? "drift" : kind == TraceKind::Jump ? "jump" : "flat";
}
} // namespace

void benchPlacement()
{
    printTitle("Placement of experts (baseline: full recompute; skew is slowest rank over mean, on the window after the decision)");
    const Size sizes[] = {{16, 4, 8}, {32, 8, 8}, {64, 16, 8}, {128, 32, 60}};
    for (const Size &size : sizes) {
        PlacementOptions options;
        options.ranksPerVm = std::max(1, size.ranks / 4);
        options.maxMoves = size.experts / 4;
        options.targetSkew = 1.01;
        for (const TraceKind kind : {TraceKind::Drift, TraceKind::Jump, TraceKind::Flat}) {
            const std::string label = std::to_string(size.experts) + " experts, " + std::to_string(size.ranks) + " ranks, " + nameOf(kind) + ": ";
            const Outcome fixed = runPolicy(staticPlacement(), size, kind);
            const Outcome full = runPolicy(fullRecompute(options), size, kind);
            const Outcome incremental = runPolicy(incrementalPlacement(options), size, kind);
            printRow(label + "skew, static", "-", full.skew, fixed.skew, "-");
            const bool drift = kind == TraceKind::Drift;
            const bool skewMet = incremental.skew <= full.skew * 1.02 && (!drift || incremental.skew <= 1.05);
            printRow(label + "skew", drift ? "1.05, +2%" : "+2%", full.skew, incremental.skew, verdict(skewMet));
            if (kind == TraceKind::Flat) {
                printRow(label + "experts moved a layer", "0", full.moved, incremental.moved, verdict(incremental.moved == 0.0));
            } else {
                printRow(label + "experts moved a layer", "a quarter", full.moved, incremental.moved, verdict(incremental.moved <= full.moved / 4.0));
            }
            printRow(label + "slowest computation, ms", "10", full.msPerLayer, incremental.msPerLayer, verdict(incremental.msPerLayer < 10.0));
        }
    }
}

} // namespace daisymount::bench

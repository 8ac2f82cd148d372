// Pick policies.

#include "routing/pickpolicies.h"

#include "framework/hash.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace daisymount::routing
{

namespace
{
/// Load that a remote zone costs in comparisons, in units of the limit.
constexpr double REMOTE_ZONE_COST = 0.05;
/// Cost of an idle upstream, so that slowness counts there too.
constexpr double IDLE_COST = 0.1;
/// A prefix's first choice is taken while its load is at most this multiple of the mean.
constexpr double AFFINITY_LOAD_BOUND = 1.25;
/// Absolute allowance on top of the bound, so that affinity holds on an idle fleet.
constexpr double AFFINITY_LOAD_SLACK = 0.3;
/// Above this load a prefix's choice would make it queue.
constexpr double AFFINITY_MAX_LOAD = 1.0;
/// A later choice of a prefix must be cheaper by this much.
constexpr double SWITCH_MARGIN = 0.25;
/// A prefix's first choice is passed over when it is slower than this multiple of the median.
constexpr double AFFINITY_MAX_SLOWNESS = 2.0;
constexpr size_t AFFINITY_CHOICES = 2;
/// Random candidates that are compared.
constexpr size_t SAMPLES = 3;

double cost(const Candidate &candidate)
{
    const double zoneCost = candidate.sameZone ? 0.0 : REMOTE_ZONE_COST;
    return (candidate.load + IDLE_COST + zoneCost) * candidate.slowness;
}

std::vector<size_t> usable(std::span<const Candidate> candidates)
{
    std::vector<size_t> indices;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (!candidates[i].avoid) {
            indices.push_back(i);
        }
    }
    if (indices.empty()) {
        for (size_t i = 0; i < candidates.size(); ++i) {
            indices.push_back(i);
        }
    }
    return indices;
}

bool withinAffinityBound(const Candidate &candidate, double meanLoad)
{
    const double bound = std::min(meanLoad * AFFINITY_LOAD_BOUND + AFFINITY_LOAD_SLACK, AFFINITY_MAX_LOAD);
    return candidate.load <= std::max(bound, meanLoad) && candidate.slowness <= AFFINITY_MAX_SLOWNESS;
}

std::optional<size_t> byAffinity(std::span<const Candidate> candidates, std::span<const size_t> indices, uint64_t prefixHash)
{
    std::vector<std::pair<uint64_t, size_t>> ranked;
    double totalLoad = 0.0;
    for (const size_t index : indices) {
        ranked.emplace_back(framework::hash64(candidates[index].name, prefixHash), index);
        totalLoad += candidates[index].load;
    }
    const double meanLoad = totalLoad / static_cast<double>(indices.size());
    std::sort(ranked.rbegin(), ranked.rend());
    // The less loaded of a prefix's few choices: all of them come to hold its cache, and a common prefix burdens none alone.
    std::optional<size_t> best;
    for (size_t rank = 0; rank < std::min(AFFINITY_CHOICES, ranked.size()); ++rank) {
        const size_t index = ranked[rank].second;
        const bool better = !best || cost(candidates[index]) < cost(candidates[*best]) - SWITCH_MARGIN;
        if (better && withinAffinityBound(candidates[index], meanLoad)) {
            best = index;
        }
    }
    return best;
}

size_t bestOfSamples(std::span<const Candidate> candidates, std::vector<size_t> indices, RandomEngine &random)
{
    const size_t samples = std::min(SAMPLES, indices.size());
    size_t best = indices.front();
    for (size_t drawn = 0; drawn < samples; ++drawn) {
        std::uniform_int_distribution<size_t> position(drawn, indices.size() - 1);
        std::swap(indices[drawn], indices[position(random)]);
        if (drawn == 0 || cost(candidates[indices[drawn]]) < cost(candidates[best])) {
            best = indices[drawn];
        }
    }
    return best;
}
} // namespace

PickPolicy loadAwarePolicy()
{
    return [](std::span<const Candidate> candidates, const RouteQuery &query, RandomEngine &random) {
        std::vector<size_t> indices = usable(candidates);
        if (query.prefixHash != 0) {
            if (const auto preferred = byAffinity(candidates, indices, query.prefixHash)) {
                return *preferred;
            }
        }
        return bestOfSamples(candidates, std::move(indices), random);
    };
}

PickPolicy randomPolicy()
{
    return [](std::span<const Candidate> candidates, const RouteQuery & /*query*/, RandomEngine &random) {
        std::uniform_int_distribution<size_t> position(0, candidates.size() - 1);
        return position(random);
    };
}

PickPolicy roundRobinPolicy()
{
    return [next = std::make_shared<size_t>(0)](std::span<const Candidate> candidates, const RouteQuery & /*query*/, RandomEngine & /*random*/) {
        return (*next)++ % candidates.size();
    };
}

PickPolicy leastOutstandingPolicy()
{
    return [next = std::make_shared<size_t>(0)](std::span<const Candidate> candidates, const RouteQuery & /*query*/, RandomEngine & /*random*/) {
        const size_t start = (*next)++ % candidates.size();
        size_t best = start;
        for (size_t step = 1; step < candidates.size(); ++step) {
            const size_t index = (start + step) % candidates.size();
            if (candidates[index].ownInFlight < candidates[best].ownInFlight) {
                best = index;
            }
        }
        return best;
    };
}

} // namespace daisymount::routing

// Simulation of the passes of an engine group.

#include "emulator/lockstepgroup.h"

#include "expertmap/sampleplacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace daisymount::emulator
{

namespace
{
/// Power-law exponent of subject popularity.
constexpr double SUBJECT_EXPONENT = 0.7;
constexpr double MICROSECONDS_PER_MS = 1'000.0;

/// Returns power-law weights in random order, normalised to a sum of 1.
std::vector<double> drawWeights(int count, double exponent, std::mt19937_64 &random)
{
    std::vector<double> weights(static_cast<size_t>(count));
    for (size_t i = 0; i < weights.size(); ++i) {
        weights[i] = 1.0 / std::pow(static_cast<double>(i + 1), exponent);
    }
    const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::ranges::for_each(weights, [total](double &weight) { weight /= total; });
    std::ranges::shuffle(weights, random);
    return weights;
}
} // namespace

LockStepGroup::LockStepGroup(const GroupShape &shape, uint64_t seed)
    : shape_(shape)
    , random_(seed)
    , ranks_(static_cast<size_t>(shape.ranks))
    , popularity_(drawWeights(shape.subjects, SUBJECT_EXPONENT, random_))
    , map_(static_cast<size_t>(shape.sets), expertmap::roundRobinPlacement(shape.ranks, shape.experts))
    , counts_(static_cast<size_t>(shape.ranks))
{
    std::vector<std::vector<double>> commonWeights;
    commonWeights.reserve(static_cast<size_t>(shape.sets));
    for (int set = 0; set < shape.sets; ++set) {
        commonWeights.push_back(drawWeights(shape.experts, shape.subjectExponent, random_));
    }
    for (int subject = 0; subject < shape.subjects; ++subject) {
        std::vector<std::vector<double>> sets;
        for (int set = 0; set < shape.sets; ++set) {
            std::vector<double> own = drawWeights(shape.experts, shape.subjectExponent, random_);
            const std::vector<double> &shared = commonWeights[static_cast<size_t>(set)];
            std::ranges::transform(own, shared, own.begin(), [&](double specific, double common) { return std::lerp(specific, common, shape.commonFraction); });
            sets.push_back(std::move(own));
        }
        expertPreference_.push_back(std::move(sets));
    }
    for (expertmap::ExpertCounts &counts : counts_) {
        counts.epoch = 1;
        counts.chosen.assign(static_cast<size_t>(shape.sets), std::vector<int64_t>(static_cast<size_t>(shape.experts)));
    }
}

bool LockStepGroup::admit(const EmulatedRequest &request)
{
    const auto least = std::ranges::min_element(ranks_, {}, [](const auto &requests) { return requests.size(); });
    if (static_cast<int>(least->size()) >= shape_.slots) {
        return false;
    }
    least->push_back({request, request.promptTokens, request.events});
    return true;
}

double LockStepGroup::processRank(std::vector<Running> &requests, std::vector<double> &tokens, std::vector<PassEvent> &events) const
{
    int decoding = 0;
    int prefillBudget = shape_.chunkTokens * shape_.stepsPerPass;
    double prefilled = 0.0;
    for (Running &running : requests) {
        if (running.promptTokensLeft > 0) {
            const int chunk = std::min(running.promptTokensLeft, prefillBudget);
            running.promptTokensLeft -= chunk;
            prefillBudget -= chunk;
            prefilled += chunk;
            tokens[static_cast<size_t>(running.request.subject)] += chunk;
            if (running.promptTokensLeft > 0) {
                continue;
            }
        }
        ++decoding;
        --running.eventsLeft;
        tokens[static_cast<size_t>(running.request.subject)] += static_cast<double>(shape_.stepsPerPass) * shape_.answersPerStream;
        events.push_back({running.request.id, running.eventsLeft == 0});
    }
    std::erase_if(requests, [](const Running &running) { return running.eventsLeft == 0; });
    return shape_.stepsPerPass * (shape_.stepMs + shape_.stepMsPerSequence * decoding) + prefilled / shape_.promptTokensPerMs;
}

void LockStepGroup::selectExperts(int rank, const std::vector<double> &tokens, std::vector<std::vector<double>> &loads)
{
    expertmap::ExpertCounts &counts = counts_[static_cast<size_t>(rank)];
    for (size_t subject = 0; subject < tokens.size(); ++subject) {
        if (tokens[subject] <= 0.0) {
            continue;
        }
        for (size_t set = 0; set < loads.size(); ++set) {
            const std::vector<double> &preferred = expertPreference_[subject][set];
            for (size_t expert = 0; expert < preferred.size(); ++expert) {
                const double chosen = tokens[subject] * shape_.selectionsPerToken * preferred[expert];
                loads[set][expert] += chosen;
                counts.chosen[set][expert] += std::llround(chosen);
            }
        }
    }
    counts.lastPass = passes_;
}

double LockStepGroup::skewOf(const std::vector<std::vector<double>> &loads) const
{
    double sum = 0.0;
    for (size_t set = 0; set < loads.size(); ++set) {
        const double total = std::accumulate(loads[set].begin(), loads[set].end(), 0.0);
        if (total <= 0.0) {
            sum += 1.0;
            continue;
        }
        std::vector<int> replicas(loads[set].size());
        for (const expertmap::RankExperts &experts : map_[set]) {
            std::ranges::for_each(experts, [&](int expert) { ++replicas[static_cast<size_t>(expert)]; });
        }
        double maxLoad = 0.0;
        for (const expertmap::RankExperts &experts : map_[set]) {
            double load = 0.0;
            for (const int expert : experts) {
                load += loads[set][static_cast<size_t>(expert)] / replicas[static_cast<size_t>(expert)];
            }
            maxLoad = std::max(maxLoad, load);
        }
        sum += maxLoad * shape_.ranks / total;
    }
    return sum / static_cast<double>(loads.size());
}

PassResult LockStepGroup::pass()
{
    PassResult result;
    ++passes_;
    double slowestMs = 0.0;
    double sum = 0.0;
    std::vector<std::vector<double>> loads(static_cast<size_t>(shape_.sets), std::vector<double>(static_cast<size_t>(shape_.experts)));
    for (size_t rank = 0; rank < ranks_.size(); ++rank) {
        std::vector<double> tokens(static_cast<size_t>(shape_.subjects));
        const double rankMs = processRank(ranks_[rank], tokens, result.events);
        slowestMs = std::max(slowestMs, rankMs);
        sum += rankMs;
        selectExperts(static_cast<int>(rank), tokens, loads);
    }
    result.skew = skewOf(loads);
    // The expert work of all ranks is pooled and distributed by the map, regardless of the rank whose tokens caused it.
    const double ms = (1.0 - shape_.expertShare) * slowestMs + shape_.expertShare * result.skew * sum / shape_.ranks;
    result.length = Duration{static_cast<int64_t>(ms * MICROSECONDS_PER_MS)};
    return result;
}

void LockStepGroup::shiftDemand(double fraction)
{
    for (auto &sets : expertPreference_) {
        for (std::vector<double> &preferred : sets) {
            const auto swaps = static_cast<size_t>(fraction * static_cast<double>(preferred.size()));
            for (size_t i = 0; i < swaps; ++i) {
                std::swap(preferred[random_() % preferred.size()], preferred[random_() % preferred.size()]);
            }
        }
    }
    std::ranges::shuffle(popularity_, random_);
}

void LockStepGroup::setMap(expertmap::GroupMap map)
{
    map_ = std::move(map);
}

const expertmap::GroupMap &LockStepGroup::map() const
{
    return map_;
}

const expertmap::ExpertCounts &LockStepGroup::counts(int rank) const
{
    return counts_[static_cast<size_t>(rank)];
}

int LockStepGroup::running() const
{
    return std::accumulate(ranks_.begin(), ranks_.end(), 0, [](int sum, const auto &requests) { return sum + static_cast<int>(requests.size()); });
}

const GroupShape &LockStepGroup::shape() const
{
    return shape_;
}

int LockStepGroup::drawSubject()
{
    return std::discrete_distribution<int>(popularity_.begin(), popularity_.end())(random_);
}

} // namespace daisymount::emulator

// Searches the sets of a map one after the other.

#include "expertmap/mapsearch.h"

#include <algorithm>
#include <limits>

namespace daisymount::expertmap
{

namespace
{
/// Distance between the sets in which consecutive ranks make their first copies; has no common divisor with usual numbers of sets.
constexpr int64_t SET_STRIDE = 5;
/// One in this many samples is held out.
constexpr size_t HELD_OUT_DIVISOR = 3;
} // namespace

int copiesWithin(framework::Duration limit, framework::Duration copyTime)
{
    if (copyTime.count() <= 0) {
        return std::numeric_limits<int>::max(); // Not published.
    }
    return static_cast<int>(std::max<int64_t>(1, limit / copyTime));
}

double meanMapSkew(const GroupMap &map, int experts, std::span<const LoadSample> samples)
{
    if (map.empty() || samples.empty()) {
        return 1.0;
    }
    double skew = 0.0;
    for (size_t set = 0; set < map.size(); ++set) {
        std::vector<SetSample> loads;
        for (const LoadSample &sample : samples) {
            loads.push_back(sample[set]);
        }
        skew += meanSampleSkew(map[set], experts, loads) / static_cast<double>(map.size());
    }
    return skew;
}

SplitSamples splitSamples(std::span<const LoadSample> samples)
{
    SplitSamples split;
    for (size_t i = 0; i < samples.size(); ++i) {
        (i % HELD_OUT_DIVISOR == HELD_OUT_DIVISOR - 1 ? split.heldOut : split.training).push_back(samples[i]);
    }
    return split;
}

MapSearch::MapSearch(const MapSearchOptions &options, GroupMap current, std::vector<LoadSample> samples, uint64_t seed)
    : options_(options)
    , map_(std::move(current))
    , samples_(std::move(samples))
    , random_(static_cast<unsigned>(seed))
    , allowance_(map_.empty() ? 0 : map_.front().size(), options.maxAddedPerRank)
    , granted_(allowance_.size())
{
    beginSet();
}

void MapSearch::beginSet()
{
    search_.reset();
    proposals_ = 0;
    if (set_ >= map_.size()) {
        return;
    }
    std::vector<SetSample> samples;
    samples.reserve(samples_.size());
    std::ranges::transform(samples_, std::back_inserter(samples), [this](const LoadSample &sample) { return sample[set_]; });
    const PlacementBounds bounds{static_cast<int>(map_[set_].size()), options_.experts, options_.maxExpertsPerRank, options_.maxAddedPerRankAndSet,
                                 options_.copyCost};
    const std::vector<int> allowance = setAllowance();
    search_.emplace(bounds, map_[set_], std::move(samples), random_(), allowance);
}

std::vector<int> MapSearch::setAllowance()
{
    if (!options_.spreadCopies) {
        return allowance_;
    }
    // With fewer copies than sets, the ranks get theirs in different sets, so that each set has about as many.
    const auto sets = static_cast<int64_t>(map_.size());
    const int64_t copies = std::min<int64_t>(options_.maxAddedPerRank, sets * options_.maxAddedPerRankAndSet);
    std::vector<int> allowance(allowance_.size());
    for (size_t rank = 0; rank < allowance.size(); ++rank) {
        const int64_t position = (static_cast<int64_t>(set_) + static_cast<int64_t>(rank) * SET_STRIDE) % sets;
        granted_[rank] += static_cast<int>((position + 1) * copies / sets - position * copies / sets);
        const int used = options_.maxAddedPerRank - allowance_[rank];
        allowance[rank] = std::clamp(granted_[rank] - used, 0, allowance_[rank]);
    }
    return allowance;
}

void MapSearch::finishSet()
{
    initialSkewSum_ += search_->initialSkew();
    skewSum_ += search_->skew();
    copies_ += search_->copies();
    for (size_t rank = 0; rank < allowance_.size(); ++rank) {
        allowance_[rank] -= search_->copiesOf(static_cast<int>(rank));
    }
    map_[set_] = search_->placement();
    ++set_;
    beginSet();
}

bool MapSearch::improve(int proposals)
{
    if (!search_) {
        return false;
    }
    proposals_ += proposals;
    if (!search_->improve(proposals) || proposals_ >= options_.maxProposalsPerSet) {
        finishSet();
    }
    return search_.has_value();
}

const GroupMap &MapSearch::map() const
{
    return map_;
}

double MapSearch::initialSkew() const
{
    return set_ == 0 ? 1.0 : initialSkewSum_ / static_cast<double>(set_);
}

double MapSearch::skew() const
{
    return set_ == 0 ? 1.0 : skewSum_ / static_cast<double>(set_);
}

int MapSearch::copies() const
{
    return copies_;
}

int MapSearch::maxCopiesOfARank() const
{
    return allowance_.empty() ? 0 : options_.maxAddedPerRank - std::ranges::min(allowance_);
}

} // namespace daisymount::expertmap

// Searches the sets of a map one after the other.

#include "expertmap/mapsearch.h"

#include <algorithm>
#include <limits>

namespace daisymount::expertmap
{

int copiesWithin(framework::Duration limit, framework::Duration copyTime)
{
    if (copyTime.count() <= 0) {
        return std::numeric_limits<int>::max(); // Not published.
    }
    return static_cast<int>(std::max<int64_t>(1, limit / copyTime));
}

MapSearch::MapSearch(const MapSearchOptions &options, GroupMap current, std::vector<LoadSample> samples, uint64_t seed)
    : options_(options)
    , map_(std::move(current))
    , samples_(std::move(samples))
    , random_(static_cast<unsigned>(seed))
    , allowance_(map_.empty() ? 0 : map_.front().size(), options.maxAddedPerRank)
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
    search_.emplace(bounds, map_[set_], std::move(samples), random_(), allowance_);
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

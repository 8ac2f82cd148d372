// Selection of the ranks to be sampled.

#include "expertmap/sampledranks.h"

#include <algorithm>

namespace daisymount::expertmap
{

void SampledRanks::reset(std::vector<bool> sameZone)
{
    ranks_.assign(sameZone.size(), Rank{});
    for (size_t rank = 0; rank < ranks_.size(); ++rank) {
        ranks_[rank].sameZone = sameZone[rank];
    }
}

void SampledRanks::onRead(int rank, int64_t selections)
{
    if (rank < 0 || static_cast<size_t>(rank) >= ranks_.size()) {
        return;
    }
    Rank &read = ranks_[static_cast<size_t>(rank)];
    read.unchangedReads = selections != read.selections ? 0 : read.unchangedReads + 1;
    read.selections = selections;
}

SampledRanks::Selection SampledRanks::select(int limit, int sameZoneLimit)
{
    std::vector<int> sameZone;
    std::vector<int> others;
    for (size_t i = 0; i < ranks_.size(); ++i) {
        const size_t rank = (i + firstOther_) % ranks_.size();
        if (!isIdle(ranks_[rank])) {
            (ranks_[rank].sameZone ? sameZone : others).push_back(static_cast<int>(rank));
        }
    }
    // The pass time is measured at the first selected rank, which therefore has to stay the same.
    std::ranges::sort(sameZone);
    Selection selection;
    selection.sameZoneOnly = static_cast<int>(sameZone.size()) >= limit;
    selection.ranks = std::move(sameZone);
    if (!selection.sameZoneOnly) {
        selection.ranks.insert(selection.ranks.end(), others.begin(), others.end());
        firstOther_ = ranks_.empty() ? 0 : (firstOther_ + 1) % ranks_.size();
    }
    selection.ranks.resize(std::min<size_t>(selection.ranks.size(), static_cast<size_t>(selection.sameZoneOnly ? sameZoneLimit : limit)));
    for (size_t i = 0; i < ranks_.size(); ++i) {
        const size_t rank = (nextProbe_ + i) % ranks_.size();
        if (isIdle(ranks_[rank])) {
            selection.ranks.push_back(static_cast<int>(rank));
            nextProbe_ = rank + 1;
            break;
        }
    }
    return selection;
}

int SampledRanks::idleRanks() const
{
    return static_cast<int>(std::ranges::count_if(ranks_, [this](const Rank &rank) { return isIdle(rank); }));
}

} // namespace daisymount::expertmap

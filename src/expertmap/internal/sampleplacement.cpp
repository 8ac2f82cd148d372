// Local search that replicates, replaces and swaps experts.

#include "expertmap/sampleplacement.h"

#include <algorithm>
#include <array>

namespace daisymount::expertmap
{

namespace
{
constexpr double MIN_GAIN = 1e-5; ///< A smaller gain may be a rounding error.
constexpr int LIGHT_RANK_CANDIDATES = 3; ///< Random ranks compared when choosing a lightly loaded one.
} // namespace

std::vector<RankExperts> roundRobinPlacement(int ranks, int experts)
{
    std::vector<RankExperts> placement(static_cast<size_t>(ranks));
    for (int expert = 0; expert < experts; ++expert) {
        placement[static_cast<size_t>(expert % ranks)].push_back(expert);
    }
    return placement;
}

double meanSampleSkew(std::span<const RankExperts> placement, int experts, std::span<const SetSample> samples)
{
    const PlacementBounds bounds{static_cast<int>(placement.size()), experts, experts, experts, 0.0};
    return SamplePlacement(bounds, placement, {samples.begin(), samples.end()}, 1).skew();
}

SamplePlacement::SamplePlacement(const PlacementBounds &bounds, std::span<const RankExperts> current, std::vector<SetSample> samples, uint64_t seed,
                                 std::span<const int> allowance)
    : bounds_(bounds)
    , sampleCount_(samples.size())
    , expertLoads_(static_cast<size_t>(bounds.experts) * sampleCount_)
    , loads_(static_cast<size_t>(bounds.ranks) * sampleCount_)
    , expertsOf_(static_cast<size_t>(bounds.ranks))
    , holdersOf_(static_cast<size_t>(bounds.experts))
    , holds_(static_cast<size_t>(bounds.ranks) * static_cast<size_t>(bounds.experts))
    , allowance_(static_cast<size_t>(bounds.ranks), bounds.maxAddedPerRank)
    , added_(static_cast<size_t>(bounds.ranks))
    , peaks_(sampleCount_)
    , trialPeaks_(sampleCount_)
    , random_(static_cast<unsigned>(seed))
{
    std::ranges::transform(allowance, allowance_.begin(), [&bounds](int copies) { return std::clamp(copies, 0, bounds.maxAddedPerRank); });
    for (int rank = 0; rank < bounds_.ranks; ++rank) {
        for (const int expert : current[static_cast<size_t>(rank)]) {
            holds_[indexOf(rank, expert)] = 1;
            RankExperts &experts = expertsOf_[static_cast<size_t>(rank)];
            experts.insert(std::ranges::lower_bound(experts, expert), expert);
            holdersOf_[static_cast<size_t>(expert)].push_back(rank);
        }
    }
    initiallyHeld_ = holds_;
    for (int expert = 0; expert < bounds_.experts; ++expert) {
        for (size_t sample = 0; sample < sampleCount_; ++sample) {
            expertLoads_[static_cast<size_t>(expert) * sampleCount_ + sample]
                = samples[sample][static_cast<size_t>(expert)] * static_cast<float>(bounds_.ranks);
        }
        addLoad(expert, 1.0F);
    }
    for (size_t sample = 0; sample < sampleCount_; ++sample) {
        peaks_[sample] = peakOf(sample);
        peakSum_ += peaks_[sample].load;
    }
    initialSkew_ = skew();
    cost_ = initialSkew_;
}

bool SamplePlacement::improve(int proposals)
{
    if (sampleCount_ == 0) {
        return false;
    }
    for (int i = 0; i < proposals && rejectedInRow_ < CONVERGED_AFTER; ++i) {
        rejectedInRow_ = propose() ? 0 : rejectedInRow_ + 1;
    }
    return rejectedInRow_ < CONVERGED_AFTER;
}

bool SamplePlacement::propose()
{
    const size_t sample = random_() % sampleCount_;
    const int from = peaks_[sample].rank;
    const int expert = pickHeavyExpert(sample, from);
    const int to = expert < 0 ? -1 : pickLightRank(sample, expert);
    if (to < 0) {
        return false;
    }
    const Change copy{expert, to, true};
    if (static_cast<int>(expertsOf_[static_cast<size_t>(to)].size()) < bounds_.maxExpertsPerRank && tryChanges(std::array{copy})) {
        return true;
    }
    const int redundant = pickRedundantExpert(sample, to, expert);
    if (redundant >= 0 && tryChanges(std::array{Change{redundant, to, false}, copy})) {
        return true;
    }
    const int light = pickLightExpert(sample, to, expert);
    if (light < 0 || holds(from, light)) {
        return false;
    }
    return tryChanges(std::array{copy, Change{light, from, true}, Change{expert, from, false}, Change{light, to, false}});
}

bool SamplePlacement::tryChanges(std::span<const Change> changes)
{
    const auto isFirstOfExpert
        = [&](const Change &change) { return std::ranges::find(changes, change.expert, &Change::expert) == changes.begin() + (&change - changes.data()); };
    const auto addLoads = [&](float sign) {
        for (const Change &change : changes) {
            if (isFirstOfExpert(change)) {
                addLoad(change.expert, sign);
            }
        }
    };
    touched_.clear();
    for (const Change &change : changes) {
        markTouched(change.rank);
        for (const int holder : holdersOf_[static_cast<size_t>(change.expert)]) {
            markTouched(holder);
        }
    }
    saveTouched();
    const int copiesBefore = copies_;
    addLoads(-1.0F);
    std::ranges::for_each(changes, [&](const Change &change) { updateLists(change); });
    const bool valid = std::ranges::all_of(changes, [&](const Change &change) { return isWithinBounds(change); });
    // Skip the evaluation if the copies cost more than a perfectly balanced placement could gain.
    const bool affordable = bounds_.copyCost * (copies_ - copiesBefore) < skew() - 1.0;
    if (valid && affordable) {
        addLoads(1.0F);
        const double nextSum = computeTrialPeaks();
        const double next = nextSum / static_cast<double>(sampleCount_) + bounds_.copyCost * copies_;
        if (next < cost_ - MIN_GAIN) {
            cost_ = next;
            peakSum_ = nextSum;
            std::swap(peaks_, trialPeaks_);
            return true;
        }
    }
    std::for_each(changes.rbegin(), changes.rend(), [&](Change change) {
        change.add = !change.add;
        updateLists(change);
    });
    restoreTouched();
    return false;
}

void SamplePlacement::markTouched(int rank)
{
    if (std::ranges::find(touched_, rank) == touched_.end()) {
        touched_.push_back(rank);
    }
}

void SamplePlacement::saveTouched()
{
    savedLoads_.resize(touched_.size() * sampleCount_);
    for (size_t i = 0; i < touched_.size(); ++i) {
        const float *loads = &loads_[static_cast<size_t>(touched_[i]) * sampleCount_];
        std::copy_n(loads, sampleCount_, &savedLoads_[i * sampleCount_]);
    }
}

void SamplePlacement::restoreTouched()
{
    for (size_t i = 0; i < touched_.size(); ++i) {
        std::copy_n(&savedLoads_[i * sampleCount_], sampleCount_, &loads_[static_cast<size_t>(touched_[i]) * sampleCount_]);
    }
}

double SamplePlacement::computeTrialPeaks()
{
    double sum = 0.0;
    for (size_t sample = 0; sample < sampleCount_; ++sample) {
        Peak peak{0.0F, touched_.front()};
        for (const int rank : touched_) {
            const float rankLoad = load(sample, rank);
            peak = rankLoad > peak.load ? Peak{rankLoad, rank} : peak;
        }
        const Peak &previous = peaks_[sample];
        if (peak.load < previous.load) {
            const bool previousUnaffected = std::ranges::find(touched_, previous.rank) == touched_.end();
            peak = previousUnaffected ? previous : peakOf(sample);
        }
        trialPeaks_[sample] = peak;
        sum += peak.load;
    }
    return sum;
}

SamplePlacement::Peak SamplePlacement::peakOf(size_t sample) const
{
    Peak peak{load(sample, 0), 0};
    for (int rank = 1; rank < bounds_.ranks; ++rank) {
        const float rankLoad = load(sample, rank);
        peak = rankLoad > peak.load ? Peak{rankLoad, rank} : peak;
    }
    return peak;
}

bool SamplePlacement::isWithinBounds(const Change &change) const
{
    const auto rank = static_cast<size_t>(change.rank);
    return static_cast<int>(expertsOf_[rank].size()) <= bounds_.maxExpertsPerRank && added_[rank] <= allowance_[rank]
        && !holdersOf_[static_cast<size_t>(change.expert)].empty();
}

void SamplePlacement::updateLists(const Change &change)
{
    RankExperts &experts = expertsOf_[static_cast<size_t>(change.rank)];
    std::vector<int> &holders = holdersOf_[static_cast<size_t>(change.expert)];
    const size_t index = indexOf(change.rank, change.expert);
    if (change.add) {
        experts.insert(std::ranges::lower_bound(experts, change.expert), change.expert);
        holders.push_back(change.rank);
    } else {
        std::erase(experts, change.expert);
        std::erase(holders, change.rank);
    }
    holds_[index] = change.add ? 1 : 0;
    if (initiallyHeld_[index] == 0) {
        added_[static_cast<size_t>(change.rank)] += change.add ? 1 : -1;
        copies_ += change.add ? 1 : -1;
    }
}

void SamplePlacement::addLoad(int expert, float sign)
{
    const std::vector<int> &holders = holdersOf_[static_cast<size_t>(expert)];
    if (holders.empty()) {
        return;
    }
    const float loadPart = sign / static_cast<float>(holders.size());
    const float *loadsOfExpert = &expertLoads_[static_cast<size_t>(expert) * sampleCount_];
    for (const int rank : holders) {
        float *loads = &loads_[static_cast<size_t>(rank) * sampleCount_];
        for (size_t sample = 0; sample < sampleCount_; ++sample) {
            loads[sample] += loadsOfExpert[sample] * loadPart;
        }
    }
}

double SamplePlacement::skew() const
{
    return sampleCount_ == 0 ? 1.0 : peakSum_ / static_cast<double>(sampleCount_);
}

double SamplePlacement::initialSkew() const
{
    return initialSkew_;
}

int SamplePlacement::copiesOf(int rank) const
{
    return added_[static_cast<size_t>(rank)];
}

int SamplePlacement::copies() const
{
    return copies_;
}

std::vector<RankExperts> SamplePlacement::placement() const
{
    return expertsOf_;
}

int SamplePlacement::pickHeavyExpert(size_t sample, int rank)
{
    const RankExperts &experts = expertsOf_[static_cast<size_t>(rank)];
    float total = 0.0F;
    for (const int expert : experts) {
        total += share(sample, expert);
    }
    float point = total * static_cast<float>(random_()) / static_cast<float>(std::minstd_rand::max());
    for (const int expert : experts) {
        point -= share(sample, expert);
        if (point <= 0.0F) {
            return expert;
        }
    }
    return -1;
}

int SamplePlacement::pickLightRank(size_t sample, int expert)
{
    int best = -1;
    for (int i = 0; i < LIGHT_RANK_CANDIDATES; ++i) {
        const int rank = static_cast<int>(random_() % static_cast<unsigned>(bounds_.ranks));
        if (!holds(rank, expert) && (best < 0 || load(sample, rank) < load(sample, best))) {
            best = rank;
        }
    }
    return best;
}

int SamplePlacement::pickRedundantExpert(size_t sample, int rank, int except) const
{
    int best = -1;
    for (const int expert : expertsOf_[static_cast<size_t>(rank)]) {
        if (expert == except || holdersOf_[static_cast<size_t>(expert)].size() < 2) {
            continue;
        }
        if (best < 0 || share(sample, expert) < share(sample, best)) {
            best = expert;
        }
    }
    return best;
}

int SamplePlacement::pickLightExpert(size_t sample, int rank, int except) const
{
    int best = -1;
    for (const int expert : expertsOf_[static_cast<size_t>(rank)]) {
        if (expert == except || holdersOf_[static_cast<size_t>(expert)].size() != 1) {
            continue;
        }
        if (best < 0 || share(sample, expert) < share(sample, best)) {
            best = expert;
        }
    }
    return best;
}

float SamplePlacement::load(size_t sample, int rank) const
{
    return loads_[static_cast<size_t>(rank) * sampleCount_ + sample];
}

float SamplePlacement::share(size_t sample, int expert) const
{
    return expertLoads_[static_cast<size_t>(expert) * sampleCount_ + sample] / static_cast<float>(holdersOf_[static_cast<size_t>(expert)].size());
}

size_t SamplePlacement::indexOf(int rank, int expert) const
{
    return static_cast<size_t>(rank) * static_cast<size_t>(bounds_.experts) + static_cast<size_t>(expert);
}

bool SamplePlacement::holds(int rank, int expert) const
{
    return holds_[indexOf(rank, expert)] != 0;
}

} // namespace daisymount::expertmap

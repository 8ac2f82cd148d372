// Event loop of an experiment: request arrivals, admission, passes and expert-map changes.

#include "emulator/experiment.h"

#include "expertmap/loadsamples.h"
#include "expertmap/mapsearch.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace daisymount::emulator
{

namespace
{
/// Sampling and planning intervals of the gateways' map controller.
constexpr milliseconds SAMPLE_INTERVAL{100};
constexpr milliseconds PLAN_INTERVAL{300};
constexpr milliseconds SUMMED_COUNTS_INTERVAL{3'600};
/// Time from planning a map until it is in force, excluding the expert copies.
constexpr milliseconds SWITCH_DURATION{180};
constexpr double MIN_SKEW_GAIN = 0.1;
constexpr int PROPOSALS_PER_SLICE = 1'000;
/// Factor by which passes are longer while ranks copy experts.
constexpr double COPYING_SLOWDOWN = 1.15;
constexpr int64_t MIN_NEW_SAMPLES = 8;

struct Caller
{
    EmulatedRequest request;
    Instant arrivedAt{0};
    Instant lastEvent{0};
    Duration longestPause{0};
};

milliseconds percentile(std::vector<Duration> values, double fraction)
{
    if (values.empty()) {
        return milliseconds{0};
    }
    const auto index = std::min(values.size() - 1, static_cast<size_t>(fraction * static_cast<double>(values.size())));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(index));
    return std::chrono::duration_cast<milliseconds>(values[index]);
}

/// Samples the expert counts of the group and replaces its map according to the policy.
class MapController
{
public:
    MapController(const ExperimentOptions &options, LockStepGroup &group) : options_(options), group_(group), random_(static_cast<unsigned>(options.seed))
    { }

    void update(Instant now, ExperimentResult &result)
    {
        if (switchAt_ != Instant{0} && now >= switchAt_) {
            group_.setMap(std::move(pendingMap_));
            switchAt_ = Instant{0};
            nextPlan_ = now + (options_.policy == MapPolicy::SummedCounts ? SUMMED_COUNTS_INTERVAL : PLAN_INTERVAL);
        }
        if (options_.policy == MapPolicy::RoundRobin || now < nextSample_) {
            return;
        }
        nextSample_ = now + SAMPLE_INTERVAL;
        for (int rank = 0; rank < group_.shape().ranks; ++rank) {
            samples_.onCounts(rank, group_.counts(rank));
        }
        const bool enoughSamples = samples_.totalSamples() - samplesAtPlan_ >= MIN_NEW_SAMPLES;
        if (enoughSamples && switchAt_ == Instant{0} && now >= nextPlan_) {
            plan(now, result);
        }
    }

    bool copying(Instant now) const
    {
        return now < copyingUntil_;
    }

private:
    /// Samples to be balanced, or their mean for the policy that balances sums.
    std::vector<expertmap::LoadSample> samplesToBalance() const
    {
        std::vector<expertmap::LoadSample> samples(samples_.samples().begin(), samples_.samples().end());
        if (options_.policy != MapPolicy::SummedCounts || samples.empty()) {
            return samples;
        }
        for (size_t set = 0; set < samples[0].size(); ++set) {
            for (size_t i = 1; i < samples.size(); ++i) {
                std::ranges::transform(samples[0][set], samples[i][set], samples[0][set].begin(), std::plus{});
            }
            std::ranges::for_each(samples[0][set], [&](float &load) { load /= static_cast<float>(samples.size()); });
        }
        samples.resize(1);
        return samples;
    }

    void plan(Instant now, ExperimentResult &result)
    {
        samplesAtPlan_ = samples_.totalSamples();
        nextPlan_ = now + PLAN_INTERVAL;
        const GroupShape &shape = group_.shape();
        expertmap::MapSearchOptions searchOptions;
        searchOptions.experts = shape.experts;
        searchOptions.maxExpertsPerRank = shape.placements;
        searchOptions.maxAddedPerRankAndSet = shape.spares;
        searchOptions.maxAddedPerRank = expertmap::copiesWithin(options_.maxCopyTime, shape.copyTime);
        searchOptions.copyCost = options_.copyCost;
        expertmap::MapSearch search(searchOptions, group_.map(), samplesToBalance(), random_());
        while (search.improve(PROPOSALS_PER_SLICE)) { }
        if (search.initialSkew() - search.skew() < MIN_SKEW_GAIN) {
            return;
        }
        result.copies += search.copies();
        ++result.changes;
        pendingMap_ = search.map();
        copyingUntil_ = now + shape.copyTime * search.maxCopiesOfARank();
        switchAt_ = copyingUntil_ + SWITCH_DURATION;
    }

    const ExperimentOptions &options_;
    LockStepGroup &group_;
    std::minstd_rand random_;
    expertmap::LoadSamples samples_{{}};
    expertmap::GroupMap pendingMap_;
    Instant switchAt_{0}; ///< Time at which pendingMap_ takes effect; 0 if no change is in progress.
    Instant copyingUntil_{0};
    Instant nextSample_{0};
    Instant nextPlan_{0};
    int64_t samplesAtPlan_ = 0;
};

/// Generates requests and tracks each one from arrival to its last event.
class CallerPool
{
public:
    CallerPool(const ExperimentOptions &options, LockStepGroup &group)
        : options_(options), group_(group), random_(options.seed * 7919 + 1), admission_(options.admission, options.seed)
    { }

    void generateArrivals(Instant until, ExperimentResult &result)
    {
        std::exponential_distribution<double> gap(options_.requestsPerSecond);
        std::exponential_distribution<double> size(1.0);
        while (nextArrival_ <= until) {
            EmulatedRequest request;
            request.id = nextId_++;
            request.promptTokens = 1 + static_cast<int>(options_.meanPromptTokens * std::min(3.0, size(random_)));
            request.events = 1 + static_cast<int>(options_.meanEvents * std::min(2.5, size(random_)));
            request.subject = group_.drawSubject();
            waiting_.push_back({request, nextArrival_, Instant{0}, Duration{0}});
            ++result.arrived;
            nextArrival_ += Duration{1 + static_cast<int64_t>(gap(random_) * 1e6)};
        }
    }

    void admit(Instant now, bool passesSeen, ExperimentResult &result)
    {
        const GroupShape &shape = group_.shape();
        dispatch::AdmissionView view;
        view.engines = shape.ranks;
        view.slotsPerEngine = shape.slots;
        view.passTimeKnown = passesSeen;
        view.left = std::chrono::seconds{8};
        for (auto caller = waiting_.begin(); caller != waiting_.end();) {
            view.inFlight = group_.running();
            view.ownInFlight = view.inFlight;
            view.waited = now - caller->arrivedAt;
            const dispatch::Admission decision = admission_.decide(view).admission;
            if (decision == dispatch::Admission::Admit && group_.admit(caller->request)) {
                running_.emplace(caller->request.id, *caller);
                caller = waiting_.erase(caller);
            } else if (decision == dispatch::Admission::Refuse) {
                ++result.refused;
                caller = waiting_.erase(caller);
            } else {
                ++caller;
            }
        }
    }

    void deliver(const PassResult &pass, Instant now, ExperimentResult &result)
    {
        for (const PassEvent &event : pass.events) {
            Caller &caller = running_.at(event.id);
            if (caller.lastEvent == Instant{0}) {
                firstEventLatencies_.push_back(now - caller.arrivedAt);
            } else {
                caller.longestPause = std::max(caller.longestPause, now - caller.lastEvent);
            }
            const bool firstInTime = caller.lastEvent != Instant{0} || now - caller.arrivedAt <= options_.firstObjective;
            missedObjective_[event.id] = missedObjective_[event.id] || !firstInTime || caller.longestPause > options_.pauseObjective;
            caller.lastEvent = now;
            if (event.last) {
                (missedObjective_[event.id] ? result.late : result.onTime) += 1;
                longestPauses_.push_back(caller.longestPause);
                missedObjective_.erase(event.id);
                running_.erase(event.id);
            }
        }
    }

    void finish(ExperimentResult &result) const
    {
        result.firstP50 = percentile(firstEventLatencies_, 0.5);
        result.firstP99 = percentile(firstEventLatencies_, 0.99);
        result.pauseP99 = percentile(longestPauses_, 0.99);
    }

private:
    const ExperimentOptions &options_;
    LockStepGroup &group_;
    std::mt19937_64 random_;
    dispatch::EngineAdmission admission_;
    std::deque<Caller> waiting_;
    std::map<int64_t, Caller> running_; ///< Keyed by request id.
    std::map<int64_t, bool> missedObjective_; ///< Keyed by request id.
    std::vector<Duration> firstEventLatencies_;
    std::vector<Duration> longestPauses_;
    Instant nextArrival_{1};
    int64_t nextId_ = 1;
};
} // namespace

std::string_view toString(MapPolicy policy)
{
    switch (policy) {
    case MapPolicy::RoundRobin:
        return "in turn";
    case MapPolicy::SummedCounts:
        return "even sums";
    case MapPolicy::Samples:
        return "samples";
    }
    return "unknown";
}

ExperimentResult runExperiment(const ExperimentOptions &options)
{
    LockStepGroup group(options.shape, options.seed);
    MapController mapController(options, group);
    CallerPool callers(options, group);
    ExperimentResult result;
    Instant now{1};
    Instant nextShift = now + options.shiftInterval;
    double skewSum = 0.0;
    int busyPasses = 0;
    while (now < options.duration) {
        if (options.shiftInterval.count() > 0 && now >= nextShift) {
            group.shiftDemand(options.shiftFraction);
            nextShift += options.shiftInterval;
        }
        callers.generateArrivals(now, result);
        callers.admit(now, busyPasses > 0, result);
        const PassResult pass = group.pass();
        now += mapController.copying(now) ? std::chrono::duration_cast<Duration>(COPYING_SLOWDOWN * pass.length) : pass.length;
        if (!pass.events.empty()) {
            skewSum += pass.skew;
            ++busyPasses;
        }
        callers.deliver(pass, now, result);
        mapController.update(now, result);
    }
    result.meanSkew = busyPasses > 0 ? skewSum / busyPasses : 1.0;
    callers.finish(result);
    return result;
}

} // namespace daisymount::emulator

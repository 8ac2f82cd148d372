// Tests of load tracking, placement and the rebalance policy.

#include "expertmap/loadtracker.h"
#include "expertmap/placement.h"
#include "expertmap/rebalancepolicy.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace daisymount;
using namespace daisymount::expertmap;
using framework::seconds;

namespace
{
std::vector<double> zipf(int experts, double exponent, uint64_t seed)
{
    std::vector<double> loads;
    for (int i = 1; i <= experts; ++i) {
        loads.push_back(1000.0 / std::pow(i, exponent));
    }
    std::mt19937_64 random(seed);
    std::shuffle(loads.begin(), loads.end(), random);
    return loads;
}
} // namespace

TEST_GROUP(Placement)
{
    PlacementOptions options{8, 64, 1.02};
    LayerMap start = LayerMap::contiguous(32, 5, 128);

    static double skew(const LayerMap &map, const std::vector<double> &loads)
    {
        return skewOf(rankLoads(map, loads));
    }
};

TEST(Placement, contiguousMapHoldsEveryExpertAndSurvivesVmLoss)
{
    for (int expert = 0; expert < 128; ++expert) {
        CHECK(start.replicas(expert) >= 1);
    }
    CHECK(survivesVmLoss(start, 8));
}

TEST(Placement, incrementalPlacementReducesSkewAndKeepsEveryExpert)
{
    const auto loads = zipf(128, 0.6, 1);
    const LayerMap next = incrementalPlacement(options)(start, loads);
    CHECK(skew(next, loads) < skew(start, loads));
    CHECK(skew(next, loads) <= 1.05);
    CHECK(movedExperts(start, next) <= options.maxMoves);
    for (int expert = 0; expert < 128; ++expert) {
        CHECK(next.replicas(expert) >= 1);
    }
    CHECK(survivesVmLoss(next, 8));
}

TEST(Placement, movesNothingUnderEvenLoad)
{
    const std::vector<double> even(128, 10.0);
    std::vector<double> singles = even;
    // Experts with two replicas have half the load per replica, so the load of the ranks is already balanced.
    const LayerMap next = incrementalPlacement(options)(start, singles);
    LONGS_EQUAL(0, movedExperts(start, next));
}

TEST(Placement, respectsTheMoveLimit)
{
    options.maxMoves = 3;
    const LayerMap next = incrementalPlacement(options)(start, zipf(128, 1.2, 2));
    CHECK(movedExperts(start, next) <= 3);
}

TEST(Placement, movesNothingWithoutLoad)
{
    LONGS_EQUAL(0, movedExperts(start, incrementalPlacement(options)(start, std::vector<double>(128, 0.0))));
}

TEST(Placement, fullRecomputeIsBalancedAndKeepsEveryExpert)
{
    const auto loads = zipf(128, 0.6, 3);
    const LayerMap next = fullRecompute(options)(start, loads);
    CHECK(skew(next, loads) <= 1.05);
    for (int expert = 0; expert < 128; ++expert) {
        CHECK(next.replicas(expert) >= 1);
    }
}

TEST_GROUP(LoadTracker)
{
    LoadTracker tracker{1, 2, 4, seconds{10}};

    void report(int rank, uint64_t sequence, int64_t toSecond, double tokens, double stepMs = 10)
    {
        tracker.onReport({0, rank, sequence, seconds{toSecond - 1}, seconds{toSecond}, {{rank * 2, tokens}, {rank * 2 + 1, tokens}}, stepMs});
    }
};

TEST(LoadTracker, averageFollowsNewSamples)
{
    report(0, 1, 1, 100);
    for (int i = 2; i < 12; ++i) {
        report(0, static_cast<uint64_t>(i), i, 200);
    }
    const double rate = tracker.loads(0)[0];
    CHECK(rate > 140 && rate < 160);
}

TEST(LoadTracker, ignoresOutdatedAndDuplicateReports)
{
    report(0, 5, 5, 100);
    report(0, 5, 5, 900);
    report(0, 4, 4, 900);
    DOUBLES_EQUAL(100, tracker.loads(0)[0], 1e-6);
    CHECK(!tracker.complete(0));
}

TEST(LoadTracker, gapBetweenReportsAgesTheAverage)
{
    report(0, 1, 1, 100);
    report(0, 2, 101, 200);
    CHECK(tracker.loads(0)[0] > 199);
}

TEST(LoadTracker, distinguishesStalledFromOverloadedRanks)
{
    LoadTracker four(1, 4, 4, seconds{10});
    for (int rank = 0; rank < 4; ++rank) {
        const double stepMs = rank == 0 ? 40 : rank == 1 ? 30 : 10;
        const double tokens = rank == 1 ? 300 : 100;
        four.onReport({0, rank, 1, seconds{0}, seconds{1}, {{rank, tokens}}, stepMs});
    }
    CHECK(four.condition(0) == RankCondition::Stalled);
    CHECK(four.condition(1) == RankCondition::Overloaded);
    CHECK(four.condition(2) == RankCondition::Normal);
}

TEST_GROUP(RebalancePolicy)
{
    RebalanceSettings settings;
    RebalanceInput input;

    void setup() override
    {
        input.currentSkew = 1.3;
        input.predictedSkew = 1.03;
        input.movedExperts = 100;
        input.now = seconds{1000};
    }

    void expect(RebalanceReason reason)
    {
        STRCMP_EQUAL(std::string(toString(reason)).c_str(), std::string(toString(decideRebalance(settings, input).reason)).c_str());
    }
};

TEST(RebalancePolicy, appliesAChangeWhoseGainOutweighsItsCost)
{
    expect(RebalanceReason::Apply);
    CHECK(decideRebalance(settings, input).gainSeconds > 100);
}

TEST(RebalancePolicy, defersDuringConflictingOperations)
{
    input.otherGroupChanging = true;
    expect(RebalanceReason::OtherGroup);
    input.otherGroupChanging = false;
    input.atBillingPeak = true;
    expect(RebalanceReason::BillingPeak);
    input.zoneLeaving = true;
    expect(RebalanceReason::ZoneLeaving);
    input.storeDown = true;
    expect(RebalanceReason::StoreDown);
}

TEST(RebalancePolicy, defersSmallGainsAndFrequentChanges)
{
    input.currentSkew = 1.04;
    expect(RebalanceReason::BelowTrigger);
    input.currentSkew = 1.06;
    input.predictedSkew = 1.059;
    input.movedExperts = 7680;
    expect(RebalanceReason::NotWorthIt);
    input.lastChange = seconds{990};
    expect(RebalanceReason::TooSoon);
}

TEST(RebalancePolicy, defersWhileARankIsStalled)
{
    input.rankStalled = true;
    expect(RebalanceReason::RankStalled);
}

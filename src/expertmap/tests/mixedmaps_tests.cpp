// Tests of the repair of a group whose ranks were left on different maps by a late order.

#include "simulatedgroup.h"
#include "switchdriver.h"

#include "expertmap/mixedmaps.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace daisymount::expertmap;
using daisymount::expertmap::tests::Driver;
using daisymount::expertmap::tests::runUntilFinished;
using daisymount::expertmap::tests::SimulatedGroup;

namespace
{
constexpr Instant START{std::chrono::seconds{1}};
constexpr int RANKS = 6;
} // namespace

TEST_GROUP(MixedMaps)
{
    MixedMapsDetector detector;
};

TEST(MixedMaps, aChangeInProgressIsNotRepaired)
{
    detector.onReports(false, true, START);
    CHECK_FALSE(detector.needsRepair(START + milliseconds{2'000}));
    detector.onReports(false, false, START);
    CHECK_FALSE(detector.needsRepair(START + milliseconds{300}));
    detector.onReports(false, false, START + milliseconds{700});
    CHECK(detector.needsRepair(START + milliseconds{800}));
    detector.onReports(true, false, START + milliseconds{900});
    CHECK_FALSE(detector.needsRepair(START + milliseconds{2'000}));
}

TEST(MixedMaps, theCombinedMapKeepsWhatRanksHoldAndAddsMissingExperts)
{
    // Rank 1 has switched alone and dropped expert 3, which the others expect at it.
    const auto combined = combinedMap({{{0, 1}, {2}, {4, 5}}}, 6, 2, 1);
    CHECK(combined.has_value());
    CHECK(combined->at(0).at(0) == RankExperts({0, 1}));
    CHECK(combined->at(0).at(1) == RankExperts({2, 3}));
    CHECK_FALSE(combinedMap({{{0, 1}, {2, 3}, {4, 5}}}, 7, 2, 1).has_value());
}

/// Guards against a group that is read again and again for ever while its passes mix two maps.
TEST(MixedMaps, ranksOnDifferentMapsAreOnOneMapWithinFiveSecondsOfTheLateOrder)
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        SimulatedGroup group(RANKS, {}, seed);
        // A late arm that nothing sealed: one rank switches alone.
        const int strayed = static_cast<int>(seed % RANKS);
        const GroupMap map = tests::changeTo(1, 7, group.epoch(), RANKS).map;
        RankOrder prepare{OrderKind::Prepare, group.epoch(), 7, 1, 0, &map, std::nullopt};
        group.order(strayed, prepare, START);
        group.order(strayed, {OrderKind::Arm, group.epoch(), 7, 1, group.report(strayed).lastPass + 1, nullptr, std::nullopt}, START);
        Instant now = START;
        const auto sameMap = [&] {
            const std::vector<RankReport> reports = group.reports();
            return std::ranges::all_of(reports, [&](const RankReport &report) { return report.mapVersion == reports.front().mapVersion; });
        };
        while (sameMap()) {
            now += tests::STEP;
            group.advance(now);
        }
        const Instant mixedAt = now;
        MixedMapsDetector own;
        while (!own.needsRepair(now)) {
            now += milliseconds{60};
            group.advance(now);
            own.onReports(sameMap(), false, now);
        }
        Driver driver(
            group,
            std::make_unique<GroupSwitch>(SwitchOptions::lowLatency(), tests::changeTo(9, 8, group.epoch(), RANKS), group.reports(), milliseconds{50}, now));
        now = runUntilFinished(group, driver, now, now + std::chrono::seconds{5});
        for (int i = 0; i < 40; ++i, now += tests::STEP) {
            group.advance(now);
        }
        CHECK(driver.change().phase() == SwitchPhase::Switched);
        CHECK(sameMap());
        CHECK(now - mixedAt <= std::chrono::seconds{5});
    }
}

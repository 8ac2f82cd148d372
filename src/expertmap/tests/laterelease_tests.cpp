// Tests of orders that a rank executes seconds after they were sent, among newer orders of the same controller or of its successor.

#include "simulatedgroup.h"
#include "switchdriver.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount::expertmap;
using namespace daisymount::expertmap::tests;

namespace
{
constexpr int RANKS = 4;
constexpr int64_t FENCING = 7;
} // namespace

TEST_GROUP(MapVersions){};

TEST(MapVersions, fencingNumberOf64BitsDoesNotOverflow)
{
    constexpr int64_t HIGHEST_REPORTED = 41;
    constexpr int64_t LARGE = (int64_t{1} << 44) + (int64_t{1} << 30);
    LONGS_EQUAL(HIGHEST_REPORTED + 1, nextMapVersion(HIGHEST_REPORTED, LARGE));
    CHECK(nextMapVersion(HIGHEST_REPORTED, (int64_t{1} << 43) - 1) > nextMapVersion(HIGHEST_REPORTED, (int64_t{1} << 43) - 2));
}

// Guards against a pass on two maps of one version: a prepare of an earlier controller was executed after its successor had read the reports, which
// did not show its version, and was taken for the successor's own.
TEST(MapVersions, latePrepareOfAnEarlierControllerIsNotTakenForThatOfItsSuccessor)
{
    constexpr int64_t HIGHEST_REPORTED = 41;
    const int64_t earlier = nextMapVersion(HIGHEST_REPORTED, 31);
    const int64_t sealOfEarlier = nextMapVersion(earlier, 31);
    const int64_t successor = nextMapVersion(HIGHEST_REPORTED, 32);
    CHECK(earlier > HIGHEST_REPORTED);
    CHECK(successor > sealOfEarlier);

    Instant now{std::chrono::seconds{1}};
    std::vector<RankReport> reports(2);
    for (RankReport &report : reports) {
        report.epoch = 1;
        report.mapVersion = HIGHEST_REPORTED;
    }
    GroupSwitch change(SwitchOptions::lowLatency(), tests::changeTo(successor, 32, 1, reports.size()), reports, milliseconds{50}, now);
    for (int round = 0; round < 50 && !change.finished(); ++round, now += milliseconds{50}) {
        for (const SwitchCommand &command : change.tick(now)) {
            if (command.order) {
                CHECK(command.order->kind == OrderKind::Prepare);
                change.onReply(command, command.rank == 0 ? OrderOutcome::Unknown : OrderOutcome::Begun, now);
                continue;
            }
            RankReport report = reports[static_cast<size_t>(command.rank)];
            // Rank 0 has executed the earlier controller's prepare, and still owes that of its successor.
            report.preparedVersion = command.rank == 0 ? sealOfEarlier : successor;
            report.orderSequence = 1;
            change.onReport(command.rank, report, now, now);
        }
    }
    CHECK(change.phase() == SwitchPhase::Preparing);
}

TEST_GROUP(LateRelease)
{
    Instant now{std::chrono::seconds{1}};

    Driver change(SimulatedGroup & group, int64_t version, int64_t fencing)
    {
        return Driver(group,
                      std::make_unique<GroupSwitch>(SwitchOptions::lowLatency(), changeTo(version, fencing, group.epoch(), RANKS), group.reports(),
                                                    milliseconds{50}, now));
    }

    Driver cleanUp(SimulatedGroup & group, int64_t version, int64_t fencing)
    {
        return Driver(group,
                      std::make_unique<GroupSwitch>(
                          GroupSwitch::cleanUp(SwitchOptions::lowLatency(), changeTo(version, fencing, group.epoch(), RANKS), group.reports(), now)));
    }

    RankOrder orderOf(OrderKind kind, int64_t version, int64_t pass)
    {
        RankOrder order;
        order.kind = kind;
        order.epoch = 1;
        order.fencing = FENCING;
        order.version = version;
        order.pass = pass;
        return order;
    }

    /// Runs @p driver until all ranks are armed and the release order is unanswered. Returns the release order.
    std::optional<SwitchCommand> armAllAndLoseRelease(SimulatedGroup & group, Driver & driver)
    {
        for (int i = 0; i < 500; ++i, now += STEP) {
            group.advance(now);
            for (const SwitchCommand &command : driver.change().tick(now)) {
                if (command.order && command.order->kind == OrderKind::Go) {
                    return command;
                }
                driver.send(command, now);
            }
        }
        return std::nullopt;
    }
};

TEST(LateRelease, doesNotMixMapsWhileTheSameControllerTakesItsChangeBack)
{
    // The release may be executed before any order of the clean-up.
    for (int delay = 0; delay < 60; ++delay) {
        SimulatedGroup group(RANKS, {}, 1);
        Driver dropped = change(group, 1, FENCING);
        const std::optional<SwitchCommand> release = armAllAndLoseRelease(group, dropped);
        CHECK(release.has_value());
        for (int i = 0; i < 30; ++i, now += STEP) {
            group.advance(now);
        }
        LONGS_EQUAL(RANKS, group.armedRanks());
        Driver successor = cleanUp(group, 2, FENCING);
        int calls = 0;
        for (int i = 0; i < 500 && !successor.change().finished(); ++i, now += STEP) {
            for (const SwitchCommand &command : successor.change().tick(now)) {
                if (calls++ == delay) {
                    group.order(release->rank, *release->order, now);
                    for (int pass = 0; pass < 20; ++pass) {
                        group.advance(now + pass * std::chrono::milliseconds{50});
                    }
                }
                successor.send(command, now);
            }
            group.advance(now);
        }
        CHECK_FALSE(group.mixedMaps());
    }
}

TEST(LateRelease, changeIsCompletedWhenTheHoldingRankIsOutOfSight)
{
    SimulatedGroup group(RANKS, {}, 1);
    Driver driver = change(group, 1, FENCING);
    const std::optional<SwitchCommand> release = armAllAndLoseRelease(group, driver);
    CHECK(release.has_value());
    group.unresponsiveRank = release->rank;
    driver.send(*release, now);
    for (int i = 0; i < 100; ++i, now += STEP) {
        group.advance(now);
        driver.change().onRankMissing();
        driver.step(now);
    }
    CHECK_FALSE(driver.change().finished());
    CHECK(group.isHeld());
    group.unresponsiveRank = -1;
    now = runUntilFinished(group, driver, now, now + std::chrono::seconds{1});
    CHECK(driver.change().phase() == SwitchPhase::Switched);
    group.advance(now);
    LONGS_EQUAL(1, group.mapVersion());
    CHECK_FALSE(group.mixedMaps());
}

TEST(LateRelease, changeEndsWhenTheGroupFormsAnewDuringTheRelease)
{
    SimulatedGroup group(RANKS, {}, 1);
    Driver driver = change(group, 1, FENCING);
    CHECK(armAllAndLoseRelease(group, driver).has_value());
    group.reform();
    driver.change().onNewEpoch();
    CHECK(driver.change().phase() == SwitchPhase::GivenUp);
}

TEST(LateRelease, doesNotEndTheHoldOfALaterChangeAtTheSamePass)
{
    SimulatedGroup group(RANKS, {}, 1);
    group.advance(now);
    group.idle = true;
    Driver first = change(group, 1, FENCING);
    const std::optional<SwitchCommand> release = armAllAndLoseRelease(group, first);
    CHECK(release.has_value());
    Driver back = cleanUp(group, 2, FENCING);
    now = runUntilFinished(group, back, now, now + std::chrono::seconds{5});
    CHECK_FALSE(group.hasArmOrHold());
    // An idle group makes no passes, so that the next change holds the same one.
    Driver second = change(group, back.change().highestVersion() + 1, FENCING);
    const std::optional<SwitchCommand> next = armAllAndLoseRelease(group, second);
    CHECK(next.has_value());
    LONGS_EQUAL(release->order->pass, next->order->pass);
    group.order(release->rank, *release->order, now);
    CHECK(group.isHeld());
}

TEST(LateRelease, neverMixesMapsWhenControllersDropChangesAndOrdersComeLateAndTwice)
{
    constexpr uint64_t SEEDS = 10'000;
    int switched = 0;
    for (uint64_t seed = 1; seed <= SEEDS; ++seed) {
        now = Instant{std::chrono::seconds{1}};
        SimulatedGroup::Faults faults{0.15, 0.1, 0.3, true, std::chrono::milliseconds{50}, std::chrono::milliseconds{1'500}};
        SimulatedGroup group(RANKS, faults, seed);
        std::mt19937_64 random(seed);
        int64_t fencing = FENCING;
        int64_t version = 1;
        for (int round = 0; round < 4; ++round) {
            const bool leftover = group.isHeld();
            if (!leftover && group.armedRanks() > 0) {
                // Without a hold, armed ranks switch by themselves.
                for (int i = 0; i < 60; ++i, now += STEP) {
                    group.advance(now);
                }
                continue;
            }
            Driver driver = leftover ? cleanUp(group, version, fencing) : change(group, version, fencing);
            const int steps = 5 + static_cast<int>(random() % 120);
            for (int i = 0; i < steps && !driver.change().finished(); ++i, now += STEP) {
                group.advance(now);
                driver.step(now);
            }
            switched += driver.change().phase() == SwitchPhase::Switched ? 1 : 0;
            version = driver.change().highestVersion() + 1;
            // A controller that has lost sight of a rank begins again; sometimes another one takes over.
            fencing += random() % 3 == 0 ? 1 : 0;
            CHECK_FALSE_TEXT(group.mixedMaps(), std::to_string(seed).c_str());
        }
        for (int i = 0; i < 200; ++i, now += STEP) {
            group.advance(now);
        }
        CHECK_FALSE_TEXT(group.mixedMaps(), std::to_string(seed).c_str());
        for (int round = 0; round < 20 && group.hasArmOrHold(); ++round) {
            if (group.isHeld()) {
                Driver last = cleanUp(group, version, fencing);
                now = runUntilFinished(group, last, now, now + std::chrono::seconds{20});
                version = last.change().highestVersion() + 1;
            }
            for (int i = 0; i < 200; ++i, now += STEP) {
                group.advance(now);
            }
        }
        CHECK_FALSE_TEXT(group.hasArmOrHold(), std::to_string(seed).c_str());
        CHECK_FALSE_TEXT(group.mixedMaps(), std::to_string(seed).c_str());
    }
    CHECK_TEXT(switched > static_cast<int>(SEEDS) / 4, "changes must succeed although orders come late");
}

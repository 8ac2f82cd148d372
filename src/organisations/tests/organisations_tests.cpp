// Tests of the organisations library.

#include "organisations/billingmeter.h"
#include "organisations/organisationlimiter.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <memory>
#include <random>

using namespace daisymount;
using framework::Instant;
using framework::milliseconds;
using framework::seconds;
using organisations::BillingMeter;
using organisations::OrganisationLimiter;

namespace
{
config::Config sharedConfig(int entries, int64_t rate, int64_t burst)
{
    config::Config config;
    config.organisations["o"] = {"k", rate, burst, false};
    config.organisations["small"] = {"s", rate, burst, false};
    for (int i = 0; i < entries; ++i) {
        config.entries["e" + std::to_string(i)] = {};
    }
    return config;
}
} // namespace

TEST_GROUP(OrganisationLimiter)
{
    Instant now = seconds{100};
};

TEST(OrganisationLimiter, oneEntryKeepsTheRate)
{
    OrganisationLimiter limiter("e0");
    limiter.configure(sharedConfig(1, 1000, 1000));
    double admitted = 0;
    for (int step = 0; step < 10'000; ++step) {
        now += milliseconds{1};
        admitted += limiter.admit("o", 10, now).admitted ? 10 : 0;
    }
    CHECK(admitted <= 11'050);
    CHECK(admitted >= 10'500);
}

TEST(OrganisationLimiter, sevenEntriesWithSkewedArrivalStayWithinFivePercent)
{
    constexpr int entries = 7;
    std::vector<std::unique_ptr<OrganisationLimiter>> limiters;
    for (int i = 0; i < entries; ++i) {
        limiters.push_back(std::make_unique<OrganisationLimiter>("e" + std::to_string(i)));
        limiters.back()->configure(sharedConfig(entries, 1000, 1000));
    }
    std::mt19937_64 random(3);
    std::discrete_distribution<int> arrival{40, 20, 15, 10, 8, 5, 2};
    const int warmUp = 5'000;
    double admitted = 0;
    for (int step = 0; step < 65'000; ++step) {
        now += milliseconds{1};
        const int at = arrival(random);
        const bool ok = limiters[at]->admit("o", 5, now).admitted;
        admitted += ok && step >= warmUp ? 5 : 0;
        if (step % 250 == 0) {
            for (int from = 0; from < entries; ++from) {
                for (int to = 0; to < entries; ++to) {
                    limiters[to]->onPeerDemand("e" + std::to_string(from), limiters[from]->demand(now), now);
                }
            }
        }
    }
    CHECK(admitted <= 60'000 * 1.05);
    CHECK(admitted >= 60'000 * 0.90);
}

TEST(OrganisationLimiter, aLargeOrganisationDoesNotTakeFromASmallOne)
{
    OrganisationLimiter limiter("e0");
    limiter.configure(sharedConfig(1, 1000, 1000));
    for (int i = 0; i < 1000; ++i) {
        limiter.admit("o", 100, now);
    }
    CHECK(limiter.admit("small", 100, now).admitted);
}

TEST(OrganisationLimiter, saysWhenToComeBackAndMeansIt)
{
    OrganisationLimiter limiter("e0");
    limiter.configure(sharedConfig(1, 1000, 1000));
    CHECK(limiter.admit("o", 1000, now).admitted);
    const auto refused = limiter.admit("o", 500, now);
    CHECK(!refused.admitted);
    now += refused.retryAfter;
    CHECK(limiter.admit("o", 500, now).admitted);
}

TEST(OrganisationLimiter, aLargeRequestIsNotRefusedForEver)
{
    OrganisationLimiter limiter("e0");
    limiter.configure(sharedConfig(1, 100, 100));
    CHECK(limiter.admit("o", 5000, now).admitted);
}

TEST(OrganisationLimiter, givesBackWhatWasEstimatedTooHigh)
{
    OrganisationLimiter limiter("e0");
    limiter.configure(sharedConfig(1, 1000, 1000));
    limiter.admit("o", 1000, now);
    limiter.settle("o", 1000, 10);
    CHECK(limiter.admit("o", 900, now).admitted);
}

TEST_GROUP(BillingMeter)
{
    config::Config config;
    int64_t unixMs = 600'000;

    void setup() override
    {
        config.billing.holdDeferrable = true;
        config.entries["e0"] = {};
    }
};

TEST(BillingMeter, urgentWorkSetsThePeakAndDeferrableWorkStaysBelowIt)
{
    BillingMeter meter("e0");
    meter.configure(config);
    meter.charge(1000, true, unixMs);
    unixMs += 60'000;
    meter.tick(unixMs);
    DOUBLES_EQUAL(1000, meter.billedPeak(), 0.1);
    // Right after a busy window as much urgent work is expected again: nothing else fits.
    CHECK(meter.decide(50, unixMs).held);
    unixMs += 60'000;
    meter.tick(unixMs);
    double deferred = 0;
    for (int i = 0; i < 100; ++i) {
        if (!meter.decide(50, unixMs).held) {
            meter.charge(50, false, unixMs);
            deferred += 50;
        }
    }
    CHECK(deferred > 900);
    CHECK(deferred <= 1000);
    CHECK(meter.decide(50, unixMs).held);
    const auto hold = meter.decide(50, unixMs + 10'000);
    CHECK(hold.held);
    LONGS_EQUAL(50'000'000, hold.retryAfter.count());
}

TEST(BillingMeter, leavesRoomForUrgentWorkThatIsStillToCome)
{
    BillingMeter meter("e0");
    meter.configure(config);
    meter.restorePeak(1000);
    meter.charge(100, true, unixMs + 6'000);
    CHECK(meter.decide(100, unixMs + 6'000).held);
}

TEST(BillingMeter, countsOtherEntriesAndIgnoresOldAndDoubledReports)
{
    BillingMeter meter("e0");
    meter.configure(config);
    meter.tick(unixMs);
    meter.restorePeak(1000);
    const int64_t window = unixMs / 60'000;
    meter.onPeerUsage("e1", {window, 900, 0});
    meter.onPeerUsage("e1", {window, 900, 0});
    meter.onPeerUsage("e1", {window, 500, 0});
    meter.onPeerUsage("e2", {window - 1, 5000, 0});
    CHECK(!meter.decide(90, unixMs).held);
    CHECK(meter.decide(110, unixMs).held);
}

TEST(BillingMeter, sevenEntriesDoNotUseTheSameRoomSevenTimes)
{
    for (int i = 1; i < 7; ++i) {
        config.entries["e" + std::to_string(i)] = {};
    }
    double let = 0;
    for (int entry = 0; entry < 7; ++entry) {
        BillingMeter meter("e" + std::to_string(entry));
        meter.configure(config);
        meter.restorePeak(1000);
        for (int i = 0; i < 100; ++i) {
            if (!meter.decide(10, unixMs).held) {
                meter.charge(10, false, unixMs);
                let += 10;
            }
        }
    }
    CHECK(let <= 1000);
    CHECK(let >= 900);
}

TEST(BillingMeter, aPeerThatEntersAWindowFirstDoesNotRaiseThePeak)
{
    BillingMeter meter("e0");
    meter.configure(config);
    meter.charge(500, true, unixMs);
    meter.onPeerUsage("e1", {unixMs / 60'000 + 1, 500, 500});
    meter.tick(unixMs + 120'000);
    DOUBLES_EQUAL(500, meter.billedPeak(), 0.1);
}

TEST(BillingMeter, holdsNothingUnlessConfigured)
{
    BillingMeter meter("e0");
    meter.configure({});
    CHECK(!meter.decide(1e9, unixMs).held);
}

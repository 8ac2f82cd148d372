// Tests of the slo library.

#include "slo/burnmeter.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using framework::milliseconds;

TEST_GROUP(BurnMeter)
{
    slo::BurnMeter meter;
    int64_t unixMs = 60'000'000;

    void setup() override
    {
        config::Config config;
        config.services["s"] = {};
        meter.configure(config);
    }

    void add(bool answered, framework::Duration firstToken)
    {
        meter.add({"s", "o", answered, firstToken, true, false}, unixMs);
    }
};

TEST(BurnMeter, countsWindowsSeparately)
{
    add(false, milliseconds{0});
    unixMs += 10 * 60'000;
    add(true, milliseconds{100});
    add(true, milliseconds{2000});
    const auto rows = meter.rows(unixMs);
    LONGS_EQUAL(1, rows.size());
    LONGS_EQUAL(2, rows.front().windows[0].total);
    LONGS_EQUAL(1, rows.front().windows[0].firstTokenGood);
    LONGS_EQUAL(3, rows.front().windows[1].total);
    LONGS_EQUAL(2, rows.front().windows[1].answered);
}

TEST(BurnMeter, forgetsAfterSixHours)
{
    add(false, milliseconds{0});
    unixMs += 361 * 60'000;
    LONGS_EQUAL(0, meter.rows(unixMs).front().windows[2].total);
}

TEST(BurnMeter, callerErrorsDoNotCount)
{
    meter.add({"s", "o", false, milliseconds{0}, true, true}, unixMs);
    LONGS_EQUAL(0, meter.rows(unixMs).size());
}

TEST(BurnMeter, burnOfOneUsesTheBudgetUpExactly)
{
    DOUBLES_EQUAL(1.0, slo::burnRate(95, 100, 0.95), 1e-9);
    DOUBLES_EQUAL(10.0, slo::burnRate(50, 100, 0.95), 1e-9);
    DOUBLES_EQUAL(0.0, slo::burnRate(0, 0, 0.95), 1e-9);
}

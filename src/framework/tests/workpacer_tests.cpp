// Tests of the slices of background work.

#include "framework/workpacer.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount::framework;

TEST_GROUP(WorkPacer)
{
    WorkPacer pacer{{.sliceTime = milliseconds{4}, .minUnits = 10, .maxUnits = 1'000}};

    /// Plays slices on a machine on which a unit takes @p unit.
    void work(Duration unit, int slices)
    {
        for (int i = 0; i < slices; ++i) {
            pacer.onSlice(unit * pacer.units());
        }
    }
};

TEST(WorkPacer, slicesTakeTheSliceTimeOnFastAndSlowMachines)
{
    work(std::chrono::microseconds{20}, 40);
    LONGS_EQUAL(200, pacer.units());
    work(std::chrono::microseconds{100}, 2);
    LONGS_EQUAL(40, pacer.units());
    CHECK(pacer.longestSlice() <= milliseconds{20});
}

TEST(WorkPacer, slicesStayWithinTheirBounds)
{
    work(std::chrono::seconds{1}, 3);
    LONGS_EQUAL(10, pacer.units());
    work(Duration{0}, 40);
    LONGS_EQUAL(1'000, pacer.units());
}

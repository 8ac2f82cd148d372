// Tests of the decision how many experts a change copies.

#include "expertmap/copyplan.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount::expertmap;
using daisymount::framework::Duration;
using daisymount::framework::Instant;
using daisymount::framework::milliseconds;

namespace
{
constexpr Instant START{std::chrono::seconds{100}};

int copies(milliseconds copyTime, milliseconds untilShift)
{
    return copiesPerRank({copyTime, untilShift, milliseconds{600}, 16, 2});
}
} // namespace

TEST_GROUP(CopyPlan){};

/// Guards against one constant for all deployments: 150 ms allowed a single copy of 76 ms, and the map never became even.
TEST(CopyPlan, slowCopiesAreWorthMoreTimeThanAFixedLimitButLeaveTimeForTheirUse)
{
    CHECK(copies(milliseconds{76}, milliseconds{3'100}) >= 6);
    CHECK(copies(milliseconds{76}, milliseconds{3'100}) * milliseconds{76} <= milliseconds{1'600});
    CHECK(copies(milliseconds{76}, milliseconds{3'100}) < copies(milliseconds{76}, milliseconds{5'000}));
    CHECK(copies(milliseconds{76}, milliseconds{3'100}) < copies(milliseconds{27}, milliseconds{3'100}));
    LONGS_EQUAL(32, copies(milliseconds{0}, milliseconds{3'100}));
    CHECK(copies(milliseconds{2'000}, milliseconds{500}) >= 1);
}

TEST(CopyPlan, theTimeBetweenShiftsIsMeasured)
{
    DemandShiftTracker shifts;
    CHECK(shifts.untilNextShift(START) == DemandShiftTracker::DEFAULT_INTERVAL);
    for (int i = 0; i < 5; ++i) {
        shifts.onShifted(START + i * milliseconds{3'000});
        shifts.onShifted(START + i * milliseconds{3'000} + milliseconds{300}); // The same shift in further samples.
    }
    const Instant last = START + milliseconds{12'000};
    CHECK(shifts.untilNextShift(last) == milliseconds{3'000});
    CHECK(shifts.untilNextShift(last + milliseconds{1'000}) == milliseconds{2'000});
    CHECK(shifts.untilNextShift(last + milliseconds{2'900}) == milliseconds{1'500});
    CHECK(shifts.untilNextShift(last + milliseconds{60'000}) == DemandShiftTracker::DEFAULT_INTERVAL);
}

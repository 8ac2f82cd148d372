// Tests of the choice of the gateway that controls the maps.

#include "gateway/controlcandidates.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace daisymount::gateway;
using daisymount::framework::Instant;
using daisymount::framework::milliseconds;

namespace
{
constexpr Instant START{std::chrono::seconds{100}};
const ControlCandidate SMALL{"gateway-10", 0.24};
const ControlCandidate LARGE{"gateway-2", 0.5};
} // namespace

TEST_GROUP(ControlCandidates){};

/// Guards against a small VM that takes control because its name comes first.
TEST(ControlCandidates, theStrongestAcquiresControlAndNamesDecideBetweenEquals)
{
    CHECK_FALSE(shouldAcquireControl(SMALL, std::vector{LARGE}));
    CHECK(shouldAcquireControl(LARGE, std::vector{SMALL}));
    CHECK(shouldAcquireControl(LARGE, std::vector{ControlCandidate{"gateway-3", 0.5}}));
    CHECK_FALSE(shouldAcquireControl(LARGE, std::vector{ControlCandidate{"gateway-1", 0.5}}));
    CHECK_FALSE(shouldAcquireControl(LARGE, std::vector{ControlCandidate{"gateway-9", 0.24, true}}));
    CHECK(shouldAcquireControl(SMALL, {}));
}

TEST(ControlCandidates, controlPassesOnToAStrongerOneThatKeepsServing)
{
    ControlHandover handover;
    CHECK_FALSE(handover.isDue(SMALL, std::vector{LARGE}, START));
    CHECK_FALSE(handover.isDue(SMALL, std::vector{LARGE}, START + milliseconds{3'900}));
    CHECK_FALSE(handover.isDue(SMALL, {}, START + milliseconds{3'950}));
    CHECK_FALSE(handover.isDue(SMALL, std::vector{LARGE}, START + milliseconds{4'100}));
    CHECK(handover.isDue(SMALL, std::vector{LARGE}, START + milliseconds{8'100}));
    CHECK_FALSE(handover.isDue(LARGE, std::vector{SMALL, ControlCandidate{"gateway-3", 0.6}}, START + milliseconds{60'000}));
}

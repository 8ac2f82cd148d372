// Tests of the quarantine library.

#include "quarantine/quarantine.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using framework::Instant;
using framework::milliseconds;
using framework::seconds;
using quarantine::Standing;

TEST_GROUP(Quarantine)
{
    quarantine::Quarantine quarantine{{std::chrono::minutes{10}, 2}};
    Instant now = seconds{100};

    void expectStanding(Standing standing, quarantine::Fingerprint fingerprint)
    {
        LONGS_EQUAL(static_cast<int>(standing), static_cast<int>(quarantine.standing(fingerprint, now)));
    }
};

TEST(Quarantine, convictsTheRequestThatCrashesAnUpstreamAlone)
{
    LONGS_EQUAL(0, quarantine.onCrash({"u1", 1, {7, 8, 9}}, now).size());
    expectStanding(Standing::Suspect, 7);
    expectStanding(Standing::Suspect, 8);
    const auto convicted = quarantine.onCrash({"u2", 1, {7}}, now);
    LONGS_EQUAL(1, convicted.size());
    expectStanding(Standing::Convicted, 7);
    expectStanding(Standing::Suspect, 8);
}

TEST(Quarantine, neighboursAreNeverConvictedHoweverOftenTheyCrashTogether)
{
    for (uint64_t crash = 1; crash <= 10; ++crash) {
        LONGS_EQUAL(0, quarantine.onCrash({"u1", crash, {7, 8}}, now).size());
    }
    expectStanding(Standing::Suspect, 8);
}

TEST(Quarantine, aSuspectThatRanAloneIsCleared)
{
    quarantine.onCrash({"u1", 1, {7, 8}}, now);
    quarantine.onCompletedAlone(8);
    expectStanding(Standing::Clear, 8);
    expectStanding(Standing::Suspect, 7);
}

TEST(Quarantine, oneCrashReportedTwiceCountsOnce)
{
    quarantine.onCrash({"u1", 1, {7}}, now);
    LONGS_EQUAL(0, quarantine.onCrash({"u1", 1, {7}}, now).size());
    expectStanding(Standing::Suspect, 7);
}

TEST(Quarantine, theSameRequestTwiceInOneBatchCountsOnce)
{
    LONGS_EQUAL(0, quarantine.onCrash({"u1", 1, {7, 7}}, now).size());
    expectStanding(Standing::Suspect, 7);
}

TEST(Quarantine, convictionsEndAfterTheirTime)
{
    quarantine.onConviction({7, seconds{5}}, now);
    expectStanding(Standing::Convicted, 7);
    now += seconds{6};
    quarantine.expire(now);
    expectStanding(Standing::Clear, 7);
    LONGS_EQUAL(0, quarantine.convictions(now).size());
}

TEST(Quarantine, aHeardConvictionLastsNoLongerThanTheConfiguredTime)
{
    quarantine.onConviction({7, std::chrono::hours{24}}, now);
    now += std::chrono::minutes{11};
    expectStanding(Standing::Clear, 7);
}

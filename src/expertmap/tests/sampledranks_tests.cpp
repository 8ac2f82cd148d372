// Tests of the selection of sampled ranks.

#include "expertmap/sampledranks.h"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace daisymount::expertmap;

namespace
{
constexpr int ZONES = 3;
constexpr int LIMIT = 12;
constexpr int SAME_ZONE_LIMIT = 24;

/// Ranks of three zones in turn, of which the reader is in the first one.
SampledRanks groupOf(int ranks)
{
    std::vector<bool> sameZone;
    for (int rank = 0; rank < ranks; ++rank) {
        sameZone.push_back(rank % ZONES == 0);
    }
    SampledRanks sampled;
    sampled.reset(std::move(sameZone));
    return sampled;
}

/// Plays @p rounds of reads. @p idleZone has no requests; -1: every zone has some. Returns the ranks of the last round.
std::vector<int> play(SampledRanks &sampled, int rounds, int idleZone)
{
    std::vector<int> ranks;
    static int64_t selections = 0;
    for (int round = 0; round < rounds; ++round) {
        ranks = sampled.select(LIMIT, SAME_ZONE_LIMIT).ranks;
        ++selections;
        for (const int rank : ranks) {
            sampled.onRead(rank, rank % ZONES == idleZone ? 0 : selections);
        }
    }
    return ranks;
}

bool anyInZone(const std::vector<int> &ranks, int zone)
{
    return std::ranges::any_of(ranks, [zone](int rank) { return rank % ZONES == zone; });
}
} // namespace

TEST_GROUP(SampledRanks){};

TEST(SampledRanks, ownZoneSufficesInALargeGroup)
{
    SampledRanks sampled = groupOf(72);
    const SampledRanks::Selection selection = sampled.select(LIMIT, SAME_ZONE_LIMIT);
    CHECK(selection.sameZoneOnly);
    LONGS_EQUAL(SAME_ZONE_LIMIT, selection.ranks.size());
    CHECK_FALSE(anyInZone(selection.ranks, 1));
}

TEST(SampledRanks, smallGroupIsReadInAllZones)
{
    SampledRanks sampled = groupOf(16);
    const SampledRanks::Selection selection = sampled.select(LIMIT, SAME_ZONE_LIMIT);
    CHECK_FALSE(selection.sameZoneOnly);
    LONGS_EQUAL(LIMIT, selection.ranks.size());
}

// The controller's own zone was out of service: its ranks had no requests, no sample came, and the group kept its initial map.
TEST(SampledRanks, readsOtherZonesWhileOwnZoneHasNoRequests)
{
    SampledRanks sampled = groupOf(72);
    const std::vector<int> ranks = play(sampled, 5, 0);
    LONGS_EQUAL(24, sampled.idleRanks());
    LONGS_EQUAL(LIMIT, std::ranges::count_if(ranks, [](int rank) { return rank % ZONES != 0; }));
}

TEST(SampledRanks, returnsToOwnZoneWhenItHasRequestsAgain)
{
    SampledRanks sampled = groupOf(72);
    play(sampled, 5, 0);
    // One idle rank is read per round.
    const std::vector<int> ranks = play(sampled, 26, -1);
    LONGS_EQUAL(0, sampled.idleRanks());
    CHECK_FALSE(anyInZone(ranks, 1));
}

TEST(SampledRanks, allRanksOfOtherZonesAreReadInTime)
{
    SampledRanks sampled = groupOf(16);
    std::set<int> read;
    for (int round = 0; round < 16; ++round) {
        const auto ranks = sampled.select(LIMIT, SAME_ZONE_LIMIT).ranks;
        read.insert(ranks.begin(), ranks.end());
    }
    LONGS_EQUAL(16, read.size());
}

TEST(SampledRanks, idleGroupIsStillProbed)
{
    SampledRanks sampled = groupOf(72);
    for (int round = 0; round < 200; ++round) {
        for (const int rank : sampled.select(LIMIT, SAME_ZONE_LIMIT).ranks) {
            sampled.onRead(rank, 0);
        }
    }
    LONGS_EQUAL(1, sampled.select(LIMIT, SAME_ZONE_LIMIT).ranks.size());
}

TEST(SampledRanks, groupWithoutRanksHasNoSelection)
{
    SampledRanks sampled;
    CHECK(sampled.select(LIMIT, SAME_ZONE_LIMIT).ranks.empty());
}

// Tests of the search over all sets of a map.

#include "expertmap/mapsearch.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

using namespace daisymount::expertmap;
using daisymount::framework::milliseconds;

namespace
{
constexpr int RANKS = 16;
constexpr int EXPERTS = 64;
constexpr size_t SETS = 4;

MapSearchOptions optionsWith(int maxAddedPerRank)
{
    MapSearchOptions options;
    options.experts = EXPERTS;
    options.maxExpertsPerRank = 5;
    options.maxAddedPerRankAndSet = 2;
    options.maxAddedPerRank = maxAddedPerRank;
    return options;
}

GroupMap initialMap()
{
    return GroupMap(SETS, roundRobinPlacement(RANKS, EXPERTS));
}

/// Samples in which the experts of a few ranks of the initial map are selected most.
std::vector<LoadSample> skewedSamples(uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<LoadSample> samples;
    for (int i = 0; i < 24; ++i) {
        LoadSample sample;
        for (size_t set = 0; set < SETS; ++set) {
            SetSample loads(EXPERTS, 0.4F / EXPERTS);
            for (int heavy = 0; heavy < 8; ++heavy) {
                loads[(random() % 4) + RANKS * (random() % 4)] += 0.6F / 8.0F;
            }
            sample.push_back(std::move(loads));
        }
        samples.push_back(std::move(sample));
    }
    return samples;
}

int copiesOf(const GroupMap &map, const GroupMap &before, size_t rank)
{
    int copies = 0;
    for (size_t set = 0; set < map.size(); ++set) {
        copies += static_cast<int>(std::ranges::count_if(map[set][rank], [&](int expert) { return !std::ranges::binary_search(before[set][rank], expert); }));
    }
    return copies;
}

MapSearch searched(int maxAddedPerRank, uint64_t seed)
{
    MapSearch search(optionsWith(maxAddedPerRank), initialMap(), skewedSamples(seed), seed);
    while (search.improve(1'000)) { }
    return search;
}
} // namespace

TEST_GROUP(MapSearch){};

TEST(MapSearch, lowersTheSkewOfAllSets)
{
    const MapSearch search = searched(8, 1);
    CHECK(search.skew() < 0.7 * search.initialSkew());
    CHECK(search.copies() > 0);
}

// Each set was bounded by itself, so that one rank copied experts of several sets and all others waited for it.
TEST(MapSearch, copiesOfARankAreBoundedOverAllSets)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        for (const int limit : {1, 2, 3}) {
            const MapSearch search = searched(limit, seed);
            int most = 0;
            for (size_t rank = 0; rank < RANKS; ++rank) {
                most = std::max(most, copiesOf(search.map(), initialMap(), rank));
            }
            CHECK(most <= limit);
            LONGS_EQUAL(most, search.maxCopiesOfARank());
            CHECK(search.skew() < search.initialSkew());
        }
    }
}

TEST(MapSearch, mapIsCompleteAndHoldsEveryExpert)
{
    const MapSearch search = searched(2, 3);
    LONGS_EQUAL(SETS, search.map().size());
    for (const auto &set : search.map()) {
        std::vector<bool> held(EXPERTS);
        for (const RankExperts &experts : set) {
            CHECK(experts.size() <= 5);
            std::ranges::for_each(experts, [&](int expert) { held[static_cast<size_t>(expert)] = true; });
        }
        CHECK(std::ranges::all_of(held, [](bool value) { return value; }));
    }
}

TEST(MapSearch, emptyMapEndsAtOnce)
{
    MapSearch search(optionsWith(1), {}, {}, 1);
    CHECK_FALSE(search.improve(1'000));
    LONGS_EQUAL(0, search.copies());
}

TEST(MapSearch, copiesFitTheTimeThatTheyTake)
{
    LONGS_EQUAL(1, copiesWithin(milliseconds{150}, milliseconds{111}));
    LONGS_EQUAL(4, copiesWithin(milliseconds{150}, milliseconds{35}));
    LONGS_EQUAL(1, copiesWithin(milliseconds{150}, milliseconds{400}));
    CHECK(copiesWithin(milliseconds{150}, milliseconds{0}) > 1'000'000);
}

/// Guards against giving all copies to the sets that are searched first, which leaves the others uneven.
TEST(MapSearch, spreadCopiesReachAllSets)
{
    MapSearchOptions options = optionsWith(2);
    options.spreadCopies = true;
    const GroupMap before = initialMap();
    MapSearch search(options, before, skewedSamples(5), 5);
    while (search.improve(1'000)) { }
    for (size_t set = 0; set < SETS; ++set) {
        CHECK(search.map()[set] != before[set]);
    }
    for (size_t rank = 0; rank < static_cast<size_t>(RANKS); ++rank) {
        CHECK(copiesOf(search.map(), before, rank) <= 2);
    }
}

TEST(MapSearch, heldOutSamplesAreNotSearchedWith)
{
    const SplitSamples split = splitSamples(skewedSamples(5));
    LONGS_EQUAL(16, split.training.size());
    LONGS_EQUAL(8, split.heldOut.size());
    CHECK(meanMapSkew(initialMap(), EXPERTS, split.heldOut) > 1.5);
    DOUBLES_EQUAL(1.0, meanMapSkew(initialMap(), EXPERTS, {}), 1e-9);
}

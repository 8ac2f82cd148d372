// Tests of the eras of the store and of revisions across them.

#include "storeera/eratracker.h"
#include "storeera/storerevision.h"

#include <limits>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisymount::storeera;

TEST_GROUP(EraTracker)
{
    EraTracker tracker;
    std::vector<std::string> told;

    void setup() override
    {
        tracker.onNewEra = [this](int64_t before, int64_t era, std::string_view toldBy) {
            told.push_back(std::to_string(before) + ">" + std::to_string(era) + " " + std::string(toldBy));
        };
    }
};

TEST(EraTracker, answersWithoutAnEraAreCurrentUntilOneIsKnown)
{
    CHECK(tracker.onAnswer(0, "range") == AnswerEra::Current);
    CHECK(tracker.onAnswer(3, "range") == AnswerEra::Current);
    CHECK(tracker.onAnswer(0, "range") == AnswerEra::Outdated);
    LONGS_EQUAL(3, tracker.current());
}

TEST(EraTracker, aLateAnswerOfAnEarlierEraNeverLowersTheEra)
{
    tracker.onAnswer(4, "watch");
    tracker.onAnswer(5, "range");
    CHECK(tracker.onAnswer(4, "watch") == AnswerEra::Outdated);
    tracker.onPeerEra(4, "cut-off");
    LONGS_EQUAL(5, tracker.current());
    CHECK(told == (std::vector<std::string>{"0>4 watch", "4>5 range"}));
}

TEST(EraTracker, aPeerTellsOfANewEraBeforeTheStoreDoes)
{
    tracker.onAnswer(1, "watch");
    tracker.onPeerEra(2, "peer");
    CHECK(tracker.onAnswer(1, "watch") == AnswerEra::Outdated);
    CHECK(told.back() == "1>2 peer");
}

TEST(EraTracker, twoErasThatFollowAtOnceAreToldOneByOne)
{
    tracker.onAnswer(1, "watch");
    tracker.onAnswer(2, "watch");
    tracker.onAnswer(3, "range");
    LONGS_EQUAL(3, told.size());
}

TEST_GROUP(StoreRevision){};

TEST(StoreRevision, aRevisionOfALaterEraIsNewerHoweverLowItIs)
{
    constexpr int64_t LARGEST = std::numeric_limits<int64_t>::max();
    CHECK(StoreRevision(2, 1) > StoreRevision(1, LARGEST));
    CHECK(StoreRevision(LARGEST, 0) > StoreRevision(LARGEST - 1, LARGEST));
    CHECK(StoreRevision(1, 7) > StoreRevision(1, 6));
    CHECK(StoreRevision(0, 7) < StoreRevision(1, 0));
}

// Tests of what counts as an outage of the store.

#include "gateway/storeoutage.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount::gateway;
using daisymount::framework::Instant;
using daisymount::framework::milliseconds;

namespace
{
Instant at(int64_t ms)
{
    return Instant{milliseconds{100'000 + ms}};
}
} // namespace

TEST_GROUP(StoreOutage)
{
    StoreOutage outage;

    void setup() override
    {
        CHECK_FALSE(outage.onAnswered(at(0)));
    }
};

// Guards against requests to upstreams that have left: they are kept for a while after an outage.
TEST(StoreOutage, timeWithoutCallsIsNone)
{
    CHECK_FALSE(outage.onAnswered(at(60'000)));
}

// Guards against the same after a watch was cut and its successor has waited for a change.
TEST(StoreOutage, oneWatchThatIsCutIsNone)
{
    outage.onUnanswered(at(0), at(1'300));
    CHECK_FALSE(outage.onAnswered(at(3'450)));
}

TEST(StoreOutage, watchOnADeadConnectionIsNone)
{
    outage.onUnanswered(at(0), at(2'500));
    CHECK_FALSE(outage.isOut());
    CHECK_FALSE(outage.onAnswered(at(2'510)));
}

TEST(StoreOutage, callsThatFailAfterOthersWereAnsweredCountFromThere)
{
    CHECK_FALSE(outage.onAnswered(at(1'900)));
    outage.onUnanswered(at(0), at(2'000));
    outage.onUnanswered(at(2'100), at(3'100));
    CHECK_FALSE(outage.isOut());
    CHECK_FALSE(outage.onAnswered(at(3'200)));
}

TEST(StoreOutage, callsThatFailForLongerThanARegistrationLastsAreOne)
{
    outage.onUnanswered(at(100), at(1'100));
    CHECK_FALSE(outage.isOut());
    outage.onUnanswered(at(1'300), at(2'300));
    outage.onUnanswered(at(2'600), at(3'600));
    CHECK_TRUE(outage.isOut());
    CHECK_TRUE(outage.onAnswered(at(4'000)));
    CHECK_FALSE(outage.onAnswered(at(4'100)));
}

TEST(StoreOutage, storeThatNeverAnsweredBeforeIsNotRegained)
{
    StoreOutage fresh;
    fresh.onUnanswered(at(0), at(1'000));
    fresh.onUnanswered(at(1'200), at(4'000));
    CHECK_TRUE(fresh.isOut());
    CHECK_FALSE(fresh.onAnswered(at(4'100)));
}

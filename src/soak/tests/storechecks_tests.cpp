// Tests of the checks around returns of the store: each tells its break, and a write that was lost counts from its second acknowledgement.

#include "soak/storechecks.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using namespace daisymount::soak;

TEST_GROUP(StoreChecks)
{
    StoreChecks checks;
    std::vector<std::string> broken;

    void setup() override
    {
        checks.onBroken = [this](const std::string &what) { broken.push_back(what); };
    }

    static framework::Instant at(int64_t ms)
    {
        return framework::Instant{framework::milliseconds{100'000 + ms}};
    }
};

TEST(StoreChecks, aVersionCountsFromItsLastAcknowledgement)
{
    checks.onVersionAcknowledged(2, at(0));
    checks.onVersionLost();
    checks.judgeVersion("front", at(-9'000), 1, at(3'000));
    checks.onVersionAcknowledged(2, at(3'000));
    checks.judgeVersion("front", at(-9'000), 1, at(4'900));
    CHECK_EQUAL(0U, broken.size());
    checks.judgeVersion("front", at(-9'000), 1, at(5'100));
    CHECK_EQUAL(1U, broken.size());
}

TEST(StoreChecks, aGatewayMustNotGoBack)
{
    checks.judgeVersion("front", at(0), 3, at(100));
    checks.judgeVersion("front", at(0), 2, at(200));
    CHECK_EQUAL(1U, broken.size());
    // A process that has started anew may know less.
    checks.judgeVersion("front", at(300), 1, at(400));
    CHECK_EQUAL(1U, broken.size());
}

TEST(StoreChecks, anEvacuationCountsFromItsLastAcknowledgement)
{
    checks.onEvacuation("a", at(0));
    checks.judgeArrival("r1", "a", at(4'900));
    checks.onEvacuationGone("a");
    checks.judgeArrival("r2", "a", at(6'000));
    checks.onEvacuation("a", at(6'000));
    checks.judgeArrival("r3", "a", at(10'900));
    checks.judgeArrival("r4", "b", at(12'000));
    CHECK_EQUAL(0U, broken.size());
    checks.judgeArrival("r5", "a", at(11'100));
    CHECK_EQUAL(1U, broken.size());
}

TEST(StoreChecks, aRankMustNotRefuseOrdersForLong)
{
    checks.onReturn(at(0));
    checks.judgeOrder(1, true, at(100));
    checks.judgeOrder(1, false, at(3'000));
    checks.judgeOrder(1, true, at(5'000));
    checks.judgeOrder(1, true, at(9'900));
    CHECK_EQUAL(0U, broken.size());
    checks.judgeOrder(1, true, at(10'100));
    CHECK_EQUAL(1U, broken.size());
}

TEST(StoreChecks, twoGatewaysMustNotUseOneFencingNumber)
{
    checks.judgeSender(7, "front-a");
    checks.judgeSender(7, "front-a");
    checks.judgeSender(8, "front-b");
    CHECK_EQUAL(0U, broken.size());
    checks.judgeSender(7, "front-b");
    CHECK_EQUAL(1U, broken.size());
}

// Tests of the fingerprint: equal for a repeat, different in each part of the identity.

#include "crashattribution/crashtypes.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount::crashattribution;

namespace
{
constexpr RequestIdentity REQUEST{"POST", "a.example", "/orders/7?x=1", "org", "body"};
} // namespace

TEST_GROUP(Fingerprint){};

TEST(Fingerprint, isTheSameForARepeat)
{
    CHECK(fingerprintOf(REQUEST) == fingerprintOf(RequestIdentity{"POST", "a.example", "/orders/7?x=1", "org", "body"}));
}

TEST(Fingerprint, differsInEachPart)
{
    CHECK(fingerprintOf(REQUEST) != fingerprintOf({"PUT", "a.example", "/orders/7?x=1", "org", "body"}));
    CHECK(fingerprintOf(REQUEST) != fingerprintOf({"POST", "b.example", "/orders/7?x=1", "org", "body"}));
    CHECK(fingerprintOf(REQUEST) != fingerprintOf({"POST", "a.example", "/orders/7?x=2", "org", "body"}));
    CHECK(fingerprintOf(REQUEST) != fingerprintOf({"POST", "a.example", "/orders/7?x=1", "other", "body"}));
    CHECK(fingerprintOf(REQUEST) != fingerprintOf({"POST", "a.example", "/orders/7?x=1", "org", "another"}));
    CHECK(fingerprintOf(REQUEST) != fingerprintOf({"POST", "a.example", "/orders/7?x=1", "orgbody", ""}));
}

TEST(Fingerprint, isSixteenDigitsInLogs)
{
    STRCMP_EQUAL("00000000000000ff", toText(255).c_str());
}

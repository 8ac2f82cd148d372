// Tests of the fingerprint: equal for identical requests, different if any part of the identity differs.

#include "crashattribution/crashtypes.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount::crashattribution;

namespace
{
constexpr RequestIdentity REQUEST{"POST", "a.example", "/orders/7?x=1", "org", "body"};
} // namespace

TEST_GROUP(Fingerprint){};

TEST(Fingerprint, isEqualForIdenticalRequests)
{
    CHECK(fingerprintOf(REQUEST) == fingerprintOf(RequestIdentity{"POST", "a.example", "/orders/7?x=1", "org", "body"}));
}

TEST(Fingerprint, differsIfAnyPartDiffers)
{
    CHECK(fingerprintOf(REQUEST) != fingerprintOf({"PUT", "a.example", "/orders/7?x=1", "org", "body"}));
    CHECK(fingerprintOf(REQUEST) != fingerprintOf({"POST", "b.example", "/orders/7?x=1", "org", "body"}));
    CHECK(fingerprintOf(REQUEST) != fingerprintOf({"POST", "a.example", "/orders/7?x=2", "org", "body"}));
    CHECK(fingerprintOf(REQUEST) != fingerprintOf({"POST", "a.example", "/orders/7?x=1", "other", "body"}));
    CHECK(fingerprintOf(REQUEST) != fingerprintOf({"POST", "a.example", "/orders/7?x=1", "org", "another"}));
    CHECK(fingerprintOf(REQUEST) != fingerprintOf({"POST", "a.example", "/orders/7?x=1", "orgbody", ""}));
}

TEST(Fingerprint, isFormattedAsSixteenHexadecimalDigits)
{
    STRCMP_EQUAL("00000000000000ff", toText(255).c_str());
}

// Tests of the slo library.

#include <CppUTest/TestHarness.h>

TEST_GROUP(Slo){};

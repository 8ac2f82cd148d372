// Tests of the claims library.

#include <CppUTest/TestHarness.h>

TEST_GROUP(placeholder_claims){};

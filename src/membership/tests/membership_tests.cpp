// Tests of the membership library.

#include <CppUTest/TestHarness.h>

TEST_GROUP(placeholder_membership){};

// Tests of the admission library.

#include <CppUTest/TestHarness.h>

TEST_GROUP(placeholder_admission){};

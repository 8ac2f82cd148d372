// Tests of the retry library.

#include <CppUTest/TestHarness.h>

TEST_GROUP(placeholder_retry){};

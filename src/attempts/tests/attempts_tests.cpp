// Tests of the attempts library.

#include <CppUTest/TestHarness.h>

TEST_GROUP(placeholder_attempts){};

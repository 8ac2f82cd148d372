// Tests of the platform library.

#include <CppUTest/TestHarness.h>

TEST_GROUP(placeholder_platform){};

// Tests of the config library.

#include <CppUTest/TestHarness.h>

TEST_GROUP(placeholder_config){};

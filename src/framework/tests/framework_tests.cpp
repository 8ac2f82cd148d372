// Tests of the framework library.

#include <CppUTest/TestHarness.h>

TEST_GROUP(placeholder_framework){};

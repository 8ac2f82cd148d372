// Tests of the network library.

#include <CppUTest/TestHarness.h>

TEST_GROUP(Network){};

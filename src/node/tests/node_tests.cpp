// Tests of the node library.

#include <CppUTest/TestHarness.h>

TEST_GROUP(Node){};

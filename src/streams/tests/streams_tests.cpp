// Tests of the streams library.

#include <CppUTest/TestHarness.h>

TEST_GROUP(placeholder_streams){};

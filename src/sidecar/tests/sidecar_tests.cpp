// Tests of the sidecar library.

#include <CppUTest/TestHarness.h>

TEST_GROUP(placeholder_sidecar){};

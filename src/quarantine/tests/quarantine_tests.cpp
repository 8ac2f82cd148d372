// Tests of the quarantine library.

#include <CppUTest/TestHarness.h>

TEST_GROUP(placeholder_quarantine){};

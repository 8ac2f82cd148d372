// Tests of the retry library.

#include "retry/retrybudget.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using framework::milliseconds;
using framework::seconds;

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, allowsAShareOfSuccesses)
{
    retry::RetryBudget budget({0.1, 0}, seconds{0});
    CHECK(budget.tryTake(seconds{0}));
    for (int i = 0; i < 25; ++i) {
        budget.onSuccess(seconds{0});
    }
    CHECK(budget.tryTake(seconds{0}));
    CHECK(budget.tryTake(seconds{0}));
    CHECK(!budget.tryTake(seconds{0}));
}

TEST(RetryBudget, halfOfTheUpstreamsFailingKeepsTheTotalSentUnder120Percent)
{
    retry::RetryBudget budget({0.1, 2}, seconds{0});
    int sent = 0;
    constexpr int requests = 10'000;
    for (int i = 0; i < requests; ++i) {
        const framework::Instant now = milliseconds{i * 10};
        ++sent;
        bool failed = i % 2 == 0;
        for (int attempt = 0; failed && budget.tryTake(now); ++attempt) {
            ++sent;
            failed = (i / 2 + attempt) % 2 == 0;
        }
        if (!failed) {
            budget.onSuccess(now);
        }
    }
    CHECK(sent < requests * 12 / 10);
    CHECK(sent > requests);
}

TEST(RetryBudget, doesNotGrowWithoutBound)
{
    retry::RetryBudget budget({1.0, 1000}, seconds{0});
    for (int i = 0; i < 1000; ++i) {
        budget.onSuccess(seconds{i});
    }
    CHECK(budget.balance() <= retry::RetryBudget::MAX_BALANCE);
}

// Tests of how long the map controller may send orders, with and without lease renewals.

#include "gateway/controlterm.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount::gateway;
using daisymount::framework::Instant;
using daisymount::framework::milliseconds;

TEST_GROUP(ControlTerm)
{
    static constexpr int64_t ERA = 7;
    static constexpr int64_t NEXT_ERA = 8;

    ControlTerm term;
    Instant now{std::chrono::seconds{100}};

    void setup() override
    {
        term.begin({.leaseId = 5, .fencing = 17, .era = ERA, .validUntil = now + milliseconds{2'200}}, now);
    }

    /// Advances the clock in steps of 100 ms and checks the term at each step, as a running process does. Returns the end reason, if any.
    std::string_view advance(milliseconds duration)
    {
        std::string_view reason;
        for (milliseconds elapsed{0}; elapsed < duration && reason.empty(); elapsed += milliseconds{100}) {
            now += milliseconds{100};
            reason = term.endReason(now, ERA);
        }
        return reason;
    }
};

TEST(ControlTerm, isExtendedByRenewal)
{
    CHECK(advance(milliseconds{2'000}).empty());
    term.onRenewed(ERA, now + milliseconds{2'200});
    CHECK(advance(milliseconds{2'000}).empty());
    CHECK(term.mayIssueOrders(now, ERA));
    LONGS_EQUAL(17, term.fencing());
}

TEST(ControlTerm, endsWhenTheLeaseIsNotRenewed)
{
    CHECK_FALSE(advance(milliseconds{2'500}).empty());
    CHECK_FALSE(term.mayIssueOrders(now, ERA));
}

TEST(ControlTerm, continuesForTheGracePeriodWhileTheStoreIsUnavailable)
{
    term.onRenewalUnanswered();
    CHECK(advance(milliseconds{10'000}).empty());
    CHECK(term.mayIssueOrders(now, ERA));
    CHECK_FALSE(advance(milliseconds{15'000}).empty());
    CHECK_FALSE(term.mayIssueOrders(now, ERA));
}

TEST(ControlTerm, forbidsOrdersAfterSuspensionWithExpiredLease)
{
    term.onRenewalUnanswered();
    now += milliseconds{5'000};
    CHECK_FALSE(term.mayIssueOrders(now, ERA));
    CHECK_FALSE(term.endReason(now, ERA).empty());
}

TEST(ControlTerm, forbidsOrdersAfterEnd)
{
    term.end();
    CHECK_FALSE(term.mayIssueOrders(now, ERA));
    CHECK(term.endReason(now, ERA).empty());
}

TEST(ControlTerm, forbidsOrdersInANewEraUntilTheLeaseIsConfirmedThere)
{
    CHECK(advance(milliseconds{1'000}).empty());
    CHECK_FALSE(term.mayIssueOrders(now, NEXT_ERA));
    CHECK(term.needsConfirmation(NEXT_ERA));
    CHECK(term.endReason(now, NEXT_ERA).empty());
    term.onConfirmed(NEXT_ERA, now + milliseconds{2'200});
    CHECK(term.mayIssueOrders(now, NEXT_ERA));
    CHECK_FALSE(term.needsConfirmation(NEXT_ERA));
    LONGS_EQUAL(17, term.fencing());
    now += milliseconds{1'500};
    CHECK(term.mayIssueOrders(now, NEXT_ERA));
}

TEST(ControlTerm, doesNotOutliveItsEraIntoTheGracePeriod)
{
    term.onRenewalUnanswered();
    CHECK(advance(milliseconds{3'000}).empty());
    CHECK(term.mayIssueOrders(now, ERA));
    CHECK_FALSE(term.mayIssueOrders(now, NEXT_ERA));
    CHECK_FALSE(term.endReason(now, NEXT_ERA).empty());
}

TEST(ControlTerm, isNotExtendedByARenewalOfAnotherEra)
{
    term.onRenewed(NEXT_ERA, now + milliseconds{9'000});
    CHECK_FALSE(term.mayIssueOrders(now, NEXT_ERA));
    CHECK_FALSE(advance(milliseconds{2'500}).empty());
}

TEST(ControlTerm, aConfirmationInOneEraSaysNothingAboutTheNext)
{
    constexpr int64_t THIRD_ERA = 9;
    term.onConfirmed(NEXT_ERA, now + milliseconds{2'200});
    CHECK_FALSE(term.mayIssueOrders(now, THIRD_ERA));
    CHECK(term.needsConfirmation(THIRD_ERA));
}

TEST(ControlTerm, changeInProgressIsNotLeftToNobody)
{
    CHECK(ControlTerm::shouldHandOver(false, false, milliseconds{0}));
    CHECK_FALSE(ControlTerm::shouldHandOver(true, true, milliseconds{1'000}));
    CHECK(ControlTerm::shouldHandOver(true, true, milliseconds{3'000}));
    CHECK_FALSE(ControlTerm::shouldHandOver(true, false, milliseconds{3'000}));
}

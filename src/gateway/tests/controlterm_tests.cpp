// Tests of how long the map controller may send orders, with and without lease renewals.

#include "gateway/controlterm.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount::gateway;
using daisymount::framework::Instant;
using daisymount::framework::milliseconds;

TEST_GROUP(ControlTerm)
{
    ControlTerm term;
    Instant now{std::chrono::seconds{100}};

    void setup() override
    {
        term.begin(5, 17, now + milliseconds{2'200}, now);
    }

    /// Advances the clock in steps of 100 ms and checks the term at each step, as a running process does. Returns the end reason, if any.
    std::string_view advance(milliseconds duration)
    {
        std::string_view reason;
        for (milliseconds elapsed{0}; elapsed < duration && reason.empty(); elapsed += milliseconds{100}) {
            now += milliseconds{100};
            reason = term.endReason(now);
        }
        return reason;
    }
};

TEST(ControlTerm, isExtendedByRenewal)
{
    CHECK(advance(milliseconds{2'000}).empty());
    term.onRenewed(now + milliseconds{2'200});
    CHECK(advance(milliseconds{2'000}).empty());
    CHECK(term.mayIssueOrders(now));
    LONGS_EQUAL(17, term.fencing());
}

TEST(ControlTerm, endsWhenTheLeaseIsNotRenewed)
{
    CHECK_FALSE(advance(milliseconds{2'500}).empty());
    CHECK_FALSE(term.mayIssueOrders(now));
}

TEST(ControlTerm, continuesForTheGracePeriodWhileTheStoreIsUnavailable)
{
    term.onRenewalUnanswered();
    CHECK(advance(milliseconds{10'000}).empty());
    CHECK(term.mayIssueOrders(now));
    CHECK_FALSE(advance(milliseconds{15'000}).empty());
    CHECK_FALSE(term.mayIssueOrders(now));
}

TEST(ControlTerm, forbidsOrdersAfterSuspensionWithExpiredLease)
{
    term.onRenewalUnanswered();
    now += milliseconds{5'000};
    CHECK_FALSE(term.mayIssueOrders(now));
    CHECK_FALSE(term.endReason(now).empty());
}

TEST(ControlTerm, forbidsOrdersAfterEnd)
{
    term.end();
    CHECK_FALSE(term.mayIssueOrders(now));
    CHECK(term.endReason(now).empty());
}

TEST(ControlTerm, changeInProgressIsNotLeftToNobody)
{
    CHECK(ControlTerm::shouldHandOver(false, false, milliseconds{0}));
    CHECK_FALSE(ControlTerm::shouldHandOver(true, true, milliseconds{1'000}));
    CHECK(ControlTerm::shouldHandOver(true, true, milliseconds{3'000}));
    CHECK_FALSE(ControlTerm::shouldHandOver(true, false, milliseconds{3'000}));
}

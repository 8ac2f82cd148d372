// Tests of how long a holder of the map controller's lease may give orders.

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

    /// Lets time pass as a process does that runs.
    std::string_view pass(milliseconds duration)
    {
        std::string_view reason;
        for (milliseconds done{0}; done < duration && reason.empty(); done += milliseconds{100}) {
            now += milliseconds{100};
            reason = term.endReason(now);
        }
        return reason;
    }
};

TEST(ControlTerm, aTermThatIsRenewedGoesOn)
{
    CHECK(pass(milliseconds{2'000}).empty());
    term.onRenewed(now + milliseconds{2'200});
    CHECK(pass(milliseconds{2'000}).empty());
    CHECK(term.mayIssueOrders(now));
    LONGS_EQUAL(17, term.fencing());
}

TEST(ControlTerm, aLeaseThatWasNotRenewedEndsTheTerm)
{
    CHECK_FALSE(pass(milliseconds{2'500}).empty());
    CHECK_FALSE(term.mayIssueOrders(now));
}

TEST(ControlTerm, whileTheStoreIsSilentTheTermGoesOnForAWhile)
{
    term.onRenewalUnanswered();
    CHECK(pass(milliseconds{10'000}).empty());
    CHECK(term.mayIssueOrders(now));
    CHECK_FALSE(pass(milliseconds{15'000}).empty());
    CHECK_FALSE(term.mayIssueOrders(now));
}

TEST(ControlTerm, aMachineThatWasSuspendedGivesNoOrdersOnAnEndedLease)
{
    term.onRenewalUnanswered();
    now += milliseconds{5'000};
    CHECK_FALSE(term.mayIssueOrders(now));
    CHECK_FALSE(term.endReason(now).empty());
}

TEST(ControlTerm, afterItsEndNothingIsOrdered)
{
    term.end();
    CHECK_FALSE(term.mayIssueOrders(now));
    CHECK(term.endReason(now).empty());
}

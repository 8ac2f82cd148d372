// Guards against checks that never report: each promise is violated once and the violation must be found.

#include "promises/promiseledger.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount::promises;
using daisymount::framework::milliseconds;
using daisymount::framework::ResultCode;
using daisymount::framework::RunState;
using daisymount::framework::seconds;

TEST_GROUP(PromiseLedger)
{
    PromiseLedger ledger{seconds{3}};

    void checkOnlyViolation(Promise promise)
    {
        const auto violations = ledger.violations();
        LONGS_EQUAL(1, violations.size());
        LONGS_EQUAL(static_cast<int>(promise), static_cast<int>(violations.front().promise));
    }
};

TEST(PromiseLedger, detectsDuplicateExecution)
{
    ledger.onExecution("k", "u1", "a", seconds{1});
    ledger.onExecution("k", "u2", "a", seconds{2});
    checkOnlyViolation(Promise::AtMostOnce);
}

TEST(PromiseLedger, detectsExecutionReportedAsNotRun)
{
    ledger.onExecution("k", "u1", "a", seconds{1});
    ledger.onReply("r1", "k", ResultCode::StoreUnavailable, RunState::NotRun);
    checkOnlyViolation(Promise::NotRunIsTrue);
}

TEST(PromiseLedger, allowsExecutionOnRetryAfterNotRunReply)
{
    ledger.onReply("r1", "k", ResultCode::NoUpstream, RunState::NotRun);
    ledger.onExecution("k", "u1", "a", seconds{1});
    ledger.onReply("r2", "k", ResultCode::Ok, RunState::Ran);
    LONGS_EQUAL(0, ledger.violations().size());
}

TEST(PromiseLedger, detectsConfirmationWithoutExecution)
{
    ledger.onReply("r1", "k", ResultCode::Ok, RunState::Ran);
    checkOnlyViolation(Promise::WholeOwnAnswer);
}

TEST(PromiseLedger, detectsWorkInZoneOnlyAfterGracePeriod)
{
    ledger.onZoneOut("a", seconds{10});
    ledger.onExecution("", "u1", "a", seconds{12});
    LONGS_EQUAL(0, ledger.violations().size());
    ledger.onExecution("", "u1", "a", seconds{14});
    checkOnlyViolation(Promise::ZoneOutNoNewWork);
    ledger.onZoneIn("a", seconds{20});
    ledger.onExecution("", "u1", "a", seconds{21});
    LONGS_EQUAL(1, ledger.lateExecutionCount("a"));
}

TEST(PromiseLedger, detectsWorkOnLeavingUpstream)
{
    ledger.onLeaving("u1", seconds{1});
    ledger.onExecution("", "u1", "a", seconds{5});
    checkOnlyViolation(Promise::LeavingNoNewWork);
}

TEST(PromiseLedger, detectsTwoExpertMapsInOneStep)
{
    ledger.onStep("g", 7, "r0", 1);
    ledger.onStep("g", 7, "r1", 2);
    checkOnlyViolation(Promise::OneExpertMapPerStep);
}

TEST(PromiseLedger, detectsOverloadedColdUpstream)
{
    ledger.onColdLoad("u1", 3, 2);
    checkOnlyViolation(Promise::ColdStartBearable);
}

TEST(PromiseLedger, detectsTruncatedAnswer)
{
    ledger.onCompleteAnswer("r1", "abc", "ab");
    checkOnlyViolation(Promise::WholeOwnAnswer);
}

TEST(PromiseLedger, detectsSecondReply)
{
    ledger.onReply("r1", "", ResultCode::Ok, RunState::Ran);
    ledger.onReply("r1", "", ResultCode::Ok, RunState::Ran);
    checkOnlyViolation(Promise::AnsweredOnce);
}

TEST(PromiseLedger, detectsRevertedConfiguration)
{
    ledger.onConfigApplied("n", 5, seconds{1});
    ledger.onConfigApplied("n", 4, seconds{2});
    checkOnlyViolation(Promise::ConfigurationForward);
}

TEST(PromiseLedger, detectsNodeWithoutAcceptedConfiguration)
{
    ledger.onConfigAccepted(5, seconds{1});
    ledger.onConfigApplied("n", 4, seconds{2});
    ledger.checkConfigInForce({"n"});
    checkOnlyViolation(Promise::ConfigurationForward);
}

TEST(PromiseLedger, detectsCutOffRequest)
{
    ledger.onCutOff("r1");
    checkOnlyViolation(Promise::GracefulStop);
}

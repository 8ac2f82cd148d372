// Tests of the entry library.

#include "entrycorefixture.h"

TEST_GROUP_BASE(EntryCore, EntryCoreFixture){};

TEST(EntryCore, attemptIdsOfTwoEntriesDifferThoughTheyStartedTogether)
{
    // Two entries that started in the same instant once gave the same id to two callers' attempts, and a sidecar crossed
    // their answers.
    EntryCoreFixture other("entry-2");
    submit("a", "hello");
    other.submit("a", "hello");
    CHECK(transport.sent.front().request.attempt != other.transport.sent.front().request.attempt);
}

TEST(EntryCore, answersAWholeRequest)
{
    submit("a", "hello");
    accept();
    tokens(0, 3);
    event(attempts::End{3});
    expectReply("a", ResultCode::Ok, RunState::Ran);
    STRCMP_EQUAL("t0t1t2", reply("a").body.c_str());
    LONGS_EQUAL(0, core.openRequests());
}

TEST(EntryCore, refusesAnUnknownKeyAndAnUnknownService)
{
    submit("a", "hello", false, "nobody");
    expectReply("a", ResultCode::UnknownApiKey, RunState::NotRun);
    CallerRequest request;
    request.id = "b";
    request.apiKey = "large-key";
    request.service = "none";
    core.onRequest(request, now);
    expectReply("b", ResultCode::UnknownService, RunState::NotRun);
}

TEST(EntryCore, withoutAConfigurationItBlamesNoCaller)
{
    core.configure({});
    submit("a", "hello");
    expectReply("a", ResultCode::ConfigurationStale, RunState::NotRun);
    CHECK(reply("a").retryAfter > Duration{0});
}

TEST(EntryCore, refusesOverTheLimitWithATimeToComeBack)
{
    for (int i = 0; i < 40; ++i) {
        submit("r" + std::to_string(i), "hello", false, "small-key");
    }
    expectReply("r39", ResultCode::OrganisationOverLimit, RunState::NotRun);
    CHECK(reply("r39").retryAfter > Duration{0});
}

TEST(EntryCore, triesOtherUpstreamsFreelyAfterTrueRefusalsAndNeverTheSameOne)
{
    submit("a", "hello");
    std::set<std::string> addresses;
    for (int i = 0; i < 4; ++i) {
        CHECK(addresses.insert(last().address).second);
        refuse(ResultCode::UpstreamFull);
    }
    expectReply("a", ResultCode::UpstreamFull, RunState::NotRun);
    CHECK(reply("a").retryAfter > Duration{0});
    LONGS_EQUAL(0, core.counters().retries);
}

TEST(EntryCore, resumesAStreamFromTheLastToken)
{
    submit("a", "hello", true);
    accept();
    tokens(0, 5);
    breakConnection();
    LONGS_EQUAL(5, last().request.resumeFrom);
    accept();
    tokens(4, 8);
    event(attempts::End{8});
    expectReply("a", ResultCode::Ok, RunState::Ran);
    STRCMP_EQUAL("t0t1t2t3t4t5t6t7", callers.streamed["a"].c_str());
    LONGS_EQUAL(1, core.counters().droppedTokens);
}

TEST(EntryCore, dropsLateEventsOfAnAttemptThatWasGivenUp)
{
    submit("a", "hello", true);
    accept();
    tokens(0, 2);
    const AttemptId old = last().request.attempt;
    breakConnection();
    core.onAttemptEvent(old, attempts::Token{2, "WRONG"}, now);
    core.onAttemptEvent(old, attempts::End{3}, now);
    tokens(2, 4);
    event(attempts::End{4});
    STRCMP_EQUAL("t0t1t2t3", callers.streamed["a"].c_str());
    LONGS_EQUAL(2, core.counters().staleEvents);
}

TEST(EntryCore, neverPassesATruncatedAnswerOffAsComplete)
{
    submit("a", "hello");
    accept();
    tokens(0, 2);
    event(attempts::End{9});
    while (callers.replies.count("a") == 0) {
        accept();
        event(attempts::End{9});
    }
    expectReply("a", ResultCode::AnswerTruncated, RunState::Ran);
}

TEST(EntryCore, movesOnFromASilentUpstream)
{
    submit("a", "hello");
    accept();
    const std::string silent = last().address;
    advance(seconds{4});
    CHECK(last().address != silent);
    LONGS_EQUAL(1, transport.cancelled.size());
}

TEST(EntryCore, cancelsIdempotentWorkWhenTheCallerLeaves)
{
    submit("a", "hello", true);
    accept();
    core.onCallerGone("a", now);
    LONGS_EQUAL(1, transport.cancelled.size());
    LONGS_EQUAL(0, core.openRequests());
    CHECK_EQUAL(0U, callers.replies.count("a"));
}

TEST(EntryCore, answersAtTheDeadlineAndNotLater)
{
    CallerRequest request;
    request.id = "a";
    request.apiKey = "large-key";
    request.service = "model";
    request.path = "/v1/completions";
    request.deadline = seconds{2};
    core.onRequest(request, now);
    accept();
    advance(milliseconds{1990});
    CHECK_EQUAL(0U, callers.replies.count("a"));
    advance(milliseconds{20});
    expectReply("a", ResultCode::DeadlinePassed, RunState::Unknown);
}

TEST(EntryCore, whenEveryUpstreamIsSilentItGivesUpBeforeTheDeadline)
{
    submit("a", "hello");
    advance(seconds{20});
    expectReply("a", ResultCode::UpstreamFailed, RunState::Unknown);
}

TEST(EntryCore, aRefusalAfterAnAttemptThatMayHaveRunIsNotCalledNotRun)
{
    submit("a", "hello");
    breakConnection();
    while (callers.replies.count("a") == 0) {
        refuse(ResultCode::UpstreamFull);
    }
    expectReply("a", ResultCode::UpstreamFull, RunState::Unknown);
}

TEST(EntryCore, spentBudgetEndsRetriesWithAnAnswerAtOnce)
{
    for (int i = 0; i < 30; ++i) {
        const std::string id = "r" + std::to_string(i);
        submit(id, "hello");
        while (callers.replies.count(id) == 0) {
            accept();
            breakConnection();
        }
    }
    CHECK(core.counters().attemptsSent < 36);
    expectReply("r29", ResultCode::RetryBudgetSpent, RunState::Unknown);
}

// Non-idempotent requests.

TEST(EntryCore, runsAnOrderOnlyAfterItsClaimStands)
{
    CallerRequest request;
    request.id = "a";
    request.apiKey = "large-key";
    request.service = "orders";
    request.path = "/orders";
    request.model = false;
    request.idempotencyKey = "k";
    core.onRequest(request, now);
    LONGS_EQUAL(0, transport.sent.size());
    settle();
    LONGS_EQUAL(1, transport.sent.size());
    STRCMP_EQUAL("a", last().request.executionKey.c_str());
}

TEST(EntryCore, aRepeatGetsTheStoredAnswer)
{
    submitOrder("a", "k");
    accept();
    event(attempts::Answer{201, "text/plain", "done"});
    expectReply("a", ResultCode::Ok, RunState::Ran);
    settle();
    submitOrder("b", "k");
    expectReply("b", ResultCode::Ok, RunState::Ran);
    CHECK(reply("b").replayed);
    STRCMP_EQUAL("done", reply("b").body.c_str());
    LONGS_EQUAL(1, transport.sent.size());
}

TEST(EntryCore, aRepeatOfARunningOrderWaitsForItsAnswer)
{
    submitOrder("a", "k");
    accept();
    submitOrder("b", "k");
    LONGS_EQUAL(1, transport.sent.size());
    LONGS_EQUAL(1, peers.queries.size());
    const entry::OwnerQuery query = peers.queries.front().second;
    core.onOwnerAnswer(core.onOwnerQuery(query), now);
    CHECK_EQUAL(0U, callers.replies.count("b"));
    event(attempts::Answer{201, "text/plain", "done"});
    core.onOwnerAnswer(core.onOwnerQuery(query), now);
    expectReply("b", ResultCode::Ok, RunState::Ran);
    LONGS_EQUAL(1, transport.sent.size());
}

TEST(EntryCore, aRepeatWhoseOwnerIsDeadIsUnknownAndNeverRuns)
{
    store.step();
    submitOrder("a", "k");
    accept();
    EntryCoreFixture other("entry-2");
    peers.dead.insert("entry-1");
    submitOrder("b", "k");
    advance(seconds{2});
    expectReply("b", ResultCode::OutcomeUnknown, RunState::Unknown);
    LONGS_EQUAL(1, transport.sent.size());
}

TEST(EntryCore, aBrokenOrderIsRevokedBeforeItIsTriedElsewhere)
{
    submitOrder("a", "k");
    breakConnection();
    LONGS_EQUAL(1, transport.sent.size());
    LONGS_EQUAL(1, transport.revocations.size());
    transport.revocations.front().handler(claims::RevokeVerdict::NeverStarts);
    LONGS_EQUAL(2, transport.sent.size());
    CHECK(transport.sent[0].address != transport.sent[1].address);
}

TEST(EntryCore, aBrokenOrderThatStartedIsUnknownAndNeverRunsAgain)
{
    for (const auto verdict : {claims::RevokeVerdict::Started, claims::RevokeVerdict::Unknown}) {
        const std::string id = "a" + std::to_string(static_cast<int>(verdict));
        const size_t before = transport.sent.size();
        submitOrder(id, "k" + id);
        accept();
        breakConnection();
        transport.revocations.back().handler(verdict);
        expectReply(id, ResultCode::OutcomeUnknown, RunState::Unknown);
        LONGS_EQUAL(before + 1, transport.sent.size());
    }
}

TEST(EntryCore, anOrderWithoutAKeyIsNeverRetriedAfterBytesMayHaveLeft)
{
    submitOrder("a", "");
    breakConnection();
    transport.revocations.front().handler(claims::RevokeVerdict::NeverStarts);
    expectReply("a", ResultCode::UpstreamUnreachable, RunState::NotRun);
    LONGS_EQUAL(1, transport.sent.size());
}

TEST(EntryCore, aRefusedOrderFreesItsKey)
{
    submitOrder("a", "k");
    refuse(ResultCode::UpstreamFull);
    refuse(ResultCode::UpstreamFull);
    expectReply("a", ResultCode::UpstreamFull, RunState::NotRun);
    advance(seconds{1});
    submitOrder("b", "k");
    LONGS_EQUAL(3, transport.sent.size());
    accept();
    event(attempts::Answer{201, "text/plain", "done"});
    expectReply("b", ResultCode::Ok, RunState::Ran);
}

TEST(EntryCore, refusesOrdersAtOnceInAStoreOutageWhileOtherWorkGoesOn)
{
    store.faults().down = true;
    submitOrder("a", "k");
    expectReply("a", ResultCode::StoreUnavailable, RunState::NotRun);
    CHECK(reply("a").retryAfter > Duration{0});
    submit("b", "hello");
    accept();
    event(attempts::End{0});
    expectReply("b", ResultCode::Ok, RunState::Ran);
}

TEST(EntryCore, inAnOutageARepeatOfAKnownOrderIsNotCalledNotRun)
{
    submitOrder("a", "k");
    accept();
    advance(seconds{31});
    expectReply("a", ResultCode::OutcomeUnknown, RunState::Unknown);
    store.faults().down = true;
    submitOrder("x", "other");
    submitOrder("b", "k");
    advance(seconds{31});
    CHECK(reply("b").ran != RunState::NotRun);
}

TEST(EntryCore, anOrderWhoseCallerLeftRunsToItsEndForTheRepeat)
{
    submitOrder("a", "k");
    accept();
    core.onCallerGone("a", now);
    LONGS_EQUAL(0, transport.cancelled.size());
    event(attempts::Answer{201, "text/plain", "done"});
    settle();
    submitOrder("b", "k");
    expectReply("b", ResultCode::Ok, RunState::Ran);
    LONGS_EQUAL(1, transport.sent.size());
}

TEST(EntryCore, anOrderNotHandedOverByItsDeadlineIsRevokedAndTrulyNotRun)
{
    submitOrder("a", "k");
    advance(seconds{31});
    LONGS_EQUAL(1, transport.revocations.size());
    transport.revocations.front().handler(claims::RevokeVerdict::NeverStarts);
    expectReply("a", ResultCode::DeadlinePassed, RunState::NotRun);
}

// Query of death.

TEST(EntryCore, aRequestThatCrashesTwoUpstreamsIsRefusedAndANeighbourIsNot)
{
    submit("bad", "CRASH");
    const quarantine::Fingerprint fingerprint = last().request.fingerprint;
    accept();
    crash("m1", 1, {fingerprint, 42});
    CHECK(last().request.exclusive);
    accept();
    crash("m2", 1, {fingerprint});
    expectReply("bad", ResultCode::Quarantined, RunState::Ran);
    LONGS_EQUAL(2, transport.sent.size());
    submit("again", "CRASH");
    expectReply("again", ResultCode::Quarantined, RunState::NotRun);
    LONGS_EQUAL(2, transport.sent.size());
    CHECK(core.quarantine().standing(42, now) == quarantine::Standing::Suspect);
}

TEST(EntryCore, aSuspectThatEndsAloneIsClearedAndRunsNormallyAgain)
{
    submit("a", "innocent");
    const quarantine::Fingerprint fingerprint = last().request.fingerprint;
    accept();
    crash("m1", 1, {fingerprint, 42});
    accept();
    event(attempts::End{0});
    expectReply("a", ResultCode::Ok, RunState::Ran);
    submit("b", "innocent");
    CHECK(!last().request.exclusive);
}

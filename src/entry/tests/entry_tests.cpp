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

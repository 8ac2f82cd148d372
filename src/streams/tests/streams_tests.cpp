// Tests of the streams library.

#include "streams/tokenstream.h"

#include <CppUTest/TestHarness.h>

using daisymount::streams::TokenStream;
using daisymount::streams::TokenVerdict;

TEST_GROUP(TokenStream)
{
    TokenStream stream;

    void expect(TokenVerdict verdict, uint64_t attempt, int64_t offset)
    {
        LONGS_EQUAL(static_cast<int>(verdict), static_cast<int>(stream.onToken(attempt, offset, std::to_string(offset) + ";")));
    }
};

TEST(TokenStream, joinsTwoAttemptsWithoutDoubledOrMissingTokens)
{
    LONGS_EQUAL(0, stream.beginAttempt(1));
    expect(TokenVerdict::Accept, 1, 0);
    expect(TokenVerdict::Accept, 1, 1);
    LONGS_EQUAL(2, stream.beginAttempt(2));
    expect(TokenVerdict::Duplicate, 2, 1);
    expect(TokenVerdict::Accept, 2, 2);
    CHECK(stream.onEnd(2, 3));
    STRCMP_EQUAL("0;1;2;", stream.text().c_str());
    LONGS_EQUAL(1, stream.dropped());
}

TEST(TokenStream, dropsLateTokensOfAnAttemptThatWasGivenUp)
{
    stream.beginAttempt(1);
    stream.beginAttempt(2);
    expect(TokenVerdict::Stale, 1, 0);
    CHECK(!stream.onEnd(1, 0));
}

TEST(TokenStream, seesAGap)
{
    stream.beginAttempt(1);
    expect(TokenVerdict::Gap, 1, 1);
}

TEST(TokenStream, isNotCompleteWhenTokensAreMissing)
{
    stream.beginAttempt(1);
    expect(TokenVerdict::Accept, 1, 0);
    CHECK(!stream.onEnd(1, 5));
    CHECK(!stream.complete());
}

TEST(TokenStream, takesNothingAfterTheEnd)
{
    stream.beginAttempt(1);
    CHECK(stream.onEnd(1, 0));
    expect(TokenVerdict::Stale, 1, 0);
}

// Tests of the attempts library: what is encoded decodes to the same, what is damaged gives an error.

#include "attempts/attemptcodec.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace daisymount;
using attempts::AttemptEvent;
using framework::ResultCode;
using framework::RunState;

TEST_GROUP(AttemptCodec){static AttemptEvent roundTrip(const AttemptEvent &event){attempts::EventSplitter splitter;
const auto payloads = splitter.feed(attempts::encodeEvent(event));
LONGS_EQUAL(1, payloads.size());
AttemptEvent decoded;
const framework::Ret ret = framework::evaluate([&]() -> framework::Result<void> {
    BOOST_LEAF_ASSIGN(decoded, attempts::decodeEvent(payloads.front()));
    return {};
});
CHECK(static_cast<bool>(ret));
return decoded;
}
}
;

TEST(AttemptCodec, attemptHeaderSurvivesARoundTrip)
{
    attempts::AttemptRequest request;
    request.attempt = UINT64_MAX;
    request.request = "r \"1\"";
    request.path = "/v1/x";
    request.executionKey = "k";
    request.addressedTo = 1ULL << 63;
    request.resumeFrom = 12;
    request.exclusive = true;
    request.fingerprint = UINT64_MAX - 1;
    request.timeLeft = framework::seconds{3};
    attempts::AttemptRequest decoded;
    const framework::Ret ret = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(decoded, attempts::decodeAttemptHeader(attempts::encodeAttemptHeader(request)));
        return {};
    });
    CHECK(static_cast<bool>(ret));
    CHECK(decoded.attempt == request.attempt && decoded.fingerprint == request.fingerprint && decoded.addressedTo == request.addressedTo);
    STRCMP_EQUAL(request.request.c_str(), decoded.request.c_str());
    LONGS_EQUAL(12, decoded.resumeFrom);
    CHECK(decoded.exclusive);
}

TEST(AttemptCodec, eventsSurviveARoundTrip)
{
    STRCMP_EQUAL("a\n\nb\u00e9", std::get<attempts::Token>(roundTrip(attempts::Token{3, "a\n\nb\u00e9"})).text.c_str());
    LONGS_EQUAL(9, std::get<attempts::End>(roundTrip(attempts::End{9})).totalTokens);
    LONGS_EQUAL(201, std::get<attempts::Answer>(roundTrip(attempts::Answer{201, "t", "b"})).status);
    const attempts::Failure failure{ResultCode::ColdLimit, RunState::NotRun, framework::seconds{1}, routing::LoadHint{1, 2, 3, true, 4},
                                    quarantine::CrashReport{"u", 5, {6, UINT64_MAX}}};
    const auto decoded = std::get<attempts::Failure>(roundTrip(failure));
    CHECK(decoded.code == failure.code && decoded.ran == failure.ran && decoded.retryAfter == failure.retryAfter);
    LONGS_EQUAL(4, decoded.hint->incarnation);
    CHECK(decoded.crash->inFlight == failure.crash->inFlight);
}

TEST(AttemptCodec, aStreamIsSplitTheSameWhereverItIsCut)
{
    const std::string stream = attempts::encodeEvent(attempts::Token{0, "x"}) + attempts::encodeEvent(attempts::End{1});
    for (size_t cut = 0; cut <= stream.size(); ++cut) {
        attempts::EventSplitter splitter;
        auto payloads = splitter.feed(stream.substr(0, cut));
        for (std::string &payload : splitter.feed(stream.substr(cut))) {
            payloads.push_back(std::move(payload));
        }
        LONGS_EQUAL(2, payloads.size());
        CHECK(!splitter.hasPartial());
    }
}

TEST(AttemptCodec, damagedInputIsAnErrorAndNeverACrash)
{
    std::mt19937_64 random(5);
    const std::string valid = attempts::encodeAttemptHeader({});
    for (int round = 0; round < 20'000; ++round) {
        std::string damaged = valid;
        for (uint64_t edits = random() % 8; edits > 0; --edits) {
            damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
        }
        static_cast<void>(framework::evaluate([&]() -> framework::Result<void> {
            BOOST_LEAF_CHECK(attempts::decodeAttemptHeader(damaged));
            return {};
        }));
        static_cast<void>(framework::evaluate([&]() -> framework::Result<void> {
            BOOST_LEAF_CHECK(attempts::decodeEvent(damaged));
            return {};
        }));
    }
    const framework::Ret empty = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_CHECK(attempts::decodeEvent("{}"));
        return {};
    });
    LONGS_EQUAL(static_cast<int>(ResultCode::BadMessage), static_cast<int>(empty.code));
}

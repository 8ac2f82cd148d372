// Tests for the fake platform store, in particular its injected faults, which other tests rely on.

#include "store/fakeplatformstore.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using framework::ResultCode;
using framework::Ret;
using store::VersionedValue;

TEST_GROUP(FakePlatformStore)
{
    store::FakePlatformStore store;
    ResultCode code = ResultCode::Internal;
    int64_t revision = 0;

    void write(const char *key, int64_t expected, const char *value)
    {
        store.compareAndSwap(key, expected, value, [this](const Ret &ret, int64_t at) {
            code = ret.code;
            revision = at;
        });
        store.step();
    }
};

TEST(FakePlatformStore, rejectsWriteWithWrongRevision)
{
    write("k", 0, "a");
    LONGS_EQUAL(static_cast<int>(ResultCode::Ok), static_cast<int>(code));
    write("k", 0, "b");
    LONGS_EQUAL(static_cast<int>(ResultCode::CasConflict), static_cast<int>(code));
    STRCMP_EQUAL("a", store.peek("k").value.c_str());
}

TEST(FakePlatformStore, writeTakesEffectWhenReplyIsLost)
{
    store.faults().loseWriteReplies = true;
    write("k", 0, "a");
    LONGS_EQUAL(static_cast<int>(ResultCode::ReplyLost), static_cast<int>(code));
    STRCMP_EQUAL("a", store.peek("k").value.c_str());
}

TEST(FakePlatformStore, lostWriteHasNoEffect)
{
    store.faults().loseWrites = true;
    write("k", 0, "a");
    LONGS_EQUAL(static_cast<int>(ResultCode::ReplyLost), static_cast<int>(code));
    LONGS_EQUAL(0, store.peek("k").revision);
}

TEST(FakePlatformStore, watchFiresOnNextWrite)
{
    std::string seen;
    store.watch("k", 0, [&](const Ret &, const VersionedValue &value) { seen = value.value; });
    store.step();
    STRCMP_EQUAL("", seen.c_str());
    write("k", 0, "a");
    STRCMP_EQUAL("a", seen.c_str());
}

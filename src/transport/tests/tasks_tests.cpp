// Tests of detached coroutines: exceptions are reported, loops go on, and what others wait for is released.

#include "transport/connection.h"
#include "transport/tasks.h"

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

#include <stdexcept>
#include <vector>

using namespace daisymount::transport;

TEST_GROUP(Tasks)
{
    asio::io_context reactor;
    std::vector<TaskFailure> failures;

    void setup() override
    {
        setTaskFailureHandler([this](const TaskFailure &failure) { failures.push_back(failure); });
    }

    void teardown() override
    {
        setTaskFailureHandler([](const TaskFailure &) {});
    }
};

// Guards against a loop that the process lives by and that an exception has ended without a trace.
TEST(Tasks, loopGoesOnAfterAnException)
{
    int runs = 0;
    spawnLoop(reactor.get_executor(), "poll", [&runs]() -> asio::awaitable<void> {
        ++runs;
        co_await sleepFor(milliseconds{1});
        if (runs == 1) {
            throw std::out_of_range("map::at");
        }
    });
    reactor.run();
    LONGS_EQUAL(2, runs);
    LONGS_EQUAL(1, failures.size());
    STRCMP_EQUAL("map::at", failures.front().what.c_str());
    CHECK(failures.front().isLoop);
    CHECK_FALSE(failures.front().exhausted);
}

// Guards against a process that counts as ready although one of its loops always fails.
TEST(Tasks, loopThatAlwaysFailsIsReportedAsExhausted)
{
    int runs = 0;
    spawnLoop(reactor.get_executor(), "poll", [&runs]() -> asio::awaitable<void> {
        if (++runs > MAX_LOOP_FAILURES) {
            co_return;
        }
        throw 1;
    });
    reactor.run();
    LONGS_EQUAL(MAX_LOOP_FAILURES, failures.size());
    CHECK_FALSE(failures.at(MAX_LOOP_FAILURES - 2).exhausted);
    CHECK(failures.back().exhausted);
}

// Guards against a coroutine that waits forever for another one that an exception has ended.
TEST(Tasks, failedTaskReleasesWhatOthersWaitFor)
{
    int outstanding = 1;
    spawnTask(
        reactor.get_executor(), "read",
        []() -> asio::awaitable<void> {
            co_await sleepFor(milliseconds{1});
            throw std::runtime_error("bad report");
        }(),
        [&outstanding] { --outstanding; });
    reactor.run();
    LONGS_EQUAL(0, outstanding);
    LONGS_EQUAL(1, failures.size());
    CHECK_FALSE(failures.front().isLoop);
}

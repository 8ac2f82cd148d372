// Reports exceptions of detached coroutines and restarts loops.

#include "transport/tasks.h"

#include "transport/connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <deque>
#include <exception>
#include <iostream>

namespace daisymount::transport
{

namespace
{
void writeToStandardError(const TaskFailure &failure)
{
    std::cerr << "task " << failure.task << " failed: " << failure.what << '\n';
}

std::function<void(const TaskFailure &)> &failureHandler()
{
    static std::function<void(const TaskFailure &)> handler = writeToStandardError;
    return handler;
}

/// Text of the exception that is being handled.
std::string currentExceptionText()
{
    try {
        throw;
    } catch (const std::exception &error) {
        return error.what();
    } catch (...) {
        return "exception of an unknown type";
    }
}

asio::awaitable<void> runTask(std::string_view name, asio::awaitable<void> task, std::function<void()> afterFailure)
{
    try {
        co_await std::move(task);
    } catch (...) {
        failureHandler()({name, currentExceptionText()});
        afterFailure();
    }
}

asio::awaitable<void> runLoop(std::string_view name, std::function<asio::awaitable<void>()> loop)
{
    std::deque<Instant> failures; ///< Times of the failures within the last LOOP_FAILURE_WINDOW.
    while (true) {
        try {
            co_await loop();
            co_return;
        } catch (...) {
            const Instant now = framework::monotonicNow();
            failures.push_back(now);
            while (now - failures.front() > LOOP_FAILURE_WINDOW) {
                failures.pop_front();
            }
            failureHandler()({name, currentExceptionText(), true, failures.size() >= static_cast<size_t>(MAX_LOOP_FAILURES)});
        }
        co_await sleepFor(LOOP_RESTART_DELAY);
    }
}
} // namespace

void spawnTask(const asio::any_io_executor &executor, std::string_view name, asio::awaitable<void> task, std::function<void()> afterFailure)
{
    asio::co_spawn(executor, runTask(name, std::move(task), std::move(afterFailure)), asio::detached);
}

void spawnLoop(const asio::any_io_executor &executor, std::string_view name, std::function<asio::awaitable<void>()> loop)
{
    asio::co_spawn(executor, runLoop(name, std::move(loop)), asio::detached);
}

void setTaskFailureHandler(std::function<void(const TaskFailure &)> handler)
{
    failureHandler() = std::move(handler);
}

} // namespace daisymount::transport

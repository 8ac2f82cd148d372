// Starts coroutines that nobody awaits. An exception that leaves one is reported, so that a part of the process never stops without a trace.

#pragma once

#include "framework/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace daisymount::transport
{

namespace asio = boost::asio;

/// An exception that has left a task.
struct TaskFailure
{
    std::string_view task; ///< Name of the task.
    std::string what; ///< Text of the exception.
    bool isLoop = false;
    bool exhausted = false; ///< The loop failed MAX_LOOP_FAILURES times within LOOP_FAILURE_WINDOW. It goes on, but the process should be restarted.
};

/// Runs @p task once. If an exception ends it, the failure is reported and @p afterFailure undoes what others rely on.
void spawnTask(
    const asio::any_io_executor &executor, std::string_view name, asio::awaitable<void> task, std::function<void()> afterFailure = [] {});

/// Runs @p loop, and again after LOOP_RESTART_DELAY if an exception ends it. Ends when @p loop returns.
void spawnLoop(const asio::any_io_executor &executor, std::string_view name, std::function<asio::awaitable<void>()> loop);

/// Sets the handler for the failures of all tasks of the process; the default writes a line to standard error. Names passed to spawnTask() and
/// spawnLoop() must be valid for the lifetime of the process.
void setTaskFailureHandler(std::function<void(const TaskFailure &)> handler);

inline constexpr framework::milliseconds LOOP_RESTART_DELAY{200};
inline constexpr int MAX_LOOP_FAILURES = 5;
inline constexpr framework::seconds LOOP_FAILURE_WINDOW{30};

} // namespace daisymount::transport

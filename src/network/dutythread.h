// A thread that runs one duty: it executes tasks from bounded inboxes and ticks at a fixed interval.

#pragma once

#include "framework/clock.h"
#include "framework/ring.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace daisymount::network
{

using Task = std::function<void()>;

class DutyThread;

/// One producer's way into a duty. All posts must come from one thread at a time.
class Inbox
{
public:
    Inbox(size_t capacity, std::function<void()> wake);

    /// Returns ResultCode::QueueFull when the duty is behind by the whole capacity.
    framework::ResultCode post(const Task &task);
    /// Runs all posted tasks on the calling thread; returns how many.
    size_t run();

private:
    framework::Ring<Task> ring_;
    std::function<void()> wake_;
};

/// Level-triggered wake-up by an event descriptor.
class WakeUp
{
public:
    WakeUp();
    ~WakeUp();
    WakeUp(const WakeUp &) = delete;
    WakeUp &operator=(const WakeUp &) = delete;

    void notify() const;
    void clear() const;
    int descriptor() const;

private:
    int descriptor_;
};

class DutyThread
{
public:
    struct Hooks
    {
        std::function<void()> tick;
        std::function<void()> readable; ///< The extra descriptor has data.
        int descriptor = -1; ///< Extra descriptor to wait for; -1 for none.
    };

    DutyThread(std::string name, framework::Duration tickInterval);
    ~DutyThread();
    DutyThread(const DutyThread &) = delete;
    DutyThread &operator=(const DutyThread &) = delete;

    /// Makes the way in of one producer. Call before start().
    std::shared_ptr<Inbox> makeInbox(size_t capacity = DEFAULT_CAPACITY);
    void start(Hooks hooks);
    /// Ends after the tasks that are queued now.
    void stop();

    static constexpr size_t DEFAULT_CAPACITY = 16384;

private:
    void run();

    std::string name_;
    framework::Duration tickInterval_;
    Hooks hooks_;
    WakeUp wakeUp_;
    std::vector<std::shared_ptr<Inbox>> inboxes_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace daisymount::network

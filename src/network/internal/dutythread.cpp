// Duty threads.

#include "network/dutythread.h"

#include <algorithm>
#include <array>

#include <poll.h>
#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace daisymount::network
{

Inbox::Inbox(size_t capacity, std::function<void()> wake) : ring_(capacity), wake_(std::move(wake))
{ }

framework::ResultCode Inbox::post(const Task &task)
{
    const framework::ResultCode code = ring_.push(task);
    wake_();
    return code;
}

size_t Inbox::run()
{
    return ring_.drain([](const Task &task) { task(); });
}

WakeUp::WakeUp() : descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{ }

WakeUp::~WakeUp()
{
    close(descriptor_);
}

void WakeUp::notify() const
{
    const uint64_t one = 1;
    // A full counter means that a wake-up is pending anyway.
    [[maybe_unused]] const ssize_t written = write(descriptor_, &one, sizeof(one));
}

void WakeUp::clear() const
{
    uint64_t count = 0;
    [[maybe_unused]] const ssize_t got = read(descriptor_, &count, sizeof(count));
}

int WakeUp::descriptor() const
{
    return descriptor_;
}

DutyThread::DutyThread(std::string name, framework::Duration tickInterval) : name_(std::move(name)), tickInterval_(tickInterval)
{ }

DutyThread::~DutyThread()
{
    stop();
}

std::shared_ptr<Inbox> DutyThread::makeInbox(size_t capacity)
{
    inboxes_.push_back(std::make_shared<Inbox>(capacity, [this] { wakeUp_.notify(); }));
    return inboxes_.back();
}

void DutyThread::start(Hooks hooks)
{
    hooks_ = std::move(hooks);
    thread_ = std::thread([this] { run(); });
    pthread_setname_np(thread_.native_handle(), name_.substr(0, 15).c_str());
}

void DutyThread::stop()
{
    stopping_ = true;
    wakeUp_.notify();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void DutyThread::run()
{
    framework::Instant nextTick = framework::monotonicNow();
    std::array<pollfd, 2> descriptors{{{wakeUp_.descriptor(), POLLIN, 0}, {hooks_.descriptor, POLLIN, 0}}};
    while (!stopping_) {
        const auto untilTick = std::chrono::ceil<std::chrono::milliseconds>(nextTick - framework::monotonicNow());
        const int timeoutMs = static_cast<int>(std::max<int64_t>(0, untilTick.count()));
        poll(descriptors.data(), descriptors.size(), timeoutMs);
        if ((descriptors[0].revents & POLLIN) != 0) {
            wakeUp_.clear();
        }
        if ((descriptors[1].revents & POLLIN) != 0) {
            hooks_.readable();
        }
        for (const auto &inbox : inboxes_) {
            inbox->run();
        }
        const framework::Instant now = framework::monotonicNow();
        if (now >= nextTick) {
            nextTick = now + tickInterval_;
            hooks_.tick();
        }
    }
}

} // namespace daisymount::network

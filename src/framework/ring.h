// Bounded single-producer, single-consumer queue that passes items from one event-loop thread to another.

#pragma once

#include "framework/resultcode.h"

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <utility>

namespace daisymount::framework
{

/// Ring buffer of fixed capacity. A push to a full ring fails; items are never dropped silently.
template<typename T>
class Ring
{
public:
    explicit Ring(size_t capacity) : queue_(capacity)
    { }

    /// Appends @p item. Returns ResultCode::QueueFull if the ring is full.
    ResultCode push(const T &item)
    {
        return queue_.push(item) ? ResultCode::Ok : ResultCode::QueueFull;
    }

    /// Passes each item that is in the ring at the time of the call to @p consume. Returns their number.
    template<typename Consume>
    size_t drain(Consume &&consume)
    {
        // Items pushed during this call are left for the next one, so that a fast producer cannot block the consumer thread.
        const size_t available = queue_.read_available();
        for (size_t taken = 0; taken < available; ++taken) {
            T item{};
            queue_.pop(item);
            consume(std::move(item));
        }
        return available;
    }

private:
    boost::lockfree::spsc_queue<T> queue_;
};

} // namespace daisymount::framework

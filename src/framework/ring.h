// Bounded single-producer single-consumer ring that joins two duty threads.

#pragma once

#include "framework/resultcode.h"

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <utility>

namespace daisymount::framework
{

/// Fixed-capacity ring. A full ring is reported to the producer, never dropped silently.
template<typename T>
class Ring
{
public:
    explicit Ring(size_t capacity) : queue_(capacity)
    { }

    /// Returns ResultCode::QueueFull when the consumer is behind by the whole capacity.
    ResultCode push(const T &item)
    {
        return queue_.push(item) ? ResultCode::Ok : ResultCode::QueueFull;
    }

    /// Hands each item that is queued now to @p consume; returns how many there were.
    template<typename Consume>
    size_t drain(Consume &&consume)
    {
        // Items that arrive meanwhile wait for the next call, so that a fast producer cannot hold the consumer here.
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

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

    /// Returns ResultCode::QueueFull when the consumer is behind by the whole capacity. @p item is consumed on success only.
    ResultCode push(T &&item)
    {
        // spsc_queue copies or moves from an rvalue only when it has room.
        return queue_.push(std::move(item)) ? ResultCode::Ok : ResultCode::QueueFull;
    }

    /// Hands each queued item to @p consume; returns how many there were.
    template<typename Consume>
    size_t drain(Consume &&consume)
    {
        return queue_.consume_all([&](T &item) { consume(std::move(item)); });
    }

private:
    boost::lockfree::spsc_queue<T> queue_;
};

} // namespace daisymount::framework

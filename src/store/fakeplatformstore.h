// In-memory platform store for tests and scenarios, with fault injection and call counters. Handlers run when the test calls step().

#pragma once

#include "store/iplatformstore.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace daisymount::store
{

/// Faults injected into calls that are made while they are set.
struct StoreFaults
{
    bool down = false; ///< Calls fail with StoreDown and have no effect.
    bool loseWriteReplies = false; ///< Writes take effect but fail with ReplyLost.
    bool loseWrites = false; ///< Writes have no effect and fail with ReplyLost.
};

struct StoreCounters
{
    uint64_t reads = 0;
    uint64_t writes = 0;
};

/// Calls take effect immediately. Their handlers run in the next step().
class FakePlatformStore : public IPlatformStore
{
public:
    void read(std::string_view key, ReadHandler handler) override;
    void compareAndSwap(std::string_view key, int64_t expected, std::string value, WriteHandler handler) override;
    void watch(std::string_view key, int64_t knownRevision, ReadHandler handler) override;

    /// Runs all pending handlers, including those of calls that the handlers make.
    void step();
    /// Ends all pending watches, as the real store does after its wait limit.
    void expireWatches();
    /// Runs the handlers that are pending at the time of the call, but not those added meanwhile.
    void stepOnce();

    StoreFaults &faults();
    const StoreCounters &counters() const;
    /// Returns the current value without counting a read.
    VersionedValue peek(std::string_view key) const;

    /// If set, called with each reply instead of queueing it for the next step. Allows a scenario to delay or drop replies.
    std::function<void(std::function<void()>)> deliver;

private:
    struct Watch
    {
        std::string key;
        int64_t knownRevision;
        ReadHandler handler;
    };

    void answer(std::function<void()> call);

    std::map<std::string, VersionedValue, std::less<>> values_;
    std::deque<std::function<void()>> pending_;
    std::deque<Watch> watches_;
    StoreFaults faults_;
    StoreCounters counters_;
    int64_t lastRevision_ = 0; ///< Increases with each write to any key.
};

} // namespace daisymount::store

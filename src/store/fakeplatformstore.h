// In-memory platform store for tests and scenarios, with outages, lost replies and call counts. Driven by step().

#pragma once

#include "store/iplatformstore.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace daisymount::store
{

/// Faults that apply to calls accepted while they are set.
struct StoreFaults
{
    bool down = false; ///< Calls fail with StoreDown and take no effect.
    bool loseWriteReplies = false; ///< Writes take effect, callers get ReplyLost.
    bool loseWrites = false; ///< Writes take no effect, callers get ReplyLost.
};

struct StoreCounters
{
    uint64_t reads = 0;
    uint64_t writes = 0;
};

/// The effect of a call happens when it is made; its handler runs at the next step().
class FakePlatformStore : public IPlatformStore
{
public:
    void read(std::string_view key, ReadHandler handler) override;
    void compareAndSwap(std::string_view key, int64_t expected, std::string value, WriteHandler handler) override;
    void watch(std::string_view key, int64_t knownRevision, ReadHandler handler) override;

    /// Delivers all pending answers, including those that they cause.
    void step();
    /// Ends all waiting watches, as the service does after its wait limit.
    void expireWatches();
    /// Delivers the answers that are pending now and no later ones.
    void stepOnce();

    StoreFaults &faults();
    const StoreCounters &counters() const;
    /// Value in force, for checks.
    VersionedValue peek(std::string_view key) const;

    /// Where set, called instead of queueing an answer for the next step. Lets a scenario delay or drop answers.
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
    int64_t lastRevision_ = 0; ///< Strictly increasing over all keys.
};

} // namespace daisymount::store

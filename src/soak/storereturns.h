// What operators and upstreams keep in the store, and a store that goes away for a moment and comes back from an older copy.

#pragma once

#include "gateway/tests/storestandin.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace daisymount::soak
{

namespace asio = transport::asio;

/// Writes reach the store once it is there. Those that a return loses are written again some time later. Must outlive the reactor's work.
class StoreReturns
{
public:
    StoreReturns(asio::any_io_executor executor, gateway::tests::FakeStore &store, unsigned seed);

    /// Writes an item, or removes it. Acknowledged before this returns if the store is there.
    void write(const std::string &key, const std::optional<std::string> &value);
    /// Plays about @p count returns until @p end.
    void start(int count, framework::Instant end);
    int returns() const;

    std::function<void(const std::string &key, const std::optional<std::string> &value)> onAcknowledged
        = [](const std::string &, const std::optional<std::string> &) {};
    std::function<void(const std::string &key)> onLost = [](const std::string &) {}; ///< An acknowledged write is gone until it is acknowledged again.
    std::function<void()> onReturn = [] {};
    std::function<void(const std::string &)> onEvent = [](const std::string &) {};

private:
    struct Entry
    {
        std::optional<std::string> value; ///< What its writer wants; empty for no item.
        bool acknowledged = false;
    };

    void takeCopy();
    void commit(const std::string &key);
    asio::awaitable<void> commitLater(std::string key, framework::milliseconds delay);
    asio::awaitable<void> play(int count, framework::Instant end);
    asio::awaitable<void> comeBackFromCopy();

    asio::any_io_executor executor_;
    gateway::tests::FakeStore &store_;
    std::minstd_rand random_;
    std::map<std::string, Entry> entries_;
    std::set<std::string> sinceCopy_; ///< Keys acknowledged after the copy was taken.
    bool away_ = false;
    int returns_ = 0;
};

} // namespace daisymount::soak

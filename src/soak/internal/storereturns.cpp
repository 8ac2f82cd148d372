// Writes, copies and returns of the simulated store.

#include "soak/storereturns.h"

#include <algorithm>
#include <utility>

namespace daisymount::soak
{

namespace
{
using framework::Instant;
using framework::milliseconds;

constexpr int64_t FIRST_ERA = 7;
constexpr int MIN_COPY_AGE_MS = 1'000;
constexpr int MAX_COPY_AGE_MS = 10'000;
constexpr int MIN_AWAY_MS = 300;
constexpr int MAX_AWAY_MS = 1'500;
/// From a return until the writers notice and write again.
constexpr int MIN_NOTICE_MS = 300;
constexpr int MAX_NOTICE_MS = 2'000;
/// Written by others after the copy, so that the revisions after a return stay below the lost ones.
constexpr int LOST_CHANGES = 400;
const std::string OTHERS_KEY = "other/key";
constexpr milliseconds RETRY_INTERVAL{50};
/// One return in so many is followed by a second one from the same copy.
constexpr int REPEAT_INTERVAL = 3;
constexpr int MAX_REPEAT_PAUSE_MS = 2'500;

milliseconds between(std::minstd_rand &random, int64_t min, int64_t max)
{
    return milliseconds{std::uniform_int_distribution<int64_t>(min, max)(random)};
}
} // namespace

StoreReturns::StoreReturns(asio::any_io_executor executor, gateway::tests::FakeStore &store, unsigned seed)
    : executor_(std::move(executor)), store_(store), random_(seed)
{ }

void StoreReturns::write(const std::string &key, const std::optional<std::string> &value)
{
    entries_[key] = {value, false};
    if (away_) {
        asio::co_spawn(executor_, commitLater(key, RETRY_INTERVAL), asio::detached);
        return;
    }
    commit(key);
}

int StoreReturns::returns() const
{
    return returns_;
}

void StoreReturns::start(int count, Instant end)
{
    store_.setEra(FIRST_ERA);
    asio::co_spawn(executor_, play(count, end), asio::detached);
}

void StoreReturns::takeCopy()
{
    store_.takeCopy();
    sinceCopy_.clear();
}

void StoreReturns::commit(const std::string &key)
{
    Entry &entry = entries_[key];
    if (entry.value) {
        store_.put(key, *entry.value);
    } else {
        store_.remove(key);
    }
    entry.acknowledged = true;
    sinceCopy_.insert(key);
    onAcknowledged(key, entry.value);
}

asio::awaitable<void> StoreReturns::commitLater(std::string key, milliseconds delay)
{
    co_await transport::sleepFor(delay);
    while (away_) {
        co_await transport::sleepFor(RETRY_INTERVAL);
    }
    if (!entries_[key].acknowledged) {
        commit(key);
    }
}

asio::awaitable<void> StoreReturns::comeBackFromCopy()
{
    for (int i = 0; i < LOST_CHANGES; ++i) {
        store_.put(OTHERS_KEY, std::to_string(i));
    }
    away_ = true;
    store_.goAway();
    onEvent("the store goes away");
    co_await transport::sleepFor(between(random_, MIN_AWAY_MS, MAX_AWAY_MS));
    store_.comeBackFromCopy();
    away_ = false;
    ++returns_;
    onEvent("the store comes back from a copy without " + std::to_string(sinceCopy_.size()) + " changed keys");
    onReturn();
    for (const std::string &key : std::exchange(sinceCopy_, {})) {
        if (std::exchange(entries_[key].acknowledged, false)) {
            onLost(key);
        }
        asio::co_spawn(executor_, commitLater(key, between(random_, MIN_NOTICE_MS, MAX_NOTICE_MS)), asio::detached);
    }
}

asio::awaitable<void> StoreReturns::play(int count, Instant end)
{
    const int64_t spacingMs = std::chrono::duration_cast<milliseconds>(end - framework::monotonicNow()).count() / std::max(count, 1);
    Instant next = framework::monotonicNow();
    while (returns_ < count) {
        takeCopy();
        next += milliseconds{spacingMs};
        co_await transport::sleepFor(between(random_, std::min<int64_t>(MIN_COPY_AGE_MS, spacingMs), std::min<int64_t>(MAX_COPY_AGE_MS, spacingMs)));
        if (framework::monotonicNow() >= end) {
            co_return;
        }
        co_await comeBackFromCopy();
        if (returns_ < count && random_() % REPEAT_INTERVAL == 0) {
            co_await transport::sleepFor(between(random_, MIN_NOTICE_MS, MAX_REPEAT_PAUSE_MS));
            co_await comeBackFromCopy();
        }
        const framework::Duration rest = next - framework::monotonicNow();
        co_await transport::sleepFor(std::max<framework::Duration>(rest, RETRY_INTERVAL));
    }
}

} // namespace daisymount::soak

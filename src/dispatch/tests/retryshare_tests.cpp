// Tests of the retry budget: the sum over all entries stays in it, also while entries restart, join or lose each other.

#include "dispatch/retryshare.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using namespace daisymount::dispatch;
using framework::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr Instant START = seconds{1'000};
constexpr double RATIO = 0.2;
constexpr double SLACK = 90.0;
constexpr seconds WINDOW{10};
constexpr RetryBudgetOptions OPTIONS{RATIO, SLACK, WINDOW};

RetryBudgetShare longRunning()
{
    return RetryBudgetShare(OPTIONS, START - seconds{60});
}
} // namespace

TEST_GROUP(RetryBudgetShare)
{
    RetryBudgetShare share = longRunning();
};

TEST(RetryBudgetShare, theSumOverAllEntriesStaysInTheBudget)
{
    constexpr int ENTRIES = 7;
    constexpr int REQUESTS = 100;
    int repeats = 0;
    for (int entry = 0; entry < ENTRIES; ++entry) {
        RetryBudgetShare one = longRunning();
        one.setEntries(ENTRIES, START);
        Instant now = START;
        for (int i = 0; i < REQUESTS; ++i) {
            now += milliseconds{90};
            one.onRequest("s", now);
            repeats += one.tryAcquireRetry("s", now) ? 1 : 0;
        }
    }
    CHECK(repeats <= static_cast<int>(RATIO * ENTRIES * REQUESTS + SLACK));
    CHECK(repeats > 100);
}

TEST(RetryBudgetShare, servicesHaveBudgetsOfTheirOwn)
{
    int first = 0;
    while (share.tryAcquireRetry("s", START)) {
        ++first;
    }
    CHECK(first > 0);
    CHECK(share.tryAcquireRetry("t", START));
}

TEST(RetryBudgetShare, aSpentBudgetReturnsAfterTheWindow)
{
    while (share.tryAcquireRetry("s", START)) { }
    CHECK_FALSE(share.tryAcquireRetry("s", START + seconds{5}));
    CHECK(share.tryAcquireRetry("s", START + seconds{11}));
}

TEST(RetryBudgetShare, afterAStartOnlyTheOwnRequestsCount)
{
    RetryBudgetShare started(OPTIONS, START);
    CHECK_FALSE(started.tryAcquireRetry("s", START + seconds{5}));
    for (int i = 0; i < 100; ++i) {
        started.onRequest("s", START + seconds{5});
    }
    CHECK(started.tryAcquireRetry("s", START + seconds{5}));
    CHECK(started.tryAcquireRetry("t", START + WINDOW));
}

TEST(RetryBudgetShare, entriesThatAreHeardNoMoreKeepTheirPartForAWhile)
{
    const auto mostRepeats = [](RetryBudgetShare one, Instant now) {
        int repeats = 0;
        while (one.tryAcquireRetry("s", now)) {
            ++repeats;
        }
        return repeats;
    };
    share.setEntries(9, START);
    const int whileHeard = mostRepeats(share, START);
    share.setEntries(1, START + seconds{1});
    LONGS_EQUAL(whileHeard, mostRepeats(share, START + seconds{100}));
    share.setEntries(1, START + seconds{200});
    CHECK(mostRepeats(share, START + seconds{200}) > 4 * whileHeard);
}

namespace
{
constexpr milliseconds STEP{200};
constexpr seconds FORGET{20}; ///< After so long of silence an entry is not counted any more.
constexpr seconds MEET{1}; ///< Until then an entry that has started assumes many others.
constexpr int UNKNOWN = 100;

/// Entries that repeat as often as they may, while they restart, join and are cut off from each other.
class BudgetWorld
{
public:
    explicit BudgetWorld(uint64_t seed) : random_(static_cast<unsigned>(seed))
    {
        for (int i = 0; i < 7; ++i) {
            entries_.push_back({longRunning(), START - seconds{60}, false});
        }
    }

    void step()
    {
        now_ += STEP;
        int64_t requests = 0;
        int64_t repeats = 0;
        for (Entry &entry : entries_) {
            entry.share.setEntries(countedBy(entry), now_);
            if (random_() % 2 == 0) {
                entry.share.onRequest("s", now_);
                ++requests;
            }
            while (entry.share.tryAcquireRetry("s", now_)) {
                ++repeats;
            }
        }
        requests_.push_back(requests);
        repeats_.push_back(repeats);
    }

    void restart(size_t of10)
    {
        for (Entry &entry : entries_) {
            if (random_() % 10 < of10) {
                entry.share = RetryBudgetShare(OPTIONS, now_);
                entry.startedAt = now_;
            }
        }
    }

    void join()
    {
        for (int i = 0; i < 3; ++i) {
            entries_.push_back({RetryBudgetShare(OPTIONS, now_), now_, false});
        }
    }

    void cut()
    {
        cutSince_ = now_;
        for (Entry &entry : entries_) {
            entry.farSide = random_() % 2 == 0;
        }
    }

    void heal()
    {
        cutSince_ = Instant::max();
    }

    /// Largest part of the budget that was spent in any window.
    double mostSpent() const
    {
        const size_t width = WINDOW / STEP;
        double most = 0.0;
        for (size_t end = 2 * width; end <= repeats_.size(); ++end) {
            const auto sum = [&](const std::vector<int64_t> &counts, size_t until) {
                int64_t total = 0;
                for (size_t i = until - width; i < until; ++i) {
                    total += counts[i];
                }
                return static_cast<double>(total);
            };
            const double requests = std::max({sum(requests_, end), sum(requests_, end - width / 2), sum(requests_, end - width)});
            most = std::max(most, sum(repeats_, end) / (RATIO * requests + SLACK));
        }
        return most;
    }

private:
    struct Entry
    {
        RetryBudgetShare share;
        Instant startedAt{0};
        bool farSide = false;
    };

    int countedBy(const Entry &entry) const
    {
        if (now_ - entry.startedAt < MEET) {
            return UNKNOWN;
        }
        const bool forgotten = cutSince_ != Instant::max() && now_ - std::max(cutSince_, entry.startedAt) >= FORGET;
        return static_cast<int>(std::ranges::count_if(entries_, [&](const Entry &other) { return !forgotten || other.farSide == entry.farSide; }));
    }

    std::minstd_rand random_;
    Instant now_ = START;
    Instant cutSince_ = Instant::max();
    std::vector<Entry> entries_;
    std::vector<int64_t> requests_;
    std::vector<int64_t> repeats_;
};
} // namespace

TEST(RetryBudgetShare, theBudgetHoldsThroughRestartsJoinsAndCuts)
{
    double most = 0.0;
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        BudgetWorld world(seed);
        std::minstd_rand random(static_cast<unsigned>(seed));
        const int cutAt = 100 + static_cast<int>(random() % 100);
        const int healAt = cutAt + 150 + static_cast<int>(random() % 250);
        for (int step = 0; step < 700; ++step) {
            if (random() % 40 == 0) {
                world.restart(1 + random() % 10);
            }
            if (step == cutAt) {
                world.cut();
            } else if (step == healAt) {
                world.heal();
            } else if (step == cutAt / 2) {
                world.join();
            }
            world.step();
        }
        most = std::max(most, world.mostSpent());
    }
    CHECK_TRUE_TEXT(most <= 1.0, ("spent " + std::to_string(most) + " of the budget").c_str());
    CHECK(most > 0.3);
}

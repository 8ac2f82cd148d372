// Tests of the retry budget: the retries of all entries together stay within it, also during restarts, joins and partitions.

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

RetryBudgetShare establishedShare()
{
    return RetryBudgetShare(OPTIONS, START - seconds{60});
}
} // namespace

TEST_GROUP(RetryBudgetShare)
{
    RetryBudgetShare share = establishedShare();
};

TEST(RetryBudgetShare, sumOverAllEntriesStaysWithinTheBudget)
{
    constexpr int ENTRIES = 7;
    constexpr int REQUESTS = 100;
    int retries = 0;
    for (int entry = 0; entry < ENTRIES; ++entry) {
        RetryBudgetShare one = establishedShare();
        one.setEntries(ENTRIES, START);
        Instant now = START;
        for (int i = 0; i < REQUESTS; ++i) {
            now += milliseconds{90};
            one.onRequest("s", now);
            retries += one.tryAcquireRetry("s", now) ? 1 : 0;
        }
    }
    CHECK(retries <= static_cast<int>(RATIO * ENTRIES * REQUESTS + SLACK));
    CHECK(retries > 100);
}

TEST(RetryBudgetShare, eachServiceHasASeparateBudget)
{
    int first = 0;
    while (share.tryAcquireRetry("s", START)) {
        ++first;
    }
    CHECK(first > 0);
    CHECK(share.tryAcquireRetry("t", START));
}

TEST(RetryBudgetShare, usedBudgetIsAvailableAgainAfterTheWindow)
{
    while (share.tryAcquireRetry("s", START)) { }
    CHECK_FALSE(share.tryAcquireRetry("s", START + seconds{5}));
    CHECK(share.tryAcquireRetry("s", START + seconds{11}));
}

TEST(RetryBudgetShare, noSlackIsGrantedInTheFirstWindowAfterStart)
{
    RetryBudgetShare started(OPTIONS, START);
    CHECK_FALSE(started.tryAcquireRetry("s", START + seconds{5}));
    for (int i = 0; i < 100; ++i) {
        started.onRequest("s", START + seconds{5});
    }
    CHECK(started.tryAcquireRetry("s", START + seconds{5}));
    CHECK(started.tryAcquireRetry("t", START + WINDOW));
}

TEST(RetryBudgetShare, silentEntriesKeepTheirShareTemporarily)
{
    const auto maxRetries = [](RetryBudgetShare one, Instant now) {
        int retries = 0;
        while (one.tryAcquireRetry("s", now)) {
            ++retries;
        }
        return retries;
    };
    share.setEntries(9, START);
    const int whileHeard = maxRetries(share, START);
    share.setEntries(1, START + seconds{1});
    LONGS_EQUAL(whileHeard, maxRetries(share, START + seconds{100}));
    share.setEntries(1, START + seconds{200});
    CHECK(maxRetries(share, START + seconds{200}) > 4 * whileHeard);
}

namespace
{
constexpr milliseconds STEP{200};
constexpr seconds MEMBER_EXPIRY{20}; ///< A silent entry is no longer counted after this time.
constexpr seconds DISCOVERY_TIME{1}; ///< A started entry assumes ASSUMED_ENTRIES entries until this time has passed.
constexpr int ASSUMED_ENTRIES = 100;

/// Entries that send as many retries as allowed, while entries restart, join and are partitioned.
class BudgetSimulation
{
public:
    explicit BudgetSimulation(uint64_t seed) : random_(static_cast<unsigned>(seed))
    {
        for (int i = 0; i < 7; ++i) {
            entries_.push_back({establishedShare(), START - seconds{60}, false});
        }
    }

    void step()
    {
        now_ += STEP;
        int64_t requests = 0;
        int64_t retries = 0;
        for (Entry &entry : entries_) {
            entry.share.setEntries(entriesKnownTo(entry), now_);
            if (random_() % 2 == 0) {
                entry.share.onRequest("s", now_);
                ++requests;
            }
            while (entry.share.tryAcquireRetry("s", now_)) {
                ++retries;
            }
        }
        requests_.push_back(requests);
        retries_.push_back(retries);
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

    void partition()
    {
        partitionedSince_ = now_;
        for (Entry &entry : entries_) {
            entry.inSecondPartition = random_() % 2 == 0;
        }
    }

    void rejoin()
    {
        partitionedSince_ = Instant::max();
    }

    /// Largest fraction of the budget used in any window.
    double maxSpentFraction() const
    {
        const size_t width = WINDOW / STEP;
        double maxSpent = 0.0;
        for (size_t end = 2 * width; end <= retries_.size(); ++end) {
            const auto sum = [&](const std::vector<int64_t> &counts, size_t until) {
                int64_t total = 0;
                for (size_t i = until - width; i < until; ++i) {
                    total += counts[i];
                }
                return static_cast<double>(total);
            };
            const double requests = std::max({sum(requests_, end), sum(requests_, end - width / 2), sum(requests_, end - width)});
            maxSpent = std::max(maxSpent, sum(retries_, end) / (RATIO * requests + SLACK));
        }
        return maxSpent;
    }

private:
    struct Entry
    {
        RetryBudgetShare share;
        Instant startedAt{0};
        bool inSecondPartition = false;
    };

    int entriesKnownTo(const Entry &entry) const
    {
        if (now_ - entry.startedAt < DISCOVERY_TIME) {
            return ASSUMED_ENTRIES;
        }
        const bool expired = partitionedSince_ != Instant::max() && now_ - std::max(partitionedSince_, entry.startedAt) >= MEMBER_EXPIRY;
        return static_cast<int>(
            std::ranges::count_if(entries_, [&](const Entry &other) { return !expired || other.inSecondPartition == entry.inSecondPartition; }));
    }

    std::minstd_rand random_;
    Instant now_ = START;
    Instant partitionedSince_ = Instant::max();
    std::vector<Entry> entries_;
    std::vector<int64_t> requests_;
    std::vector<int64_t> retries_;
};
} // namespace

TEST(RetryBudgetShare, budgetHoldsThroughRestartsJoinsAndPartitions)
{
    double maxSpent = 0.0;
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        BudgetSimulation simulation(seed);
        std::minstd_rand random(static_cast<unsigned>(seed));
        const int partitionAt = 100 + static_cast<int>(random() % 100);
        const int rejoinAt = partitionAt + 150 + static_cast<int>(random() % 250);
        for (int step = 0; step < 700; ++step) {
            if (random() % 40 == 0) {
                simulation.restart(1 + random() % 10);
            }
            if (step == partitionAt) {
                simulation.partition();
            } else if (step == rejoinAt) {
                simulation.rejoin();
            } else if (step == partitionAt / 2) {
                simulation.join();
            }
            simulation.step();
        }
        maxSpent = std::max(maxSpent, simulation.maxSpentFraction());
    }
    CHECK_TRUE_TEXT(maxSpent <= 1.0, ("spent " + std::to_string(maxSpent) + " of the budget").c_str());
    CHECK(maxSpent > 0.3);
}

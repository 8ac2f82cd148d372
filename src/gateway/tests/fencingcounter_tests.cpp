// Tests of the fencing numbers of the map controller's terms, with a store that comes back from older copies of itself.

#include "gateway/fencingcounter.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisymount::gateway;

namespace
{
constexpr int64_t ERA = 7;
constexpr int64_t HIGHEST = std::numeric_limits<int64_t>::max();
using TermEnd = FencingCounter::TermEnd;
} // namespace

TEST_GROUP(FencingCounter)
{
    FencingCounter counter;

    int64_t next(const KnownFencing &known, int64_t era = ERA)
    {
        const std::optional<int64_t> number = counter.next(known, era);
        CHECK_TRUE(number.has_value());
        return number.value_or(0);
    }
};

TEST(FencingCounter, nextNumberIsAboveAllKnownOnes)
{
    CHECK(next({.stored = 900, .storeRevision = 5, .toldByPeers = 6}) > 900);
    CHECK(next({.stored = 5, .storeRevision = 900, .toldByPeers = 6}) > 900);
    CHECK(next({.stored = 5, .storeRevision = 6, .toldByPeers = 900'000'000}) > 900'000'000);
    counter.onTermBegun(2'000'000'000);
    CHECK(next({.stored = 5, .storeRevision = 6, .toldByPeers = 7}) > 2'000'000'000);
}

TEST(FencingCounter, holdersOfTwoErasThatReadTheSameHaveTwoNumbers)
{
    const KnownFencing copy{.stored = 64 * 10 + ERA - 1, .storeRevision = 500, .toldByPeers = 0};
    CHECK(next(copy, ERA) != next(copy, ERA + 1));
    CHECK(next(copy, ERA + 1) > next(copy, ERA));
}

TEST(FencingCounter, firstNumberOfAnEraIsAboveThoseThatTheCopyHasLost)
{
    const KnownFencing copy{.stored = 64 * 10 + ERA, .storeRevision = 500, .toldByPeers = 0};
    FencingCounter former;
    const int64_t lost = *former.next({.stored = copy.stored, .storeRevision = 32'000, .toldByPeers = 0}, ERA);
    CHECK(next(copy, ERA + 1) > lost);
}

TEST(FencingCounter, secondReturnWithinOneLeaseLeadsToAHigherNumberThanTheFirst)
{
    const KnownFencing copy{.stored = 64 * 10 + ERA, .storeRevision = 500, .toldByPeers = 0};
    FencingCounter other;
    const int64_t lost = *other.next(copy, ERA + 1);
    CHECK(next(copy, ERA + 2) > lost);
}

TEST(FencingCounter, refusalsRaiseTheNumberByDoublingSteps)
{
    int64_t number = next({.stored = ERA, .storeRevision = 500, .toldByPeers = 0});
    int64_t step = FencingCounter::RECOVERY_STEP;
    for (int refusal = 0; refusal < 5; ++refusal, step *= 2) {
        counter.onTermBegun(number);
        counter.onTermEnded(TermEnd::Refused);
        const int64_t raised = next({.stored = number, .storeRevision = 500, .toldByPeers = 0});
        CHECK(raised > number + step);
        CHECK(raised <= number + step + FencingCounter::ERAS_APART);
        number = raised;
    }
    counter.onTermBegun(number);
    counter.onTermEnded(TermEnd::Accepted);
    CHECK(next({.stored = number, .storeRevision = 500, .toldByPeers = 0}) <= number + FencingCounter::ERAS_APART);
}

TEST(FencingCounter, rankThatRefusesEverythingDoesNotUseUpTheNumbers)
{
    constexpr int TERMS = 10'000;
    int64_t number = 0;
    for (int term = 0; term < TERMS; ++term) {
        number = next({.stored = number, .storeRevision = 500, .toldByPeers = 0});
        counter.onTermBegun(number);
        counter.onTermEnded(TermEnd::Refused);
    }
    CHECK(number <= (TERMS + ERA) * FencingCounter::MAX_RECOVERY_STEP);
}

TEST(FencingCounter, numbersOf64BitsDoNotOverflow)
{
    const int64_t close = HIGHEST - 3 * FencingCounter::ERAS_APART;
    counter.onTermEnded(TermEnd::Refused);
    CHECK(next({.stored = close, .storeRevision = 0, .toldByPeers = 0}) > close);
    CHECK_FALSE(counter.next({.stored = HIGHEST, .storeRevision = 0, .toldByPeers = 0}, ERA).has_value());
    CHECK_FALSE(counter.next({.stored = 0, .storeRevision = HIGHEST, .toldByPeers = 0}, HIGHEST).has_value());
    CHECK(next({.stored = -5, .storeRevision = -6, .toldByPeers = -7}, HIGHEST) > 0);
    CHECK(next({.stored = std::numeric_limits<int64_t>::min(), .storeRevision = 0, .toldByPeers = 0}, 0) > 0);
}

namespace
{
/// Store, ranks and gateways that acquire the lease, with calls in any order. It knows every number that was ever used.
class FencingModel
{
public:
    explicit FencingModel(unsigned seed) : random_(seed)
    {
        store_.revision = draw(5'000);
        copy_ = store_;
    }

    void step()
    {
        const int64_t action = draw(100);
        Gateway &gateway = gateways_[static_cast<size_t>(draw(gateways_.size() - 1))];
        if (action < 30) {
            store_.revision += draw(MAX_WRITES);
        } else if (action < 34) {
            copy_ = store_;
        } else if (action < 38) {
            // Two returns in a row come from the same copy.
            store_ = copy_;
            ++era_;
        } else if (action < 55) {
            read(gateway);
        } else if (action < 72) {
            write(gateway, draw(4) != 0);
        } else if (action < 90) {
            order(gateway, draw(RANKS - 1));
        } else if (action < 94) {
            tellPeers(gateway);
        } else if (action < 97) {
            gateway.counter.onTermEnded(TermEnd::Accepted);
            gateway.number.reset();
        } else {
            gateway = Gateway{};
        }
    }

    /// The store and all gateways work undisturbed: number of terms until all ranks accept an order.
    int termsUntilAccepted(size_t holder)
    {
        Gateway &gateway = gateways_[holder];
        for (int term = 1; term <= MAX_TERMS; ++term) {
            read(gateway);
            write(gateway, true);
            for (size_t rank = 0; rank < RANKS && gateway.number; ++rank) {
                order(gateway, static_cast<int64_t>(rank));
            }
            if (gateway.number) {
                return term;
            }
        }
        return MAX_TERMS + 1;
    }

    std::string violation;
    static constexpr int MAX_TERMS = 12;
    static constexpr size_t GATEWAYS = 3;

private:
    static constexpr int64_t MAX_WRITES = 4'000;
    static constexpr size_t RANKS = 4;

    struct Store
    {
        int64_t revision = 0;
        int64_t fencing = 0;
        int64_t fencingRevision = 0;
    };

    struct PendingWrite
    {
        int64_t era = 0; ///< Of the read.
        int64_t expectedRevision = 0;
        int64_t number = 0;
    };

    struct Gateway
    {
        FencingCounter counter;
        int64_t toldByPeers = 0;
        std::optional<PendingWrite> pending;
        std::optional<int64_t> number; ///< Of its term.
    };

    int64_t draw(size_t highest)
    {
        return std::uniform_int_distribution<int64_t>(0, static_cast<int64_t>(highest))(random_);
    }

    void read(Gateway &gateway)
    {
        gateway.number.reset();
        const std::optional<int64_t> number = gateway.counter.next({store_.fencing, store_.revision, gateway.toldByPeers}, era_);
        gateway.pending.reset();
        if (number) {
            gateway.pending = PendingWrite{era_, store_.fencingRevision, *number};
        } else {
            violation = "no number";
        }
    }

    void write(Gateway &gateway, bool answered)
    {
        if (!gateway.pending) {
            return;
        }
        const PendingWrite pending = *std::exchange(gateway.pending, std::nullopt);
        if (store_.fencingRevision != pending.expectedRevision) {
            return;
        }
        store_.fencingRevision = ++store_.revision;
        store_.fencing = pending.number;
        if (!answered || pending.era != era_) {
            return;
        }
        if (++uses_[pending.number] > 1) {
            violation = "number " + std::to_string(pending.number) + " was used twice";
        }
        gateway.counter.onTermBegun(pending.number);
        gateway.number = pending.number;
    }

    /// Former holders send orders, too, until a rank refuses one.
    void order(Gateway &gateway, int64_t rank)
    {
        if (!gateway.number) {
            return;
        }
        int64_t &seen = seenByRanks_[static_cast<size_t>(rank)];
        if (*gateway.number < seen) {
            gateway.counter.onTermEnded(TermEnd::Refused);
            gateway.number.reset();
            return;
        }
        seen = *gateway.number;
    }

    void tellPeers(const Gateway &teller)
    {
        for (Gateway &gateway : gateways_) {
            if (draw(1) == 0) {
                gateway.toldByPeers = std::max(gateway.toldByPeers, teller.number.value_or(0));
            }
        }
    }

    std::mt19937 random_;
    Store store_;
    Store copy_;
    int64_t era_ = ERA;
    std::array<Gateway, GATEWAYS> gateways_;
    std::array<int64_t, RANKS> seenByRanks_{};
    std::map<int64_t, int> uses_; ///< Terms by number.
};
} // namespace

TEST(FencingCounter, noTwoTermsShareANumberAndEachHolderGetsAboveTheRanks)
{
    constexpr unsigned SEEDS = 200;
    constexpr int STEPS = 600;
    for (unsigned seed = 1; seed <= SEEDS; ++seed) {
        FencingModel model(seed);
        for (int step = 0; step < STEPS; ++step) {
            model.step();
        }
        const size_t holder = seed % FencingModel::GATEWAYS;
        const int terms = model.termsUntilAccepted(holder);
        const std::string text = "seed " + std::to_string(seed) + ": " + model.violation + ", terms " + std::to_string(terms);
        CHECK_TEXT(model.violation.empty() && terms <= FencingModel::MAX_TERMS, text.c_str());
    }
}

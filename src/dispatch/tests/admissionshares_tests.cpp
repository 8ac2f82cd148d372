// Tests of the division of a service's capacity between priorities, organisations and returning callers.

#include "dispatch/admissionshares.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace daisymount::dispatch;

namespace
{
constexpr Instant START{std::chrono::seconds{100}};
constexpr double SECONDS = 20.0; ///< Counted by play().
constexpr Duration LEFT = std::chrono::seconds{8};

struct Counts
{
    int asked = 0;
    int admitted = 0;

    double fraction() const
    {
        return asked == 0 ? 1.0 : static_cast<double>(admitted) / asked;
    }
};

struct Caller
{
    DemandKey key;
    double perSecond = 0.0;
};

/// Plays @p callers for some seconds and counts what is admitted after the first three.
std::map<std::string, Counts> play(AdmissionShares &shares, const std::vector<Caller> &callers, double capacity, uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<std::pair<double, const Caller *>> arrivals;
    for (const Caller &caller : callers) {
        std::exponential_distribution<double> gap(caller.perSecond);
        for (double at = gap(random); at < 3.0 + SECONDS; at += gap(random)) {
            arrivals.emplace_back(at, &caller);
        }
    }
    std::ranges::sort(arrivals);
    std::map<std::string, Counts> counts;
    for (const auto &[at, caller] : arrivals) {
        const Instant now = START + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
        shares.setCapacity(capacity, now);
        shares.onArrival(caller->key, now);
        const bool admitted = shares.admit(caller->key, LEFT, now).admit;
        if (at >= 3.0) {
            const std::string name = std::to_string(caller->key.priority) + caller->key.organisation + (caller->key.returning ? "r" : "");
            ++counts[name].asked;
            counts[name].admitted += admitted ? 1 : 0;
        }
    }
    return counts;
}
} // namespace

TEST_GROUP(AdmissionShares){};

TEST(AdmissionShares, everythingIsAdmittedWhileDemandFits)
{
    AdmissionShares shares(1);
    const auto counts = play(shares, {{{0, "a"}, 20.0}, {{1, "b"}, 20.0}}, 100.0, 1);
    DOUBLES_EQUAL(1.0, counts.at("0a").fraction(), 0.001);
    DOUBLES_EQUAL(1.0, counts.at("1b").fraction(), 0.001);
}

/// Guards against refusing all kinds of requests alike, and against starving the least urgent one.
TEST(AdmissionShares, urgentRequestsComeFirstAndNoPriorityIsStarved)
{
    for (uint64_t seed = 0; seed < 200; ++seed) {
        AdmissionShares shares(seed);
        std::mt19937_64 random(seed);
        const double urgent = std::uniform_real_distribution<double>(20.0, 60.0)(random);
        const auto counts = play(shares, {{{0, "a"}, urgent}, {{1, "a"}, 60.0}, {{2, "a"}, 60.0}}, 80.0, seed);
        CHECK_TEXT(counts.at("0a").fraction() >= 0.95, ("seed " + std::to_string(seed)).c_str());
        CHECK(counts.at("1a").fraction() <= counts.at("0a").fraction() + 0.05);
        CHECK(counts.at("2a").fraction() <= counts.at("1a").fraction() + 0.05);
        CHECK(counts.at("2a").admitted >= 0.05 * 80.0 * SECONDS);
    }
}

/// Guards against a large organisation that takes the parts of the small ones.
TEST(AdmissionShares, organisationsGetTheirMaxMinShares)
{
    for (uint64_t seed = 0; seed < 200; ++seed) {
        AdmissionShares shares(seed);
        // Max-min division of 60 a second: the small ones in full, the others in equal parts of the rest, about 24 each.
        const auto counts = play(shares, {{{0, "large"}, 90.0}, {{0, "medium"}, 30.0}, {{0, "small"}, 8.0}, {{0, "tiny"}, 4.0}}, 60.0, seed);
        const std::string text = "seed " + std::to_string(seed);
        CHECK_TEXT(counts.at("0tiny").fraction() >= 0.9, text.c_str());
        CHECK_TEXT(counts.at("0small").fraction() >= 0.9, text.c_str());
        const double equalPart = (60.0 * SECONDS - counts.at("0small").asked - counts.at("0tiny").asked) / 2.0;
        for (const char *name : {"0medium", "0large"}) {
            DOUBLES_EQUAL_TEXT(std::min(1.0, equalPart / counts.at(name).asked), counts.at(name).fraction(), 0.1, text.c_str());
        }
    }
}

TEST(AdmissionShares, lateReturnsAreAssuredAPartAndGetWhatIsLeft)
{
    AdmissionShares crowded(1);
    const auto few = play(crowded, {{{0, "a"}, 100.0}, {{0, "a", true}, 40.0}}, 60.0, 1);
    CHECK(few.at("0ar").fraction() > 0.1);
    CHECK(few.at("0a").fraction() > few.at("0ar").fraction());
    AdmissionShares roomy(1);
    const auto all = play(roomy, {{{0, "a"}, 30.0}, {{0, "a", true}, 20.0}}, 60.0, 1);
    CHECK(all.at("0ar").fraction() > 0.95);
}

TEST(AdmissionShares, retryDelaysAreAcceptedBySpreadCallersAndLaterForLessUrgentOnes)
{
    AdmissionShares shares(1);
    shares.onArrival({0, "a"}, START);
    std::map<int, milliseconds> earliest{{0, milliseconds{9'000}}, {2, milliseconds{9'000}}};
    play(shares, {{{0, "a"}, 100.0}, {{2, "a"}, 100.0}}, 10.0, 3);
    for (int i = 0; i < 400; ++i) {
        const int priority = i % 2 == 0 ? 0 : 2;
        const ShareDecision decision = shares.admit({priority, "a"}, LEFT, START + std::chrono::seconds{23});
        if (!decision.admit) {
            earliest[priority] = std::min(earliest[priority], decision.retryAfter);
            CHECK(decision.retryAfter <= milliseconds{8'000 / 3});
        }
    }
    CHECK(earliest[0] < earliest[2]);
}

/// Guards against entries that each take the whole capacity because they do not hear each other.
TEST(AdmissionShares, demandOfEntriesThatAreNotHeardIsAssumedEqual)
{
    AdmissionShares shares(1);
    shares.setEntries(10);
    const auto counts = play(shares, {{{0, "a"}, 12.0}}, 60.0, 1);
    DOUBLES_EQUAL(0.5, counts.at("0a").fraction(), 0.12);
    DOUBLES_EQUAL(0.1, shares.ownShare(START + std::chrono::seconds{23}), 0.05);
}

TEST(AdmissionShares, reportsOfOtherEntriesCountAndExpire)
{
    AdmissionShares shares(1);
    shares.setEntries(2);
    const DemandReport report{{{0, 100.0, 0.0, {{7, 100.0}}}}};
    const Instant now = START;
    for (int i = 0; i < 40; ++i) {
        shares.onArrival({0, "a"}, now + i * milliseconds{100});
    }
    shares.onPeerDemand("other", report, now + milliseconds{4'000});
    shares.setCapacity(50.0, now + milliseconds{4'000});
    CHECK(shares.ownShare(now + milliseconds{4'000}) < 0.4);
    shares.setCapacity(50.0, now + milliseconds{10'000});
    DOUBLES_EQUAL(0.5, shares.ownShare(now + milliseconds{10'000}), 0.01);
}

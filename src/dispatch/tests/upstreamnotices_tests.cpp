// Tests of shutdown notices and requested pauses from upstreams, without a network.

#include "dispatch/dispatcher.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace daisymount::dispatch;
using namespace daisymount::fleet;

namespace
{
constexpr Instant START{std::chrono::seconds{100}};

std::optional<FleetConfig> decodeService(std::string_view /*value*/)
{
    FleetConfig config;
    config.version = 1;
    config.services.emplace("s", Service{});
    return config;
}

/// The value is the start time in milliseconds.
std::optional<Upstream> decodeUpstream(std::string_view id, std::string_view value)
{
    Upstream upstream;
    upstream.id = id;
    upstream.service = "s";
    upstream.slots = 4;
    upstream.address = "h:" + std::string(id);
    upstream.zone = "a";
    upstream.bornMs = std::stoll(std::string(value));
    return upstream;
}

struct Entry
{
    FleetView view{{decodeService, decodeUpstream}};
    Dispatcher dispatcher;
    int64_t revision = 0;

    explicit Entry(uint64_t seed) : dispatcher({"a", 1.0, 0.0, seed})
    { }

    void fleet(std::vector<StoredItem> items, Instant now)
    {
        view.applyConfig({"c", "x", {0, 1}});
        ++revision;
        for (StoredItem &item : items) {
            item.revision = {0, revision};
        }
        view.applyUpstreams({std::move(items), {0, revision}}, now);
        dispatcher.onFleetChange(view, now);
    }

    std::string place(Instant now)
    {
        const PlacementDecision decision = dispatcher.place({"s", {}, true}, now);
        const auto *placement = std::get_if<Placement>(&decision);
        return placement == nullptr ? "" : placement->upstream;
    }
};
} // namespace

TEST_GROUP(UpstreamNotices)
{
    Instant now = START;
    Entry entry{1};
};

TEST(UpstreamNotices, leavingUpstreamGetsNoRequestsEvenIfTheStoreListsIt)
{
    entry.fleet({{"u1", "1", {}}, {"u2", "1", {}}}, now);
    CHECK(entry.dispatcher.onLeaving("u1", 1, milliseconds{0}, now));
    CHECK_FALSE(entry.dispatcher.onLeaving("u1", 1, milliseconds{0}, now));
    CHECK_FALSE(entry.dispatcher.acceptsRequests("u1", now));
    for (int i = 0; i < 10; ++i) {
        STRCMP_EQUAL("u2", entry.place(now).c_str());
    }
    // The registration lapses and returns, as after a store outage.
    entry.fleet({{"u2", "1", {}}}, now);
    entry.fleet({{"u1", "1", {}}, {"u2", "1", {}}}, now);
    now += std::chrono::minutes{5};
    for (int i = 0; i < 10; ++i) {
        STRCMP_EQUAL("u2", entry.place(now).c_str());
    }
    entry.fleet({{"u1", "1", {}}}, now);
    STRCMP_EQUAL("", entry.place(now).c_str());
    // A new incarnation with the same id gets requests again.
    entry.fleet({{"u1", "2", {}}}, now);
    STRCMP_EQUAL("u1", entry.place(now).c_str());
    CHECK(entry.dispatcher.acceptsRequests("u1", now));
}

// Guards against a request that is sent to an upstream whose leaving became known while its connection was being opened.
TEST(UpstreamNotices, upstreamWhoseRegistrationEndsAfterItWasChosenAcceptsNoRequest)
{
    entry.fleet({{"u1", "1", {}}}, now);
    STRCMP_EQUAL("u1", entry.place(now).c_str());
    entry.dispatcher.onSent("u1", now);
    CHECK(entry.dispatcher.acceptsRequests("u1", now));
    entry.fleet({{"u2", "1", {}}}, now);
    CHECK_FALSE(entry.dispatcher.acceptsRequests("u1", now));
}

TEST(UpstreamNotices, noticesFromOtherEntriesAreApplied)
{
    entry.fleet({{"u1", "1", {}}}, now);
    CHECK(entry.dispatcher.onLeaving("u1", 1, milliseconds{300}, now));
    STRCMP_EQUAL("", entry.place(now).c_str());
    LONGS_EQUAL(1, entry.dispatcher.leavingToAnnounce(now).size());
    LONGS_EQUAL(300, entry.dispatcher.leavingToAnnounce(now).front().age.count());
    // A notice is sent to other entries only for some seconds.
    LONGS_EQUAL(0, entry.dispatcher.leavingToAnnounce(now + std::chrono::seconds{10}).size());
    // The notice of an earlier incarnation does not apply to a new one.
    entry.fleet({{"u1", "2", {}}}, now);
    CHECK(entry.dispatcher.onLeaving("u1", 1, milliseconds{0}, now) == false);
    STRCMP_EQUAL("u1", entry.place(now).c_str());
}

TEST(UpstreamNotices, pausedUpstreamGetsNoRequestsBeforeThePauseEnds)
{
    entry.fleet({{"u1", "1", {}}, {"u2", "1", {}}}, now);
    const Instant until = entry.dispatcher.onBackoffRequested("u1", 1, milliseconds{2'000}, now);
    CHECK(until >= now + milliseconds{2'000});
    CHECK(until <= now + milliseconds{2'500});
    for (Instant at = now; at < now + milliseconds{2'000}; at += milliseconds{100}) {
        STRCMP_EQUAL("u2", entry.place(at).c_str());
    }
    entry.dispatcher.onBackoffRequested("u2", 1, milliseconds{5'000}, now);
    const PlacementDecision decision = entry.dispatcher.place({"s", {}, true}, now);
    const auto *refusal = std::get_if<Refusal>(&decision);
    CHECK(refusal != nullptr);
    // The first of the two pauses ends after two seconds.
    CHECK(refusal->retryAfter >= milliseconds{2'000});
    CHECK(refusal->retryAfter <= milliseconds{4'500});
    STRCMP_EQUAL("u1", entry.place(until).c_str());
    // A shorter pause does not shorten a longer one.
    entry.dispatcher.onBackoffRequested("u2", 1, milliseconds{10}, now);
    CHECK_FALSE(entry.dispatcher.acceptsRequests("u2", now + milliseconds{4'900}));
}

TEST(UpstreamNotices, entriesRejectedAtTheSameTimeResumeAtDifferentTimes)
{
    // 149 entries are rejected by one upstream at the same moment with a pause of two seconds.
    constexpr int ENTRIES = 149;
    std::vector<Instant> resumeTimes;
    for (uint64_t seed = 1; seed <= ENTRIES; ++seed) {
        Entry one(seed * 7'919);
        one.fleet({{"u1", "1", {}}}, now);
        resumeTimes.push_back(one.dispatcher.onBackoffRequested("u1", 1, milliseconds{2'000}, now));
    }
    std::ranges::sort(resumeTimes);
    // Entries resume over half a second; no 100 ms of it may contain more than a third of them.
    for (size_t i = 0; i < resumeTimes.size(); ++i) {
        const auto within = std::ranges::count_if(resumeTimes, [&](Instant at) { return at >= resumeTimes[i] && at < resumeTimes[i] + milliseconds{100}; });
        CHECK(within <= ENTRIES / 3);
    }
}

TEST(UpstreamNotices, pausedAndLeavingEnginesAreNotUsable)
{
    entry.fleet({{"u1", "1", {}}, {"u2", "1", {}}}, now);
    LONGS_EQUAL(2, entry.dispatcher.engineLoad("s", now).usable);
    entry.dispatcher.onBackoffRequested("u1", 1, milliseconds{1'000}, now);
    LONGS_EQUAL(1, entry.dispatcher.engineLoad("s", now).usable);
    entry.dispatcher.onLeaving("u2", 1, milliseconds{0}, now);
    LONGS_EQUAL(0, entry.dispatcher.engineLoad("s", now).usable);
    LONGS_EQUAL(1, entry.dispatcher.engineLoad("s", now + milliseconds{1'500}).usable);
}

TEST(UpstreamNotices, numberOfStoredNoticesIsBounded)
{
    for (int i = 0; i < 20'000; ++i) {
        entry.dispatcher.onLeaving("u" + std::to_string(i), i, milliseconds{0}, now + milliseconds{i});
    }
    // The most recent notices are kept.
    CHECK_FALSE(entry.dispatcher.onLeaving("u19999", 19'999, milliseconds{0}, now + milliseconds{20'000}));
    CHECK(entry.dispatcher.leavingToAnnounce(now + milliseconds{20'000}).size() <= 16);
}

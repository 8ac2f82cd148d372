// Tests of upstream selection, without a network.

#include "dispatch/dispatcher.h"
#include "dispatch/retryshare.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace daisymount::dispatch;
using namespace daisymount::fleet;

namespace
{
constexpr Instant START{std::chrono::seconds{100}};

std::optional<FleetConfig> decodeColdService(std::string_view /*value*/)
{
    FleetConfig config;
    config.version = 1;
    Service service;
    service.name = "s";
    service.coldPerSecond = 36.0;
    config.services.emplace("s", service);
    return config;
}

/// Decodes "address born zone state cold_ms".
std::optional<Upstream> decodeListed(std::string_view id, std::string_view value)
{
    Upstream upstream;
    upstream.id = id;
    upstream.service = "s";
    upstream.slots = 4;
    std::vector<std::string> words;
    while (!value.empty()) {
        const size_t space = value.find(' ');
        words.emplace_back(value.substr(0, space));
        value = space == std::string_view::npos ? std::string_view{} : value.substr(space + 1);
    }
    upstream.address = words[0];
    upstream.bornMs = std::stoll(words[1]);
    upstream.zone = words[2];
    upstream.state = words[3] == "draining" ? UpstreamState::Draining : UpstreamState::Ready;
    upstream.coldRemaining = milliseconds{std::stoll(words[4])};
    return upstream;
}
} // namespace

TEST_GROUP(Dispatcher)
{
    FleetView view{{decodeColdService, decodeListed}};
    Dispatcher dispatcher{{"a", 1.5, 5.0, 7}};
    Instant now = START;
    int64_t revision = 0;

    void fleet(std::vector<StoredItem> items)
    {
        view.applyConfig({"c", "x", {0, 1}});
        ++revision;
        for (StoredItem &item : items) {
            item.revision = {0, revision};
        }
        view.applyUpstreams({std::move(items), {0, revision}}, now);
        dispatcher.onFleetChange(view, now);
    }

    std::string place(std::vector<std::string> tried = {})
    {
        const PlacementDecision decision = dispatcher.place({"s", tried, tried.empty()}, now);
        const auto *placement = std::get_if<Placement>(&decision);
        return placement == nullptr ? "" : placement->upstream;
    }
};

TEST(Dispatcher, balancesByRequestsInFlight)
{
    fleet({{"u1", "h:1 1 a ready 0", {}}, {"u2", "h:2 1 a ready 0", {}}, {"u3", "h:3 1 a ready 0", {}}});
    std::map<std::string, int> counts;
    for (int i = 0; i < 12; ++i) {
        const std::string upstream = place();
        dispatcher.onSent(upstream, now);
        ++counts[upstream];
    }
    for (const auto &[upstream, count] : counts) {
        LONGS_EQUAL(4, count);
    }
}

TEST(Dispatcher, doesNotSelectAnAttemptedUpstreamAgain)
{
    fleet({{"u1", "h:1 1 a ready 0", {}}, {"u2", "h:2 1 a ready 0", {}}});
    for (int i = 0; i < 20; ++i) {
        STRCMP_EQUAL("u2", place({"u1"}).c_str());
    }
    STRCMP_EQUAL("", place({"u1", "u2"}).c_str());
}

TEST(Dispatcher, drainingUpstreamsAndZonesOutOfServiceGetNoRequests)
{
    fleet({{"u1", "h:1 1 a draining 0", {}}, {"u2", "h:2 1 b ready 0", {}}});
    STRCMP_EQUAL("u2", place().c_str());
    view.applyZonesOut({"b"}, {0, 5});
    dispatcher.onFleetChange(view, now);
    STRCMP_EQUAL("", place().c_str());
}

TEST(Dispatcher, newestIncarnationAtAnAddressGetsTheRequests)
{
    fleet({{"old", "h:1 100 a ready 0", {}}, {"new", "h:1 200 a ready 0", {}}});
    for (int i = 0; i < 10; ++i) {
        STRCMP_EQUAL("new", place().c_str());
    }
}

TEST(Dispatcher, unreachableUpstreamIsAvoidedTemporarily)
{
    fleet({{"u1", "h:1 1 a ready 0", {}}, {"u2", "h:2 1 a ready 0", {}}});
    dispatcher.onSent("u1", now);
    dispatcher.onFinished("u1", AttemptResult::Unreachable, Duration{0}, now);
    for (int i = 0; i < 10; ++i) {
        STRCMP_EQUAL("u2", place().c_str());
    }
    now += std::chrono::seconds{10};
    std::map<std::string, int> counts;
    for (int i = 0; i < 40; ++i) {
        ++counts[place()];
    }
    CHECK(counts["u1"] > 0);
}

TEST(Dispatcher, failingUpstreamIsAvoidedAndGetsRequestsAgainLater)
{
    fleet({{"grey", "h:1 1 a ready 0", {}}, {"good", "h:2 1 a ready 0", {}}});
    for (int i = 0; i < 5; ++i) {
        dispatcher.onSent("grey", now);
        dispatcher.onFinished("grey", AttemptResult::Failed, Duration{0}, now);
    }
    for (int i = 0; i < 10; ++i) {
        STRCMP_EQUAL("good", place().c_str());
    }
    now += std::chrono::seconds{20};
    std::map<std::string, int> counts;
    for (int i = 0; i < 40; ++i) {
        ++counts[place()];
    }
    CHECK(counts["grey"] > 0);
}

TEST(Dispatcher, fewEntriesTogetherKeepTheRateLimitOfAColdUpstream)
{
    constexpr int ENTRIES = 7;
    constexpr double BOUND = 36.0 * 1.5 + 5.0;
    int sent = 0;
    for (int entry = 0; entry < ENTRIES; ++entry) {
        Dispatcher one({"a", 1.5, 5.0, static_cast<uint64_t>(entry + 1)});
        fleet({{"cold", "h:1 1 a ready 60000", {}}});
        one.onFleetChange(view, now);
        one.setEntries(ENTRIES);
        one.place({"s", {}, true}, now);
        // The limit holds for any second of a burst, also with buckets that were full before it.
        for (int ms = 0; ms < 1'000; ++ms) {
            const Instant at = now + std::chrono::seconds{5} + milliseconds{ms};
            sent += std::holds_alternative<Placement>(one.place({"s", {}, true}, at)) ? 1 : 0;
        }
    }
    CHECK(sent <= BOUND);
    CHECK(sent >= 20);
}

TEST(Dispatcher, manyEntriesTogetherKeepTheRateLimitOfAColdUpstream)
{
    // A large deployment after a restart of all machines, with an unlimited number of callers per entry.
    constexpr int ENTRIES = 100;
    constexpr double BOUND = 36.0 * 1.5 + 5.0;
    int sum = 0;
    for (int round = 0; round < 20; ++round) {
        fleet({{"cold" + std::to_string(round), "h:1 1 a ready 60000", {}}});
        int sent = 0;
        for (int entry = 0; entry < ENTRIES; ++entry) {
            Dispatcher one({"a", 1.5, 5.0, static_cast<uint64_t>(entry + 1)});
            one.onFleetChange(view, now);
            one.setEntries(ENTRIES);
            one.place({"s", {}, true}, now);
            for (int ms = 0; ms < 1'000; ms += 5) {
                const Instant at = now + std::chrono::seconds{5} + milliseconds{ms};
                sent += std::holds_alternative<Placement>(one.place({"s", {}, true}, at)) ? 1 : 0;
            }
        }
        CHECK(sent <= BOUND);
        sum += sent;
    }
    CHECK(sum / 20 >= 10);
}

// Tests of gateway processes whose store goes away for a moment and comes back from an older copy of itself.

#include "gatewayprocess.h"
#include "storestandin.h"

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using namespace daisymount::gateway;
using namespace daisymount::gateway::tests;

namespace
{
using framework::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t GATEWAYS = 3;
constexpr int64_t FIRST_ERA = 7;
constexpr milliseconds AWAY{900};
/// From the return of the store until operators and upstreams write again what it has lost.
constexpr milliseconds WRITTEN_AGAIN_AFTER{1'200};
constexpr milliseconds APPLY_BOUND{3'000};
constexpr milliseconds DRAIN_BOUND{2'000};
constexpr milliseconds EVACUATION_BOUND{5'000};
constexpr milliseconds REGISTRATION_BOUND{2'000};
constexpr milliseconds REQUEST_INTERVAL{15};
/// So many that the revisions after the return do not overtake the lost ones within a test.
constexpr int LOST_CHANGES = 400;

/// A configuration whose route leads to @p service.
std::string configOf(int version, const std::string &service)
{
    const std::string common = R"(,"health_path":"/h","max_connections":100,"cold_start_s":0,"cold_per_s":0})";
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"safe","host":"a.example","prefix":"/safe/","kind":"safe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":")"
        + service + R"(","max_attempts":2,"public":true}],"services":[{"name":"first")" + common + R"(,{"name":"second")" + common
        + R"(],"limits":{"max_header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,"idle_timeout_ms":2000},"tenants":[]})";
}

struct Arrival
{
    std::string service;
    std::string upstream;
    Instant sentAt{0};
    Instant at{0};
    size_t gateway = 0;
};

/// Upstream that answers every request and can be registered again, as upstreams do after a loss.
struct PlainUpstream
{
    std::string id;
    std::string service;
    std::string zone;
    std::string state = "ready";
    int sequence = 1;
    std::unique_ptr<ScriptedUpstream> listener;

    std::string registration() const
    {
        return R"({"service":")" + service + R"(","address":")" + listener->address() + R"(","zone":")" + zone + R"(","slots":50,"state":")" + state
            + R"(","cold_remaining_ms":0,"born":1,"sequence":)" + std::to_string(sequence) + "}";
    }
};

/// Never destroyed, because suspended coroutines refer to it.
class StoreReturnFixture
{
public:
    StoreReturnFixture() : store(reactor_.get_executor())
    {
        store.setEra(FIRST_ERA);
        store.put("op/config", configOf(1, "first"));
        for (const std::string service : {"first", "second"}) {
            for (const std::string zone : {"east", "west"}) {
                addUpstream(service + "-" + zone, service, zone);
            }
        }
        std::string pattern = (std::filesystem::temp_directory_path() / "daisymount-XXXXXX").string();
        folder_ = ::mkdtemp(pattern.data());
        for (size_t number = 1; number <= GATEWAYS; ++number) {
            gateways.push_back(std::make_unique<GatewayProcess>(network_, number, store.address(), folder_));
            CHECK_TRUE(gateways.back()->start());
        }
    }

    void end()
    {
        sending_ = false;
        for (const auto &gateway : gateways) {
            gateway->kill();
        }
        std::filesystem::remove_all(folder_);
    }

    PlainUpstream &upstream(std::string_view id)
    {
        return **std::ranges::find_if(upstreams_, [id](const auto &upstream) { return upstream->id == id; });
    }

    void registerUpstream(const PlainUpstream &upstream)
    {
        store.put("servers/" + upstream.id, upstream.registration());
    }

    /// Sends requests to every gateway in turn until the end of the test.
    void startSending()
    {
        sending_ = true;
        asio::co_spawn(reactor_, sendRequests(), asio::detached);
    }

    void run(milliseconds duration)
    {
        reactor_.run_for(duration);
    }

    /// Runs until the last requests to all running gateways were answered by @p service; false on timeout.
    bool allServeBy(std::string_view service, milliseconds within)
    {
        const Instant limit = framework::monotonicNow() + within;
        while (framework::monotonicNow() < limit) {
            run(milliseconds{30});
            if (std::ranges::all_of(lastService_, [service](const std::string &last) { return last == service; })) {
                return true;
            }
        }
        return false;
    }

    /// Everything in the store changes so often that the copy, taken before, has much lower revisions.
    void changeMuch()
    {
        for (int i = 0; i < LOST_CHANGES; ++i) {
            store.put("other/key", std::to_string(i));
        }
    }

    void loseStoreAndComeBackFromCopy()
    {
        store.goAway();
        run(AWAY);
        store.comeBackFromCopy();
    }

    size_t countArrivals(const std::function<bool(const Arrival &)> &matches) const
    {
        return static_cast<size_t>(std::ranges::count_if(arrivals, matches));
    }

    std::vector<Arrival> arrivals;
    std::vector<std::unique_ptr<GatewayProcess>> gateways;

private:
    asio::io_context reactor_;
    LoopbackNetwork network_{reactor_};

public:
    FakeStore store;

private:
    void addUpstream(const std::string &id, const std::string &service, const std::string &zone)
    {
        auto added = std::make_unique<PlainUpstream>(PlainUpstream{id, service, zone, "ready", 1, nullptr});
        added->listener
            = std::make_unique<ScriptedUpstream>(reactor_.get_executor(), [this, id, service](transport::ConnectionPtr connection, ReceivedRequest request) {
                  if (request.target.starts_with("/safe/")) {
                      recordArrival(request, service, id);
                  }
                  return send(std::move(connection), answer(request, service));
              });
        upstreams_.push_back(std::move(added));
        registerUpstream(*upstreams_.back());
    }

    /// The path of a request is /safe/GATEWAY/NUMBER.
    void recordArrival(const ReceivedRequest &request, const std::string &service, const std::string &id)
    {
        const size_t slash = request.target.rfind('/');
        const size_t gateway = static_cast<size_t>(std::stoul(request.target.substr(std::string("/safe/").size())));
        const size_t number = std::stoul(request.target.substr(slash + 1));
        arrivals.push_back({service, id, sentAt_[number], framework::monotonicNow(), gateway});
    }

    asio::awaitable<void> sendRequests()
    {
        size_t gateway = 0;
        while (sending_) {
            const size_t number = sentAt_.size();
            sentAt_.push_back(framework::monotonicNow());
            const std::string target = "/safe/" + std::to_string(gateway) + "/" + std::to_string(number);
            const std::string bytes = "POST " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r" + std::to_string(number)
                + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
            const auto onEnd = [this, gateway](const CallerResult &result) { lastService_[gateway] = result.status == 200 ? result.body : "none"; };
            asio::co_spawn(reactor_, sendAndReadResponse(reactor_.get_executor(), gateways[gateway]->endpoint(), bytes, onEnd), asio::detached);
            gateway = (gateway + 1) % GATEWAYS;
            co_await transport::sleepFor(REQUEST_INTERVAL);
        }
    }

    std::vector<std::unique_ptr<PlainUpstream>> upstreams_;
    std::filesystem::path folder_;
    bool sending_ = false;
    std::vector<Instant> sentAt_; ///< By number of the request.
    std::array<std::string, GATEWAYS> lastService_; ///< That answered the last request, by gateway.
};
} // namespace

TEST_GROUP(StoreReturn)
{
    StoreReturnFixture *fixture = nullptr;

    void setup() override
    {
        static auto &fixtures = *new std::vector<StoreReturnFixture *>;
        fixtures.push_back(new StoreReturnFixture);
        fixture = fixtures.back();
        fixture->startSending();
        CHECK_TRUE(fixture->allServeBy("first", seconds{20}));
        // Gateways that have just started may still hear of each other.
        fixture->run(seconds{2});
    }

    void teardown() override
    {
        fixture->end();
    }

    void changeConfig(int version, const std::string &service)
    {
        fixture->store.put("op/config", configOf(version, service));
    }

    static std::string text(size_t requests)
    {
        return std::to_string(requests) + " requests";
    }
};

/// Control for the tests below: a store that comes back as it was causes none of their failures.
TEST(StoreReturn, aReturnWithoutLossDelaysNothing)
{
    fixture->changeMuch();
    changeConfig(2, "second");
    CHECK_TRUE(fixture->allServeBy("second", APPLY_BOUND));
    fixture->store.goAway();
    fixture->run(AWAY);
    fixture->store.comeBack();
    fixture->run(WRITTEN_AGAIN_AFTER);
    PlainUpstream &leaving = fixture->upstream("first-east");
    ++leaving.sequence;
    leaving.state = "draining";
    const Instant changedAt = framework::monotonicNow();
    fixture->registerUpstream(leaving);
    changeConfig(3, "first");
    fixture->run(APPLY_BOUND + seconds{1});
    const size_t older
        = fixture->countArrivals([&](const Arrival &arrival) { return arrival.service == "second" && arrival.sentAt > changedAt + APPLY_BOUND; });
    CHECK_EQUAL_TEXT(0U, older, (text(older) + " run as only the version before the last one allows").c_str());
    const size_t late
        = fixture->countArrivals([&](const Arrival &arrival) { return arrival.upstream == "first-east" && arrival.at > changedAt + DRAIN_BOUND; });
    CHECK_EQUAL_TEXT(0U, late, (text(late) + " reached an upstream that had said it leaves").c_str());
}

/// Guards against a version that is not in force, or taken back, because the revisions of the store have gone back.
TEST(StoreReturn, aVersionWrittenAfterTheReturnIsInForceInTime)
{
    fixture->store.takeCopy();
    fixture->changeMuch();
    changeConfig(2, "second");
    CHECK_TRUE(fixture->allServeBy("second", APPLY_BOUND));
    const Instant lostAt = framework::monotonicNow();
    fixture->loseStoreAndComeBackFromCopy();
    fixture->run(WRITTEN_AGAIN_AFTER);
    changeConfig(2, "second");
    fixture->run(milliseconds{300});
    const Instant changedAt = framework::monotonicNow();
    changeConfig(3, "first");
    fixture->run(APPLY_BOUND + seconds{1});
    const size_t tookBack
        = fixture->countArrivals([&](const Arrival &arrival) { return arrival.service == "first" && arrival.sentAt > lostAt && arrival.sentAt < changedAt; });
    const size_t late = fixture->countArrivals([&](const Arrival &arrival) { return arrival.service == "second" && arrival.sentAt > changedAt + APPLY_BOUND; });
    CHECK_EQUAL_TEXT(0U, tookBack, (text(tookBack) + " run as only the version before the lost one allows").c_str());
    CHECK_EQUAL_TEXT(0U, late, (text(late) + " run as only the version before the last one allows").c_str());
    CHECK_TRUE(fixture->allServeBy("first", seconds{1}));
}

/// Guards against requests to an upstream that leaves, because its registration has a lower revision than those before the return.
TEST(StoreReturn, anUpstreamThatLeavesAfterTheReturnGetsNoRequestsInTime)
{
    fixture->store.takeCopy();
    fixture->changeMuch();
    for (const std::string id : {"first-east", "first-west"}) {
        ++fixture->upstream(id).sequence;
        fixture->registerUpstream(fixture->upstream(id));
    }
    fixture->run(seconds{1});
    fixture->loseStoreAndComeBackFromCopy();
    fixture->run(WRITTEN_AGAIN_AFTER);
    PlainUpstream &leaving = fixture->upstream("first-east");
    ++leaving.sequence;
    leaving.state = "draining";
    const Instant leftAt = framework::monotonicNow();
    fixture->registerUpstream(leaving);
    fixture->run(DRAIN_BOUND + seconds{1});
    const size_t late = fixture->countArrivals([&](const Arrival &arrival) { return arrival.upstream == "first-east" && arrival.at > leftAt + DRAIN_BOUND; });
    CHECK_EQUAL_TEXT(0U, late, (text(late) + " reached an upstream that had said it leaves").c_str());
    CHECK_TRUE(fixture->allServeBy("first", seconds{1}));
}

/// Guards against an upstream that is used again, because the copy is older than its leaving.
TEST(StoreReturn, anUpstreamThatLeftBeforeTheReturnIsNotUsedAgain)
{
    fixture->store.takeCopy();
    fixture->changeMuch();
    PlainUpstream &leaving = fixture->upstream("first-east");
    ++leaving.sequence;
    leaving.state = "draining";
    fixture->registerUpstream(leaving);
    const Instant leftAt = framework::monotonicNow();
    fixture->run(DRAIN_BOUND);
    fixture->loseStoreAndComeBackFromCopy();
    fixture->run(WRITTEN_AGAIN_AFTER + seconds{2});
    const size_t late = fixture->countArrivals([&](const Arrival &arrival) { return arrival.upstream == "first-east" && arrival.at > leftAt + DRAIN_BOUND; });
    CHECK_EQUAL_TEXT(0U, late, (text(late) + " reached an upstream that had said it leaves").c_str());
    CHECK_TRUE(fixture->allServeBy("first", seconds{1}));
}

/// Guards against an evacuation that is not obeyed, because its revision is lower than those before the return.
TEST(StoreReturn, aZoneEvacuatedAfterTheReturnGetsNoRequestsInTime)
{
    fixture->store.takeCopy();
    fixture->changeMuch();
    // An evacuation that was taken back raises the revision at which the zones are known.
    fixture->store.put("op/evacuate/west", "{}");
    fixture->run(seconds{1});
    fixture->store.remove("op/evacuate/west");
    fixture->run(seconds{1});
    fixture->loseStoreAndComeBackFromCopy();
    fixture->run(WRITTEN_AGAIN_AFTER);
    const Instant evacuatedAt = framework::monotonicNow();
    fixture->store.put("op/evacuate/east", "{}");
    fixture->run(EVACUATION_BOUND + seconds{1});
    const size_t late
        = fixture->countArrivals([&](const Arrival &arrival) { return arrival.upstream == "first-east" && arrival.at > evacuatedAt + EVACUATION_BOUND; });
    CHECK_EQUAL_TEXT(0U, late, (text(late) + " reached an evacuated zone").c_str());
    CHECK(fixture->countArrivals([&](const Arrival &arrival) { return arrival.upstream == "first-west" && arrival.at > evacuatedAt + EVACUATION_BOUND; }) > 0);
}

/// Guards against a zone that is used again, because the copy is older than its evacuation.
TEST(StoreReturn, anEvacuationThatTheCopyDoesNotHaveStaysInForceUntilItIsWrittenAgain)
{
    fixture->store.takeCopy();
    fixture->changeMuch();
    fixture->store.put("op/evacuate/east", "{}");
    fixture->run(seconds{1});
    const Instant lostAt = framework::monotonicNow();
    fixture->loseStoreAndComeBackFromCopy();
    fixture->run(WRITTEN_AGAIN_AFTER);
    fixture->store.put("op/evacuate/east", "{}");
    fixture->run(EVACUATION_BOUND);
    const size_t used = fixture->countArrivals([&](const Arrival &arrival) { return arrival.upstream == "first-east" && arrival.at > lostAt; });
    CHECK_EQUAL_TEXT(0U, used, (text(used) + " reached an evacuated zone").c_str());
    fixture->store.remove("op/evacuate/east");
    const Instant backAt = framework::monotonicNow();
    fixture->run(APPLY_BOUND);
    CHECK(fixture->countArrivals([&](const Arrival &arrival) { return arrival.upstream == "first-east" && arrival.at > backAt; }) > 0);
}

/// Guards against a gateway that serves by the copy, because it started before the lost version was written again.
TEST(StoreReturn, aGatewayThatStartsBeforeTheSecondWriteFollowsItsPeers)
{
    fixture->store.takeCopy();
    fixture->changeMuch();
    changeConfig(2, "second");
    fixture->store.put("op/evacuate/east", "{}");
    CHECK_TRUE(fixture->allServeBy("second", APPLY_BOUND));
    fixture->loseStoreAndComeBackFromCopy();
    fixture->gateways[GATEWAYS - 1]->kill();
    CHECK_TRUE(fixture->gateways[GATEWAYS - 1]->start());
    const Instant startedAt = framework::monotonicNow();
    fixture->run(seconds{3});
    const size_t older = fixture->countArrivals([&](const Arrival &arrival) { return arrival.service == "first" && arrival.sentAt > startedAt; });
    CHECK_EQUAL_TEXT(0U, older, (text(older) + " run as only the version before the lost one allows").c_str());
    const size_t used = fixture->countArrivals([&](const Arrival &arrival) { return arrival.upstream == "second-east" && arrival.sentAt > startedAt; });
    CHECK_EQUAL_TEXT(0U, used, (text(used) + " reached an evacuated zone").c_str());
    CHECK(fixture->countArrivals([&](const Arrival &arrival) { return arrival.gateway == GATEWAYS - 1 && arrival.sentAt > startedAt; }) > 0);
}

/// Guards against a gateway that starts and asks only the first one of its peers, which has just died.
TEST(StoreReturn, aGatewayThatStartsAsksEachPeerUntilOneAnswers)
{
    fixture->store.takeCopy();
    fixture->changeMuch();
    changeConfig(2, "second");
    fixture->store.put("op/evacuate/east", "{}");
    CHECK_TRUE(fixture->allServeBy("second", APPLY_BOUND));
    fixture->loseStoreAndComeBackFromCopy();
    fixture->gateways[GATEWAYS - 1]->kill();
    fixture->gateways[0]->kill();
    CHECK_TRUE(fixture->gateways[GATEWAYS - 1]->start());
    const Instant startedAt = framework::monotonicNow();
    fixture->run(seconds{3});
    const auto wrong = [&](const Arrival &arrival) { return arrival.sentAt > startedAt && (arrival.service == "first" || arrival.upstream == "second-east"); };
    const size_t requests = fixture->countArrivals(wrong);
    CHECK_EQUAL_TEXT(0U, requests, (text(requests) + " by the copy").c_str());
    CHECK(fixture->countArrivals([&](const Arrival &arrival) { return arrival.gateway == GATEWAYS - 1 && arrival.sentAt > startedAt; }) > 0);
}

/// Guards against gateways that register twice, because the first answer of the store tells an era.
TEST(StoreReturn, aGatewayThatStartsRegistersOnce)
{
    LONGS_EQUAL(GATEWAYS, fixture->store.grantedLeases());
}

/// Guards against gateways that are missing from the registry, because the copy does not have their registrations.
TEST(StoreReturn, gatewaysRegisterAgainInTime)
{
    CHECK_TRUE(fixture->store.keys("daisymount/entries/").size() == GATEWAYS);
    for (const std::string &key : fixture->store.keys("daisymount/entries/")) {
        fixture->store.forget(key);
    }
    fixture->store.takeCopy();
    fixture->loseStoreAndComeBackFromCopy();
    fixture->run(REGISTRATION_BOUND);
    LONGS_EQUAL(GATEWAYS, fixture->store.keys("daisymount/entries/").size());
}

/// Guards against news of the former era that is followed after a second return within a short time.
TEST(StoreReturn, twoReturnsInARowLeaveTheNewestVersionInForce)
{
    fixture->store.takeCopy();
    fixture->changeMuch();
    changeConfig(2, "second");
    CHECK_TRUE(fixture->allServeBy("second", APPLY_BOUND));
    fixture->loseStoreAndComeBackFromCopy();
    fixture->run(milliseconds{500});
    fixture->loseStoreAndComeBackFromCopy();
    fixture->run(milliseconds{500});
    changeConfig(2, "second");
    changeConfig(3, "first");
    const Instant changedAt = framework::monotonicNow();
    fixture->run(APPLY_BOUND + milliseconds{500});
    const size_t late = fixture->countArrivals([&](const Arrival &arrival) { return arrival.service == "second" && arrival.sentAt > changedAt + APPLY_BOUND; });
    CHECK_EQUAL_TEXT(0U, late, (text(late) + " run as only the version before the last one allows").c_str());
    CHECK_TRUE(fixture->allServeBy("first", seconds{1}));
}

// Loopback tests with requests that have nothing but one part of their prompts in common, which crashes every upstream that begins to answer
// them. Sound requests share the caller and all other parts.

#include "fleetfixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace daisymount;
using namespace daisymount::gateway;
using namespace daisymount::gateway::tests;

namespace
{
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *CONFIG = R"({"version":1,"routes":[
 {"name":"stream","host":"a.example","prefix":"/stream/","kind":"stream","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"plain","max_attempts":2,"public":true,"resumable":true}],
 "services":[{"name":"plain","health_path":"/h","max_connections":100,"cold_start_s":0,"cold_per_s":0}],
 "limits":{"max_header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,"idle_timeout_ms":2000},"tenants":[]})";

/// Crashes after which at most MAX_FORWARDED_AFTER_CONTACT more requests may reach upstreams, counted from CONTACT_BOUND later.
constexpr size_t CRASHES_TO_RECOGNISE = 5;
constexpr milliseconds CONTACT_BOUND{3'000};
constexpr long MAX_FORWARDED_AFTER_CONTACT = 3;
constexpr size_t GATEWAYS = 4;
constexpr size_t UPSTREAMS = 8;
/// Time in which the sound requests are sent that are checked at the end of a play.
constexpr milliseconds CHECKED_TIME{2'000};
/// Parts whose ids begin so crash upstreams.
const std::string CRASHING = "bad";

struct Load
{
    std::vector<std::string> crashing; ///< Shared parts of the crashing requests, used in turn.
    std::vector<std::string> sound; ///< Shared parts of the sound requests, all used in each tick.
    milliseconds tick{250};
    seconds duration{14}; ///< The shortest time for which requests are sent.
    milliseconds firstCrashing{0}; ///< The crashing requests are sent from this time on.
};

struct SoundRequest
{
    framework::Instant sentAt{0};
    bool answered = false;
};
} // namespace

TEST_GROUP(CrashingPromptPart)
{
    FleetFixture *fixture = nullptr;
    std::vector<std::pair<std::string, framework::Instant>> arrivals; ///< Crashing part and time of each crashing request at an upstream.
    std::vector<SoundRequest> sound;
    int requests = 0;

    void setup() override
    {
        static auto &fixtures = *new std::vector<FleetFixture *>;
        fixtures.push_back(new FleetFixture(CONFIG, "plain", UPSTREAMS, [this](const ReceivedRequest &received) {
            const std::string parts = received.field("X-Prompt-Prefix");
            const size_t at = parts.find(CRASHING);
            if (at == std::string::npos) {
                return Behaviour::Answer;
            }
            arrivals.emplace_back(parts.substr(at, CRASHING.size() + 1), framework::monotonicNow());
            return crashBehaviour;
        }));
        fixture = fixtures.back();
        for (size_t i = 0; i < GATEWAYS; ++i) {
            fixture->addGateway();
        }
        fixture->run(seconds{1});
    }

    Behaviour crashBehaviour = Behaviour::Crash;

    /// Each request has a body and a last part of its own.
    std::string request(const std::string &sharedParts)
    {
        const std::string number = std::to_string(++requests);
        return "POST /stream/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r" + number + "\r\nX-Deadline-Ms: 3000\r\nX-Prompt-Prefix: " + sharedParts + ",f"
            + number + ":9\r\nContent-Length: " + std::to_string(number.size()) + "\r\n\r\n" + number;
    }

    void play(const Load &load)
    {
        const framework::Instant begin = framework::monotonicNow();
        sound.reserve(10'000);
        for (size_t tick = 0; framework::monotonicNow() < begin + load.duration || !hasSoundRequestsToCheck(); ++tick) {
            if (framework::monotonicNow() >= begin + load.firstCrashing) {
                fixture->send(request(load.crashing[tick % load.crashing.size()]), [](const CallerResult &) {});
            }
            for (const std::string &parts : load.sound) {
                const size_t index = sound.size();
                sound.push_back({framework::monotonicNow(), false});
                fixture->send(request(parts), [this, index](const CallerResult &result) { sound[index].answered = result.status == 200 && result.complete; });
            }
            fixture->run(load.tick);
        }
        fixture->run(seconds{3});
    }

    std::vector<framework::Instant> crashesUnder(const std::string &part) const
    {
        std::vector<framework::Instant> times;
        for (const framework::Instant crash : fixture->crashes()) {
            const bool underPart = std::ranges::any_of(arrivals, [&](const auto &arrival) {
                return arrival.first == part && arrival.second <= crash && crash - arrival.second < 2 * CrashableUpstream::TIME_TO_CRASH;
            });
            if (underPart) {
                times.push_back(crash);
            }
        }
        return times;
    }

    /// Time of the crash from which the bounds count: the fifth one under the part, or the last one if there are fewer.
    framework::Instant recognisedAt(const std::string &part) const
    {
        const std::vector<framework::Instant> times = crashesUnder(part);
        CHECK(!times.empty());
        return times[std::min(times.size(), CRASHES_TO_RECOGNISE) - 1];
    }

    /// True once sound requests have been sent for CHECKED_TIME after the time from which they must go on.
    bool hasSoundRequestsToCheck() const
    {
        const framework::Instant now = framework::monotonicNow();
        return std::ranges::all_of(crashingParts(), [&](const std::string &part) {
            return crashesUnder(part).empty() || now > recognisedAt(part) + 2 * CONTACT_BOUND + CHECKED_TIME;
        });
    }

    std::set<std::string> crashingParts() const
    {
        std::set<std::string> parts;
        for (const auto &[part, at] : arrivals) {
            parts.insert(part);
        }
        return parts;
    }

    void checkNoLongerForwarded() const
    {
        for (const std::string &part : crashingParts()) {
            const framework::Instant from = recognisedAt(part) + CONTACT_BOUND;
            const auto later = std::ranges::count_if(arrivals, [&](const auto &arrival) { return arrival.first == part && arrival.second > from; });
            CHECK_TRUE_TEXT(later <= MAX_FORWARDED_AFTER_CONTACT,
                            (part + " sent " + std::to_string(later) + " times more, " + std::to_string(fixture->crashes().size()) + " crashes").c_str());
        }
    }

    /// Sound requests must go on from twice the contact bound after the crash from which the bounds count.
    void checkSoundRequestsAnswered() const
    {
        framework::Instant from{0};
        for (const std::string &part : crashingParts()) {
            from = std::max(from, recognisedAt(part) + 2 * CONTACT_BOUND);
        }
        const auto isCounted = [from](const SoundRequest &request) { return request.sentAt > from; };
        const auto sent = std::ranges::count_if(sound, isCounted);
        const auto answered = std::ranges::count_if(sound, [&](const SoundRequest &request) { return isCounted(request) && request.answered; });
        CHECK(sent > 0);
        CHECK_TRUE_TEXT(answered == sent, (std::to_string(answered) + " of " + std::to_string(sent) + " sound requests answered").c_str());
    }
};

TEST(CrashingPromptPart, requestsWithTheSamePartAreRefusedByAllGateways)
{
    play({{"aa01:1,bad0:2"}, {"aa01:1,aa02:2"}});
    checkNoLongerForwarded();
    checkSoundRequestsAnswered();
}

TEST(CrashingPromptPart, crashingFirstPartIsRecognised)
{
    play({{"bad0:1,aa02:2"}, {"aa01:1,aa02:2"}});
    checkNoLongerForwarded();
    checkSoundRequestsAnswered();
}

TEST(CrashingPromptPart, isRecognisedIfTheFirstEventComesBeforeTheCrash)
{
    crashBehaviour = Behaviour::CrashAfterFirstEvent;
    play({{"aa01:1,bad0:2"}, {"aa01:1,aa02:2"}});
    checkNoLongerForwarded();
    checkSoundRequestsAnswered();
}

TEST(CrashingPromptPart, isRecognisedIfTheStreamEndsWithItsConnectionInsideAnEvent)
{
    crashBehaviour = Behaviour::CrashInsideUnframedEvent;
    play({{"aa01:1,bad0:2"}, {"aa01:1,aa02:2"}});
    checkNoLongerForwarded();
    checkSoundRequestsAnswered();
}

TEST(CrashingPromptPart, isRecognisedIfTheStreamEndsWithItsConnectionAfterAnEvent)
{
    crashBehaviour = Behaviour::CrashAfterUnframedEvent;
    play({{"aa01:1,bad0:2"}, {"aa01:1,aa02:2"}});
    checkNoLongerForwarded();
    checkSoundRequestsAnswered();
}

TEST(CrashingPromptPart, isRecognisedAtALowRate)
{
    play({{"aa01:1,bad0:2"}, {"aa01:1,aa02:2"}, milliseconds{1'500}, seconds{24}});
    checkNoLongerForwarded();
    checkSoundRequestsAnswered();
}

TEST(CrashingPromptPart, severalPartsAreRecognised)
{
    play({{"aa01:1,bad0:2", "aa01:1,bad1:2"}, {"aa01:1,aa02:2", "aa01:1,aa03:2"}, milliseconds{300}, seconds{16}});
    checkNoLongerForwarded();
    checkSoundRequestsAnswered();
}

TEST(CrashingPromptPart, soundPartsInTheSamePromptsAreServed)
{
    play({{"aa01:1,ee01:2,bad0:2"}, {"aa01:1,aa02:2", "aa01:1,ee01:2,aa03:3"}, milliseconds{300}, seconds{16}});
    checkNoLongerForwarded();
    checkSoundRequestsAnswered();
}

// Guards against a play that ends before the sound requests that it has to check: the time between two crashes grows with each.
TEST(CrashingPromptPart, soundRequestsAreCheckedIfTheCrashesComeLate)
{
    play({{"aa01:1,bad0:2"}, {"aa01:1,aa02:2"}, milliseconds{250}, seconds{14}, seconds{8}});
    checkNoLongerForwarded();
    checkSoundRequestsAnswered();
}

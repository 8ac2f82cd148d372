// Tests of the ramp of upstreams that have just started or recovered.

#include "dispatch/rampup.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace daisymount::dispatch;

namespace
{
constexpr Instant START{std::chrono::seconds{100}};
constexpr int SLOTS = 6;
constexpr int ENTRIES = 32;
constexpr milliseconds USUAL{30};

/// Plays entries that always have a request for one upstream, which takes USUAL for each, longer if it is beyond its slots.
/// Returns the most requests at once within each 100 ms.
std::vector<int> play(milliseconds answerTime, milliseconds length)
{
    struct Request
    {
        size_t entry;
        Instant sentAt;
        Instant endsAt;
    };
    std::vector<RampUp> entries(ENTRIES);
    std::vector<int> inFlight(ENTRIES);
    std::vector<Request> requests;
    for (size_t i = 0; i < entries.size(); ++i) {
        entries[i].begin({SLOTS, ENTRIES, USUAL}, i, START);
    }
    std::vector<int> most(static_cast<size_t>(length / milliseconds{100}));
    for (Instant now = START; now < START + length; now += milliseconds{5}) {
        for (const Request &request : requests) {
            if (request.endsAt <= now) {
                --inFlight[request.entry];
                entries[request.entry].onAnswer(request.endsAt - request.sentAt, now);
            }
        }
        std::erase_if(requests, [&](const Request &request) { return request.endsAt <= now; });
        for (size_t i = 0; i < entries.size(); ++i) {
            if (inFlight[i] == 0 && entries[i].allows(0, now)) {
                const auto crowding = std::max<int>(1, (static_cast<int>(requests.size()) + SLOTS) / SLOTS);
                requests.push_back({i, now, now + answerTime * crowding});
                ++inFlight[i];
            }
        }
        int &peak = most[static_cast<size_t>((now - START) / milliseconds{100})];
        peak = std::max(peak, static_cast<int>(requests.size()));
    }
    return most;
}
} // namespace

TEST_GROUP(RampUp)
{
    RampUp ramp;
};

/// Guards against the flood: without a ramp, 32 entries send 32 requests at once to an upstream of 6 slots.
TEST(RampUp, entriesTogetherBeginWithAPartOfTheSlots)
{
    const std::vector<int> most = play(USUAL, milliseconds{3'000});
    CHECK(most.front() <= SLOTS / 2);
    CHECK(most[2] <= SLOTS);
    CHECK(most.back() >= SLOTS);
}

TEST(RampUp, promptAnswersEndTheRampAfterAFewRequests)
{
    ramp.begin({SLOTS, 1, USUAL}, 0, START);
    int answers = 0;
    while (ramp.isActive() && answers < 10) {
        ramp.onAnswer(USUAL, START);
        ++answers;
    }
    LONGS_EQUAL(4, answers);
    CHECK(ramp.allows(100, START));
}

TEST(RampUp, slowAnswersAndFailuresNarrowTheWindowButNeverLockTheUpstreamOut)
{
    ramp.begin({SLOTS, 1, USUAL}, 0, START);
    ramp.onAnswer(USUAL, START);
    ramp.onAnswer(USUAL, START);
    LONGS_EQUAL(2, ramp.window(START));
    for (int i = 0; i < 5; ++i) {
        ramp.onAnswer(10 * USUAL, START);
    }
    LONGS_EQUAL(1, ramp.window(START));
    ramp.onFailure(START);
    CHECK_FALSE(ramp.allows(0, START));
    CHECK(ramp.allows(0, START + milliseconds{400}));
}

TEST(RampUp, anUpstreamThatNeverRampedIsNotLimited)
{
    CHECK(ramp.allows(1'000, START));
}

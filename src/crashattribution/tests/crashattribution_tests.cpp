// Tests of the core with a virtual clock, and a property test of many entries with lost, duplicated and reordered updates.

#include "crashattribution/crashattribution.h"

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using namespace daisymount::crashattribution;

namespace
{
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Fingerprint CRASHER = 1;
constexpr Fingerprint SOUND = 2;
constexpr milliseconds REQUEST_AGE{20};
/// Observations of this age are evaluated.
constexpr milliseconds SETTLE_TIME{1'000};

UpstreamIncarnation upstream(int number, int64_t born = 1)
{
    return {"u" + std::to_string(number), born};
}
} // namespace

TEST_GROUP(CrashAttribution)
{
    CrashAttribution core{{}};
    Instant now = seconds{1'000};

    void crash(std::vector<Fingerprint> inFlight, const UpstreamIncarnation &incarnation)
    {
        for (const Fingerprint fingerprint : inFlight) {
            core.onCrash(fingerprint, incarnation, now - REQUEST_AGE, now, now);
        }
        now += seconds{1};
    }

    void settle()
    {
        now += SETTLE_TIME;
        core.evaluate(now);
    }

    CrashStatus status(Fingerprint fingerprint) const
    {
        return core.status(fingerprint, now);
    }
};

TEST(CrashAttribution, requestInFlightAtThreeCrashesIsConvicted)
{
    crash({CRASHER}, upstream(1));
    CHECK(status(CRASHER) == CrashStatus::Clear);
    crash({CRASHER}, upstream(2));
    settle();
    CHECK(status(CRASHER) == CrashStatus::Suspect);
    crash({CRASHER}, upstream(3));
    settle();
    CHECK(status(CRASHER) == CrashStatus::Convicted);
    CHECK(core.remainingRejection(CRASHER, now) > minutes{9});
}

TEST(CrashAttribution, crashOfAnIncarnationCountsOnce)
{
    for (int i = 0; i < 5; ++i) {
        crash({CRASHER}, upstream(1));
    }
    settle();
    LONGS_EQUAL(1, core.crashes(CRASHER, now));
}

TEST(CrashAttribution, crashesOfSuccessiveIncarnationsOfOneUpstreamCount)
{
    for (int born = 1; born <= 3; ++born) {
        crash({CRASHER}, upstream(1, born));
    }
    settle();
    CHECK(status(CRASHER) == CrashStatus::Convicted);
}

TEST(CrashAttribution, simultaneousCrashesCountOnce)
{
    for (int i = 0; i < 10; ++i) {
        core.onCrash(SOUND, upstream(i), now - REQUEST_AGE, now + milliseconds{i}, now);
    }
    settle();
    LONGS_EQUAL(1, core.crashes(SOUND, now));
    CHECK(status(SOUND) == CrashStatus::Clear);
}

TEST(CrashAttribution, requestInFlightAtEachPowerLossIsNotConvicted)
{
    for (int round = 0; round < 6; ++round) {
        for (int i = 0; i < 4; ++i) {
            const Fingerprint fingerprint = 100 + static_cast<Fingerprint>(i);
            core.onCrash(fingerprint, upstream(i, round), now - REQUEST_AGE, now + milliseconds{i * 30}, now);
        }
        now += seconds{2};
        core.evaluate(now);
    }
    for (Fingerprint fingerprint = 100; fingerprint < 104; ++fingerprint) {
        CHECK(status(fingerprint) == CrashStatus::Clear);
    }
}

TEST(CrashAttribution, requestThatCrashesSeveralUpstreamsAtOnceIsConvicted)
{
    for (int round = 0; round < 3; ++round) {
        for (int i = 0; i < 4; ++i) {
            core.onCrash(CRASHER, upstream(i, round), now - REQUEST_AGE, now, now);
        }
        now += seconds{2};
        core.evaluate(now);
    }
    CHECK(status(CRASHER) == CrashStatus::Convicted);
}

TEST(CrashAttribution, crashesOfImmediateRetriesAreSuccessive)
{
    for (int i = 0; i < 3; ++i) {
        core.onCrash(CRASHER, upstream(i), now, now + milliseconds{2}, now);
        now += milliseconds{3};
    }
    LONGS_EQUAL(3, core.crashes(CRASHER, now));
}

TEST(CrashAttribution, retryCountsIfTheUpdateOnTheFirstCrashIsDelayed)
{
    constexpr milliseconds SLOWER{3};
    // The retry was sent right after the first crash and crashed the next upstream 2 ms later.
    core.merge({{{CRASHER, upstream(1), milliseconds{10}, milliseconds{2}}}, {}, {}}, now + SLOWER);
    core.merge({{{CRASHER, upstream(2), milliseconds{8}, milliseconds{2}}}, {}, {}}, now);
    LONGS_EQUAL(2, core.crashes(CRASHER, now + SLOWER));
}

TEST(CrashAttribution, responseVoidsEarlierObservations)
{
    crash({SOUND}, upstream(1));
    crash({SOUND}, upstream(2));
    CHECK_TRUE(core.onAnswered(SOUND, now));
    now += milliseconds{1};
    crash({SOUND}, upstream(3));
    settle();
    CHECK(status(SOUND) == CrashStatus::Clear);
    LONGS_EQUAL(1, core.crashes(SOUND, now));
}

TEST(CrashAttribution, responseAfterAConvictionVoidsIt)
{
    for (int i = 0; i < 3; ++i) {
        crash({SOUND}, upstream(i));
    }
    settle();
    CHECK(status(SOUND) == CrashStatus::Convicted);
    now += seconds{1};
    core.onAnswered(SOUND, now);
    CHECK(status(SOUND) == CrashStatus::Clear);
}

TEST(CrashAttribution, requestsInTheSameBatchesAreNotConvictedWithTheCause)
{
    crash({CRASHER, SOUND}, upstream(1));
    crash({CRASHER, SOUND}, upstream(2));
    crash({CRASHER, SOUND}, upstream(3));
    settle();
    // The evidence is the same for both requests so far.
    CHECK(status(CRASHER) != CrashStatus::Convicted);
    CHECK(status(SOUND) != CrashStatus::Convicted);
    crash({CRASHER}, upstream(4));
    settle();
    CHECK(status(CRASHER) == CrashStatus::Convicted);
    CHECK(status(SOUND) == CrashStatus::Clear);
    LONGS_EQUAL(0, core.crashes(SOUND, now));
}

TEST(CrashAttribution, twoRequestsInFlightAtTheSameFiveCrashesAreBothConvicted)
{
    for (int i = 0; i < 5; ++i) {
        crash({CRASHER, SOUND}, upstream(i));
    }
    settle();
    CHECK(status(CRASHER) == CrashStatus::Convicted);
    CHECK(status(SOUND) == CrashStatus::Convicted);
}

TEST(CrashAttribution, noConvictionBeforeTheSettleTime)
{
    for (int i = 0; i < 3; ++i) {
        crash({CRASHER}, upstream(i));
    }
    now -= seconds{1};
    core.evaluate(now);
    CHECK(status(CRASHER) == CrashStatus::Suspect);
}

TEST(CrashAttribution, observationsExpire)
{
    crash({CRASHER}, upstream(1));
    crash({CRASHER}, upstream(2));
    now += minutes{11};
    crash({CRASHER}, upstream(3));
    settle();
    LONGS_EQUAL(1, core.crashes(CRASHER, now));
    now += minutes{11};
    core.evaluate(now);
    LONGS_EQUAL(0, core.suspects());
}

TEST(CrashAttribution, convictionExpiresDespiteContinuedExchange)
{
    CrashAttribution other{{}};
    for (int i = 0; i < 3; ++i) {
        crash({CRASHER}, upstream(i));
    }
    settle();
    for (int round = 0; round < 900; ++round) {
        now += seconds{1};
        // With message delay the receiver computes a later time of the conviction.
        other.merge(core.nextUpdate(now), now + milliseconds{200});
        core.merge(other.nextUpdate(now), now + milliseconds{200});
        core.evaluate(now);
        other.evaluate(now);
    }
    CHECK(status(CRASHER) == CrashStatus::Clear);
    CHECK(other.status(CRASHER, now) == CrashStatus::Clear);
}

TEST(CrashAttribution, startedEntryReceivesConvictionsAndPendingEvidence)
{
    CrashAttribution started{{}};
    for (int i = 0; i < 3; ++i) {
        crash({CRASHER}, upstream(i));
    }
    crash({SOUND}, upstream(7));
    crash({SOUND}, upstream(8));
    now += minutes{1};
    core.evaluate(now);
    now += minutes{1};
    const Instant contact = now + seconds{3};
    for (; now < contact; now += milliseconds{300}) {
        // Six other entries send updates.
        for (int i = 0; i < 6; ++i) {
            started.merge(core.nextUpdate(now), now);
        }
    }
    CHECK(started.status(CRASHER, now) == CrashStatus::Convicted);
    CHECK(started.status(SOUND, now) == CrashStatus::Suspect);
}

TEST(CrashAttribution, oldInformationIsSentInFewRounds)
{
    for (int i = 0; i < 3; ++i) {
        crash({CRASHER}, upstream(i));
    }
    settle();
    now += minutes{1};
    int sent = 0;
    for (int round = 0; round < 1'000; ++round) {
        sent += core.nextUpdate(now).empty() ? 0 : 1;
    }
    CHECK(sent > 150);
    CHECK(sent < 400);
}

TEST(CrashAttribution, sizeOfStateAndUpdatesIsBounded)
{
    for (Fingerprint fingerprint = 100; fingerprint < 6'000; ++fingerprint) {
        core.onCrash(fingerprint, upstream(static_cast<int>(fingerprint)), now - REQUEST_AGE, now, now);
    }
    for (int i = 0; i < 20; ++i) {
        crash({CRASHER}, upstream(i));
    }
    CHECK(core.suspects() <= CrashAttributionOptions().maxSuspects);
    const CrashUpdate update = core.nextUpdate(now);
    CHECK(update.observations.size() <= CrashAttributionOptions().maxItemsPerUpdate);
    settle();
    CHECK(status(CRASHER) == CrashStatus::Convicted);
}

namespace
{
constexpr milliseconds ROUND_INTERVAL{300};
constexpr milliseconds CONTACT_BOUND{3'000};
constexpr double LOSS_PROBABILITY = 0.3;
constexpr double DUPLICATE_PROBABILITY = 0.2;
constexpr milliseconds TICK{100};
constexpr int MAX_DELAY_TICKS = 3;

/// Entries that observe crashes separately and send updates to some others each round. Updates are lost, duplicated, delayed and reordered.
class EntrySimulation
{
public:
    EntrySimulation(size_t entries, size_t fanout, uint64_t seed) : fanout_(fanout), random_(static_cast<unsigned>(seed))
    {
        for (size_t i = 0; i < entries; ++i) {
            entries_.emplace_back(CrashAttributionOptions{.seed = seed + i});
            startedAt_.emplace_back(0);
        }
    }

    /// The upstream crashes with these requests in flight, each sent by a random entry.
    void crash(const std::vector<Fingerprint> &inFlight, const UpstreamIncarnation &incarnation)
    {
        for (const Fingerprint fingerprint : inFlight) {
            anyEntry().onCrash(fingerprint, incarnation, now - REQUEST_AGE, now, now);
        }
    }

    void answer(Fingerprint fingerprint)
    {
        anyEntry().onAnswered(fingerprint, now);
    }

    void restartRandomEntry()
    {
        const size_t entry = random_() % entries_.size();
        entries_[entry] = CrashAttribution(CrashAttributionOptions{.seed = random_()});
        startedAt_[entry] = now;
    }

    void round()
    {
        for (CrashAttribution &entry : entries_) {
            const CrashUpdate update = entry.nextUpdate(now);
            for (size_t i = 0; i < fanout_ && !update.empty(); ++i) {
                const int copies = (chance(LOSS_PROBABILITY) ? 0 : 1) + (chance(DUPLICATE_PROBABILITY) ? 1 : 0);
                for (int copy = 0; copy < copies; ++copy) {
                    const Instant due = now + TICK * (random_() % (MAX_DELAY_TICKS + 1));
                    inTransit_.push_back({random_() % entries_.size(), due, update});
                }
            }
        }
        for (const Instant end = now + ROUND_INTERVAL; now < end; now += TICK) {
            deliver();
        }
        for (CrashAttribution &entry : entries_) {
            entry.evaluate(now);
        }
    }

    size_t convictedAt(Fingerprint fingerprint) const
    {
        return static_cast<size_t>(
            std::ranges::count_if(entries_, [&](const CrashAttribution &entry) { return entry.status(fingerprint, now) == CrashStatus::Convicted; }));
    }

    /// Number of entries that have been running for the contact bound and do not reject the request.
    size_t connectedNotConvicting(Fingerprint fingerprint) const
    {
        size_t found = 0;
        for (size_t i = 0; i < entries_.size(); ++i) {
            const bool connected = now - startedAt_[i] >= CONTACT_BOUND;
            found += connected && entries_[i].status(fingerprint, now) != CrashStatus::Convicted ? 1 : 0;
        }
        return found;
    }

    CrashAttribution &anyEntry()
    {
        return entries_[random_() % entries_.size()];
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < probability;
    }

    std::minstd_rand &random()
    {
        return random_;
    }

    Instant now = seconds{1'000};

private:
    void deliver()
    {
        std::ranges::shuffle(inTransit_, random_);
        for (const Message &message : inTransit_) {
            if (message.due <= now) {
                entries_[message.to].merge(message.update, now);
            }
        }
        std::erase_if(inTransit_, [this](const Message &message) { return message.due <= now; });
    }

    struct Message
    {
        size_t to = 0;
        Instant due{0};
        CrashUpdate update;
    };

    size_t fanout_;
    std::minstd_rand random_;
    std::vector<CrashAttribution> entries_;
    std::vector<Instant> startedAt_; ///< By entry.
    std::vector<Message> inTransit_;
};

/// One request causes three crashes with other requests in flight, one of which is in flight at two of them. All entries that have been
/// running for the contact bound must then convict the cause, and no entry may ever convict another request.
void checkConvictedWithinContact(size_t entries, size_t fanout, uint64_t seed)
{
    EntrySimulation simulation(entries, fanout, seed);
    Fingerprint next = 100;
    std::vector<Fingerprint> sound;
    Fingerprint companion = next++;
    for (int i = 0; i < 3; ++i) {
        std::vector<Fingerprint> inFlight{CRASHER, companion};
        for (int neighbour = 0; neighbour < 10; ++neighbour) {
            inFlight.push_back(next++);
        }
        simulation.crash(inFlight, upstream(i));
        sound.insert(sound.end(), inFlight.begin() + 1, inFlight.end());
        for (const Fingerprint fingerprint : inFlight) {
            if (fingerprint != CRASHER && fingerprint != companion && simulation.chance(0.7)) {
                simulation.answer(fingerprint);
            }
        }
        if (i == 1) {
            companion = next++;
        }
        for (size_t round = 0; round < 1 + simulation.random()() % 8; ++round) {
            simulation.round();
            if (!simulation.chance(0.3)) {
                continue;
            }
            // An unrelated crash of another upstream.
            simulation.crash({next, next + 1}, upstream(50 + static_cast<int>(next)));
            sound.insert(sound.end(), {next, next + 1});
            next += 2;
        }
        // Power loss with the same requests in flight each time.
        simulation.round();
        simulation.round();
        for (int lost = 0; lost < 5; ++lost) {
            simulation.crash({static_cast<Fingerprint>(10 + lost), static_cast<Fingerprint>(20 + lost)}, upstream(40 + lost, i));
            sound.insert(sound.end(), {static_cast<Fingerprint>(10 + lost), static_cast<Fingerprint>(20 + lost)});
        }
        simulation.round();
        simulation.round();
    }
    const Instant end = simulation.now + CONTACT_BOUND;
    while (simulation.now < end) {
        simulation.round();
        if (simulation.chance(0.1)) {
            simulation.restartRandomEntry();
        }
        for (const Fingerprint fingerprint : sound) {
            LONGS_EQUAL(0, simulation.convictedAt(fingerprint));
        }
    }
    LONGS_EQUAL(0, simulation.connectedNotConvicting(CRASHER));
    while (simulation.now < end + CONTACT_BOUND) {
        simulation.round();
    }
    LONGS_EQUAL(0, simulation.connectedNotConvicting(CRASHER));
}
} // namespace

TEST(CrashAttribution, sevenEntriesConvictOnlyTheCauseWithinTheContactBound)
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        checkConvictedWithinContact(7, 6, seed);
    }
}

TEST(CrashAttribution, largeDeploymentConvictsOnlyTheCauseWithinTheContactBound)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        checkConvictedWithinContact(149, 16, seed);
    }
}

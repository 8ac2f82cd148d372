// Tests of how a gateway keeps the operators' keys current.

#include "configsync/configcurrency.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace daisymount::configsync;

namespace
{
constexpr int64_t ERA = 3;
constexpr Instant START{std::chrono::seconds{100}};
constexpr milliseconds MAX_AGE{1'500};

KeyRevisions keys(int64_t config, int64_t zones = 1, uint32_t zonesDigest = 0)
{
    return {{{ERA, config}, config}, {ERA, zones}, zonesDigest};
}

KeySource source(const std::string &name, int64_t config, bool sameZone = true)
{
    return {name, sameZone, keys(config)};
}
} // namespace

TEST_GROUP(ConfigCurrency)
{
    ConfigCurrency currency{{.maxAge = MAX_AGE}};

    void setup() override
    {
        currency.onNewEra(ERA);
        currency.onApplied(keys(10, 1));
        currency.onKeysRead(50, START);
    }

    static Instant at(int ms)
    {
        return START + milliseconds{ms};
    }

    /// A peer tells of a configuration that this gateway does not have.
    void learnOfNewer(int ms)
    {
        currency.onPeerReport({keys(20, 1), ERA, 60, milliseconds{0}}, at(ms), at(ms));
    }
};

TEST(ConfigCurrency, nothingIsDoneWhileTheEvidenceIsFresh)
{
    CHECK(currency.next({}, at(900)).action == SyncAction::None);
    CHECK_FALSE(currency.isStale(at(1'400)));
    CHECK(currency.next({}, at(1'300)).action == SyncAction::AskStore);
    CHECK(currency.isStale(at(1'600)));
}

TEST(ConfigCurrency, thePeersOfTheZoneWithTheNewestKeysAreUsedInTurn)
{
    learnOfNewer(100);
    const std::vector<KeySource> sources{source("old", 15), source("a", 20), source("b", 20), source("far", 25, false)};
    int fromA = 0;
    for (int i = 0; i < 200; ++i) {
        const SyncStep step = currency.next(sources, at(200));
        CHECK(step.action == SyncAction::FetchFromPeer);
        CHECK(step.peer == "a" || step.peer == "b");
        fromA += step.peer == "a" ? 1 : 0;
    }
    CHECK(fromA > 60 && fromA < 140);
    currency.onFetchEnded("a", false, at(300));
    for (int i = 0; i < 20; ++i) {
        STRCMP_EQUAL("b", currency.next(sources, at(400)).peer.c_str());
    }
}

/// Guards against a gateway that fetches from a peer in vain for ever.
TEST(ConfigCurrency, theStoreIsAskedWhenPeersDoNotDeliverInTime)
{
    learnOfNewer(100);
    const std::vector<KeySource> sources{source("a", 20)};
    CHECK(currency.next(sources, at(200)).action == SyncAction::FetchFromPeer);
    currency.onFetchEnded("a", false, at(600));
    CHECK(currency.next(sources, at(610)).action == SyncAction::AskStore);
    CHECK(currency.next(sources, at(1'200)).action == SyncAction::AskStore);
    currency.onStoreAsked(false, at(620));
    CHECK(currency.next(sources, at(630)).action == SyncAction::None);
    CHECK(currency.next(sources, at(830)).action == SyncAction::AskStore);
    // Peers are used again while the store does not answer.
    currency.onStoreAsked(false, at(2'200));
    CHECK(currency.next(sources, at(2'210)).action == SyncAction::FetchFromPeer);
}

/// Guards against relying on peers for ever: this one always answers, but with old keys.
TEST(ConfigCurrency, theStoreIsAskedWhenAPeerAnswersWithoutNewerKeys)
{
    learnOfNewer(100);
    const std::vector<KeySource> sources{source("a", 20)};
    for (int ms = 200; ms < 1'100; ms += 50) {
        CHECK(currency.next(sources, at(ms)).action == SyncAction::FetchFromPeer);
    }
    CHECK(currency.next(sources, at(1'150)).action == SyncAction::AskStore);
    // The store has nothing newer, so the peer's word is void.
    currency.onChangesRead(0, 70, at(1'150));
    CHECK(currency.behindFor(at(1'200)) == Duration{0});
}

TEST(ConfigCurrency, evidenceOfPeersCountsOnlyIfTheirKeysAreNotNewer)
{
    CHECK_FALSE(currency.onPeerReport({keys(10, 1), ERA, 80, milliseconds{300}}, at(1'000), at(1'000)));
    CHECK(*currency.evidenceAge(at(1'000)) == milliseconds{300});
    LONGS_EQUAL(80, currency.confirmedRevision());
    CHECK(currency.onPeerReport({keys(20, 1), ERA, 90, milliseconds{0}}, at(1'200), at(1'200)));
    LONGS_EQUAL(80, currency.confirmedRevision());
    LONGS_EQUAL(0, currency.report(at(1'250)).confirmedRevision);
    CHECK(currency.behindFor(at(1'300)) == milliseconds{100});
    currency.onApplied(keys(20, 1));
    CHECK(currency.behindFor(at(1'300)) == Duration{0});
    LONGS_EQUAL(80, currency.report(at(1'300)).confirmedRevision);
}

/// Guards against the whole fleet fetching the keys again because one gateway has read them as a whole.
TEST(ConfigCurrency, aNewRevisionOfUnchangedZonesIsNothingNew)
{
    currency.onApplied(keys(10, 1, 5));
    CHECK_FALSE(currency.onPeerReport({keys(10, 30, 5), ERA, 90, milliseconds{0}}, at(500), at(500)));
    LONGS_EQUAL(90, currency.confirmedRevision());
    CHECK(currency.onPeerReport({keys(10, 40, 6), ERA, 95, milliseconds{0}}, at(600), at(600)));
    CHECK(currency.behindFor(at(700)) == milliseconds{100});
}

/// Guards against skipping a change that a watch has not told while the store was compacted.
TEST(ConfigCurrency, changesAreAskedForFromARevisionThatIsNotTooNew)
{
    for (int ms = 500; ms <= 4'500; ms += 500) {
        currency.onChangesRead(0, 60 + ms / 100, at(ms));
        LONGS_EQUAL(50, currency.confirmedRevision());
    }
    currency.onChangesRead(0, 120, at(5'600));
    LONGS_EQUAL(65, currency.confirmedRevision());
    currency.onChangesRead(130, 140, at(5'700));
    LONGS_EQUAL(130, currency.confirmedRevision());
    LONGS_EQUAL(130, currency.report(at(5'700)).confirmedRevision);
}

/// Guards against gateways that tell each other of a revision after which the store has no history, and never read the keys again.
TEST(ConfigCurrency, aRevisionWithoutHistoryIsNotTakenFromPeersAgain)
{
    currency.onHistoryGone();
    currency.onPeerReport({keys(10, 1), ERA, 50, milliseconds{0}}, at(1'000), at(1'000));
    LONGS_EQUAL(0, currency.confirmedRevision());
    CHECK(*currency.evidenceAge(at(1'000)) == milliseconds{1'000});
    currency.onPeerReport({keys(10, 1), ERA, 51, milliseconds{0}}, at(1'100), at(1'100));
    LONGS_EQUAL(51, currency.confirmedRevision());
}

TEST(ConfigCurrency, allKeysAreReadAgainWhenTheHistoryIsGone)
{
    currency.onHistoryGone();
    LONGS_EQUAL(0, currency.confirmedRevision());
    CHECK_FALSE(currency.isStale(at(1'000)));
}

/// Guards against keys that are held back or taken back because the store has come back from an older copy.
TEST(ConfigCurrency, versionsOrderConfigurationsOfDifferentEras)
{
    const ConfigRevision accepted{{ERA, 200}, 7};
    const ConfigRevision ofTheCopy{{ERA + 1, 20}, 6};
    const ConfigRevision writtenAgain{{ERA + 1, 30}, 7};
    const ConfigRevision next{{ERA + 1, 40}, 9};
    CHECK(isNewer(accepted, ofTheCopy));
    CHECK_FALSE(isNewer(ofTheCopy, accepted));
    // It may have other content if the operators have gone on from the copy.
    CHECK(isNewer(writtenAgain, accepted));
    CHECK_FALSE(isNewer(accepted, writtenAgain));
    CHECK(isNewer(next, accepted));
    CHECK(isNewer(writtenAgain, ofTheCopy));
}

/// Guards against a confirmed revision that the store no longer has, so that its changes are never asked for.
TEST(ConfigCurrency, aNewEraVoidsWhatWasConfirmed)
{
    currency.onChangesRead(130, 140, at(100));
    currency.onNewEra(ERA + 1);
    LONGS_EQUAL(0, currency.confirmedRevision());
    // A peer of the former era is no evidence, however recent its word.
    currency.onPeerReport({keys(10), ERA, 500, milliseconds{0}}, at(300), at(300));
    LONGS_EQUAL(0, currency.confirmedRevision());
    CHECK(*currency.evidenceAge(at(300)) == milliseconds{200});
    currency.onPeerReport({keys(10), ERA + 1, 60, milliseconds{0}}, at(400), at(400));
    LONGS_EQUAL(60, currency.confirmedRevision());
}

TEST(ConfigCurrency, aVersionThatAPeerOfTheFormerEraHasIsStillNewerThanThatOfTheCopy)
{
    currency.onNewEra(ERA + 1);
    currency.onApplied({{{ERA + 1, 20}, 9}, {ERA + 1, 20}, 0});
    currency.onKeysRead(20, at(100));
    CHECK(currency.onPeerReport({keys(10), ERA, 500, milliseconds{0}}, at(300), at(300)));
    const std::vector<KeySource> sources{source("peer", 10)};
    CHECK(currency.next(sources, at(350)).action == SyncAction::FetchFromPeer);
}

namespace
{
/// Gateways of which a few watch a store, with calls that fail for a time. Time is simulated.
class SimulatedFleet
{
public:
    explicit SimulatedFleet(uint64_t seed) : random_(seed)
    {
        const size_t count = 3 + random_() % 58;
        for (size_t i = 0; i < count; ++i) {
            ConfigCurrency currency({.maxAge = MAX_AGE, .seed = seed * 100 + i});
            currency.onNewEra(ERA);
            currency.onApplied(keys(1, 1));
            currency.onKeysRead(1, START);
            gateways_.push_back({std::move(currency), i < 3});
        }
    }

    /// Plays 20 s. Returns the longest time for which a gateway that reaches the store was behind the store.
    milliseconds play()
    {
        for (int ms = 0; ms < 20'000; ms += STEP_MS) {
            now_ = START + milliseconds{ms};
            if (random_() % 40 == 0) {
                config_ = ++storeRevision_;
                publishedAt_[config_] = now_;
            }
            if (ms % 1'000 == 0) {
                changeFaults();
            }
            for (Member &member : gateways_) {
                tick(member);
            }
        }
        return longestBehind_;
    }

private:
    static constexpr int STEP_MS = 50;
    static constexpr milliseconds HEARTBEAT_INTERVAL{300};
    static constexpr milliseconds WATCH_WAIT{500};

    struct Member
    {
        ConfigCurrency currency;
        bool watches = false;
        int64_t config = 1;
        bool servesPeers = true; ///< Answers when its keys are fetched.
        bool watchSilent = false; ///< Its watch gets no answer.
        Instant busyUntil{0}; ///< A call is under way.
        Instant nextHeartbeat{0};
        Instant nextWatch{0};
    };

    void changeFaults()
    {
        for (Member &member : gateways_) {
            member.servesPeers = random_() % 3 != 0;
            member.watchSilent = random_() % 2 == 0;
        }
    }

    void apply(Member &member, int64_t config)
    {
        member.config = std::max(member.config, config);
        member.currency.onApplied(keys(member.config));
    }

    void tick(Member &member)
    {
        if (member.watches && !member.watchSilent && now_ >= member.nextWatch) {
            apply(member, config_);
            member.currency.onKeysRead(storeRevision_, now_);
            member.nextWatch = now_ + WATCH_WAIT;
        }
        if (now_ >= member.nextHeartbeat) {
            member.nextHeartbeat = now_ + HEARTBEAT_INTERVAL;
            for (Member &other : gateways_) {
                if (&other != &member && random_() % 5 != 0) {
                    other.currency.onPeerReport(member.currency.report(now_), now_, now_);
                }
            }
        }
        if (now_ >= member.busyUntil) {
            act(member);
        }
        const auto newer = publishedAt_.upper_bound(member.config);
        if (newer != publishedAt_.end()) {
            longestBehind_ = std::max(longestBehind_, std::chrono::duration_cast<milliseconds>(now_ - newer->second));
        }
    }

    void act(Member &member)
    {
        std::vector<KeySource> sources;
        for (size_t i = 0; i < gateways_.size(); ++i) {
            if (gateways_[i].config > member.config) {
                sources.push_back({std::to_string(i), i % 3 == 0, keys(gateways_[i].config)});
            }
        }
        const SyncStep step = member.currency.next(sources, now_);
        if (step.action == SyncAction::AskStore) {
            apply(member, config_);
            member.currency.onKeysRead(storeRevision_, now_);
            member.currency.onStoreAsked(true, now_);
        } else if (step.action == SyncAction::FetchFromPeer) {
            const Member &peer = gateways_[std::stoul(step.peer)];
            if (peer.servesPeers) {
                apply(member, peer.config);
            } else {
                member.busyUntil = now_ + step.timeout;
            }
            member.currency.onFetchEnded(step.peer, peer.servesPeers, now_);
        }
    }

    std::mt19937_64 random_;
    std::vector<Member> gateways_;
    std::map<int64_t, Instant> publishedAt_; ///< By revision of the configuration.
    Instant now_ = START;
    int64_t storeRevision_ = 1;
    int64_t config_ = 1;
    milliseconds longestBehind_{0};
};
} // namespace

/// Guards against gateways that stay behind while watches are dead and peers are silent.
TEST(ConfigCurrency, noGatewayIsBehindForLongerThanTheBoundWhileItReachesTheStore)
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        const milliseconds behind = SimulatedFleet(seed).play();
        CHECK_TEXT(behind <= MAX_AGE, ("seed " + std::to_string(seed) + ": behind for " + std::to_string(behind.count()) + " ms").c_str());
    }
}

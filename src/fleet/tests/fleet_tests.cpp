// Tests of the fleet state of a gateway: revisions never decrease, and lapsed upstreams are kept for the grace period.

#include "fleet/fleetview.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace daisymount::fleet;

namespace
{
constexpr int64_t ERA = 3;

/// Decodes "version route-prefix service key".
std::optional<FleetConfig> decodeTestConfig(std::string_view value)
{
    if (value.empty()) {
        return std::nullopt;
    }
    FleetConfig config;
    config.version = value[0] - '0';
    Route wide;
    wide.name = "wide";
    wide.host = "a.example";
    wide.prefix = "/x/";
    Route narrow = wide;
    narrow.name = "narrow";
    narrow.prefix = "/x/y/";
    config.routes = {wide, narrow};
    config.organisations = {{"org", {std::string(value)}, std::nullopt}};
    return config;
}

/// Decodes "state", "state@address" or "state#sequence"; without an address each upstream gets a unique one, with a sequence an incarnation.
std::optional<Upstream> decodeTestUpstream(std::string_view id, std::string_view value)
{
    if (value == "bad") {
        return std::nullopt;
    }
    Upstream upstream;
    upstream.id = id;
    const size_t at = value.find('@');
    upstream.address = at == std::string_view::npos ? "10.0.0.1:" + std::string(id) : std::string(value.substr(at + 1));
    if (const size_t mark = value.find('#'); mark != std::string_view::npos) {
        upstream.bornMs = 1;
        upstream.sequence = std::stoll(std::string(value.substr(mark + 1)));
    }
    upstream.state = value.starts_with("draining") ? UpstreamState::Draining : UpstreamState::Ready;
    return upstream;
}
} // namespace

TEST_GROUP(FleetView)
{
    FleetView view{{decodeTestConfig, decodeTestUpstream}};
    Instant now{std::chrono::seconds{100}};

    void upstreams(StoreRevision revision, std::vector<StoredItem> items)
    {
        view.applyUpstreams({std::move(items), revision}, now);
    }
};

TEST(FleetView, olderConfigurationIsIgnored)
{
    CHECK(view.applyConfig({"c", "2", {ERA, 20}}));
    CHECK_FALSE(view.applyConfig({"c", "1", {ERA, 10}}));
    CHECK_FALSE(view.applyConfig({"c", "2", {ERA, 20}}));
    LONGS_EQUAL(2, view.config()->version);
    CHECK_FALSE(view.applyConfig({"c", "1", {ERA, 30}}));
    LONGS_EQUAL(2, view.config()->version);
    CHECK(view.applyConfig({"c", "3", {ERA, 40}}));
    LONGS_EQUAL(3, view.config()->version);
}

TEST(FleetView, invalidConfigurationDoesNotReplaceTheActiveOne)
{
    view.applyConfig({"c", "2", {ERA, 20}});
    CHECK_FALSE(view.applyConfig({"c", "", {ERA, 30}}));
    LONGS_EQUAL(2, view.config()->version);
}

TEST(FleetView, routeWithTheLongestPrefixIsSelected)
{
    view.applyConfig({"c", "1", {ERA, 10}});
    STRCMP_EQUAL("narrow", view.findRoute("a.example", "/x/y/z").route->name.c_str());
    STRCMP_EQUAL("wide", view.findRoute("a.example", "/x/z").route->name.c_str());
    CHECK(view.findRoute("a.example", "/xy").route == nullptr);
    CHECK(view.findRoute("b.example", "/x/y/z").route == nullptr);
}

TEST(FleetView, routeWithoutAWholePrefixMatchesNothing)
{
    FleetView other{{[](std::string_view) {
                         FleetConfig config;
                         Route route;
                         route.host = "a.example";
                         config.routes = {route};
                         config.routes.push_back(route);
                         config.routes.back().prefix = "/x";
                         return std::optional(config);
                     },
                     decodeTestUpstream}};
    CHECK(other.applyConfig({"c", "1", {ERA, 1}}));
    POINTERS_EQUAL(nullptr, other.findRoute("a.example", "/x/y").route);
}

TEST(FleetView, removedApiKeyIsUnknownAtOnce)
{
    view.applyConfig({"c", "1old", {ERA, 10}});
    CHECK(view.organisationOf("1old") != nullptr);
    view.applyConfig({"c", "2new", {ERA, 11}});
    CHECK(view.organisationOf("1old") == nullptr);
    CHECK(view.organisationOf("2new") != nullptr);
}

TEST(FleetView, missingUpstreamIsRemoved)
{
    upstreams({ERA, 10}, {{"u1", "ready", {ERA, 9}}, {"u2", "ready", {ERA, 9}}});
    upstreams({ERA, 11}, {{"u2", "ready", {ERA, 9}}});
    LONGS_EQUAL(1, view.upstreams().size());
    upstreams({ERA, 9}, {{"u1", "ready", {ERA, 9}}, {"u2", "ready", {ERA, 9}}});
    LONGS_EQUAL(1, view.upstreams().size());
}

TEST(FleetView, lapsedUpstreamsAreRemovedAfterTheGracePeriod)
{
    upstreams({ERA, 10}, {{"u1", "ready", {ERA, 9}}, {"u2", "ready", {ERA, 9}}});
    view.onStoreRegained(now);
    upstreams({ERA, 20}, {});
    LONGS_EQUAL(2, view.upstreams().size());
    now += milliseconds{1'500};
    upstreams({ERA, 21}, {{"u2", "ready", {ERA, 21}}});
    view.expire(now);
    LONGS_EQUAL(2, view.upstreams().size());
    now += milliseconds{1'000};
    view.expire(now);
    LONGS_EQUAL(1, view.upstreams().size());
    CHECK(view.upstreams().contains("u2"));
}

TEST(FleetView, drainingUpstreamHasNoGracePeriod)
{
    upstreams({ERA, 10}, {{"u1", "draining", {ERA, 9}}});
    view.onStoreRegained(now);
    upstreams({ERA, 20}, {});
    CHECK(view.upstreams().empty());
}

TEST(FleetView, undecodableRegistrationIsIgnored)
{
    upstreams({ERA, 10}, {{"u1", "ready", {ERA, 9}}, {"u2", "bad", {ERA, 9}}});
    LONGS_EQUAL(1, view.upstreams().size());
    upstreams({ERA, 11}, {{"u1", "bad", {ERA, 11}}});
    CHECK(view.upstreams().empty());
}

TEST(FleetView, malformedRegistrationIsReportedOnceAndHidesNoOther)
{
    int reported = 0;
    view.onMalformedUpstream = [&](const StoredItem &item) { reported += item.key == "odd" ? 1 : 100; };
    for (int64_t revision = 10; revision < 20; ++revision) {
        upstreams({ERA, revision}, {{"a", "ready", {ERA, 1}}, {"odd", "bad", {ERA, revision / 2}}, {"b", "ready", {ERA, 1}}});
        LONGS_EQUAL(2, view.upstreams().size());
    }
    LONGS_EQUAL(1, reported);
    upstreams({ERA, 20}, {{"odd", "ready", {ERA, 20}}});
    CHECK(view.upstreams().contains("odd"));
    upstreams({ERA, 21}, {{"odd", "bad", {ERA, 21}}});
    LONGS_EQUAL(2, reported);
    CHECK(view.upstreams().empty());
}

TEST(FleetView, newestRegistrationAtAnAddressIsKept)
{
    upstreams({ERA, 10}, {{"before", "ready@10.0.0.9:1", {ERA, 9}}, {"other", "ready@10.0.0.8:1", {ERA, 9}}});
    upstreams({ERA, 12}, {{"before", "ready@10.0.0.9:1", {ERA, 9}}, {"after", "ready@10.0.0.9:1", {ERA, 12}}, {"other", "ready@10.0.0.8:1", {ERA, 9}}});
    LONGS_EQUAL(2, view.upstreams().size());
    CHECK(view.upstreams().contains("after"));
    upstreams({ERA, 13}, {{"before", "ready@10.0.0.9:1", {ERA, 9}}, {"after", "ready@10.0.0.9:1", {ERA, 12}}, {"other", "ready@10.0.0.8:1", {ERA, 9}}});
    CHECK_FALSE(view.upstreams().contains("before"));
}

TEST(FleetView, lapsedRegistrationIsRemovedWhenItsAddressIsReused)
{
    upstreams({ERA, 10}, {{"before", "ready@10.0.0.9:1", {ERA, 9}}});
    view.onStoreRegained(now);
    upstreams({ERA, 20}, {{"after", "ready@10.0.0.9:1", {ERA, 20}}});
    LONGS_EQUAL(1, view.upstreams().size());
    CHECK(view.upstreams().contains("after"));
}

// Guards against a draining upstream that is ready again: of a list whose pages were read one after the other, some entries are newer than the list.
TEST(FleetView, entryOfANewerListDoesNotReplaceANewerEntry)
{
    upstreams({ERA, 10}, {{"early", "ready", {ERA, 9}}, {"leaving", "draining", {ERA, 15}}, {"added", "ready", {ERA, 16}}});
    upstreams({ERA, 12}, {{"early", "ready", {ERA, 9}}, {"leaving", "ready", {ERA, 8}}});
    CHECK(UpstreamState::Draining == view.upstreams().at("leaving").upstream.state);
    CHECK(view.upstreams().contains("added"));
    upstreams({ERA, 17}, {{"early", "ready", {ERA, 9}}});
    LONGS_EQUAL(1, view.upstreams().size());
}

// Guards against requests to an upstream that has said it leaves: the store may carry out an earlier registration of it late.
TEST(FleetView, lateRegistrationDoesNotBringADrainingUpstreamBack)
{
    int outdated = 0;
    view.onOutdatedUpstream = [&](const StoredItem &) { ++outdated; };
    upstreams({ERA, 10}, {{"u", "ready#4", {ERA, 9}}});
    upstreams({ERA, 12}, {{"u", "draining#5", {ERA, 12}}});
    for (int64_t revision = 14; revision < 17; ++revision) {
        upstreams({ERA, revision}, {{"u", "ready#2", {ERA, 14}}});
        CHECK(UpstreamState::Draining == view.upstreams().at("u").upstream.state);
    }
    LONGS_EQUAL(1, outdated);
    upstreams({ERA, 18}, {{"u", "ready#5", {ERA, 18}}});
    CHECK(UpstreamState::Draining == view.upstreams().at("u").upstream.state);
    upstreams({ERA, 20}, {{"u", "ready#6", {ERA, 20}}});
    CHECK(UpstreamState::Ready == view.upstreams().at("u").upstream.state);
}

TEST(FleetView, lateRegistrationDoesNotBringARemovedUpstreamBack)
{
    upstreams({ERA, 10}, {{"u", "draining#5", {ERA, 9}}});
    upstreams({ERA, 12}, {});
    upstreams({ERA, 14}, {{"u", "ready#2", {ERA, 14}}});
    CHECK(view.upstreams().empty());
    upstreams({ERA, 16}, {{"u", "ready#6", {ERA, 16}}});
    CHECK(view.upstreams().contains("u"));
}

TEST(FleetView, registrationAfterAStoreOutageCountsWithTheSameSequence)
{
    upstreams({ERA, 10}, {{"u", "ready#5", {ERA, 9}}});
    upstreams({ERA, 12}, {});
    upstreams({ERA, 14}, {{"u", "ready#5", {ERA, 14}}});
    CHECK(view.upstreams().contains("u"));
}

TEST(FleetView, olderZonesOutOfServiceAreIgnored)
{
    CHECK(view.applyZonesOut({"a"}, {ERA, 5}));
    CHECK_FALSE(view.applyZonesOut({}, {ERA, 4}));
    CHECK(view.zoneOut("a"));
    CHECK(view.applyZonesOut({}, {ERA, 6}));
    CHECK_FALSE(view.zoneOut("a"));
}

// Guards against upstreams that are never updated again after one has come back at its address under a new id: the lookup of the newest entry
// referred to an entry that had been removed, and threw or found nothing, depending on the length of the address. The address sanitizer reports
// such a reference for every length.
TEST(FleetView, newestOfSeveralUpstreamsAtOneAddressIsKeptInAnyOrderOfIdsAndRevisions)
{
    const std::vector<std::string> addresses{"10.0.0.9:80", "10.128.101.142:8080", "10.128.101.142:8080 of an address family with longer names"};
    std::vector<int64_t> revisions{1, 2, 3, 4};
    int64_t snapshotRevision = 100;
    do {
        for (const std::string &address : addresses) {
            std::vector<StoredItem> items{{"other", "ready@10.128.101.143:8080", {ERA, 1}}};
            std::string newest;
            for (size_t i = 0; i < revisions.size(); ++i) {
                items.push_back({"u" + std::to_string(i), "ready@" + address, {ERA, revisions[i]}});
                newest = revisions[i] == 4 ? items.back().key : newest;
            }
            FleetView fresh{{decodeTestConfig, decodeTestUpstream}};
            fresh.applyUpstreams({items, {ERA, ++snapshotRevision}}, now);
            LONGS_EQUAL(2, fresh.upstreams().size());
            CHECK(fresh.upstreams().contains(newest));
            CHECK(fresh.upstreams().contains("other"));
            // A later change reaches the view.
            items.back().value = "draining@" + address;
            items.back().revision = {ERA, 5};
            fresh.applyUpstreams({items, {ERA, ++snapshotRevision}}, now);
            CHECK(fresh.upstreams().contains(items.back().key));
            CHECK(UpstreamState::Draining == fresh.upstreams().at(items.back().key).upstream.state);
        }
    } while (std::ranges::next_permutation(revisions).found);
}

/// Guards against a version that is held back because its revision is lower than that of the lost one.
TEST(FleetView, aVersionOfANewEraIsAppliedAlthoughItsRevisionIsLower)
{
    view.applyConfig({"c", "2", {ERA, 200}});
    CHECK(view.applyConfig({"c", "3", {ERA + 1, 20}}));
    LONGS_EQUAL(3, view.config()->version);
    CHECK_FALSE(view.applyConfig({"c", "2", {ERA, 300}}));
    LONGS_EQUAL(3, view.config()->version);
}

/// Guards against a return to an older version because the store has come back from an older copy.
TEST(FleetView, anAcceptedVersionIsNotReplacedByTheOlderOneOfACopy)
{
    view.applyConfig({"c", "2", {ERA, 200}});
    CHECK_FALSE(view.applyConfig({"c", "1", {ERA + 1, 20}}));
    LONGS_EQUAL(2, view.config()->version);
    // Written again.
    CHECK(view.applyConfig({"c", "2", {ERA + 1, 30}}));
    CHECK(view.configRevision() == StoreRevision(ERA + 1, 30));
    CHECK_FALSE(view.applyConfig({"c", "2", {ERA, 400}}));
}

/// A gateway that has read the copy takes the lost version from a peer that still has it.
TEST(FleetView, aHigherVersionOfAnEarlierEraReplacesThatOfACopy)
{
    view.applyConfig({"c", "1", {ERA + 1, 20}});
    CHECK(view.applyConfig({"c", "2", {ERA, 200}}));
    LONGS_EQUAL(2, view.config()->version);
}

/// Guards against lists that are ignored because their revision is lower than those before the return of the store.
TEST(FleetView, aListOfANewEraReplacesThoseOfTheLastOne)
{
    upstreams({ERA, 200}, {{"u", "ready#4", {ERA, 190}}});
    view.onNewEra(ERA + 1, now, milliseconds{5'000});
    upstreams({ERA + 1, 20}, {{"u", "draining#5", {ERA + 1, 20}}});
    CHECK(UpstreamState::Draining == view.upstreams().at("u").upstream.state);
    upstreams({ERA, 300}, {{"u", "ready#4", {ERA, 190}}});
    CHECK(UpstreamState::Draining == view.upstreams().at("u").upstream.state);
}

/// Guards against an upstream that gets work again because the copy is older than its leaving.
TEST(FleetView, aLeavingThatTheCopyDoesNotHaveStaysInForce)
{
    upstreams({ERA, 100}, {{"u", "ready#4", {ERA, 90}}, {"gone", "ready#4", {ERA, 90}}});
    upstreams({ERA, 200}, {{"u", "draining#5", {ERA, 150}}});
    view.onNewEra(ERA + 1, now, milliseconds{5'000});
    upstreams({ERA + 1, 100}, {{"u", "ready#4", {ERA + 1, 90}}, {"gone", "ready#4", {ERA + 1, 90}}});
    CHECK(UpstreamState::Draining == view.upstreams().at("u").upstream.state);
    CHECK_FALSE(view.upstreams().contains("gone"));
}

/// Guards against an upstream that is never used again, because its removal was taken for final although it still renews its registration.
TEST(FleetView, aRegistrationThatACopyHasBroughtBackCountsOnceItOutlivesADeadOne)
{
    upstreams({ERA, 100}, {{"u", "ready#4", {ERA, 90}}});
    upstreams({ERA, 200}, {});
    view.onNewEra(ERA + 1, now, milliseconds{5'000});
    upstreams({ERA + 1, 100}, {{"u", "ready#4", {ERA + 1, 90}}});
    CHECK(view.upstreams().empty());
    now += FleetView::REGISTRATION_LIFETIME;
    view.expire(now);
    upstreams({ERA + 1, 130}, {{"u", "ready#4", {ERA + 1, 90}}});
    CHECK(view.upstreams().contains("u"));
}

TEST(FleetView, anUpstreamThatTheCopyDoesNotHaveIsKeptUntilItMayBeBack)
{
    upstreams({ERA, 200}, {{"u", "ready#4", {ERA, 190}}});
    view.onNewEra(ERA + 1, now, milliseconds{5'000});
    upstreams({ERA + 1, 20}, {});
    CHECK(view.upstreams().contains("u"));
    now += FleetView::LAPSED_GRACE;
    CHECK(view.expire(now));
    CHECK(view.upstreams().empty());
    upstreams({ERA + 1, 30}, {{"u", "ready#9", {ERA + 1, 25}}});
    CHECK(view.upstreams().contains("u"));
}

/// Guards against an upstream that is displaced by the one that had its address before, which only the copy has.
TEST(FleetView, anOlderRegistrationAtAnAddressThatACopyBringsBackDisplacesNone)
{
    const FleetDecoder decoder{decodeTestConfig, [](std::string_view id, std::string_view value) {
                                   std::optional<Upstream> upstream = decodeTestUpstream(id, value);
                                   upstream->address = "10.0.0.9:80";
                                   return upstream;
                               }};
    FleetView shared{decoder};
    shared.applyUpstreams({{{"dead", "ready#4", {ERA, 90}}}, {ERA, 100}}, now);
    shared.applyUpstreams({{{"dead", "ready#4", {ERA, 90}}, {"alive", "ready#1", {ERA, 180}}}, {ERA, 200}}, now);
    CHECK(shared.upstreams().contains("alive"));
    shared.onNewEra(ERA + 1, now, milliseconds{5'000});
    shared.applyUpstreams({{{"dead", "ready#4", {ERA + 1, 90}}}, {ERA + 1, 100}}, now);
    CHECK(shared.upstreams().contains("alive"));
    CHECK_FALSE(shared.upstreams().contains("dead"));
}

TEST(FleetView, zonesOutOfServiceAreRetainedForALimitedTime)
{
    view.applyZonesOut({"a"}, {ERA, 100});
    view.onNewEra(ERA + 1, now, milliseconds{5'000});
    view.applyZonesOut({}, {ERA + 1, 20});
    CHECK(view.zoneOut("a"));
    CHECK(view.storedZonesOut().empty());
    now += milliseconds{4'999};
    view.expire(now);
    CHECK(view.zoneOut("a"));
    now += milliseconds{1};
    CHECK(view.expire(now));
    CHECK_FALSE(view.zoneOut("a"));
}

// Guards against requests to an upstream that leaves: the store came back from a copy with the registration of its former incarnation, which was ready.
TEST(FleetView, copyOfAFormerIncarnationDoesNotMakeALeavingUpstreamReady)
{
    const auto decode = [](std::string_view id, std::string_view value) {
        Upstream upstream = *decodeTestUpstream(id, value);
        upstream.bornMs = upstream.sequence;
        return std::optional(upstream);
    };
    FleetView other{{decodeTestConfig, decode}};
    other.applyUpstreams({{{"u1", "ready#1", {ERA, 9}}}, {ERA, 10}}, now);
    other.applyUpstreams({{{"u1", "ready#2", {ERA, 11}}}, {ERA, 11}}, now);
    other.applyUpstreams({{{"u1", "draining#2", {ERA, 12}}}, {ERA, 12}}, now);
    other.onNewEra(ERA + 1, now, std::chrono::seconds{13});
    other.applyUpstreams({{{"u1", "ready#1", {ERA + 1, 9}}}, {ERA + 1, 10}}, now);
    CHECK(other.upstreams().at("u1").upstream.state == UpstreamState::Draining);
}

/// Guards against an upstream that counts as missing although the list has it, since the copy has an older registration of it.
TEST(FleetView, anUpstreamWithAnOlderRegistrationInTheCopyIsNotMissing)
{
    upstreams({ERA, 200}, {{"u", "ready#5", {ERA, 190}}});
    view.onNewEra(ERA + 1, now, milliseconds{5'000});
    upstreams({ERA + 1, 10}, {});
    upstreams({ERA + 1, 20}, {{"u", "ready#4", {ERA + 1, 15}}});
    now += FleetView::LAPSED_GRACE;
    view.expire(now);
    CHECK(view.upstreams().contains("u"));
}

/// Guards against requests to an upstream that is removed just after the return of the store, as if it had been lost with it.
TEST(FleetView, anUpstreamThatTheNewEraHasListedIsGoneOnceItIsRemoved)
{
    upstreams({ERA, 200}, {{"u", "ready#4", {ERA, 190}}, {"lost", "ready#4", {ERA, 195}}});
    view.onNewEra(ERA + 1, now, milliseconds{5'000});
    upstreams({ERA + 1, 20}, {{"u", "ready#4", {ERA + 1, 15}}});
    upstreams({ERA + 1, 21}, {});
    CHECK_FALSE(view.upstreams().contains("u"));
    CHECK(view.upstreams().contains("lost"));
}

/// Guards against a line of the log for each list, while the registration of another upstream at the same address is newer.
TEST(FleetView, theLeavingOfAnUpstreamIsToldOnce)
{
    int told = 0;
    const FleetDecoder decoder{decodeTestConfig, [](std::string_view id, std::string_view value) {
                                   std::optional<Upstream> upstream = decodeTestUpstream(id, value);
                                   upstream->address = "10.0.0.9:80";
                                   return upstream;
                               }};
    FleetView shared{decoder};
    shared.onUpstreamLeaving = [&](const KnownUpstream &) { ++told; };
    for (int64_t revision = 100; revision < 105; ++revision) {
        shared.applyUpstreams({{{"leaving", "draining#2", {ERA, 90}}, {"next", "ready#1", {ERA, 95}}}, {ERA, revision}}, now);
    }
    LONGS_EQUAL(1, told);
}

// Tests of the fleet state of a gateway: revisions never decrease, and lapsed upstreams are kept for the grace period.

#include "fleet/fleetview.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace daisymount::fleet;

namespace
{
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

    void upstreams(int64_t revision, std::vector<StoredItem> items)
    {
        view.applyUpstreams({std::move(items), revision}, now);
    }
};

TEST(FleetView, olderConfigurationIsIgnored)
{
    CHECK(view.applyConfig({"c", "2", 20}));
    CHECK_FALSE(view.applyConfig({"c", "1", 10}));
    CHECK_FALSE(view.applyConfig({"c", "2", 20}));
    LONGS_EQUAL(2, view.config()->version);
    CHECK_FALSE(view.applyConfig({"c", "1", 30}));
    LONGS_EQUAL(2, view.config()->version);
    CHECK(view.applyConfig({"c", "3", 40}));
    LONGS_EQUAL(3, view.config()->version);
}

TEST(FleetView, invalidConfigurationDoesNotReplaceTheActiveOne)
{
    view.applyConfig({"c", "2", 20});
    CHECK_FALSE(view.applyConfig({"c", "", 30}));
    LONGS_EQUAL(2, view.config()->version);
}

TEST(FleetView, routeWithTheLongestPrefixIsSelected)
{
    view.applyConfig({"c", "1", 10});
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
    CHECK(other.applyConfig({"c", "1", 1}));
    POINTERS_EQUAL(nullptr, other.findRoute("a.example", "/x/y").route);
}

TEST(FleetView, removedApiKeyIsUnknownAtOnce)
{
    view.applyConfig({"c", "1old", 10});
    CHECK(view.organisationOf("1old") != nullptr);
    view.applyConfig({"c", "2new", 11});
    CHECK(view.organisationOf("1old") == nullptr);
    CHECK(view.organisationOf("2new") != nullptr);
}

TEST(FleetView, missingUpstreamIsRemoved)
{
    upstreams(10, {{"u1", "ready", 9}, {"u2", "ready", 9}});
    upstreams(11, {{"u2", "ready", 9}});
    LONGS_EQUAL(1, view.upstreams().size());
    upstreams(9, {{"u1", "ready", 9}, {"u2", "ready", 9}});
    LONGS_EQUAL(1, view.upstreams().size());
}

TEST(FleetView, lapsedUpstreamsAreRemovedAfterTheGracePeriod)
{
    upstreams(10, {{"u1", "ready", 9}, {"u2", "ready", 9}});
    view.onStoreRegained(now);
    upstreams(20, {});
    LONGS_EQUAL(2, view.upstreams().size());
    now += milliseconds{1'500};
    upstreams(21, {{"u2", "ready", 21}});
    view.expire(now);
    LONGS_EQUAL(2, view.upstreams().size());
    now += milliseconds{1'000};
    view.expire(now);
    LONGS_EQUAL(1, view.upstreams().size());
    CHECK(view.upstreams().contains("u2"));
}

TEST(FleetView, drainingUpstreamHasNoGracePeriod)
{
    upstreams(10, {{"u1", "draining", 9}});
    view.onStoreRegained(now);
    upstreams(20, {});
    CHECK(view.upstreams().empty());
}

TEST(FleetView, undecodableRegistrationIsIgnored)
{
    upstreams(10, {{"u1", "ready", 9}, {"u2", "bad", 9}});
    LONGS_EQUAL(1, view.upstreams().size());
    upstreams(11, {{"u1", "bad", 11}});
    CHECK(view.upstreams().empty());
}

TEST(FleetView, malformedRegistrationIsReportedOnceAndHidesNoOther)
{
    int reported = 0;
    view.onMalformedUpstream = [&](const StoredItem &item) { reported += item.key == "odd" ? 1 : 100; };
    for (int64_t revision = 10; revision < 20; ++revision) {
        upstreams(revision, {{"a", "ready", 1}, {"odd", "bad", revision / 2}, {"b", "ready", 1}});
        LONGS_EQUAL(2, view.upstreams().size());
    }
    LONGS_EQUAL(1, reported);
    upstreams(20, {{"odd", "ready", 20}});
    CHECK(view.upstreams().contains("odd"));
    upstreams(21, {{"odd", "bad", 21}});
    LONGS_EQUAL(2, reported);
    CHECK(view.upstreams().empty());
}

TEST(FleetView, newestRegistrationAtAnAddressIsKept)
{
    upstreams(10, {{"before", "ready@10.0.0.9:1", 9}, {"other", "ready@10.0.0.8:1", 9}});
    upstreams(12, {{"before", "ready@10.0.0.9:1", 9}, {"after", "ready@10.0.0.9:1", 12}, {"other", "ready@10.0.0.8:1", 9}});
    LONGS_EQUAL(2, view.upstreams().size());
    CHECK(view.upstreams().contains("after"));
    upstreams(13, {{"before", "ready@10.0.0.9:1", 9}, {"after", "ready@10.0.0.9:1", 12}, {"other", "ready@10.0.0.8:1", 9}});
    CHECK_FALSE(view.upstreams().contains("before"));
}

TEST(FleetView, lapsedRegistrationIsRemovedWhenItsAddressIsReused)
{
    upstreams(10, {{"before", "ready@10.0.0.9:1", 9}});
    view.onStoreRegained(now);
    upstreams(20, {{"after", "ready@10.0.0.9:1", 20}});
    LONGS_EQUAL(1, view.upstreams().size());
    CHECK(view.upstreams().contains("after"));
}

// Guards against a draining upstream that is ready again: of a list whose pages were read one after the other, some entries are newer than the list.
TEST(FleetView, entryOfANewerListDoesNotReplaceANewerEntry)
{
    upstreams(10, {{"early", "ready", 9}, {"leaving", "draining", 15}, {"added", "ready", 16}});
    upstreams(12, {{"early", "ready", 9}, {"leaving", "ready", 8}});
    CHECK(UpstreamState::Draining == view.upstreams().at("leaving").upstream.state);
    CHECK(view.upstreams().contains("added"));
    upstreams(17, {{"early", "ready", 9}});
    LONGS_EQUAL(1, view.upstreams().size());
}

// Guards against requests to an upstream that has said it leaves: the store may carry out an earlier registration of it late.
TEST(FleetView, lateRegistrationDoesNotBringADrainingUpstreamBack)
{
    int outdated = 0;
    view.onOutdatedUpstream = [&](const StoredItem &) { ++outdated; };
    upstreams(10, {{"u", "ready#4", 9}});
    upstreams(12, {{"u", "draining#5", 12}});
    for (int64_t revision = 14; revision < 17; ++revision) {
        upstreams(revision, {{"u", "ready#2", 14}});
        CHECK(UpstreamState::Draining == view.upstreams().at("u").upstream.state);
    }
    LONGS_EQUAL(1, outdated);
    upstreams(18, {{"u", "ready#5", 18}});
    CHECK(UpstreamState::Draining == view.upstreams().at("u").upstream.state);
    upstreams(20, {{"u", "ready#6", 20}});
    CHECK(UpstreamState::Ready == view.upstreams().at("u").upstream.state);
}

TEST(FleetView, lateRegistrationDoesNotBringARemovedUpstreamBack)
{
    upstreams(10, {{"u", "draining#5", 9}});
    upstreams(12, {});
    upstreams(14, {{"u", "ready#2", 14}});
    CHECK(view.upstreams().empty());
    upstreams(16, {{"u", "ready#6", 16}});
    CHECK(view.upstreams().contains("u"));
}

TEST(FleetView, registrationAfterAStoreOutageCountsWithTheSameSequence)
{
    upstreams(10, {{"u", "ready#5", 9}});
    upstreams(12, {});
    upstreams(14, {{"u", "ready#5", 14}});
    CHECK(view.upstreams().contains("u"));
}

TEST(FleetView, olderZonesOutOfServiceAreIgnored)
{
    CHECK(view.applyZonesOut({"a"}, 5));
    CHECK_FALSE(view.applyZonesOut({}, 4));
    CHECK(view.zoneOut("a"));
    CHECK(view.applyZonesOut({}, 6));
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
            std::vector<StoredItem> items{{"other", "ready@10.128.101.143:8080", 1}};
            std::string newest;
            for (size_t i = 0; i < revisions.size(); ++i) {
                items.push_back({"u" + std::to_string(i), "ready@" + address, revisions[i]});
                newest = revisions[i] == 4 ? items.back().key : newest;
            }
            FleetView fresh{{decodeTestConfig, decodeTestUpstream}};
            fresh.applyUpstreams({items, ++snapshotRevision}, now);
            LONGS_EQUAL(2, fresh.upstreams().size());
            CHECK(fresh.upstreams().contains(newest));
            CHECK(fresh.upstreams().contains("other"));
            // A later change reaches the view.
            items.back().value = "draining@" + address;
            items.back().revision = 5;
            fresh.applyUpstreams({items, ++snapshotRevision}, now);
            CHECK(fresh.upstreams().contains(items.back().key));
            CHECK(UpstreamState::Draining == fresh.upstreams().at(items.back().key).upstream.state);
        }
    } while (std::ranges::next_permutation(revisions).found);
}

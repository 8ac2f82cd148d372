// Tests of the order of sets and changes of zones out of service, alone and against a model that knows every write.

#include "fleet/zonesoutofservice.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <random>
#include <vector>

using namespace daisymount::fleet;

namespace
{
constexpr int64_t ERA = 3;
const std::array<std::string, 4> ZONES{"a", "b", "c", "d"};

/// One write of the operator.
struct Write
{
    std::string zone;
    bool outOfService = false;
    int64_t revision = 0;
};

/// The operator's writes, and what is known of them at any revision.
class OperatorModel
{
public:
    void write(std::mt19937 &random)
    {
        revision_ += 1 + static_cast<int64_t>(random() % 3);
        const std::string &zone = ZONES.at(random() % ZONES.size());
        writes_.push_back({zone, !zonesAt(revision_).contains(zone), revision_});
    }

    std::set<std::string> zonesAt(int64_t revision) const
    {
        std::set<std::string> zones;
        for (const Write &write : writes_) {
            if (write.revision <= revision && write.outOfService) {
                zones.insert(write.zone);
            } else if (write.revision <= revision) {
                zones.erase(write.zone);
            }
        }
        return zones;
    }

    const std::vector<Write> &writes() const
    {
        return writes_;
    }

    int64_t revision() const
    {
        return revision_;
    }

private:
    std::vector<Write> writes_;
    int64_t revision_ = 1;
};
} // namespace

TEST_GROUP(ZonesOutOfService)
{
    ZonesOutOfService zones;
};

TEST(ZonesOutOfService, laterSetReplacesEarlierOne)
{
    CHECK(zones.applySet({"a"}, {ERA, 5}));
    CHECK(zones.applySet({"b"}, {ERA, 6}));
    CHECK_FALSE(zones.contains("a"));
    CHECK(zones.contains("b"));
    CHECK(zones.revision() == StoreRevision(ERA, 6));
}

// Guards against a zone that is used again although nobody has taken it back: a read that was answered late cleared what newer news had told.
TEST(ZonesOutOfService, lateReadDoesNotTakeBackAZoneThatWasEmptiedAfterIt)
{
    zones.applySet({"b"}, {ERA, 101});
    CHECK_FALSE(zones.applySet({}, {ERA, 100}));
    zones.applyChange("a", true, {ERA, 105});
    CHECK(zones.zones() == (std::set<std::string>{"a", "b"}));
    CHECK(zones.revision() == StoreRevision(ERA, 105));
}

TEST(ZonesOutOfService, lateChangeDoesNotUndoALaterOne)
{
    zones.applySet({}, {ERA, 100});
    CHECK(zones.applyChange("a", true, {ERA, 101}));
    CHECK(zones.applyChange("a", false, {ERA, 103}));
    CHECK_FALSE(zones.applyChange("a", true, {ERA, 101}));
    CHECK_FALSE(zones.contains("a"));
}

TEST(ZonesOutOfService, changesOfOneTransactionAreAllApplied)
{
    zones.applySet({"a"}, {ERA, 100});
    CHECK(zones.applyChange("a", false, {ERA, 101}));
    CHECK(zones.applyChange("b", true, {ERA, 101}));
    CHECK(zones.zones() == (std::set<std::string>{"b"}));
}

TEST(ZonesOutOfService, setKeepsZonesThatChangedAfterIt)
{
    zones.applySet({"c"}, {ERA, 100});
    zones.applyChange("a", true, {ERA, 110});
    zones.applyChange("c", false, {ERA, 111});
    CHECK(zones.applySet({"b", "c"}, {ERA, 105}));
    CHECK(zones.zones() == (std::set<std::string>{"a", "b"}));
}

// Answers of reads, watches and peers arrive in any order, late and more than once.
TEST(ZonesOutOfService, everyZoneHasTheLatestStateThatWasTold)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        OperatorModel model;
        ZonesOutOfService told;
        std::map<std::string, int64_t, std::less<>> knownAt; // Latest revision at which news of the zone was delivered.
        for (int step = 0; step < 60; ++step) {
            if (random() % 2 == 0) {
                model.write(random);
            }
            const int64_t asOf = static_cast<int64_t>(random() % static_cast<unsigned>(model.revision() + 1));
            if (model.writes().empty() || random() % 3 == 0) {
                told.applySet(model.zonesAt(asOf), {ERA, asOf});
                for (const std::string &zone : ZONES) {
                    knownAt[zone] = std::max(knownAt[zone], asOf);
                }
            } else {
                const Write &write = model.writes().at(random() % model.writes().size());
                told.applyChange(write.zone, write.outOfService, {ERA, write.revision});
                knownAt[write.zone] = std::max(knownAt[write.zone], write.revision);
            }
            for (const std::string &zone : ZONES) {
                CHECK_EQUAL(model.zonesAt(knownAt[zone]).contains(zone), told.contains(zone));
            }
        }
    }
}

TEST(ZonesOutOfService, aSetOfANewEraCountsAlthoughItsRevisionIsLower)
{
    zones.applySet({"a"}, {ERA, 100});
    zones.applyChange("b", true, {ERA, 110});
    CHECK(zones.applySet({"c"}, {ERA + 1, 20}));
    CHECK(zones.zones() == (std::set<std::string>{"c"}));
    CHECK(zones.applyChange("c", false, {ERA + 1, 21}));
    CHECK_FALSE(zones.applySet({"a"}, {ERA, 120}));
    CHECK(zones.zones().empty());
}

// Guards against a zone that is used again, or kept out for ever, after the store has come back without its evacuation.
TEST(ZonesOutOfService, aRetainedZoneIsOutUntilItChangesOrItsRetentionEnds)
{
    zones.applySet({"a", "b"}, {ERA, 100});
    zones.retain(zones.zones());
    CHECK_FALSE(zones.applySet({}, {ERA + 1, 20}));
    CHECK(zones.retained() == (std::set<std::string>{"a", "b"}));
    CHECK_FALSE(zones.applyChange("a", true, {ERA + 1, 21}));
    CHECK(zones.applyChange("a", false, {ERA + 1, 22}));
    CHECK_FALSE(zones.contains("a"));
    CHECK(zones.contains("b"));
    CHECK(zones.endRetention());
    CHECK(zones.zones().empty());
}

TEST(ZonesOutOfService, aRetainedZoneThatASetHasIsNoLongerRetained)
{
    zones.retain({"a"});
    zones.applySet({"a"}, {ERA, 20});
    CHECK(zones.retained().empty());
    CHECK_FALSE(zones.endRetention());
    CHECK(zones.contains("a"));
}

// Guards against a zone that is used too early: a peer that has not heard of the new era told the set of the former one.
TEST(ZonesOutOfService, lateSetOfAFormerEraDoesNotEndTheRetention)
{
    zones.applySet({"a"}, {ERA, 100});
    zones.onNewEra(ERA + 1);
    zones.applySet({"a", "b"}, {ERA, 101});
    CHECK(zones.retained() == (std::set<std::string>{"a", "b"}));
    CHECK_FALSE(zones.applySet({}, {ERA + 1, 20}));
    CHECK(zones.contains("a"));
    CHECK(zones.contains("b"));
    CHECK(zones.endRetention());
    CHECK(zones.zones().empty());
}

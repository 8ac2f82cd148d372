// Tests of the membership library: nodes joined by a scripted link under virtual time.

#include "membership/configagent.h"
#include "membership/gossip.h"
#include "membership/packetcodec.h"
#include "store/fakeplatformstore.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <memory>
#include <random>
#include <set>

using namespace daisymount;
using framework::Instant;
using framework::milliseconds;
using framework::seconds;
using membership::ConfigAgent;
using membership::Gossip;
using membership::Member;
using membership::MemberState;
using membership::Packet;

namespace
{
/// A few nodes that gossip over a link which may drop packets or be cut.
class GossipWorld
{
public:
    struct Node
    {
        std::unique_ptr<Gossip> gossip;
        std::shared_ptr<ConfigAgent> agent;
        std::vector<int64_t> applied;
    };

    explicit GossipWorld(int count)
    {
        for (int i = 0; i < count; ++i) {
            add("n" + std::to_string(i), 1);
        }
    }

    void add(const std::string &name, uint64_t incarnation)
    {
        membership::GossipOptions options;
        options.self = {name, "entry", "a", name, incarnation, MemberState::Alive};
        options.seeds = {"n0", "n1"};
        options.seed = std::hash<std::string>()(name) + incarnation;
        Node &node = nodes[name];
        membership::GossipHooks hooks;
        hooks.send = [this, name](std::string_view address, const Packet &packet) {
            bytes += framework::writeJson(membership::toJson(packet)).size();
            queue.push_back({name, std::string(address), packet});
        };
        hooks.recordChanged = [&node](const membership::Record &record) {
            if (node.agent && record.key == ConfigAgent::CONFIG_RECORD) {
                node.agent->onRecord(record);
            }
        };
        node.gossip = std::make_unique<Gossip>(options, hooks);
        membership::ConfigAgentHooks agentHooks;
        agentHooks.fetch = [this, name](std::string_view member) { fetch(name, std::string(member)); };
        agentHooks.applied = [&node](const membership::VersionedConfig &config) { node.applied.push_back(config.revision); };
        agentHooks.rejected = [](int64_t, const std::string &) {};
        node.agent = std::make_shared<ConfigAgent>(name, store, *node.gossip, agentHooks);
    }

    void fetch(const std::string &to, const std::string &from)
    {
        if (down.count(from) != 0 || nodes.count(from) == 0) {
            return;
        }
        const auto &source = nodes[from].agent;
        nodes[to].agent->onOffered(source->current().revision, source->encoded());
    }

    void advance(framework::Duration time)
    {
        const Instant end = now + time;
        while (now < end) {
            now += milliseconds{50};
            store.step();
            for (auto &[name, node] : nodes) {
                if (down.count(name) == 0) {
                    node.gossip->tick(now);
                    node.agent->tick(now);
                }
            }
            deliver();
        }
    }

    void deliver()
    {
        for (size_t handled = 0; !queue.empty() && handled < 100'000; ++handled) {
            const Sent sent = queue.front();
            queue.pop_front();
            const bool lost = std::uniform_real_distribution<>(0, 1)(random) < lossShare;
            if (lost || down.count(sent.from) != 0 || down.count(sent.to) != 0 || nodes.count(sent.to) == 0) {
                continue;
            }
            nodes[sent.to].gossip->onPacket(sent.packet, now);
        }
    }

    int64_t putConfig(const std::string &site)
    {
        const config::StoredConfig stored{site, "", {site}, "site = \"" + site + "\"\n"};
        int64_t revision = 0;
        store.compareAndSwap(config::CONFIG_KEY, store.peek(config::CONFIG_KEY).revision, config::encodeStored(stored),
                             [&](const framework::Ret &, int64_t at) { revision = at; });
        store.step();
        return revision;
    }

    struct Sent
    {
        std::string from;
        std::string to;
        Packet packet;
    };

    Instant now = seconds{100};
    store::FakePlatformStore store;
    std::map<std::string, Node> nodes;
    std::deque<Sent> queue;
    std::set<std::string> down;
    std::mt19937_64 random{4};
    double lossShare = 0.0;
    size_t bytes = 0;
};

std::string configText(const std::string &site)
{
    return config::encodeStored({site, "", {site}, "site = \"" + site + "\"\n"});
}
} // namespace

TEST_GROUP(Gossip)
{
    GossipWorld world{12};

    size_t knownWith(const std::string &name, MemberState state)
    {
        size_t count = 0;
        for (const auto &[other, node] : world.nodes) {
            const auto found = node.gossip->members().find(name);
            const bool self = other == name || world.down.count(other) != 0;
            count += !self && found != node.gossip->members().end() && found->second.state == state ? 1 : 0;
        }
        return count;
    }
};

TEST(Gossip, allNodesComeToKnowEachOtherThroughSeeds)
{
    world.advance(seconds{5});
    for (const auto &[name, node] : world.nodes) {
        LONGS_EQUAL_TEXT(12, node.gossip->members().size(), name.c_str());
    }
}

TEST(Gossip, aDeadNodeIsFoundAndARestartedOneComesBack)
{
    world.advance(seconds{5});
    world.down.insert("n5");
    world.advance(seconds{10});
    LONGS_EQUAL(11, knownWith("n5", MemberState::Dead));
    world.down.clear();
    world.add("n5", 2);
    world.advance(seconds{5});
    LONGS_EQUAL(11, knownWith("n5", MemberState::Alive));
}

TEST(Gossip, lostPacketsDoNotKillLiveNodes)
{
    world.advance(seconds{5});
    world.lossShare = 0.2;
    world.advance(seconds{30});
    size_t dead = 0;
    for (const auto &[name, node] : world.nodes) {
        dead += knownWith(name, MemberState::Dead);
    }
    LONGS_EQUAL(0, dead);
}

TEST(Gossip, aPausedNodeThatWasDeclaredDeadRefutesIt)
{
    world.advance(seconds{5});
    world.down.insert("n5");
    world.advance(seconds{10});
    world.down.clear();
    world.advance(seconds{15});
    LONGS_EQUAL(11, knownWith("n5", MemberState::Alive));
}

TEST(Gossip, urgentRecordsReachAllNodesWithinTwoSecondsDespiteLoss)
{
    world.advance(seconds{5});
    world.lossShare = 0.2;
    world.nodes["n3"].gossip->publish("convicted/7", 1, "x", true, world.now);
    world.advance(seconds{2});
    for (const auto &[name, node] : world.nodes) {
        CHECK_TEXT(node.gossip->record("convicted/7").has_value(), name.c_str());
    }
}

TEST(Gossip, anOldVersionNeverReplacesANewOne)
{
    world.advance(seconds{5});
    world.nodes["n3"].gossip->publish("k/a", 5, "new", false, world.now);
    world.advance(seconds{5});
    world.nodes["n4"].gossip->publish("k/a", 4, "old", true, world.now);
    world.advance(seconds{5});
    for (const auto &[name, node] : world.nodes) {
        STRCMP_EQUAL("new", node.gossip->record("k/a")->value.c_str());
    }
}

TEST(Gossip, bothSidesOfAHealedPartitionCatchUp)
{
    world.advance(seconds{5});
    world.lossShare = 1.0;
    world.nodes["n3"].gossip->publish("k/a", 5, "x", true, world.now);
    world.advance(seconds{3});
    world.lossShare = 0.0;
    world.advance(seconds{15});
    for (const auto &[name, node] : world.nodes) {
        CHECK_TEXT(node.gossip->record("k/a").has_value(), name.c_str());
    }
}

TEST(Gossip, aLeavingNodeIsKnownAsLeavingAtOnce)
{
    world.advance(seconds{5});
    world.nodes["n5"].gossip->leave(world.now);
    world.advance(seconds{1});
    LONGS_EQUAL(11, knownWith("n5", MemberState::Leaving));
}

TEST(Gossip, aQuietFleetSpendsUnderFiveKilobytesASecondPerNode)
{
    world.advance(seconds{20});
    world.bytes = 0;
    world.advance(seconds{10});
    CHECK(world.bytes / 12 / 10 < 5'000);
}

TEST(Gossip, packetsSurviveARoundTripAndDamagedOnesAreErrors)
{
    Packet packet;
    packet.type = membership::PacketType::PingRequest;
    packet.from = "n1";
    packet.target = "n2";
    packet.sequence = UINT64_MAX;
    packet.urgent = true;
    packet.bucket = 3;
    packet.members.push_back({"n1", "entry", "a", "127.0.0.1:1", 9, MemberState::Suspect});
    packet.records.push_back({"k", -4, "v"});
    const Json::Value encoded = membership::toJson(packet);
    Packet decoded;
    const auto decode = [&](const Json::Value &value) {
        return framework::evaluate([&]() -> framework::Result<void> {
            BOOST_LEAF_ASSIGN(decoded, membership::packetFromJson(value));
            return {};
        });
    };
    CHECK(static_cast<bool>(decode(encoded)));
    CHECK(decoded.sequence == packet.sequence && decoded.urgent && decoded.bucket == 3 && decoded.target == "n2");
    LONGS_EQUAL(-4, decoded.records.front().version);
    Json::Value damaged = encoded;
    damaged["m"][0][5] = 99;
    CHECK(!decode(damaged));
    damaged = encoded;
    damaged["t"] = "ping";
    CHECK(!decode(damaged));
}

TEST_GROUP(ConfigAgent)
{
    GossipWorld world{8};

    void expectAll(int64_t revision)
    {
        for (const auto &[name, node] : world.nodes) {
            if (world.down.count(name) == 0) {
                LONGS_EQUAL_TEXT(revision, node.agent->current().revision, name.c_str());
            }
        }
    }
};

TEST(ConfigAgent, allNodesHaveAChangeWithinTwoSecondsAndFewOfThemAskTheStore)
{
    world.advance(seconds{5});
    world.putConfig("one");
    world.advance(seconds{2});
    const uint64_t reads = world.store.counters().reads;
    const int64_t revision = world.putConfig("two");
    world.advance(seconds{2});
    expectAll(revision);
    // Two watchers per zone answer and watch again; the other nodes ask a member.
    CHECK(world.store.counters().reads - reads <= 4);
}

TEST(ConfigAgent, aNodeStartedDuringAStoreOutageTakesThePeersRevision)
{
    world.advance(seconds{3});
    const int64_t revision = world.putConfig("one");
    world.advance(seconds{3});
    world.store.faults().down = true;
    world.add("n9", 1);
    world.advance(seconds{5});
    expectAll(revision);
}

TEST(ConfigAgent, aNodeThatMissedChangesCatchesUpAndNeverGoesBack)
{
    world.advance(seconds{3});
    const int64_t first = world.putConfig("one");
    world.advance(seconds{3});
    world.down.insert("n4");
    const int64_t second = world.putConfig("two");
    world.advance(seconds{10});
    world.down.clear();
    world.advance(seconds{20});
    expectAll(second);
    world.nodes["n4"].agent->onOffered(first, configText("one"));
    LONGS_EQUAL(second, world.nodes["n4"].agent->current().revision);
    for (const auto &[name, node] : world.nodes) {
        CHECK(std::is_sorted(node.applied.begin(), node.applied.end()));
    }
}

TEST(ConfigAgent, anInvalidStoredValueIsNotAppliedAndTheNextValidOneIs)
{
    world.advance(seconds{3});
    const int64_t good = world.putConfig("one");
    world.advance(seconds{3});
    world.store.compareAndSwap(config::CONFIG_KEY, good, "garbage", [](const framework::Ret &, int64_t) {});
    world.advance(seconds{3});
    expectAll(good);
    const int64_t next = world.putConfig("three");
    world.advance(seconds{3});
    expectAll(next);
}

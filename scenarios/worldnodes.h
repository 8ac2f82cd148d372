// Parts of the scenario world: processes, their ports, and what stands behind sidecars.

#pragma once

#include "world.h"

namespace daisymount::scenarios
{

using attempts::AttemptEvent;
using attempts::AttemptId;

/// Collects the last events of all nodes.
class World::Trace : public framework::IEventLog
{
public:
    Trace(World &world, std::string node) : world_(world), node_(std::move(node))
    { }

    void report(const framework::Event &event) override
    {
        std::string line = node_ + " " + std::string(event.component) + "." + std::string(event.name) + " code=" + std::to_string(static_cast<int>(event.code));
        line += event.request.empty() ? "" : " request=" + event.request;
        world_.record(line);
    }

private:
    World &world_;
    std::string node_;
};

/// One process's way to the platform's store: closed while the process is isolated, silent once it has ended.
class World::NodeStore : public store::IPlatformStore
{
public:
    NodeStore(World &world, std::string name) : world_(world), name_(std::move(name))
    { }

    void read(std::string_view key, store::ReadHandler handler) override
    {
        target().read(key, guard(std::move(handler)));
    }

    void compareAndSwap(std::string_view key, int64_t expected, std::string value, store::WriteHandler handler) override
    {
        target().compareAndSwap(key, expected, std::move(value), [alive = alive_, handler = std::move(handler)](const framework::Ret &ret, int64_t revision) {
            if (*alive) {
                handler(ret, revision);
            }
        });
    }

    void watch(std::string_view key, int64_t known, store::ReadHandler handler) override
    {
        target().watch(key, known, guard(std::move(handler)));
    }

    void close()
    {
        *alive_ = false;
    }

private:
    store::FakePlatformStore &target()
    {
        return world_.isolated_.count(name_) != 0 ? world_.unreachableStore_ : world_.store_;
    }

    store::ReadHandler guard(store::ReadHandler handler) const
    {
        return [alive = alive_, handler = std::move(handler)](const framework::Ret &ret, const store::VersionedValue &value) {
            if (*alive) {
                handler(ret, value);
            }
        };
    }

    World &world_;
    std::string name_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Engine or plain service behind a sidecar.
struct World::Engine
{
    struct Work
    {
        attempts::AttemptRequest request;
        int64_t next = 0;
        int64_t total = 0;
        Instant nextAt{0};
    };

    std::string name;
    bool plain = false;
    uint64_t incarnation = 1;
    int64_t completed = 0;
    Instant downUntil{0};
    Instant stalledUntil{0};
    std::map<AttemptId, Work> work;
};

struct World::Node
{
    std::string name;
    std::unique_ptr<Trace> log;
    std::unique_ptr<NodeStore> store;
    std::unique_ptr<node::ControlPlane> plane;

    Node() = default;
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    ~Node()
    {
        store->close();
    }
};

class World::SidecarPorts : public sidecar::IEngineLink, public sidecar::IAttemptReplies
{
public:
    SidecarPorts(World &world, std::string name) : world_(world), name_(std::move(name))
    { }

    void start(const attempts::AttemptRequest &request) override;
    void cancel(AttemptId attempt) override;
    void probe() override;
    void send(AttemptId attempt, const AttemptEvent &event) override;

    std::map<AttemptId, std::string> entryOf; ///< Entry that waits for each attempt.

private:
    World &world_;
    std::string name_;
};

struct World::SidecarNode : public World::Node
{
    std::unique_ptr<SidecarPorts> ports;
    std::unique_ptr<sidecar::SidecarCore> core;
    Instant nextProbeAt{0};
};

class World::EntryTransport : public entry::IAttemptTransport, public entry::ICallerSink
{
public:
    EntryTransport(World &world, std::string name) : world_(world), name_(std::move(name))
    { }

    void send(std::string_view address, const attempts::AttemptRequest &request) override;
    void cancel(AttemptId attempt) override;
    void revoke(std::string_view address, std::string_view key, uint64_t addressedTo, RevokeHandler handler) override;
    void onToken(std::string_view request, int64_t offset, std::string_view text) override;
    void onReply(std::string_view request, const entry::CallerReply &reply) override;

    std::string nodeAt(std::string_view address) const;

    std::map<AttemptId, std::string> sidecarOf; ///< Attempts in flight.

private:
    World &world_;
    std::string name_;
};

struct World::EntryNode : public World::Node
{
    std::unique_ptr<EntryTransport> transport;
    std::unique_ptr<entry::EntryControl> control;
    std::unique_ptr<routing::Router> router;
    std::unique_ptr<claims::ClaimsRegistry> claims;
    std::unique_ptr<entry::EntryCore> core;
    std::set<std::string> requests; ///< Ids of requests received.
};

} // namespace daisymount::scenarios

// A whole site under virtual time: entries, sidecars, engines, plain services, the platform's store and the links between them.
// The cores are those of the daemon; everything outside them is a small fake.

#pragma once

#include "claims/claimsregistry.h"
#include "config/configloader.h"
#include "entry/entrycontrol.h"
#include "entry/entrycore.h"
#include "node/controlplane.h"
#include "promises/promiseledger.h"
#include "routing/router.h"
#include "sidecar/sidecarcore.h"
#include "store/fakeplatformstore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace daisymount::scenarios
{

using framework::Duration;
using framework::Instant;

struct SiteOptions
{
    int entries = 3;
    int models = 6;
    int orders = 2;
    uint64_t seed = 1;
};

/// What a caller saw of one request.
struct CallerView
{
    bool replied = false;
    entry::CallerReply reply;
    std::string streamed;
    Instant sentAt{0};
    Instant firstTokenAt{0};
    Instant repliedAt{0};
};

struct RequestOptions
{
    std::string entry; ///< Receives the request.
    std::string service = "model";
    std::string key; ///< Idempotency key.
    std::string body;
    bool stream = false;
    int64_t tokens = 8;
    Duration deadline{0};
};

/// Counters that scenarios ask for.
struct WorldCounters
{
    int64_t executions = 0;
    int64_t crashes = 0;
    int64_t answered = 0;
    int64_t refused = 0;
};

class World
{
public:
    explicit World(const SiteOptions &options);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    void advance(Duration time);

    /// Returns the request's id.
    std::string send(const RequestOptions &request);
    void hangUp(const std::string &request);
    const CallerView &view(const std::string &request) const;

    // Processes: "entry-1", "model-1", "orders-1" are sidecars and entries; engines have the name of their sidecar.
    void kill(const std::string &process);
    void start(const std::string &process);
    void pause(const std::string &process);
    void wake(const std::string &process);
    void drain(const std::string &process);
    void crashEngine(const std::string &upstream);
    void coolEngine(const std::string &upstream);
    void stallEngine(const std::string &upstream, Duration time);

    // Links.
    void cut(const std::string &left, const std::string &right);
    void isolate(const std::string &process);
    void heal();
    void setLoss(double share);
    void setDuplication(double share);
    void setDelay(Duration delay);

    // Platform and operators.
    store::FakePlatformStore &store();
    /// Edits the configuration in the store; returns false when it was not accepted.
    bool operate(const std::string &section, const std::string &name, bool out);
    void announceLeaving(const std::string &vm, bool leaving);

    promises::PromiseLedger &ledger();
    const WorldCounters &counters() const;
    Instant now() const;
    /// Nodes that are up and not paused.
    std::vector<std::string> runningNodes() const;
    int64_t revisionOf(const std::string &node) const;
    int64_t lateStarts(const std::string &zone) const;
    int64_t inFlightOf(const std::string &upstream) const;
    int64_t limitOf(const std::string &upstream) const;
    std::string zoneOf(const std::string &process) const;
    /// Last events, newest last.
    const std::deque<std::string> &recentEvents() const;

private:
    struct Node;
    struct EntryNode;
    struct SidecarNode;
    struct Engine;
    class EntryTransport;
    class SidecarPorts;
    class Trace;
    class NodeStore;

    void tickOnce();
    void post(const std::string &from, const std::string &to, bool reliable, std::function<void()> deliver);
    void datagram(const std::string &from, const std::string &address, std::function<void()> deliver);
    void deliverDue();
    bool isCut(const std::string &left, const std::string &right) const;
    bool isUp(const std::string &process) const;
    void startEntry(const std::string &name);
    void startSidecar(const std::string &name);
    node::ControlPlaneHooks planeHooks(const std::string &name);
    void onRecord(const std::string &node, const membership::Record &record);
    void checkCold(const std::string &upstream);
    void breakAttemptsTo(const std::string &sidecar);
    void dropAttemptsOf(const std::string &entry);
    void record(const std::string &event);
    int64_t unixMs() const;

    struct Message
    {
        std::string from;
        std::string to;
        bool reliable;
        std::function<void()> deliver;
    };

    SiteOptions options_;
    Instant now_{0};
    std::mt19937_64 random_;
    promises::PromiseLedger ledger_;
    WorldCounters counters_;
    store::FakePlatformStore store_;
    store::FakePlatformStore unreachableStore_;
    config::Config config_;
    std::map<std::string, std::unique_ptr<EntryNode>> entries_;
    std::map<std::string, std::unique_ptr<SidecarNode>> sidecars_;
    std::map<std::string, std::unique_ptr<Engine>> engines_;
    std::map<std::string, CallerView> views_;
    std::multimap<Instant, Message> inFlight_;
    std::vector<Message> stuck_; ///< Reliable messages that wait for a cut to heal or a process to wake.
    std::set<std::string> paused_;
    std::set<std::string> down_;
    std::set<std::string> isolated_;
    std::set<std::pair<std::string, std::string>> cuts_;
    double loss_ = 0.0;
    double duplication_ = 0.0;
    Duration delay_{500};
    uint64_t lastRequest_ = 0;
    uint32_t lastIncarnation_ = 0;
    int64_t lastChange_ = 0;
    Instant nextWatchEnd_{0};
    std::deque<std::string> recent_;
};

} // namespace daisymount::scenarios

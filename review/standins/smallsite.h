// A small deployment: three gateways, a group of twelve runners with an agent beside each, runners of a plain service, and clients.

#pragma once

#include "engines.h"
#include "nodes.h"

#include <iostream>

namespace review
{

inline constexpr int GATEWAYS = 3;
inline constexpr int RANKS = 12;
inline constexpr int RECORD_RUNNERS = 4;
inline constexpr int RECORD_CLIENTS = 7; ///< For each gateway.
inline constexpr int STREAM_CLIENTS = 8 * RANKS; ///< Of 12 slots a rank. The traffic of the sheet keeps about as many under way.

inline const char *const CONFIG = R"({"version":7,"routes":[
{"name":"r-draft","host":"a.example","prefix":"/draft/","kind":"stream","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"model",
 "max_attempts":2,"public":false,"sticky_sessions":true,"resumable":true,"gap_aim_ms":120},
{"name":"r-record","host":"a.example","prefix":"/record/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"logbook",
 "max_attempts":1,"public":false}],
"services":[{"name":"model","health_path":"/healthz","max_connections":408,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":36.0,
 "engine":{"slots":12,"kv_capacity":372000,"kv_token_bytes":96256,"link_mbps":180000.0,"stride":5,"models":[{"name":"m"}],"step_ms":5.85,
 "per_seq_ms":0.355,"context_per_k":0.036,"read_per_s":61200.0,"pairs_per_m":0.325,"chunk":512,"report_lag_ms":0.0,"loads_per_s":0.0,
 "loads_at_once":8,"delays":[],"usual":{"prompt":835,"answer":138},"sets":4,"experts":72,"placements":8,"spares":3,"expert_mb":780.0,
 "expert_share":0.85,"form_ms":600.0}},
{"name":"logbook","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["key1"],"priority":1}]})";

inline std::atomic<bool> finished{false};

inline std::string requestId(const std::string &kind)
{
    static std::atomic<int> count{0};
    return kind + std::to_string(++count);
}

struct World
{
    explicit World(Record &recordFile) : record(recordFile)
    { }
    ~World()
    {
        gateways.clear();
        agents.clear();
        if (!site.folder.empty()) {
            std::filesystem::remove_all(site.folder);
        }
    }
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    Record &record;
    Arrivals arrivals;
    Store *store = nullptr;
    Group *group = nullptr;
    Site site;
    std::vector<std::unique_ptr<Node>> gateways;
    std::vector<std::unique_ptr<Node>> agents;
    std::vector<std::unique_ptr<std::atomic<int>>> lost; ///< By gateway.
    std::atomic<int> answered{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> threads;
};

/// Sends one request after the other to one gateway and keeps the connection.
inline void recordClient(World &world, size_t index)
{
    Node &gateway = *world.gateways[index];
    while (!finished) {
        std::unique_ptr<Socket> socket = gateway.running() && !gateway.signalled() ? connectTo(gateway.front()) : nullptr;
        for (int sent = 0; socket && !finished && !gateway.signalled(); ++sent) {
            const std::string id = requestId("record");
            const std::string request = "POST /record/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key1\r\nContent-Length: 5\r\n\r\nhello";
            Message answer;
            const ReadResult result = socket->write(request) ? socket->read(answer, 3000) : ReadResult::Nothing;
            if (result == ReadResult::Complete) {
                ++(answer.status() == 200 ? world.answered : world.failed);
                if (strcasecmp(answer.field("Connection").c_str(), "close") == 0) {
                    break;
                }
                continue;
            }
            ++world.failed;
            const double now = seconds();
            const std::vector<std::string> runners = world.arrivals.of(id);
            const bool counts = result == ReadResult::Nothing && sent > 0 && !runners.empty() && gateway.inTouch(now);
            *world.lost[index] += counts ? 1 : 0;
            world.record.line(id + " on a connection to " + gateway.name() + " that was used " + std::to_string(sent) + " times, "
                              + (runners.empty() ? "not passed on" : "passed on to " + runners.front()) + ": the connection ends without an answer"
                              + (counts                     ? " (LOST)"
                                     : gateway.inTouch(now) ? ""
                                                            : " (not in touch)"));
            break;
        }
        sleepMs(100);
    }
}

/// A stream of at most @p tokens. The client states them.
inline std::string draftRequest(const std::string &id, int tokens, std::mt19937 &random)
{
    return "POST /draft/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id + "\r\nX-Model: m\r\nX-Token-Usage: 900," + std::to_string(tokens)
        + "\r\nX-Prompt-Prefix: " + std::to_string(1000 + random() % 8000) + ":40," + std::to_string(100000 + random() % 800000)
        + ":860\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer key1\r\nContent-Length: 2\r\n\r\nhi";
}

/// Sends streams, each on a new connection to a random gateway.
inline void streamClient(World &world, unsigned seed)
{
    std::mt19937 random(seed);
    while (!finished) {
        Node &gateway = *world.gateways[random() % world.gateways.size()];
        std::unique_ptr<Socket> socket = gateway.running() && !gateway.signalled() ? connectTo(gateway.front()) : nullptr;
        if (!socket) {
            sleepMs(20);
            continue;
        }
        const std::string id = requestId("draft");
        const std::string request = draftRequest(id, 50 + static_cast<int>(random() % 100), random);
        Message answer;
        const ReadResult result = socket->write(request) ? socket->read(answer, 8000) : ReadResult::Nothing;
        ++(result == ReadResult::Complete && answer.status() == 200 ? world.answered : world.failed);
        sleepMs(result == ReadResult::Complete ? 10 : 300);
    }
}

/// Restarts what has ended by itself, as the platform does.
inline void supervise(std::vector<std::unique_ptr<Node>> &nodes)
{
    while (!finished) {
        for (const std::unique_ptr<Node> &node : nodes) {
            if (node->ended() && !node->signalled() && !finished) {
                sleepMs(500);
                node->start();
            }
        }
        sleepMs(20);
    }
}

/// Starts all programs and stand-ins. Returns false if that fails. Without @p withRecordRunners the script brings runners of its own.
inline bool startSite(World &world, bool withRecordRunners = true)
{
    Site &site = world.site;
    site.network = freeNetwork();
    site.folder = temporaryFolder();
    std::vector<std::string> ips;
    for (int i = 1; i <= RANKS; ++i) {
        ips.push_back(site.network + std::to_string(i));
    }
    for (int i = 0; i < GATEWAYS; ++i) {
        site.seeds.push_back(site.network + std::to_string(101 + i));
        ips.push_back(site.seeds.back());
    }
    for (int *port : {&site.peerPort, &site.frontPort, &site.readyPort, &site.directoryPort, &site.controlPort}) {
        *port = freePort(ips);
    }
    // Stand-ins and their threads live until the process exits.
    Store &store = *(world.store = new Store(site.network + "200"));
    site.store = store.address();
    GroupLayout layout;
    Group &group = *(world.group = new Group(layout, site.network, world.arrivals, world.record));
    store.put("op/config", CONFIG);
    const std::vector<std::string> zones{"a", "b", "c"};
    for (int i = 0; i < RANKS; ++i) {
        store.put("servers/" + group.id(i), group.registration(i, "model", zones[static_cast<size_t>(i) % 3]));
    }
    for (int i = 0; withRecordRunners && i < RECORD_RUNNERS; ++i) {
        const std::string id = "i-record" + std::to_string(i);
        const auto *runner = new PlainRunner(site.network + std::to_string(50 + i), id, 250, 6, world.arrivals);
        store.put("servers/" + id,
                  R"({"service":"logbook","address":")" + runner->address() + R"(","zone":")" + zones[static_cast<size_t>(i) % 3]
                      + R"(","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":0,"born":1700000000000})");
    }
    for (int i = 0; i < GATEWAYS; ++i) {
        world.gateways.push_back(std::make_unique<Node>(site, world.record, "front-" + zones[static_cast<size_t>(i)] + "-1", site.seeds[static_cast<size_t>(i)],
                                                        zones[static_cast<size_t>(i)]));
    }
    for (int i = 0; i < RANKS; ++i) {
        world.agents.push_back(std::make_unique<Node>(site, world.record, "side-" + std::to_string(i + 1), site.network + std::to_string(i + 1),
                                                      zones[static_cast<size_t>(i) % 3], group.address(i)));
    }
    for (auto *nodes : {&world.agents, &world.gateways}) {
        for (const std::unique_ptr<Node> &node : *nodes) {
            if (!node->start()) {
                return false;
            }
        }
    }
    for (const std::string &ip : site.seeds) {
        while (!isReady(ip + ":" + std::to_string(site.readyPort))) {
            if (seconds() > 15) {
                world.record.line("a gateway isn't ready");
                return false;
            }
            sleepMs(100);
        }
    }
    world.record.line("all gateways are ready");
    for (size_t i = 0; i < world.gateways.size(); ++i) {
        world.lost.push_back(std::make_unique<std::atomic<int>>(0));
    }
    return true;
}

/// Starts the clients and the supervisor of the gateways.
inline void startTraffic(World &world)
{
    world.threads.emplace_back([&] { supervise(world.gateways); });
    for (size_t i = 0; i < world.gateways.size(); ++i) {
        for (int k = 0; k < RECORD_CLIENTS; ++k) {
            world.threads.emplace_back([&, i] { recordClient(world, i); });
        }
    }
    for (unsigned k = 0; k < STREAM_CLIENTS; ++k) {
        world.threads.emplace_back([&, k] { streamClient(world, k + 1); });
    }
    world.threads.emplace_back([&] {
        while (!finished) {
            sleepMs(3500);
            world.group->shiftDemand();
        }
    });
}

/// Ends traffic and all programs.
inline void endSite(World &world)
{
    finished = true;
    std::ranges::for_each(world.threads, [](std::thread &thread) { thread.join(); });
    for (size_t i = 0; i < world.gateways.size(); ++i) {
        world.record.line(world.gateways[i]->name() + ": ended by itself " + std::to_string(world.gateways[i]->ownEnds()) + " times, "
                          + std::to_string(*world.lost[i]) + " requests of kept connections passed on and closed without an answer while in touch");
    }
    world.record.line(std::to_string(world.answered) + " requests answered with 200, " + std::to_string(world.failed) + " otherwise; "
                      + std::to_string(world.group->switches()) + " changes of map, " + std::to_string(world.group->mixedPasses())
                      + " passes on different maps");
    for (auto *nodes : {&world.gateways, &world.agents}) {
        for (const std::unique_ptr<Node> &node : *nodes) {
            node->kill(SIGKILL);
            node->wait(5);
        }
    }
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(world.site.folder);
    }
}

/// Ends the script; threads of the stand-ins still run.
[[noreturn]] inline void finish(World &world, std::string_view rule, bool broken)
{
    const std::string verdict = std::string(rule) + (broken ? " is broken" : " holds");
    world.record.line(verdict);
    std::cout << verdict << std::endl;
    std::_Exit(broken ? 1 : world.group->switches() == 0 ? 2 : 0);
}

} // namespace review

// Parallel RPC calls with a limited number of worker threads.

#include "ctl/fleet.h"

#include "framework/clock.h"
#include "framework/json.h"
#include "rpc/rpcclient.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

namespace daisymount::ctl
{

namespace
{
constexpr long CALL_TIMEOUT_MS = 1500;
constexpr size_t PARALLEL_CALLS = 16;
constexpr auto POLL_INTERVAL = std::chrono::milliseconds{200};

struct Target
{
    NodeAnswer answer;
    std::string address;
};

std::vector<Target> targetsOf(const config::Config &config)
{
    std::vector<Target> targets;
    for (const auto &[name, entry] : config.entries) {
        targets.push_back({{name, "entry", entry.zone, false, {}}, entry.address});
    }
    for (const auto &[name, upstream] : config.upstreams) {
        targets.push_back({{name, "sidecar", upstream.zone, false, {}}, upstream.address});
    }
    return targets;
}
} // namespace

std::vector<NodeAnswer> callFleet(const config::Config &config, const std::string &method, const Json::Value &params)
{
    std::vector<Target> targets = targetsOf(config);
    std::atomic<size_t> next{0};
    const auto callTargets = [&] {
        for (size_t i = next++; i < targets.size(); i = next++) {
            const rpc::RpcReply reply = rpc::callRpc("http://" + targets[i].address + "/rpc", method, params, CALL_TIMEOUT_MS);
            targets[i].answer.answered = reply.ok;
            targets[i].answer.result = reply.result;
        }
    };
    std::vector<std::thread> workers;
    for (size_t i = 0; i < std::min(PARALLEL_CALLS, targets.size()); ++i) {
        workers.emplace_back(callTargets);
    }
    for (std::thread &worker : workers) {
        worker.join();
    }
    std::vector<NodeAnswer> answers;
    answers.reserve(targets.size());
    for (Target &target : targets) {
        answers.push_back(std::move(target.answer));
    }
    return answers;
}

bool waitUntilApplied(const config::Config &config, int64_t revision, int64_t timeoutMs)
{
    const framework::Instant start = framework::monotonicNow();
    const framework::Instant end = start + std::chrono::milliseconds{timeoutMs};
    while (true) {
        const std::vector<NodeAnswer> answers = callFleet(config, "status", Json::Value(Json::objectValue));
        const auto inForce = std::count_if(answers.begin(), answers.end(), [&](const NodeAnswer &answer) {
            return answer.answered && framework::intField(answer.result, "revision") >= revision;
        });
        const auto answered = std::count_if(answers.begin(), answers.end(), [](const NodeAnswer &answer) { return answer.answered; });
        const bool complete = static_cast<size_t>(inForce) == answers.size();
        if (complete || framework::monotonicNow() >= end) {
            const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(framework::monotonicNow() - start);
            std::cout << "revision " << revision << " in force on " << inForce << " of " << answers.size() << " nodes after " << waited.count() << " ms ("
                      << answered << " answer)\n";
            return complete;
        }
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
}

} // namespace daisymount::ctl

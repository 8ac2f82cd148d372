// Simulation of a rank group with virtual time: lock-step engines, sidecars, controllers and a link that loses, delays, duplicates and reorders
// messages.

#pragma once

#include "expertmap/switchcontroller.h"
#include "expertmap/switchparticipant.h"
#include "promises/promiseledger.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace daisymount::expertmap
{

/// Ranks of one sidecar. They only step together with all other ranks of the group.
class FakeRankEngine : public IRankEngine
{
public:
    void load(MapVersion version) override
    {
        loading = version;
    }

    Step nextStep() const override
    {
        return next;
    }

    void placeHold(const PlacedHold &placed) override
    {
        hold = placed;
    }

    std::optional<PlacedHold> readHold() const override
    {
        return hold;
    }

    void release(MapVersion version) override
    {
        previousMap = map;
        map = version;
        switchAt = hold->step;
        hold.reset();
    }

    bool switchPending() const override
    {
        return next < switchAt;
    }

    bool isStopped() const override
    {
        return stopped;
    }

    void cancelHold() override
    {
        hold.reset();
    }

    void stopRanks() override
    {
        stopped = true;
    }

    void startRanks(int64_t newEpoch, MapVersion version) override
    {
        runningEpoch = newEpoch;
        map = version;
        switchAt = 0;
        hold.reset();
        stopped = false;
        next = 0;
    }

    MapVersion current() const override
    {
        return map;
    }

    int64_t epoch() const override
    {
        return runningEpoch;
    }

    bool mayStep(Step step) const
    {
        return !stopped && !stalled && next == step && (!hold || step < hold->step);
    }

    MapVersion mapAt(Step step) const
    {
        return step >= switchAt ? map : previousMap;
    }

    MapVersion loading = 0;
    MapVersion map = 1;
    MapVersion previousMap = 1;
    Step switchAt = 0;
    Step next = 0;
    int64_t runningEpoch = 0;
    bool stopped = false;
    bool stalled = false;
    std::optional<PlacedHold> hold;
};

struct LinkFaults
{
    double loss = 0.0;
    double duplication = 0.0;
    Duration maxDelay = framework::milliseconds{2};
};

class SwitchSimulation
{
public:
    SwitchSimulation(int members, uint64_t seed) : random(seed), ledger(framework::seconds{3})
    {
        for (int i = 0; i < members; ++i) {
            names.push_back("s" + std::to_string(i));
        }
        for (const std::string &name : names) {
            startSidecar(name);
        }
        addController("c1");
    }

    /// Restarts a sidecar's process; its engine keeps running.
    void startSidecar(const std::string &name)
    {
        ParticipantOptions options{name, ++lastIncarnation, names, framework::milliseconds{50}, restoreHold, checkIncarnation};
        ParticipantHooks hooks;
        hooks.send = [this, name](std::string_view to, const SwitchMessage &message) { sendOverLink(name, std::string(to), message); };
        hooks.sendController = [this, name](const SwitchMessage &message) {
            for (const auto &[controller, unused] : controllers) {
                sendOverLink(name, controller, message);
            }
        };
        participants[name] = std::make_unique<SwitchParticipant>(options, engines[name], hooks);
        if (engines[name].loading != 0) {
            engines[name].loading = 0;
        }
    }

    void addController(const std::string &name)
    {
        ControllerOptions options;
        options.members = names;
        ControllerHooks hooks;
        hooks.send = [this, name](std::string_view to, const SwitchMessage &message) { sendOverLink(name, std::string(to), message); };
        hooks.finished = [this](MapVersion version, SwitchOutcome outcome) { outcomes.emplace_back(version, outcome); };
        controllers[name] = std::make_unique<SwitchController>(options, hooks);
    }

    void lease(const std::string &controller, int64_t fencing, Duration length)
    {
        controllers[controller]->onLease(fencing, now + length, now);
    }

    void sendOverLink(const std::string &from, const std::string &to, const SwitchMessage &message)
    {
        std::uniform_real_distribution<> share(0.0, 1.0);
        const int copies = share(random) < faults.duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (share(random) < faults.loss || paused.count(from) != 0) {
                continue;
            }
            std::uniform_int_distribution<int64_t> delay(100, std::max<int64_t>(101, faults.maxDelay.count()));
            inFlight.emplace(now + Duration{delay(random)}, std::pair{to, message});
        }
    }

    void advance(Duration time)
    {
        const Instant end = now + time;
        while (now < end) {
            now += framework::milliseconds{1};
            deliver();
            for (auto &[name, participant] : participants) {
                if (paused.count(name) == 0) {
                    participant->tick(now);
                    finishLoading(name);
                }
            }
            for (auto &[name, controller] : controllers) {
                if (paused.count(name) == 0) {
                    controller->tick(now);
                }
            }
            stepGroup();
        }
    }

    void deliver()
    {
        while (!inFlight.empty() && inFlight.begin()->first <= now) {
            const auto [to, message] = inFlight.begin()->second;
            inFlight.erase(inFlight.begin());
            if (paused.count(to) != 0) {
                backlog.emplace_back(to, message);
            } else if (const auto participant = participants.find(to); participant != participants.end()) {
                participant->second->onMessage(message, now);
            } else if (const auto controller = controllers.find(to); controller != controllers.end()) {
                controller->second->onMessage(message, now);
            }
        }
    }

    void resume(const std::string &name)
    {
        paused.erase(name);
        std::vector<std::pair<std::string, SwitchMessage>> waiting;
        waiting.swap(backlog);
        for (auto &[to, message] : waiting) {
            inFlight.emplace(now, std::pair{to, message});
        }
    }

    void finishLoading(const std::string &name)
    {
        FakeRankEngine &engine = engines[name];
        if (engine.loading != 0 && weightStoreReachable) {
            const MapVersion version = engine.loading;
            engine.loading = 0;
            participants[name]->onLoaded(version, now);
        }
    }

    /// Makes one step of the group if all of its ranks may step.
    void stepGroup()
    {
        const Step step = engines[names.front()].next;
        const int64_t epoch = engines[names.front()].runningEpoch;
        for (const std::string &name : names) {
            if (!engines[name].mayStep(step) || engines[name].runningEpoch != epoch) {
                ++blockedMs;
                return;
            }
        }
        for (const std::string &name : names) {
            ledger.onStep("g" + std::to_string(epoch), step, name, engines[name].mapAt(step));
            ++engines[name].next;
        }
        ++steps;
    }

    std::vector<std::string> names;
    std::mt19937_64 random;
    promises::PromiseLedger ledger;
    LinkFaults faults;
    bool restoreHold = true;
    bool checkIncarnation = true;
    bool weightStoreReachable = true;
    uint64_t lastIncarnation = 0;
    Instant now = framework::seconds{10};
    std::map<std::string, FakeRankEngine> engines;
    std::map<std::string, std::unique_ptr<SwitchParticipant>> participants;
    std::map<std::string, std::unique_ptr<SwitchController>> controllers;
    std::set<std::string> paused;
    std::vector<std::pair<std::string, SwitchMessage>> backlog;
    std::multimap<Instant, std::pair<std::string, SwitchMessage>> inFlight;
    std::vector<std::pair<MapVersion, SwitchOutcome>> outcomes;
    int64_t steps = 0;
    int64_t blockedMs = 0;
};

} // namespace daisymount::expertmap

// Scenario world.

#include "worldnodes.h"

#include "entry/entrymessages.h"
#include "framework/hash.h"
#include "operations/configchange.h"

#include <algorithm>

namespace daisymount::scenarios
{

using attempts::AttemptEvent;
using attempts::AttemptId;
using attempts::Failure;
using claims::RevokeVerdict;
using framework::milliseconds;
using framework::ResultCode;
using framework::RunState;
using framework::seconds;

namespace
{
constexpr Duration TICK = milliseconds{5};
constexpr Duration PROMISE_GRACE = seconds{3};
constexpr Duration ENGINE_RESTART = milliseconds{1500};
constexpr Duration BETWEEN_TOKENS = milliseconds{10};
constexpr Duration WATCH_LIMIT = milliseconds{1500};
constexpr Duration PROBE_INTERVAL = milliseconds{500};
constexpr int64_t COLD_REQUESTS = 8;
constexpr int64_t COLD_BEARS = 2;
constexpr int64_t RAMP_COMPLETIONS = 2;
constexpr size_t RECENT_EVENTS = 40;
constexpr const char *ZONES[] = {"paredes", "penafiel", "lousada"};

config::Config makeConfig(const SiteOptions &options, std::string &toml)
{
    toml = "site = \"scenario\"\n[membership]\nstale_after = \"3s\"\naddress_ttl = \"2s\"\n"
           "[services.model]\nkind = \"model\"\n[services.model.admission]\nwarm_concurrency = 8\ncold_concurrency = 2\nramp_completions = 2\n"
           "[services.orders]\nkind = \"plain\"\nidempotent = false\ndeadline = \"10s\"\nclaim_shards = 2\n"
           "[organisations.desk]\napi_key = \"desk-key\"\ntokens_per_second = 1000000\nburst_tokens = 1000000\n";
    for (const char *zone : ZONES) {
        toml += "[zones." + std::string(zone) + "]\nregion = \"norte\"\n";
    }
    int port = 1000;
    const auto add = [&](const std::string &section, const std::string &kind, int count, const std::string &extra) {
        for (int i = 1; i <= count; ++i) {
            toml += "[" + section + "." + kind + "-" + std::to_string(i) + "]\n" + extra + "zone = \"" + ZONES[(i - 1) % 3]
                + "\"\naddress = \"127.0.0.1:" + std::to_string(++port) + "\"\n";
        }
    };
    add("entries", "entry", options.entries, "");
    add("upstreams", "model", options.models, "service = \"model\"\n");
    add("upstreams", "orders", options.orders, "service = \"orders\"\n");
    config::LoadedConfig loaded = config::loadMerged(toml);
    toml = loaded.toml;
    return loaded.config;
}

std::string answerToken(const std::string &body, int64_t index)
{
    return std::to_string(index) + ":" + std::to_string(framework::hash64(body) % 100'000) + " ";
}
} // namespace

World::World(const SiteOptions &options) : options_(options), now_(seconds{1000}), random_(options.seed), ledger_(PROMISE_GRACE)
{
    std::string toml;
    config_ = makeConfig(options, toml);
    unreachableStore_.faults().down = true;
    const config::StoredConfig stored{"initial", "", {"initial"}, toml};
    store_.compareAndSwap(config::CONFIG_KEY, 0, config::encodeStored(stored),
                          [this](const framework::Ret &, int64_t revision) { ledger_.onConfigAccepted(revision, now_); });
    store_.step();
    for (const auto &[name, upstream] : config_.upstreams) {
        auto engine = std::make_unique<Engine>();
        engine->name = name;
        engine->plain = upstream.service == "orders";
        engines_[name] = std::move(engine);
        startSidecar(name);
    }
    for (const auto &[name, unused] : config_.entries) {
        startEntry(name);
    }
    advance(seconds{8});
}

World::~World() = default;

int64_t World::unixMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now_).count();
}

void World::record(const std::string &event)
{
    recent_.push_back(std::to_string(unixMs()) + " " + event);
    if (recent_.size() > RECENT_EVENTS) {
        recent_.pop_front();
    }
}

node::ControlPlaneHooks World::planeHooks(const std::string &name)
{
    node::ControlPlaneHooks hooks;
    hooks.send = [this, name](std::string_view address, const membership::Packet &packet) {
        datagram(name, std::string(address), [this, address = std::string(address), packet] {
            const std::string to = address;
            const auto entry = entries_.find(to);
            node::ControlPlane *plane = entry != entries_.end() ? entry->second->plane.get() : sidecars_.at(to)->plane.get();
            plane->onPacket(packet, now_);
        });
    };
    hooks.fetchConfig = [this, name](std::string_view member) {
        const std::string from(member);
        post(name, from, true, [this, name, from] {
            const auto planeOf = [this](const std::string &node) {
                const auto entry = entries_.find(node);
                return entry != entries_.end() ? entry->second->plane.get() : sidecars_.at(node)->plane.get();
            };
            const int64_t revision = planeOf(from)->config().revision;
            const std::string encoded = planeOf(from)->encodedConfig();
            post(from, name, true, [planeOf, name, revision, encoded] { planeOf(name)->onConfigOffered(revision, encoded); });
        });
    };
    hooks.recordChanged = [this, name](const membership::Record &record) { onRecord(name, record); };
    return hooks;
}

void World::startEntry(const std::string &name)
{
    auto node = std::make_unique<EntryNode>();
    const uint32_t incarnation = ++lastIncarnation_;
    node->name = name;
    node->log = std::make_unique<Trace>(*this, name);
    node->store = std::make_unique<NodeStore>(*this, name);
    node->transport = std::make_unique<EntryTransport>(*this, name);
    EntryNode *self = node.get();
    entry::EntryControlHooks controlHooks;
    controlHooks.send = [this, name](std::string_view address, const std::string &method, const Json::Value &params) {
        datagram(name, std::string(address), [this, to = std::string(address), method, params] {
            const auto entry = entries_.find(to);
            if (entry != entries_.end()) {
                static_cast<void>(entry->second->control->onMessage(method, params, now_));
            }
        });
    };
    controlHooks.publish
        = [this, self](const std::string &key, const std::string &value, bool urgent) { self->plane->gossip().publish(key, unixMs(), value, urgent, now_); };
    controlHooks.unixMs = [this] { return unixMs(); };
    node->control = std::make_unique<entry::EntryControl>(name, controlHooks);
    routing::RouterOptions routerOptions;
    routerOptions.self = name;
    routerOptions.zone = config_.entries.at(name).zone;
    routerOptions.seed = options_.seed + incarnation;
    node->router = std::make_unique<routing::Router>(routerOptions);
    claims::ClaimsOptions claimsOptions;
    claimsOptions.self = name;
    const claims::ClaimsLink link{[self] { return self->control->liveEntries(); },
                                  [self](std::string_view home, const claims::ForwardedRecord &record) { self->control->forward(home, record); }};
    node->claims = std::make_unique<claims::ClaimsRegistry>(claimsOptions, *node->store, link);
    entry::EntryHooks hooks;
    hooks.convicted = [self](quarantine::Fingerprint fingerprint) { self->control->onConvicted(fingerprint); };
    hooks.unixMs = [this] { return unixMs(); };
    node->core = std::make_unique<entry::EntryCore>(
        entry::EntryOptions{name, incarnation, seconds{3}, 6},
        entry::EntryParts{*node->router, *node->claims, *node->transport, *node->control, *node->transport, *node->log}, hooks, now_);
    node->control->attach(*node->core, *node->router, *node->claims);
    node::ControlPlaneOptions options;
    options.gossip.self = {name, "entry", routerOptions.zone, name, incarnation, membership::MemberState::Alive};
    options.gossip.seeds = {"entry-1", "entry-2", "model-1"};
    options.gossip.seed = options_.seed * 31 + incarnation;
    node::ControlPlaneHooks planeHooks = this->planeHooks(name);
    planeHooks.configApplied = [this, self, name](const membership::VersionedConfig &config) {
        ledger_.onConfigApplied(name, config.revision, now_);
        self->control->configure(config.config);
    };
    planeHooks.memberChanged = [self](const membership::Member &member) { self->control->onMember(member); };
    planeHooks.cutOffChanged = [](bool) {};
    node->plane = std::make_unique<node::ControlPlane>(options, *node->store, *node->log, planeHooks);
    entries_[name] = std::move(node);
}

void World::startSidecar(const std::string &name)
{
    auto node = std::make_unique<SidecarNode>();
    const uint32_t incarnation = ++lastIncarnation_;
    node->name = name;
    node->log = std::make_unique<Trace>(*this, name);
    node->store = std::make_unique<NodeStore>(*this, name);
    node->ports = std::make_unique<SidecarPorts>(*this, name);
    node->core = std::make_unique<sidecar::SidecarCore>(sidecar::SidecarOptions{name, incarnation}, *node->ports, *node->ports, *node->log, now_);
    SidecarNode *self = node.get();
    node->core->setCrashHook([this, self, name](const quarantine::CrashReport &report) {
        self->plane->gossip().publish("crash/" + name, unixMs(), entry::encodeCrash(report), true, now_);
    });
    node::ControlPlaneOptions options;
    options.gossip.self = {name, "sidecar", config_.upstreams.at(name).zone, name, incarnation, membership::MemberState::Alive};
    options.gossip.seeds = {"entry-1", "entry-2", "model-1"};
    options.gossip.seed = options_.seed * 37 + incarnation;
    node::ControlPlaneHooks planeHooks = this->planeHooks(name);
    planeHooks.configApplied = [this, self, name](const membership::VersionedConfig &config) {
        ledger_.onConfigApplied(name, config.revision, now_);
        self->core->configure(config.config, now_);
    };
    planeHooks.cutOffChanged = [this, self](bool cutOff) { self->core->setCutOff(cutOff, now_); };
    node->plane = std::make_unique<node::ControlPlane>(options, *node->store, *node->log, planeHooks);
    sidecars_[name] = std::move(node);
}

void World::onRecord(const std::string &node, const membership::Record &record)
{
    const auto entry = entries_.find(node);
    if (entry != entries_.end()) {
        entry->second->control->onRecord(record, now_);
        return;
    }
    const auto sidecar = sidecars_.find(node);
    if (sidecar != sidecars_.end() && record.key == "vm/" + node) {
        sidecar->second->core->setDraining(record.value == "leaving", now_);
    }
}

// Links.

bool World::isUp(const std::string &process) const
{
    return down_.count(process) == 0;
}

bool World::isCut(const std::string &left, const std::string &right) const
{
    const bool apart = left != right && (isolated_.count(left) != 0 || isolated_.count(right) != 0);
    return apart || cuts_.count({left, right}) != 0 || cuts_.count({right, left}) != 0;
}

void World::post(const std::string &from, const std::string &to, bool reliable, std::function<void()> deliver)
{
    std::uniform_real_distribution<> share(0.0, 1.0);
    const bool lost = !reliable && (share(random_) < loss_ || isCut(from, to));
    if (lost) {
        return;
    }
    const int copies = !reliable && share(random_) < duplication_ ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        // Datagrams overtake each other, connections do not.
        std::uniform_int_distribution<int64_t> jitter(0, reliable ? 0 : delay_.count());
        inFlight_.emplace(now_ + delay_ + Duration{jitter(random_)}, Message{from, to, reliable, deliver});
    }
}

void World::datagram(const std::string &from, const std::string &address, std::function<void()> deliver)
{
    // In this world a node's control address is its name.
    const bool known = entries_.count(address) != 0 || sidecars_.count(address) != 0;
    if (known) {
        post(from, address, false, std::move(deliver));
    }
}

void World::deliverDue()
{
    while (!inFlight_.empty() && inFlight_.begin()->first <= now_) {
        Message message = std::move(inFlight_.begin()->second);
        inFlight_.erase(inFlight_.begin());
        if (!isUp(message.to)) {
            continue;
        }
        const bool waits = paused_.count(message.to) != 0 || (message.reliable && isCut(message.from, message.to));
        if (waits) {
            stuck_.push_back(std::move(message));
        } else {
            message.deliver();
        }
    }
    std::vector<Message> waiting;
    waiting.swap(stuck_);
    for (Message &message : waiting) {
        const bool waits = paused_.count(message.to) != 0 || (message.reliable && isCut(message.from, message.to));
        if (!isUp(message.to)) {
            continue;
        }
        if (waits) {
            stuck_.push_back(std::move(message));
        } else {
            message.deliver();
        }
    }
}

// Engines.

void World::checkCold(const std::string &upstream)
{
    const Engine &engine = *engines_.at(upstream);
    if (!engine.plain && engine.completed < COLD_REQUESTS) {
        // An engine bears more with the work that it has completed, as ramp_completions of its service says.
        const int64_t bearable = COLD_BEARS + engine.completed / RAMP_COMPLETIONS;
        ledger_.onColdLoad(upstream, static_cast<int64_t>(engine.work.size()), bearable);
    }
}

void World::crashEngine(const std::string &upstream)
{
    Engine &engine = *engines_.at(upstream);
    ++engine.incarnation;
    ++counters_.crashes;
    engine.completed = 0;
    engine.downUntil = now_ + ENGINE_RESTART;
    record(upstream + " engine crashes");
    for (const auto &[attempt, work] : engine.work) {
        post(upstream, upstream, true, [this, upstream, attempt = attempt] {
            const Failure broken{ResultCode::UpstreamFailed, RunState::Unknown, Duration{0}, std::nullopt, std::nullopt};
            sidecars_.at(upstream)->core->onEngineEvent(attempt, broken, now_);
        });
    }
    engine.work.clear();
}

void World::coolEngine(const std::string &upstream)
{
    engines_.at(upstream)->completed = 0;
}

void World::stallEngine(const std::string &upstream, Duration time)
{
    engines_.at(upstream)->stalledUntil = now_ + time;
}

// Processes.

void World::breakAttemptsTo(const std::string &sidecar)
{
    for (const auto &[name, entry] : entries_) {
        std::vector<AttemptId> broken;
        for (const auto &[attempt, target] : entry->transport->sidecarOf) {
            if (target == sidecar) {
                broken.push_back(attempt);
            }
        }
        for (const AttemptId attempt : broken) {
            post(name, name, true, [this, name = name, attempt] {
                EntryNode &node = *entries_.at(name);
                if (node.transport->sidecarOf.erase(attempt) != 0) {
                    const Failure lost{ResultCode::UpstreamFailed, RunState::Unknown, Duration{0}, std::nullopt, std::nullopt};
                    node.core->onAttemptEvent(attempt, lost, now_);
                }
            });
        }
    }
}

void World::dropAttemptsOf(const std::string &entry)
{
    for (const auto &[attempt, sidecar] : entries_.at(entry)->transport->sidecarOf) {
        post(entry, sidecar, true, [this, sidecar = sidecar, attempt = attempt] { sidecars_.at(sidecar)->core->onAttemptGone(attempt, now_); });
    }
}

void World::kill(const std::string &process)
{
    record("kill " + process);
    down_.insert(process);
    paused_.erase(process);
    std::erase_if(stuck_, [&](const Message &message) { return message.to == process; });
    if (sidecars_.count(process) != 0) {
        // The engine cancels streams whose connection breaks; a plain call that has begun runs to its end.
        std::erase_if(engines_.at(process)->work, [](const auto &item) { return item.second.request.executionKey.empty(); });
        breakAttemptsTo(process);
    } else {
        dropAttemptsOf(process);
    }
}

void World::start(const std::string &process)
{
    record("start " + process);
    down_.erase(process);
    std::erase_if(inFlight_, [&](const auto &item) { return item.second.to == process; });
    if (sidecars_.count(process) != 0) {
        startSidecar(process);
    } else {
        startEntry(process);
    }
}

void World::pause(const std::string &process)
{
    record("pause " + process);
    paused_.insert(process);
}

void World::wake(const std::string &process)
{
    record("wake " + process);
    paused_.erase(process);
}

void World::drain(const std::string &process)
{
    record("drain " + process);
    if (sidecars_.count(process) != 0) {
        sidecars_.at(process)->core->setDraining(true, now_);
        sidecars_.at(process)->plane->gossip().leave(now_);
        ledger_.onLeaving(process, now_);
    } else {
        entries_.at(process)->plane->gossip().leave(now_);
    }
}

void World::cut(const std::string &left, const std::string &right)
{
    cuts_.insert({left, right});
}

void World::isolate(const std::string &process)
{
    isolated_.insert(process);
}

void World::heal()
{
    cuts_.clear();
    isolated_.clear();
}

void World::setLoss(double share)
{
    loss_ = share;
}

void World::setDuplication(double share)
{
    duplication_ = share;
}

void World::setDelay(Duration delay)
{
    delay_ = delay;
}

// Operators.

store::FakePlatformStore &World::store()
{
    return store_;
}

bool World::operate(const std::string &section, const std::string &name, bool out)
{
    bool accepted = false;
    bool finished = false;
    const operations::Edit edit = [&](const std::string &current) { return config::withOut(current, section, name, out); };
    const auto handler = [&](const operations::ChangeOutcome &outcome) {
        finished = true;
        accepted = static_cast<bool>(outcome.ret);
        if (accepted) {
            ledger_.onConfigAccepted(outcome.revision, now_);
        }
    };
    const operations::ChangeOptions options{"change-" + std::to_string(++lastChange_), "scenario", -1, 5};
    std::make_shared<operations::ConfigChange>(store_, options, edit, handler)->start();
    for (int i = 0; i < 100 && !finished; ++i) {
        advance(TICK);
    }
    if (accepted && section == "zones") {
        out ? ledger_.onZoneOut(name, now_) : ledger_.onZoneIn(name, now_);
    } else if (accepted && section == "upstreams") {
        out ? ledger_.onLeaving(name, now_) : ledger_.onReturned(name, now_);
    }
    return accepted;
}

void World::announceLeaving(const std::string &vm, bool leaving)
{
    // The lagging list is read by a watcher, which spreads it.
    for (const auto &[name, entry] : entries_) {
        if (isUp(name) && paused_.count(name) == 0) {
            entry->plane->gossip().publish("vm/" + vm, unixMs(), leaving ? "leaving" : "live", true, now_);
            break;
        }
    }
    leaving ? ledger_.onLeaving(vm, now_) : ledger_.onReturned(vm, now_);
}

// Callers.

std::string World::send(const RequestOptions &request)
{
    const std::string id = request.entry + "-" + std::to_string(++lastRequest_);
    CallerView &view = views_[id];
    view.sentAt = now_;
    entry::CallerRequest caller;
    caller.id = id;
    caller.apiKey = "desk-key";
    caller.service = request.service;
    caller.path = "/run";
    caller.model = request.service == "model";
    caller.body = request.body + "#" + std::to_string(request.tokens);
    caller.idempotencyKey = request.key;
    caller.stream = request.stream;
    caller.deadline = request.deadline;
    caller.estimatedTokens = static_cast<double>(request.tokens);
    if (!isUp(request.entry)) {
        view.replied = true;
        view.reply.code = ResultCode::UpstreamUnreachable;
        return id;
    }
    inFlight_.emplace(now_ + delay_, Message{request.entry, request.entry, true, [this, entry = request.entry, caller] {
                                                 entries_.at(entry)->requests.insert(caller.id);
                                                 entries_.at(entry)->core->onRequest(caller, now_);
                                             }});
    return id;
}

void World::hangUp(const std::string &request)
{
    for (const auto &[name, entry] : entries_) {
        if (entry->requests.count(request) != 0 && isUp(name)) {
            entry->core->onCallerGone(request, now_);
        }
    }
}

const CallerView &World::view(const std::string &request) const
{
    return views_.at(request);
}

// Time.

void World::tickOnce()
{
    now_ += TICK;
    if (now_ >= nextWatchEnd_) {
        nextWatchEnd_ = now_ + WATCH_LIMIT;
        store_.expireWatches();
    }
    store_.step();
    unreachableStore_.step();
    deliverDue();
    for (const auto &[name, engine] : engines_) {
        if (now_ < engine->stalledUntil || now_ < engine->downUntil) {
            continue;
        }
        std::vector<std::pair<AttemptId, AttemptEvent>> events;
        for (auto &[attempt, work] : engine->work) {
            if (now_ < work.nextAt) {
                continue;
            }
            if (engine->plain) {
                events.emplace_back(attempt, attempts::Answer{200, "text/plain", "confirmed " + work.request.callerKey});
            } else if (work.next >= work.total) {
                events.emplace_back(attempt, attempts::End{work.next});
            } else {
                events.emplace_back(attempt, attempts::Token{work.next, answerToken(work.request.body, work.next)});
                ++work.next;
                work.nextAt = now_ + BETWEEN_TOKENS;
            }
        }
        for (const auto &[attempt, event] : events) {
            if (attempts::isFinal(event)) {
                engine->work.erase(attempt);
                ++engine->completed;
            }
            if (isUp(name)) {
                post(name, name, true,
                     [this, name = name, attempt = attempt, event = event] { sidecars_.at(name)->core->onEngineEvent(attempt, event, now_); });
            }
        }
    }
    for (const auto &[name, entry] : entries_) {
        if (isUp(name) && paused_.count(name) == 0) {
            entry->plane->tick(now_);
            entry->control->tick(now_);
            entry->core->tick(now_);
        }
    }
    for (const auto &[name, sidecar] : sidecars_) {
        if (isUp(name) && paused_.count(name) == 0) {
            sidecar->plane->tick(now_);
            sidecar->core->tick(now_);
            if (now_ >= sidecar->nextProbeAt) {
                sidecar->nextProbeAt = now_ + PROBE_INTERVAL;
                sidecar->ports->probe();
            }
        }
    }
}

void World::advance(Duration time)
{
    for (const Instant end = now_ + time; now_ < end;) {
        tickOnce();
    }
}

// Questions.

promises::PromiseLedger &World::ledger()
{
    return ledger_;
}

const WorldCounters &World::counters() const
{
    return counters_;
}

Instant World::now() const
{
    return now_;
}

std::vector<std::string> World::runningNodes() const
{
    std::vector<std::string> names;
    for (const auto &[name, unused] : entries_) {
        names.push_back(name);
    }
    for (const auto &[name, unused] : sidecars_) {
        names.push_back(name);
    }
    std::erase_if(names, [this](const std::string &name) { return !isUp(name) || paused_.count(name) != 0; });
    return names;
}

int64_t World::revisionOf(const std::string &node) const
{
    const auto entry = entries_.find(node);
    return entry != entries_.end() ? entry->second->plane->config().revision : sidecars_.at(node)->plane->config().revision;
}

int64_t World::lateStarts(const std::string &zone) const
{
    return ledger_.lateExecutionCount(zone);
}

int64_t World::inFlightOf(const std::string &upstream) const
{
    return sidecars_.at(upstream)->core->inFlight();
}

int64_t World::limitOf(const std::string &upstream) const
{
    return sidecars_.at(upstream)->core->admission().limit();
}

std::string World::zoneOf(const std::string &process) const
{
    const auto entry = config_.entries.find(process);
    return entry != config_.entries.end() ? entry->second.zone : config_.upstreams.at(process).zone;
}

const std::deque<std::string> &World::recentEvents() const
{
    return recent_;
}

} // namespace daisymount::scenarios

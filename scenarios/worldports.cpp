// Ports of the scenario world: how attempts, answers and engines' events travel.

#include "worldnodes.h"

namespace daisymount::scenarios
{

using attempts::Failure;
using claims::RevokeVerdict;
using framework::milliseconds;
using framework::ResultCode;
using framework::RunState;

namespace
{
constexpr Duration FIRST_TOKEN = milliseconds{40};
constexpr Duration PLAIN_LATENCY = milliseconds{30};
constexpr Duration REVOKE_TIMEOUT = milliseconds{800};
constexpr const char *CRASH_MARK = "CRASH";
} // namespace

// Entries.

std::string World::EntryTransport::nodeAt(std::string_view address) const
{
    for (const auto &[name, upstream] : world_.config_.upstreams) {
        if (upstream.address == address) {
            return name;
        }
    }
    return {};
}

void World::EntryTransport::send(std::string_view address, const attempts::AttemptRequest &request)
{
    const std::string sidecar = nodeAt(address);
    const AttemptId attempt = request.attempt;
    sidecarOf[attempt] = sidecar;
    if (!world_.isUp(sidecar)) {
        world_.post(name_, name_, true, [this, attempt] {
            if (sidecarOf.erase(attempt) != 0) {
                const Failure unreachable{ResultCode::UpstreamUnreachable, RunState::NotRun, Duration{0}, std::nullopt, std::nullopt};
                world_.entries_.at(name_)->core->onAttemptEvent(attempt, unreachable, world_.now_);
            }
        });
        return;
    }
    world_.post(name_, sidecar, true, [this, sidecar, request] {
        SidecarNode &node = *world_.sidecars_.at(sidecar);
        node.ports->entryOf[request.attempt] = name_;
        node.core->onAttempt(request, world_.now_);
    });
}

void World::EntryTransport::cancel(AttemptId attempt)
{
    const auto found = sidecarOf.find(attempt);
    if (found == sidecarOf.end()) {
        return;
    }
    const std::string sidecar = found->second;
    sidecarOf.erase(found);
    world_.post(name_, sidecar, true, [this, sidecar, attempt] { world_.sidecars_.at(sidecar)->core->onAttemptGone(attempt, world_.now_); });
}

void World::EntryTransport::revoke(std::string_view address, std::string_view key, uint64_t addressedTo, RevokeHandler handler)
{
    const std::string sidecar = nodeAt(address);
    const auto answered = std::make_shared<bool>(false);
    const auto finish = [answered, handler](RevokeVerdict verdict) {
        if (!*answered) {
            *answered = true;
            handler(verdict);
        }
    };
    world_.inFlight_.emplace(world_.now_ + REVOKE_TIMEOUT, Message{name_, name_, true, [finish] { finish(RevokeVerdict::Unknown); }});
    world_.post(name_, sidecar, true, [this, sidecar, key = std::string(key), addressedTo, finish] {
        const RevokeVerdict verdict = world_.sidecars_.at(sidecar)->core->onRevoke(key, addressedTo, world_.now_);
        world_.post(sidecar, name_, true, [finish, verdict] { finish(verdict); });
    });
}

void World::EntryTransport::onToken(std::string_view request, int64_t /*offset*/, std::string_view text)
{
    CallerView &view = world_.views_[std::string(request)];
    view.streamed += text;
    view.firstTokenAt = view.firstTokenAt == Instant{0} ? world_.now_ : view.firstTokenAt;
}

void World::EntryTransport::onReply(std::string_view request, const entry::CallerReply &reply)
{
    CallerView &view = world_.views_[std::string(request)];
    view.replied = true;
    view.reply = reply;
    view.repliedAt = world_.now_;
    world_.record("caller got " + std::string(request) + " code=" + std::to_string(static_cast<int>(reply.code)));
    (reply.code == ResultCode::Ok ? world_.counters_.answered : world_.counters_.refused) += 1;
}

// Sidecars and engines.

void World::SidecarPorts::start(const attempts::AttemptRequest &request)
{
    Engine &engine = *world_.engines_.at(name_);
    if (world_.now_ < engine.downUntil) {
        const AttemptId attempt = request.attempt;
        world_.post(name_, name_, true, [this, attempt] {
            const Failure refused{ResultCode::UpstreamUnreachable, RunState::NotRun, Duration{0}, std::nullopt, std::nullopt};
            world_.sidecars_.at(name_)->core->onEngineEvent(attempt, refused, world_.now_);
        });
        return;
    }
    Engine::Work work{request, request.resumeFrom, 0, {}};
    const size_t colon = request.body.rfind('#');
    work.total = colon == std::string::npos ? 8 : std::stoll(request.body.substr(colon + 1));
    work.nextAt = world_.now_ + (engine.plain ? PLAIN_LATENCY : FIRST_TOKEN);
    engine.work[request.attempt] = work;
    ++world_.counters_.executions;
    const std::string key = request.executionKey.empty() ? std::string() : request.callerKey.empty() ? request.executionKey : request.callerKey;
    world_.ledger_.onExecution(key, name_, world_.config_.upstreams.at(name_).zone, world_.now_);
    world_.checkCold(name_);
    if (request.body.find(CRASH_MARK) != std::string::npos) {
        world_.crashEngine(name_);
    }
}

void World::SidecarPorts::cancel(AttemptId attempt)
{
    world_.engines_.at(name_)->work.erase(attempt);
}

void World::SidecarPorts::probe()
{
    const Engine &engine = *world_.engines_.at(name_);
    if (engine.plain) {
        world_.post(name_, name_, true, [this] { world_.sidecars_.at(name_)->core->onProbe(std::nullopt, world_.now_); });
        return;
    }
    const std::optional<uint64_t> incarnation = world_.now_ < engine.downUntil ? std::nullopt : std::optional<uint64_t>(engine.incarnation);
    world_.post(name_, name_, true, [this, incarnation] { world_.sidecars_.at(name_)->core->onProbe(incarnation, world_.now_); });
}

void World::SidecarPorts::send(AttemptId attempt, const AttemptEvent &event)
{
    const auto found = entryOf.find(attempt);
    if (found == entryOf.end()) {
        return;
    }
    const std::string entry = found->second;
    if (attempts::isFinal(event)) {
        entryOf.erase(found);
    }
    world_.post(name_, entry, true, [this, entry, attempt, event] {
        EntryNode &node = *world_.entries_.at(entry);
        if (node.transport->sidecarOf.count(attempt) == 0) {
            return;
        }
        if (attempts::isFinal(event)) {
            node.transport->sidecarOf.erase(attempt);
        }
        node.core->onAttemptEvent(attempt, event, world_.now_);
    });
}

} // namespace daisymount::scenarios

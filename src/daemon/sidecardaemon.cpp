// Sidecar process.

#include "daemon/sidecardaemon.h"

#include "daemon/entrymetrics.h"
#include "entry/entrymessages.h"
#include "framework/json.h"

namespace daisymount::daemon
{

using attempts::AttemptEvent;
using attempts::AttemptId;
using framework::Duration;
using framework::Instant;
using framework::monotonicNow;
using framework::Ret;

namespace
{
constexpr Duration SIDECAR_TICK = framework::milliseconds{5};
constexpr Duration PROBE_INTERVAL = framework::milliseconds{500};
/// Time in which entries hear of a drain, before the process may end.
constexpr Duration DRAIN_NOTICE = framework::milliseconds{1500};

std::string_view toString(claims::RevokeVerdict verdict)
{
    switch (verdict) {
    case claims::RevokeVerdict::NeverStarts:
        return "never_starts";
    case claims::RevokeVerdict::Started:
        return "started";
    case claims::RevokeVerdict::Unknown:
        break;
    }
    return "unknown";
}
} // namespace

SidecarDaemon::SidecarDaemon(const NodeSettings &settings, EventHistory &log)
    : settings_(settings)
    , duty_("sidecar", SIDECAR_TICK)
    , fromReactor_(duty_.makeInbox())
    , fromControl_(duty_.makeInbox())
    , control_(settings, log, client_, controlHooks())
    , reactorToControl_(control_.makeInbox())
    , dutyToControl_(control_.makeInbox())
    , server_({settings.address, static_cast<size_t>(settings.maxBodyBytes)},
              {[this](network::HttpRequest http) { onHttp(std::move(http)); },
               [this](network::ExchangeId exchange) {
                   fromReactor_->post([this, exchange] {
                       const auto found = attemptOf_.find(exchange);
                       if (found != attemptOf_.end()) {
                           const AttemptId attempt = found->second;
                           attemptOf_.erase(found);
                           targets_.erase(attempt);
                           core_.onAttemptGone(attempt, monotonicNow());
                       }
                   });
               }})
    , engine_(settings.engineAddress, client_.makePort(duty_),
              {[this](AttemptId attempt, const AttemptEvent &event) { core_.onEngineEvent(attempt, event, monotonicNow()); },
               [this](std::optional<uint64_t> incarnation) { core_.onProbe(incarnation, monotonicNow()); }})
    , core_({settings.name, drawIncarnation()}, engine_, *this, log, monotonicNow())
    , registry_(std::make_shared<prometheus::Registry>())
    , gauges_(prometheus::BuildGauge().Name("daisymount_sidecar").Help("State of the sidecar.").Register(*registry_))
{
    core_.setCrashHook([this](const quarantine::CrashReport &report) {
        const std::string value = entry::encodeCrash(report);
        dutyToControl_->post([this, value] { control_.publish("crash/" + settings_.name, value, true); });
    });
}

ControlDutyHooks SidecarDaemon::controlHooks()
{
    ControlDutyHooks hooks;
    hooks.configApplied = [this](const membership::VersionedConfig &config) {
        fromControl_->post([this, config] {
            const auto upstream = config.config.upstreams.find(settings_.name);
            if (upstream != config.config.upstreams.end()) {
                const auto service = config.config.services.find(upstream->second.service);
                engine_.setPlain(service != config.config.services.end() && service->second.kind == config::ServiceKind::Plain);
            }
            core_.configure(config.config, monotonicNow());
        });
    };
    hooks.memberChanged = [](const membership::Member &) {};
    hooks.recordChanged = [this](const membership::Record &record) { fromControl_->post([this, record] { onRecord(record); }); };
    hooks.cutOffChanged = [this](bool cutOff) { fromControl_->post([this, cutOff] { core_.setCutOff(cutOff, monotonicNow()); }); };
    hooks.status = [this](Json::Value &status) {
        status["draining"] = draining_.load();
        status["in_flight"] = static_cast<Json::Int64>(inFlight_.load());
    };
    return hooks;
}

Ret SidecarDaemon::start()
{
    if (Ret bound = control_.bind(); !bound) {
        return bound;
    }
    replies_ = server_.makePort();
    control_.start(server_);
    duty_.start({[this] { tick(); }, {}, -1});
    client_.start();
    return server_.start();
}

void SidecarDaemon::drain()
{
    drainingSinceUs_ = monotonicNow().count();
    draining_ = true;
    dutyToControl_->post([this] { control_.plane().gossip().leave(monotonicNow()); });
}

bool SidecarDaemon::drained() const
{
    const bool noticed = monotonicNow().count() >= drainingSinceUs_ + DRAIN_NOTICE.count();
    return draining_ && noticed && inFlight_ == 0;
}

void SidecarDaemon::stop()
{
    server_.stop();
    duty_.stop();
    control_.stop();
    client_.stop();
}

void SidecarDaemon::onHttp(network::HttpRequest http)
{
    // Reactor's thread.
    const network::ExchangeId exchange = http.exchange;
    if (http.path == "/rpc") {
        reactorToControl_->post([this, exchange, body = std::move(http.body)] { control_.onRpc(exchange, body); });
        return;
    }
    fromReactor_->post([this, exchange, http = std::move(http)] {
        if (http.path == attempts::ATTEMPT_PATH) {
            onAttempt(http);
        } else if (http.path == "/revoke") {
            onRevoke(http);
        } else if (http.path == "/healthz") {
            replyJson(exchange, 200, R"({"status":"ok"})");
        } else if (http.path == "/readyz") {
            const bool ready = !core_.refusesAll();
            replyJson(exchange, ready ? 200 : 503, ready ? R"({"status":"ready"})" : R"({"status":"not ready"})");
        } else if (http.path == "/metrics") {
            replyJson(exchange, 200, renderMetrics(), "text/plain");
        } else {
            replyJson(exchange, 404, R"({"error":"unknown path"})");
        }
    });
}

void SidecarDaemon::onAttempt(const network::HttpRequest &http)
{
    const auto header = http.headers.find("x-daisymount-attempt");
    attempts::AttemptRequest request;
    const Ret ret = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(request, attempts::decodeAttemptHeader(header == http.headers.end() ? "" : header->second));
        return {};
    });
    if (!ret) {
        replyJson(http.exchange, 400, R"({"error":"bad attempt header"})");
        return;
    }
    request.body = http.body;
    // Known here by a number of our own: whatever entries send, two attempts are never mistaken for each other.
    request.attempt = ++lastAttempt_;
    targets_[request.attempt] = {http.exchange, false};
    attemptOf_[http.exchange] = request.attempt;
    core_.onAttempt(request, monotonicNow());
}

void SidecarDaemon::onRevoke(const network::HttpRequest &http)
{
    Json::Value body;
    const Ret ret = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(body, framework::parseJson(http.body));
        return {};
    });
    const std::string key = framework::stringField(body, "key");
    if (!ret || key.empty()) {
        replyJson(http.exchange, 400, R"({"error":"bad revocation"})");
        return;
    }
    Json::Value answer;
    answer["verdict"] = std::string(toString(core_.onRevoke(key, framework::uintField(body, "addressed_to"), monotonicNow())));
    replyJson(http.exchange, 200, framework::writeJson(answer));
}

void SidecarDaemon::replyJson(network::ExchangeId exchange, int status, std::string body, std::string contentType)
{
    network::HttpReply reply;
    reply.status = status;
    reply.contentType = std::move(contentType);
    reply.body = std::move(body);
    replies_->reply(exchange, reply);
}

void SidecarDaemon::send(AttemptId attempt, const AttemptEvent &event)
{
    const auto found = targets_.find(attempt);
    if (found == targets_.end()) {
        return;
    }
    ReplyTarget &target = found->second;
    const bool last = attempts::isFinal(event);
    std::string data = attempts::encodeEvent(event);
    if (!target.begun && last) {
        replyJson(target.exchange, 200, std::move(data), "text/event-stream");
    } else {
        if (!target.begun) {
            target.begun = true;
            replies_->beginStream(target.exchange, 200, "text/event-stream");
        }
        if (replies_->sendChunk(target.exchange, data) != framework::ResultCode::Ok) {
            replies_->abort(target.exchange);
        }
        if (last) {
            replies_->endStream(target.exchange);
        }
    }
    if (last) {
        attemptOf_.erase(target.exchange);
        targets_.erase(attempt);
    }
}

void SidecarDaemon::onRecord(const membership::Record &record)
{
    if (record.key == "vm/" + settings_.name) {
        vmLeaving_ = record.value == "leaving";
        updateDraining();
    }
}

void SidecarDaemon::updateDraining()
{
    core_.setDraining(draining_ || vmLeaving_, monotonicNow());
}

void SidecarDaemon::tick()
{
    const Instant now = monotonicNow();
    updateDraining();
    core_.tick(now);
    if (now >= nextProbeAt_) {
        nextProbeAt_ = now + PROBE_INTERVAL;
        engine_.probe();
    }
    inFlight_ = core_.inFlight();
}

std::string SidecarDaemon::renderMetrics()
{
    const routing::LoadHint hint = core_.hint();
    const auto set = [this](const char *name, int64_t value) { gauges_.Add({{"figure", name}}).Set(static_cast<double>(value)); };
    set("in_flight", hint.inFlight);
    set("queued", hint.queued);
    set("limit", hint.limit);
    set("cold", hint.cold ? 1 : 0);
    return renderRegistry(*registry_);
}

} // namespace daisymount::daemon

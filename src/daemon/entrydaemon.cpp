// Entry process.

#include "daemon/entrydaemon.h"

#include "framework/hash.h"
#include "framework/json.h"

namespace daisymount::daemon
{

using framework::Duration;
using framework::Instant;
using framework::monotonicNow;
using framework::ResultCode;
using framework::Ret;
using membership::Member;
using membership::Record;

namespace
{
constexpr Duration REQUEST_TICK = framework::milliseconds{10};
constexpr Duration BURN_INTERVAL = framework::seconds{1};
/// Added to the time to live of address answers before a draining entry refuses.
constexpr Duration DRAIN_MARGIN = framework::milliseconds{500};

claims::ClaimsOptions claimsOptions(const NodeSettings &settings)
{
    claims::ClaimsOptions options;
    options.self = settings.name;
    return options;
}

routing::RouterOptions routerOptions(const NodeSettings &settings)
{
    routing::RouterOptions options;
    options.self = settings.name;
    options.zone = settings.zone;
    options.seed = framework::hash64(settings.name, drawIncarnation());
    return options;
}

entry::EntryOptions entryOptions(const NodeSettings &settings)
{
    entry::EntryOptions options;
    options.self = settings.name;
    options.incarnation = drawIncarnation();
    return options;
}

Json::Value burnRowJson(const slo::BurnRow &row)
{
    Json::Value value;
    value["service"] = row.service;
    value["organisation"] = row.organisation;
    for (const slo::Counts &counts : row.windows) {
        Json::Value window(Json::arrayValue);
        for (const int64_t count : {counts.total, counts.answered, counts.firstTokenGood, counts.betweenTokensGood}) {
            window.append(static_cast<Json::Int64>(count));
        }
        value["windows"].append(window);
    }
    return value;
}
} // namespace

EntryDaemon::EntryDaemon(const NodeSettings &settings, EventHistory &log)
    : settings_(settings)
    , log_(log)
    , requests_("requests", REQUEST_TICK)
    , fromReactor_(requests_.makeInbox())
    , fromControl_(requests_.makeInbox())
    , control_(settings, log, client_, controlHooks())
    , reactorToControl_(control_.makeInbox())
    , requestsToControl_(control_.makeInbox())
    , server_({settings.address, static_cast<size_t>(settings.maxBodyBytes)},
              {[this](network::HttpRequest http) { onHttp(std::move(http)); },
               [this](network::ExchangeId exchange) {
                   fromReactor_->post([this, exchange] {
                       const std::string request = callers_.forget(exchange);
                       if (!request.empty()) {
                           core_.onCallerGone(request, monotonicNow());
                       }
                   });
               }})
    , store_("http://" + settings.storeAddress, client_.makePort(requests_))
    , entryControl_(settings.name, entryControlHooks())
    , router_(routerOptions(settings))
    , claims_(claimsOptions(settings), store_,
              {[this] { return entryControl_.liveEntries(); },
               [this](std::string_view home, const claims::ForwardedRecord &record) { entryControl_.forward(home, record); }})
    , transport_(client_.makePort(requests_),
                 [this](attempts::AttemptId attempt, const attempts::AttemptEvent &event) { core_.onAttemptEvent(attempt, event, monotonicNow()); })
    , callers_(settings.name + "-" + std::to_string(drawIncarnation()) + "-", static_cast<size_t>(settings.maxBodyBytes))
    , core_(entryOptions(settings), {router_, claims_, transport_, entryControl_, callers_, log}, entryHooks(), monotonicNow())
{
    entryControl_.attach(core_, router_, claims_);
    bindMethods();
}

entry::EntryControlHooks EntryDaemon::entryControlHooks()
{
    entry::EntryControlHooks hooks;
    hooks.send = [this](std::string_view address, const std::string &method, const Json::Value &params) { control_.send(address, method, params); };
    hooks.publish = [this](const std::string &key, const std::string &value, bool urgent) { publish(key, value, urgent); };
    hooks.unixMs = unixMillis;
    return hooks;
}

ControlDutyHooks EntryDaemon::controlHooks()
{
    ControlDutyHooks hooks;
    hooks.configApplied = [this](const membership::VersionedConfig &config) {
        fromControl_->post([this, config] {
            config_ = config.config;
            revision_ = config.revision;
            entryControl_.configure(config.config);
            burn_.configure(config.config);
        });
    };
    hooks.memberChanged = [this](const Member &member) { fromControl_->post([this, member] { entryControl_.onMember(member); }); };
    hooks.recordChanged = [this](const Record &record) { fromControl_->post([this, record] { entryControl_.onRecord(record, monotonicNow()); }); };
    hooks.cutOffChanged = [](bool) {};
    hooks.message = [this](const std::string &method, const Json::Value &params) { fromControl_->post([this, method, params] { onMessage(method, params); }); };
    hooks.status = [this](Json::Value &status) {
        status["draining"] = draining_.load();
        status["open_requests"] = static_cast<Json::UInt64>(openRequests_.load());
    };
    return hooks;
}

entry::EntryHooks EntryDaemon::entryHooks()
{
    entry::EntryHooks hooks;
    hooks.outcome = [this](const entry::RequestOutcome &outcome) { onOutcome(outcome); };
    hooks.tokenGap = [this](std::string_view service, Duration gap) { metrics_.onTokenGap(service, gap); };
    hooks.convicted = [this](quarantine::Fingerprint fingerprint) { entryControl_.onConvicted(fingerprint); };
    hooks.unixMs = unixMillis;
    return hooks;
}

void EntryDaemon::bindMethods()
{
    control_.bindMethod("report.burn", [this](const Json::Value &) {
        Json::Value answer;
        const std::lock_guard lock(burnMutex_);
        answer["rows"] = burnRows_;
        return answer;
    });
}

Ret EntryDaemon::start()
{
    if (Ret bound = control_.bind(); !bound) {
        return bound;
    }
    callers_.setPort(server_.makePort());
    control_.start(server_);
    requests_.start({[this] { tick(); }, {}, -1});
    client_.start();
    return server_.start();
}

void EntryDaemon::drain()
{
    draining_ = true;
    requestsToControl_->post([this] { control_.plane().gossip().leave(monotonicNow()); });
}

bool EntryDaemon::drained() const
{
    return refusing_ && openRequests_ == 0;
}

void EntryDaemon::stop()
{
    server_.stop();
    requests_.stop();
    control_.stop();
    client_.stop();
}

void EntryDaemon::onHttp(network::HttpRequest http)
{
    // Reactor's thread.
    const network::ExchangeId exchange = http.exchange;
    if (http.path == "/rpc") {
        reactorToControl_->post([this, exchange, body = std::move(http.body)] { control_.onRpc(exchange, body); });
        return;
    }
    fromReactor_->post([this, exchange, http = std::move(http)] {
        if (http.path == "/healthz") {
            callers_.replyJson(exchange, 200, R"({"status":"ok"})");
        } else if (http.path == "/readyz") {
            onReady(exchange);
        } else if (http.path == "/metrics") {
            metrics_.update(core_.counters(), core_.openRequests(), server_.counters());
            callers_.replyJson(exchange, 200, metrics_.render(), "text/plain");
        } else if (http.path == "/v1/addresses") {
            onAddresses(http);
        } else if (refusing_) {
            callers_.refuse(exchange, ResultCode::Draining, framework::seconds{1});
        } else if (const auto request = callers_.accept(http)) {
            core_.onRequest(*request, monotonicNow());
        }
    });
}

void EntryDaemon::onReady(network::ExchangeId exchange)
{
    const bool ready = revision_ > 0 && !draining_;
    callers_.replyJson(exchange, ready ? 200 : 503, ready ? R"({"status":"ready"})" : R"({"status":"not ready"})");
}

void EntryDaemon::onAddresses(const network::HttpRequest &http)
{
    const auto organisation = http.query.find("organisation");
    const std::string name = organisation == http.query.end() ? std::string() : organisation->second;
    Json::Value answer;
    answer["addresses"] = Json::arrayValue;
    for (const std::string &address : entryControl_.addressesFor(name, draining_)) {
        answer["addresses"].append(address);
    }
    answer["ttl_ms"] = static_cast<Json::Int64>(std::chrono::duration_cast<std::chrono::milliseconds>(config_.membership.addressTtl).count());
    callers_.replyJson(http.exchange, 200, framework::writeJson(answer));
}

void EntryDaemon::onMessage(const std::string &method, const Json::Value &params)
{
    const Ret ret = entryControl_.onMessage(method, params, monotonicNow());
    if (!ret) {
        log_.report({"entry", "bad_message", ret.code, "", {{"method", method}, {"detail", ret.detail}}});
    }
}

void EntryDaemon::onOutcome(const entry::RequestOutcome &outcome)
{
    metrics_.onOutcome(outcome);
    constexpr int64_t slowGapShare = 20; // 5 in 100 gaps may be slow.
    const int httpStatus = framework::resultCodeInfo(outcome.code).httpStatus;
    slo::Sample sample;
    sample.service = outcome.service;
    sample.organisation = outcome.organisation;
    sample.answered = outcome.code == ResultCode::Ok;
    sample.firstToken = outcome.firstToken;
    sample.gapsWithinObjective = outcome.slowGaps * slowGapShare <= outcome.tokens;
    sample.callerError = httpStatus >= 400 && httpStatus < 500;
    burn_.add(sample, unixMillis());
}

void EntryDaemon::publish(const std::string &key, const std::string &value, bool urgent)
{
    requestsToControl_->post([this, key, value, urgent] { control_.publish(key, value, urgent); });
}

void EntryDaemon::snapshotBurn(Instant now)
{
    if (now < nextBurnAt_) {
        return;
    }
    nextBurnAt_ = now + BURN_INTERVAL;
    Json::Value rows(Json::arrayValue);
    for (const slo::BurnRow &row : burn_.rows(unixMillis())) {
        rows.append(burnRowJson(row));
    }
    const std::lock_guard lock(burnMutex_);
    burnRows_ = std::move(rows);
}

void EntryDaemon::tick()
{
    const Instant now = monotonicNow();
    core_.tick(now);
    entryControl_.tick(now);
    openRequests_ = core_.openRequests();
    snapshotBurn(now);
    if (!draining_) {
        return;
    }
    if (drainEndsAtUs_ == 0) {
        drainEndsAtUs_ = (now + config_.membership.addressTtl + DRAIN_MARGIN).count();
    }
    refusing_ = now.count() >= drainEndsAtUs_;
}

} // namespace daisymount::daemon

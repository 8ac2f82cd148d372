// Entry process.

#include "daemon/entrydaemon.h"

#include "entry/entrymessages.h"
#include "framework/hash.h"
#include "framework/json.h"

#include <algorithm>

namespace daisymount::daemon
{

using framework::Duration;
using framework::Instant;
using framework::monotonicNow;
using framework::ResultCode;
using framework::Ret;
using membership::Member;
using membership::MemberState;
using membership::Record;

namespace
{
constexpr Duration REQUEST_TICK = framework::milliseconds{10};
constexpr Duration PUBLISH_INTERVAL = framework::milliseconds{250};
constexpr Duration BURN_INTERVAL = framework::seconds{1};
/// Added to the time to live of address answers before a draining entry refuses.
constexpr Duration DRAIN_MARGIN = framework::milliseconds{500};
constexpr size_t ADDRESSES_PER_ANSWER = 3;
constexpr std::string_view DEMAND_PREFIX = "demand/";
constexpr std::string_view USAGE_PREFIX = "usage/";
constexpr std::string_view CRASH_PREFIX = "crash/";
constexpr std::string_view CONVICTION_PREFIX = "convicted/";
constexpr std::string_view VM_PREFIX = "vm/";

bool hasPrefix(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

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
    , router_(routerOptions(settings))
    , claims_(claimsOptions(settings), store_,
              {[this] { return liveEntries(); }, [this](std::string_view home, const claims::ForwardedRecord &record) { forward(home, record); }})
    , transport_(client_.makePort(requests_),
                 [this](attempts::AttemptId attempt, const attempts::AttemptEvent &event) { core_.onAttemptEvent(attempt, event, monotonicNow()); })
    , callers_(settings.name + "-" + std::to_string(drawIncarnation()) + "-", static_cast<size_t>(settings.maxBodyBytes))
    , core_(entryOptions(settings), {router_, claims_, transport_, *this, callers_, log}, entryHooks(), monotonicNow())
{
    bindMethods();
}

ControlDutyHooks EntryDaemon::controlHooks()
{
    ControlDutyHooks hooks;
    hooks.configApplied = [this](const membership::VersionedConfig &config) {
        fromControl_->post([this, config] {
            config_ = config.config;
            revision_ = config.revision;
            core_.configure(config.config);
            burn_.configure(config.config);
            for (const auto &[name, member] : members_) {
                onMember(member);
            }
        });
    };
    hooks.memberChanged = [this](const Member &member) { fromControl_->post([this, member] { onMember(member); }); };
    hooks.recordChanged = [this](const Record &record) { fromControl_->post([this, record] { onRecord(record); }); };
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
    hooks.convicted = [this](quarantine::Fingerprint fingerprint) {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(config_.quarantine.duration);
        publish(std::string(CONVICTION_PREFIX) + std::to_string(fingerprint), std::to_string(unixMillis() + remaining.count()), true);
    };
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
    if (const Ret bound = control_.bind(); !bound) {
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
    const uint64_t seed = framework::hash64(organisation == http.query.end() ? "" : organisation->second);
    // The same few entries for one organisation keep its limits local to them.
    std::vector<std::pair<uint64_t, std::string>> ranked;
    for (const auto &[name, entry] : config_.entries) {
        const auto member = members_.find(name);
        const bool self = name == settings_.name;
        const bool live = self ? !draining_ : member != members_.end() && member->second.state == MemberState::Alive;
        const auto zone = config_.zones.find(entry.zone);
        const bool out = entry.out || (zone != config_.zones.end() && zone->second.out);
        if (live && !out) {
            ranked.emplace_back(framework::hash64(name, seed), entry.address);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), ADDRESSES_PER_ANSWER));
    Json::Value answer;
    answer["addresses"] = Json::arrayValue;
    for (const auto &[rank, address] : ranked) {
        answer["addresses"].append(address);
    }
    answer["ttl_ms"] = static_cast<Json::Int64>(std::chrono::duration_cast<std::chrono::milliseconds>(config_.membership.addressTtl).count());
    callers_.replyJson(http.exchange, 200, framework::writeJson(answer));
}

void EntryDaemon::onMember(const Member &member)
{
    members_[member.name] = member;
    router_.setAlive(member.name, member.state != MemberState::Dead);
    const bool leaving = member.state == MemberState::Leaving;
    if (member.role == "sidecar" && leaving) {
        router_.setLeaving(member.name, true);
    } else if (member.role == "sidecar" && member.state == MemberState::Alive) {
        router_.setLeaving(member.name, false);
    }
    if (member.role == "entry" && (member.state == MemberState::Dead || leaving)) {
        core_.limiter().forgetPeer(member.name);
    }
}

void EntryDaemon::onRecord(const Record &record)
{
    const std::string_view key = record.key;
    const Instant now = monotonicNow();
    if (hasPrefix(key, DEMAND_PREFIX)) {
        core_.limiter().onPeerDemand(key.substr(DEMAND_PREFIX.size()), entry::decodeDemand(record.value), now);
    } else if (hasPrefix(key, USAGE_PREFIX)) {
        core_.billing().onPeerUsage(key.substr(USAGE_PREFIX.size()), entry::decodeUsage(record.value));
    } else if (hasPrefix(key, CRASH_PREFIX)) {
        core_.onCrashReport(entry::decodeCrash(record.value), now);
    } else if (hasPrefix(key, VM_PREFIX)) {
        router_.setLeaving(key.substr(VM_PREFIX.size()), record.value == "leaving");
    } else if (hasPrefix(key, CONVICTION_PREFIX)) {
        const uint64_t fingerprint = std::strtoull(record.key.c_str() + CONVICTION_PREFIX.size(), nullptr, 10);
        const int64_t untilMs = std::strtoll(record.value.c_str(), nullptr, 10);
        core_.onConviction({fingerprint, std::chrono::milliseconds{std::max<int64_t>(0, untilMs - unixMillis())}}, now);
    }
}

void EntryDaemon::onMessage(const std::string &method, const Json::Value &params)
{
    const Instant now = monotonicNow();
    const Ret ret = framework::attempt([&]() -> framework::Result<void> {
        if (method == "claims.forward") {
            onForward(params);
        } else if (method == "claims.verdict") {
            BOOST_LEAF_AUTO(verdict, entry::verdictFromJson(params));
            claims_.onForwardReply(verdict.id, verdict.outcome, now, unixMillis());
        } else if (method == "owner.query") {
            BOOST_LEAF_AUTO(query, entry::queryFromJson(params));
            control_.send(addressOf(query.asker), "owner.answer", toJson(core_.onOwnerQuery(query)));
        } else if (method == "owner.answer") {
            BOOST_LEAF_AUTO(answer, entry::answerFromJson(params));
            core_.onOwnerAnswer(answer, now);
        }
        return {};
    });
    if (!ret) {
        log_.report({"entry", "bad_message", ret.code, "", {{"method", method}, {"detail", ret.detail}}});
    }
}

void EntryDaemon::onForward(const Json::Value &params)
{
    static_cast<void>(framework::attempt([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(message, entry::forwardFromJson(params));
        const std::string id = claims::ClaimsRegistry::replyId(message.record.record);
        const auto reply = [this, id, to = message.from](const claims::ClaimOutcome &outcome) {
            control_.send(addressOf(to), "claims.verdict", toJson(entry::VerdictMessage{id, outcome}));
        };
        claims_.onForwarded(message.record, reply, monotonicNow(), unixMillis());
        return {};
    }));
}

void EntryDaemon::forward(std::string_view home, const claims::ForwardedRecord &record)
{
    control_.send(addressOf(home), "claims.forward", toJson(entry::ForwardMessage{settings_.name, record}));
}

void EntryDaemon::query(std::string_view entry, const entry::OwnerQuery &query)
{
    if (entry == settings_.name) {
        // Asked and answered in the next turn, as between any two entries.
        requestsToControl_->post([this, query] { fromControl_->post([this, query] { core_.onOwnerAnswer(core_.onOwnerQuery(query), monotonicNow()); }); });
        return;
    }
    control_.send(addressOf(entry), "owner.query", toJson(query));
}

bool EntryDaemon::isAlive(std::string_view entry) const
{
    const auto found = members_.find(entry);
    return entry == settings_.name || (found != members_.end() && found->second.state != MemberState::Dead);
}

std::vector<std::string> EntryDaemon::liveEntries() const
{
    std::vector<std::string> names{settings_.name};
    for (const auto &[name, member] : members_) {
        if (member.role == "entry" && member.state == MemberState::Alive && name != settings_.name) {
            names.push_back(name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::string EntryDaemon::addressOf(std::string_view member) const
{
    const auto found = members_.find(member);
    return found == members_.end() ? std::string() : found->second.address;
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

void EntryDaemon::publish(std::string key, std::string value, bool urgent)
{
    requestsToControl_->post([this, key = std::move(key), value = std::move(value), urgent] { control_.publish(key, value, urgent); });
}

void EntryDaemon::publishUsage(Instant now)
{
    if (now < nextPublishAt_) {
        return;
    }
    nextPublishAt_ = now + PUBLISH_INTERVAL;
    std::string demand = entry::encodeDemand(core_.limiter().demand(now));
    if (demand != lastDemand_) {
        lastDemand_ = demand;
        publish(std::string(DEMAND_PREFIX) + settings_.name, std::move(demand), false);
    }
    std::string usage = entry::encodeUsage(core_.billing().usage(unixMillis()));
    if (usage != lastUsage_) {
        lastUsage_ = usage;
        publish(std::string(USAGE_PREFIX) + settings_.name, std::move(usage), false);
    }
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
    publishUsage(now);
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

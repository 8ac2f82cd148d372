// Component setup, signal handling, page handlers and graceful shutdown of a gateway process.

#include "gateway/gateway.h"

#include "framework/json.h"
#include "gateway/callersession.h"
#include "gateway/exchange.h"
#include "platform/fleetcodec.h"
#include "platform/headers.h"

#include <chrono>
#include <csignal>

namespace daisymount::gateway
{

namespace
{
namespace asio = transport::asio;
using framework::ResultCode;

constexpr size_t MAX_ADDRESSES = 64;
constexpr milliseconds HOUSEKEEPING_INTERVAL{250};
constexpr milliseconds SETTINGS_POLL_INTERVAL{2'000};
/// Draining ends this long before the grace period does, so that the last responses are transmitted before SIGKILL.
constexpr milliseconds EXIT_MARGIN{500};
/// A loop that is late reaches its exit together with requests that have arrived meanwhile. They are answered in this time, part of EXIT_MARGIN.
constexpr milliseconds LAST_ANSWERS_TIME{50};
/// Callers with a cached address connect within this time after it has expired.
constexpr milliseconds LAST_CONNECT_TIME{500};
constexpr milliseconds DRAIN_POLL_INTERVAL{50};
/// Time for the last log lines. Most of EXIT_MARGIN stays for the responses.
constexpr milliseconds FINAL_FLUSH_TIME{100};
/// A caller sends its first request within this time after it has opened a connection.
constexpr milliseconds FIRST_REQUEST_WAIT{250};
/// Upstream data read by another gateway is relied on up to this fraction of the time in which a draining upstream still accepts requests. The
/// rest of that time covers the interval until the next read and the transmission of the response.
constexpr int READER_FRESH_NUMERATOR = 9;
constexpr int READER_FRESH_DENOMINATOR = 20;
/// The longest retry delay is the contact bound divided by this number, so that a recovered store is detected in time.
constexpr int STORE_RETRIES_PER_CONTACT = 3;

int64_t unixMillis()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

peers::Peer localPeer(const fleet::NodeSettings &settings)
{
    peers::Peer self;
    self.name = settings.name;
    self.incarnation = unixMillis();
    self.ip = settings.ip;
    self.callerAddress = settings.callerAddress;
    self.zone = settings.zone;
    self.processorShare = settings.processorShare;
    return self;
}

uint64_t randomSeed()
{
    std::random_device device;
    return device();
}

/// Logs an event of the registration of an upstream in the store.
void reportRegistration(GatewayContext &context, std::string_view event, ResultCode code, const fleet::KnownUpstream &known)
{
    context.log.report({"upstreams",
                        event,
                        code,
                        "",
                        {{"upstream", known.upstream.id},
                         {"born_ms", std::to_string(known.upstream.bornMs)},
                         {"sequence", std::to_string(known.upstream.sequence)},
                         {"revision", std::to_string(known.revision.revision)},
                         {"era", std::to_string(known.revision.era)},
                         {"told_by", "list"}}});
}

void reportNewEra(GatewayContext &context, int64_t before, int64_t era, std::string_view toldBy)
{
    context.log.report({"store",
                        "new_era",
                        ResultCode::Ok,
                        "",
                        {{"era", std::to_string(era)},
                         {"era_before", std::to_string(before)},
                         {"told_by", std::string(toldBy)},
                         {"config_version", std::to_string(context.view.config()->version)},
                         {"config_revision", context.view.configRevision().toText()},
                         {"zones_revision", context.view.zonesRevision().toText()},
                         {"upstreams_revision", context.view.upstreamsRevision().toText()}}});
}
} // namespace

GatewayContext::GatewayContext(fleet::NodeSettings nodeSettings, const asio::any_io_executor &reactor, peers::Peer self, uint64_t seed)
    : settings(std::move(nodeSettings))
    , executor(reactor)
    , view(platform::fleetDecoder())
    , currency({.maxAge = settings.bounds.maxConfigAge(), .maxRetryInterval = settings.bounds.contact / STORE_RETRIES_PER_CONTACT, .seed = seed})
    , dispatcher({settings.zone, settings.bounds.coldOvershoot, settings.bounds.coldSlack, seed})
    , admission({}, seed)
    , retryDelay(seed)
    , retryBudget({settings.bounds.retryBudgetRatio, settings.bounds.retrySlack, settings.bounds.retryWindow}, framework::monotonicNow())
    , pool(reactor)
    , httpClient(reactor)
    , store(*this)
    , peers(std::move(self),
            {.maxReaderAge = settings.bounds.drain * READER_FRESH_NUMERATOR / READER_FRESH_DENOMINATOR,
             .pausedWithin = [this](Instant from, Instant to) { return loopPauses.within(from, to); },
             .seed = seed})
    , crashes({.seed = seed})
    , crashDetector(*this)
    , log({settings.name, settings.zone})
    , loadControl(*this, seed)
    , random(static_cast<unsigned>(seed))
{
    httpClient.setPausedWithin([this](Instant from, Instant to) { return loopPauses.within(from, to); });
    loopPauses.onPause = [this](framework::Duration pause) {
        log.report({"process", "loop_paused", ResultCode::Ok, "", {{"ms", std::to_string(std::chrono::duration_cast<milliseconds>(pause).count())}}});
    };
    view.onMalformedUpstream = [this](const fleet::StoredItem &item) {
        log.report({"upstreams",
                    "malformed_entry",
                    ResultCode::BadMessage,
                    "",
                    {{"upstream", item.key}, {"revision", item.revision.toText()}, {"bytes", std::to_string(item.value.size())}}});
    };
    view.onOutdatedUpstream = [this](const fleet::StoredItem &item) {
        log.report({"upstreams", "outdated_entry", ResultCode::Ok, "", {{"upstream", item.key}, {"revision", item.revision.toText()}}});
    };
    view.onUpstreamLeaving = [this](const fleet::KnownUpstream &known) { reportRegistration(*this, "leaving", ResultCode::Draining, known); };
    view.onUpstreamRemoved = [this](const fleet::KnownUpstream &known) { reportRegistration(*this, "removed", ResultCode::Ok, known); };
    storeEra.onNewEra = [this](int64_t before, int64_t era, std::string_view toldBy) {
        reportNewEra(*this, before, era, toldBy);
        beginStoreEra(era);
    };
    silenceDetector.onSilenceChanged = [this](std::string_view upstream, bool silent, framework::Duration silence) {
        metrics.onSilenceChange(silent);
        log.report({"upstreams",
                    silent ? "silent" : "responding",
                    silent ? ResultCode::UpstreamUnreachable : ResultCode::Ok,
                    "",
                    {{"upstream", std::string(upstream)},
                     {"silent_ms", std::to_string(std::chrono::duration_cast<milliseconds>(silence).count())},
                     {"in_flight", std::to_string(dispatcher.inFlight(upstream))}}});
    };
    passTimeTracker.onStallChanged = [this](std::string_view service, bool stalled, framework::Duration silence) {
        log.report({"upstreams",
                    stalled ? "group_stalled" : "group_progressing",
                    stalled ? ResultCode::UpstreamUnreachable : ResultCode::Ok,
                    "",
                    {{"service", std::string(service)},
                     {"silent_ms", std::to_string(std::chrono::duration_cast<milliseconds>(silence).count())},
                     {"in_flight", std::to_string(dispatcher.engineLoad(service, framework::monotonicNow()).inFlight)}}});
    };
}

configsync::KeyRevisions keyRevisions(const fleet::FleetView &view)
{
    return {{view.configRevision(), view.config()->version}, view.zonesRevision(), view.zonesDigest()};
}

bool GatewayContext::nothingPending(Instant now) const
{
    return openExchanges.empty() && requestsBeingRead == 0 && now - acceptedAt > FIRST_REQUEST_WAIT;
}

Instant GatewayContext::listeningTime(Instant now) const
{
    return loopPauses.listeningTime(now);
}

void GatewayContext::reportFailedCall(std::string_view target, std::string_view name, const transport::HttpReply &reply, Instant begin)
{
    const Instant now = framework::monotonicNow();
    const auto toMs = [](framework::Duration duration) { return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count()); };
    log.report({"store",
                "call_failed",
                ResultCode::ReplyLost,
                "",
                {{"target", std::string(target)},
                 {"call", std::string(name)},
                 {"status", std::to_string(reply.status)},
                 {"bytes", std::to_string(reply.bytesReceived)},
                 {"ms", toMs(now - begin)},
                 {"own_pauses_ms", toMs(loopPauses.within(begin, now))}}});
}

void GatewayContext::beginStoreEra(int64_t era)
{
    currency.onNewEra(era);
    // Before the first configuration nothing can have been lost.
    if (view.hasConfig()) {
        view.onNewEra(era, framework::monotonicNow(), settings.bounds.evacuate);
    }
    for (const std::function<void()> &handler : onNewStoreEra) {
        handler();
    }
}

bool GatewayContext::mustRefuseAsStale(Instant now) const
{
    const std::optional<framework::Duration> age = currency.evidenceAge(now);
    return settings.bounds.revokeWhenPartitioned && (!age || *age > settings.bounds.revoke);
}

Gateway::Gateway(const fleet::NodeSettings &settings, SettingsReader reader)
    : reactor_(1)
    , reader_(std::move(reader))
    , context_(settings, reactor_.get_executor(), localPeer(settings), randomSeed())
    , storeSync_(context_, [this] { onFleetChange(); })
    , peerLink_(context_)
    , convictionStore_(context_)
    , mapController_(context_)
    , signals_(reactor_, SIGTERM, SIGINT, SIGHUP)
{
    context_.onNewerKeysKnown = [this] { storeSync_.wakeSync(); };
    context_.onConvicted = [this](crashattribution::Fingerprint fingerprint) { convictionStore_.onConvicted(fingerprint); };
    context_.onConvictionLifted = [this](crashattribution::Fingerprint fingerprint) { convictionStore_.onConvictionLifted(fingerprint); };
}

bool Gateway::run()
{
    transport::setTaskFailureHandler([this](const transport::TaskFailure &failure) { onTaskFailure(failure); });
    for (const std::string &ip : context_.settings.seedIps) {
        context_.peers.addAddress(ip, framework::monotonicNow());
    }
    listen();
    watchSignals();
    storeSync_.start();
    peerLink_.start();
    convictionStore_.start();
    mapController_.start();
    transport::spawnLoop(context_.executor, "housekeeping", [this] { return housekeeping(); });
    context_.log.report({"process", "started", ResultCode::Ok, "", {{"callers", context_.settings.callerAddress}, {"store", context_.settings.store.address}}});
    reactor_.run();
    reportExit();
    context_.log.flushWithin(FINAL_FLUSH_TIME);
    return !loopFailed_;
}

void Gateway::onTaskFailure(const transport::TaskFailure &failure)
{
    context_.metrics.onTaskFailure(failure.task);
    context_.log.report({"process",
                         failure.isLoop ? "loop_failed" : "task_failed",
                         ResultCode::Internal,
                         "",
                         {{"task", std::string(failure.task)}, {"what", failure.what}, {"exhausted", failure.exhausted ? "yes" : "no"}}});
    if (failure.exhausted && !context_.draining) {
        // The platform starts the process again with a fresh state. A gateway without one of its loops must not count as ready.
        loopFailed_ = true;
        startDraining(0);
    }
}

void Gateway::listen()
{
    const auto endpoint = [](const std::string &address) { return transport::parseEndpoint(address).value_or(asio::ip::tcp::endpoint()); };
    const fleet::NodeSettings &settings = context_.settings;
    callerAcceptor_ = transport::listenAt(context_.executor, endpoint(settings.callerAddress), [this](const transport::ConnectionPtr &connection) {
        transport::spawnTask(context_.executor, "serve_caller", serveCaller(context_, connection), [connection] { connection->reset(); });
    });
    transport::listenAndServe(context_.executor, endpoint(settings.readyAddress), [this](const transport::ServerRequest &) { return readyPage(); });
    transport::listenAndServe(context_.executor, endpoint(settings.directoryAddress),
                              [this](const transport::ServerRequest &request) { return directoryPage(request); });
    transport::listenAndServe(context_.executor, endpoint(settings.metricsAddress), [this](const transport::ServerRequest &) {
        updateGauges();
        return transport::ServerResponse{200, "text/plain; version=0.0.4", context_.metrics.render()};
    });
}

void Gateway::watchSignals()
{
    signals_.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else if (!context_.draining) {
            startDraining(signal);
        }
        watchSignals();
    });
}

void Gateway::onFleetChange()
{
    context_.dispatcher.onFleetChange(context_.view, framework::monotonicNow());
    context_.peers.self().serving = ready();
    if (ready() != wasReady_) {
        wasReady_ = ready();
        context_.log.report(
            {"process",
             wasReady_ ? "ready" : "not_ready",
             ResultCode::Ok,
             "",
             {{"config_version", std::to_string(context_.view.config()->version)}, {"upstreams", std::to_string(context_.view.upstreams().size())}}});
    }
}

bool Gateway::ready() const
{
    return context_.view.hasConfig() && !context_.awaitsPeerKeys && !context_.view.upstreams().empty() && !context_.draining;
}

transport::ServerResponse Gateway::readyPage() const
{
    return {ready() ? 200 : 503, "application/json", ready() ? "{\"ready\":true}" : "{\"ready\":false}"};
}

transport::ServerResponse Gateway::directoryPage(const transport::ServerRequest &request)
{
    if (!request.target.starts_with(platform::DIRECTORY_PATH)) {
        return {404, "text/plain", "unknown page\n"};
    }
    const std::string zone = transport::queryValue(request.target, platform::DIRECTORY_ZONE_PARAMETER);
    std::vector<std::string> sameZone;
    std::vector<std::string> otherZones;
    const auto add = [&](const std::string &address, std::string_view gatewayZone) { (gatewayZone == zone ? sameZone : otherZones).push_back(address); };
    if (ready()) {
        add(context_.settings.callerAddress, context_.settings.zone);
    }
    for (const peers::Peer &peer : context_.peers.serving(framework::monotonicNow())) {
        add(peer.callerAddress, peer.zone);
    }
    sameZone.insert(sameZone.end(), otherZones.begin(), otherZones.end());
    if (sameZone.size() > MAX_ADDRESSES) {
        sameZone.resize(MAX_ADDRESSES);
    }
    if (sameZone.empty()) {
        return {503, "application/json", "{}"};
    }
    return {200, "application/json", platform::directoryResponse(sameZone, context_.settings.bounds.addressTtl())};
}

void Gateway::reload()
{
    const framework::Ret read = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(settings, reader_());
        // Addresses and names are fixed for the lifetime of the process; bounds and the store settings may change.
        context_.settings.bounds = settings.bounds;
        context_.currency.setMaxAge(settings.bounds.maxConfigAge());
        context_.settings.store = settings.store;
        return {};
    });
    context_.log.report({"process", "reloaded", read.code, "", {{"detail", read.detail}}});
}

void Gateway::startDraining(int signal)
{
    context_.draining = true;
    context_.drainingSince = framework::monotonicNow();
    context_.callersGoneAt = context_.drainingSince + context_.settings.bounds.addressExpiry();
    context_.exitAt = context_.drainingSince + context_.settings.bounds.grace - EXIT_MARGIN;
    context_.log.report({"process",
                         "draining",
                         ResultCode::Draining,
                         "",
                         {{"signal", std::to_string(signal)}, {"active_requests", std::to_string(context_.openExchanges.size())}}});
    onFleetChange();
    peerLink_.broadcastHeartbeat();
    transport::spawnTask(context_.executor, "drain", drain(), [this] { reactor_.stop(); });
}

asio::awaitable<void> Gateway::drain()
{
    const Instant stopListeningAt = context_.callersGoneAt + LAST_CONNECT_TIME;
    transport::spawnTask(context_.executor, "unregister", storeSync_.unregister());
    while (framework::monotonicNow() < context_.exitAt) {
        co_await transport::sleepFor(DRAIN_POLL_INTERVAL);
        const Instant now = framework::monotonicNow();
        if (now <= stopListeningAt) {
            continue;
        }
        // Connections that the kernel had accepted have been taken over by now; later ones are refused before a request is sent.
        boost::system::error_code ignored;
        callerAcceptor_->close(ignored);
        if (context_.nothingPending(now)) {
            reactor_.stop();
            co_return;
        }
    }
    co_await transport::sleepFor(LAST_ANSWERS_TIME);
    reactor_.stop();
}

void Gateway::reportExit()
{
    for (const Exchange *exchange : context_.openExchanges) {
        exchange->reportCut("process_exit");
    }
    const DrainTally &tally = context_.drainTally;
    const auto sinceSignal
        = [this](Instant at) { return std::to_string(at == Instant{0} ? 0 : std::chrono::duration_cast<milliseconds>(at - context_.drainingSince).count()); };
    context_.log.report({"process",
                         "stopped",
                         ResultCode::Ok,
                         "",
                         {{"active_requests", std::to_string(context_.openExchanges.size())},
                          {"since_signal_ms", sinceSignal(framework::monotonicNow())},
                          {"passed_on", std::to_string(tally.passedOn)},
                          {"refused", std::to_string(tally.refused)},
                          {"cut", std::to_string(tally.cut)},
                          {"last_end_ms", sinceSignal(tally.lastEndAt)}}});
}

asio::awaitable<void> Gateway::housekeeping()
{
    Instant lastSettingsCheck = framework::monotonicNow();
    std::string known = context_.settings.fingerprint;
    while (true) {
        context_.log.flush();
        context_.pool.closeExpired();
        const Instant now = framework::monotonicNow();
        if (now - lastSettingsCheck >= SETTINGS_POLL_INTERVAL) {
            lastSettingsCheck = now;
            std::string current = known;
            const framework::Ret read = framework::evaluate([&]() -> framework::Result<void> {
                BOOST_LEAF_AUTO(settings, reader_());
                current = settings.fingerprint;
                return {};
            });
            if (read && current != known) {
                known = current;
                reload();
            }
        }
        co_await transport::sleepFor(HOUSEKEEPING_INTERVAL);
    }
}

void Gateway::updateGauges()
{
    context_.metrics.setGauge("active_requests", static_cast<double>(context_.openExchanges.size()));
    context_.metrics.setGauge("config_version", static_cast<double>(context_.view.config()->version));
    context_.metrics.setGauge("upstreams", static_cast<double>(context_.view.upstreams().size()));
    context_.metrics.setGauge("peers_possibly_alive", context_.peers.possiblyAliveCount(framework::monotonicNow()));
    context_.metrics.setGauge("crash_suspects", static_cast<double>(context_.crashes.suspects()));
    context_.metrics.setGauge("crash_convictions", static_cast<double>(context_.crashes.convictions(framework::monotonicNow())));
    const Instant now = framework::monotonicNow();
    const auto seconds = [](framework::Duration duration) { return std::chrono::duration<double>(duration).count(); };
    context_.metrics.setGauge("config_behind_seconds", seconds(context_.currency.behindFor(now)));
    context_.metrics.setGauge("config_evidence_age_seconds", seconds(context_.currency.evidenceAge(now).value_or(framework::Duration{-1'000'000})));
    const framework::Duration longestPause = context_.loopPauses.longest(now);
    context_.metrics.setGauge("longest_loop_pause_seconds", seconds(longestPause));
    context_.loadControl.forEachLoad([this](std::string_view service, double limit, double inFlight) {
        context_.metrics.setGauge("limit_" + std::string(service), limit);
        context_.metrics.setGauge("in_flight_" + std::string(service), inFlight);
    });
    context_.metrics.setGauge("store_era", static_cast<double>(context_.storeEra.current()));
    context_.metrics.setGauge("store_reachable", storeSync_.storeReachable() ? 1.0 : 0.0);
}

} // namespace daisymount::gateway

// Starts a site, plays callers and an operator, and judges what callers saw.

#include "soak/site.h"

#include "framework/json.h"
#include "platform/fleetcodec.h"
#include "platform/standins/wireformat.h"
#include "transport/httpserver.h"

#include <algorithm>
#include <csignal>

namespace daisymount::soak
{

namespace
{
using framework::seconds;
using gateway::tests::CallerResult;

constexpr seconds GRACE{8};
constexpr milliseconds DEADLINE{8'000};
constexpr milliseconds LOSS_SLACK{200};
constexpr milliseconds DEADLINE_MARGIN{100};
/// An engine that still works in the last sixth of the grace period, on a request sent at most this long after SIGTERM, excuses a cut answer.
constexpr seconds EXCUSED_AFTER_SIGTERM{3};
constexpr milliseconds START_TIMEOUT{20'000};
constexpr milliseconds RESTART_DELAY{500};
constexpr milliseconds WATCH_INTERVAL{20};
constexpr milliseconds DEMAND_INTERVAL{3'500};
constexpr milliseconds WRITE_TIMEOUT{2'000};
constexpr int MAX_ADDRESS_LIFETIMES = 3;
/// Ports of the site's own protocols, from the first one on. Agents listen at the addresses of the engines.
constexpr int PEER_PORTS = 16;
constexpr int64_t MAX_IDLE_ROUTES = 20;
/// Key under which a gateway says that it controls the maps.
const std::string CONTROLLER_KEY = "daisymount/maps/controller";
constexpr int MIN_TOKENS = 20;
constexpr int MAX_TOKENS = 350;
constexpr int MEAN_TOKENS = 140;

const std::string CONFIG = R"({"version":1,"routes":[{"name":"draft","host":"a.example","prefix":"/draft/","kind":"stream","timeout_ms":8000,
"target_latency_ms":400,"priority":1,"service":"model","max_attempts":2,"public":true,"sticky_sessions":true,"resumable":true,"gap_aim_ms":120}],
"services":[{"name":"model","health_path":"/healthz","max_connections":408,"cold_start_s":3.0,"cold_per_s":36.0,
"engine":{"slots":12,"kv_capacity":372000,"kv_token_bytes":96256,"link_mbps":180000.0,"stride":5,"models":[{"name":"m"}],"step_ms":5.85,
"per_seq_ms":0.355,"context_per_k":0.036,"read_per_s":61200.0,"pairs_per_m":0.325,"chunk":512,"report_lag_ms":0.0,"delays":[],
"usual":{"prompt":835,"answer":138},"sets":4,"experts":72,"placements":8,"spares":3,"expert_mb":780.0,"expert_share":0.85,"form_ms":600.0}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";

/// A network of loopback for one run, so that runs beside each other do not meet.
std::string freeNetwork()
{
    std::random_device device;
    return "127." + std::to_string(80 + device() % 100) + "." + std::to_string(1 + device() % 250) + ".";
}

uint16_t freePort(asio::io_context &reactor, const std::string &ip)
{
    asio::ip::tcp::acceptor probe(reactor, {asio::ip::make_address_v4(ip), 0});
    return probe.local_endpoint().port();
}

std::string zoneOf(int number)
{
    return std::string(1, static_cast<char>('a' + number % 3));
}

int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

/// Field of a log line that says when a draining gateway passed a request on.
constexpr std::string_view SINCE_SIGNAL = "\"since_signal_ms\":\"";

/// True for the log line of a stream that a draining gateway passed on late.
bool isLatePassedOn(const std::string &line)
{
    const size_t at = line.find(SINCE_SIGNAL);
    return line.find("\"event\":\"passed_on\"") != std::string::npos && line.find("\"stated_ms\":\"unknown\"") == std::string::npos && at != std::string::npos
        && std::atoi(line.c_str() + at + SINCE_SIGNAL.size()) > EXCUSED_AFTER_SIGTERM / milliseconds{1};
}

SiteOptions withProfile(SiteOptions options)
{
    if (options.profile == nullptr) {
        return options;
    }
    const fleet::EngineProfile &engine = *options.profile->engines.engine;
    options.gateways = options.profile->gateways;
    options.group.ranks = options.profile->ranks;
    options.group.sets = engine.experts->sets;
    options.group.experts = engine.experts->experts;
    options.group.slots = engine.slots;
    options.group.queue = options.profile->queuePerEngine;
    options.group.tokensPerEvent = engine.stepsPerPass;
    options.group.copyTime = std::chrono::duration_cast<milliseconds>(engine.experts->copyTime);
    options.group.timing = engine;
    options.group.timeToFirstPass = options.profile->timeToFirstPass;
    options.group.topicShare = options.profile->topicShare;
    return options;
}

/// True if the body holds each event of a stream once and in order.
bool hasAllEvents(const std::string &body, int events)
{
    std::string expected;
    for (int i = 0; i < events; ++i) {
        expected += "id: " + std::to_string(i) + "\ndata: token\n\n";
    }
    return body == expected;
}
} // namespace

Site::Site(asio::io_context &reactor, const SiteOptions &options)
    : reactor_(reactor)
    , options_(withProfile(options))
    , random_(options.seed)
    , network_(freeNetwork())
    , store_(reactor.get_executor())
    , writes_(reactor.get_executor(), store_, options.seed + 2)
    , group_(reactor.get_executor(), options_.group, network_, options.seed)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "daisymount-soak-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
    record_.open(folder_ / "record.txt");
    group_.onEvent = [this](const std::string &line) { record(line); };
    group_.onLateArrival = [this](const std::string &id, Duration late) {
        breakPromise(id + " reached a rank " + std::to_string(toMs(late)) + " ms after it had told of its leaving");
    };
    observeStore();
}

const Totals &Site::totals() const
{
    return totals_;
}

const RankGroup &Site::group() const
{
    return group_;
}

Duration Site::latestArrival() const
{
    return plain_ ? std::max(plain_->latestArrival(), group_.latestArrival()) : group_.latestArrival();
}

const std::filesystem::path &Site::folder() const
{
    return folder_;
}

void Site::record(const std::string &line)
{
    record_ << toMs(framework::monotonicNow() - begin_) << " " << line << std::endl;
}

void Site::breakPromise(const std::string &what)
{
    record("BROKEN " + what);
    broken_.push_back(std::to_string(toMs(framework::monotonicNow() - begin_)) + " ms: " + what);
}

void Site::startProcesses()
{
    configure();
    for (int rank = 0; rank < options_.group.ranks; ++rank) {
        writes_.write(std::string(platform::UPSTREAM_PREFIX) + group_.id(rank), group_.registration(rank, "model", zoneOf(rank)));
    }
    if (options_.profile != nullptr) {
        startPlainService(network_);
    }
    const std::string first = network_ + "101";
    SitePorts ports{freePort(reactor_, first), freePort(reactor_, first), freePort(reactor_, first), freePort(reactor_, first), freePort(reactor_, first)};
    while (group_.usesPort(ports.peer, ports.peer + PEER_PORTS)) {
        ports.peer = freePort(reactor_, first);
    }
    ProcessOptions common;
    common.store = store_.address();
    common.ports = ports;
    common.folder = folder_;
    for (int i = 0; i < std::min(3, options_.gateways); ++i) {
        common.seeds.push_back(network_ + std::to_string(101 + i));
    }
    for (int i = 0; i < options_.gateways; ++i) {
        ProcessOptions gateway = common;
        gateway.program = options_.gatewayProgram;
        gateway.name = "front-" + zoneOf(i) + "-" + std::to_string(i / 3 + 1);
        gateway.ip = network_ + std::to_string(101 + i);
        gateway.zone = zoneOf(i);
        gateways_.push_back(std::make_unique<Process>(gateway));
    }
    for (int i = 0; i < options_.group.ranks; ++i) {
        ProcessOptions agent = common;
        agent.program = options_.rankAgentProgram;
        agent.name = "side-" + std::to_string(i + 1);
        agent.ip = network_ + std::to_string(i + 1);
        agent.zone = zoneOf(i);
        agent.engine = group_.address(i);
        agents_.push_back(std::make_unique<Process>(agent));
    }
    for (auto *processes : {&agents_, &gateways_}) {
        for (const auto &process : *processes) {
            if (!process->start()) {
                breakPromise(process->name() + " cannot be started");
            }
        }
    }
}

asio::awaitable<bool> Site::waitUntilReady()
{
    const Instant limit = framework::monotonicNow() + START_TIMEOUT;
    Directory directory;
    while (framework::monotonicNow() < limit) {
        directory = {};
        co_await resolve(directory, random_);
        if (directory.addresses.size() == gateways_.size()) {
            co_return true;
        }
        co_await transport::sleepFor(milliseconds{100});
    }
    co_return false;
}

std::vector<std::string> Site::run()
{
    begin_ = framework::monotonicNow();
    startProcesses();
    asio::co_spawn(
        reactor_,
        [](Site *self) -> asio::awaitable<void> {
            if (!co_await self->waitUntilReady()) {
                self->breakPromise("the site does not become ready");
                self->finished_ = true;
                co_return;
            }
            self->record("all gateways are ready");
            self->end_ = framework::monotonicNow() + self->options_.duration;
            asio::co_spawn(self->reactor_, self->watchProcesses(), asio::detached);
            asio::co_spawn(self->reactor_, self->shiftDemand(), asio::detached);
            asio::co_spawn(self->reactor_, self->operate(self->options_.seed), asio::detached);
            self->startCallers();
            if (self->options_.storeReturns > 0) {
                self->writes_.start(self->options_.storeReturns, self->end_);
                asio::co_spawn(self->reactor_, self->watchVersions(), asio::detached);
                asio::co_spawn(self->reactor_, self->evacuateZones(self->options_.seed + 3), asio::detached);
            }
            co_await transport::sleepFor(self->options_.duration + GRACE + DEADLINE);
            self->finished_ = true;
        }(this),
        asio::detached);
    asio::co_spawn(reactor_, watchPauses(), asio::detached);
    while (!finished_) {
        reactor_.run_for(std::chrono::milliseconds{50});
    }
    countLoggedCuts();
    judgeSenders();
    if (group_.mixedPasses() > 0) {
        breakPromise(std::to_string(group_.mixedPasses()) + " passes began on different maps");
    }
    for (auto *processes : {&agents_, &gateways_}) {
        for (const auto &process : *processes) {
            process->kill();
        }
    }
    return broken_;
}

void Site::configure()
{
    if (options_.profile == nullptr) {
        writes_.write(std::string(platform::CONFIG_KEY), CONFIG);
        return;
    }
    fleet::FleetConfig config = options_.profile->config();
    config.version = configVersion_;
    // Routes without traffic that come and go with the versions.
    for (int64_t i = 0; i < configVersion_ % MAX_IDLE_ROUTES; ++i) {
        fleet::Route idle = config.routes.back();
        idle.name = "idle" + std::to_string(i);
        idle.prefix = "/idle" + std::to_string(i) + "/";
        config.routes.push_back(idle);
    }
    writes_.write(std::string(platform::CONFIG_KEY), platform::standins::encodeConfig(config));
}

void Site::startPlainService(const std::string &network)
{
    std::vector<std::string> ips;
    ips.reserve(static_cast<size_t>(options_.profile->plainUpstreams));
    for (int i = 0; i < options_.profile->plainUpstreams; ++i) {
        ips.push_back(network + std::to_string(201 + i));
    }
    const Amount workMs = options_.profile->classes.back().workMs;
    plain_ = std::make_unique<PlainService>(reactor_.get_executor(), options_.profile->plain.name, options_.profile->plainSlots, workMs, std::move(ips),
                                            options_.seed);
    plain_->onEvent = [this](const std::string &line) { record(line); };
    plain_->onLateArrival = [this](const std::string &id, Duration late) {
        breakPromise(id + " reached a plain upstream " + std::to_string(toMs(late)) + " ms after the store had acknowledged its leaving");
    };
    plain_->onArrival = [this](const std::string &id, const std::string &zone) { checks_.judgeArrival(id, zone, framework::monotonicNow()); };
    plain_->start([this](const std::string &id, const std::optional<fleet::Upstream> &registration) {
        writes_.write(std::string(platform::UPSTREAM_PREFIX) + id,
                      registration ? std::optional(platform::standins::encodeUpstream(*registration)) : std::nullopt);
    });
}

void Site::startCallers()
{
    if (options_.profile == nullptr) {
        for (int i = 0; i < options_.callers; ++i) {
            asio::co_spawn(reactor_, call(options_.seed * 1'000 + static_cast<unsigned>(i)), asio::detached);
        }
        return;
    }
    const auto directories = [this](int zone) {
        std::vector<std::string> sameZone;
        std::vector<std::string> others;
        for (size_t i = 0; i < gateways_.size(); ++i) {
            (zoneOf(static_cast<int>(i)) == zoneOf(zone) ? sameZone : others).push_back(gateways_[i]->directoryAddress());
        }
        sameZone.insert(sameZone.end(), others.begin(), others.end());
        return sameZone;
    };
    callers_ = std::make_unique<Callers>(reactor_.get_executor(), *options_.profile, options_.load, directories, options_.seed);
    callers_->onAttempt = [this](const AttemptSeen &seen) { judge(seen); };
    group_.eventsOf = [this](const std::string &id) { return callers_->eventsOf(id); };
    callers_->start(end_);
    asio::co_spawn(reactor_, operateUpstreams(options_.seed + 1), asio::detached);
}

asio::awaitable<void> Site::replacePlainUpstreams(milliseconds gap)
{
    for (size_t i = 0; i < plain_->size() && framework::monotonicNow() < end_; ++i) {
        asio::co_spawn(reactor_, plain_->replace(i, group_.drainTime()), asio::detached);
        co_await transport::sleepFor(gap);
    }
}

asio::awaitable<void> Site::operateUpstreams(unsigned seed)
{
    std::minstd_rand random(seed);
    while (framework::monotonicNow() < end_) {
        co_await transport::sleepFor(milliseconds{1'000 + random() % 4'000});
        switch (random() % 9) {
        case 3:
        case 4:
        case 5:
            callers_->burst(1.5 + static_cast<double>(random() % 20) / 10.0, milliseconds{2'000 + random() % 4'000});
            break;
        case 0:
        case 1:
            co_await replacePlainUpstreams(milliseconds{500 + random() % 5'000});
            break;
        case 2:
            co_await group_.replace(static_cast<int>(random() % static_cast<unsigned>(options_.group.ranks)), [this](const std::string &id, bool registered) {
                const int rank = group_.rankOf(id);
                writes_.write(std::string(platform::UPSTREAM_PREFIX) + id,
                              registered ? std::optional(group_.registration(rank, options_.profile->engines.name, zoneOf(rank))) : std::nullopt);
            });
            break;
        default:
            ++configVersion_;
            configure();
            record("configuration " + std::to_string(configVersion_));
            break;
        }
    }
}

Process &Site::mapController()
{
    const std::string name = store_.get(CONTROLLER_KEY);
    const auto found = std::ranges::find_if(gateways_, [&](const auto &gateway) { return gateway->name() == name; });
    return found == gateways_.end() ? *gateways_.front() : **found;
}

std::string Site::logLines(const std::string &requestId) const
{
    std::string lines;
    for (const auto &entry : std::filesystem::directory_iterator(folder_)) {
        if (entry.path().extension() != ".log") {
            continue;
        }
        std::ifstream log(entry.path());
        for (std::string line; std::getline(log, line);) {
            if (line.find("\"request\":\"" + requestId + "\"") != std::string::npos) {
                lines += "\n    " + line;
            }
        }
    }
    return lines;
}

void Site::countLoggedCuts()
{
    for (const auto &entry : std::filesystem::directory_iterator(folder_)) {
        std::ifstream log(entry.path());
        for (std::string line; std::getline(log, line);) {
            totals_.cutLogged += line.find("\"event\":\"cut\"") != std::string::npos ? 1 : 0;
            totals_.latePassedOn += isLatePassedOn(line) ? 1 : 0;
        }
    }
}

asio::awaitable<void> Site::watchProcesses()
{
    while (!finished_) {
        for (auto *processes : {&agents_, &gateways_}) {
            for (const auto &process : *processes) {
                const std::string before = process->ownEnd();
                if (process->ended() && process->ownEnd() != before) {
                    breakPromise(process->name() + " ended with " + process->ownEnd());
                }
            }
        }
        co_await transport::sleepFor(WATCH_INTERVAL);
    }
}

asio::awaitable<void> Site::watchPauses()
{
    while (!finished_) {
        const Instant begin = framework::monotonicNow();
        co_await transport::sleepFor(WATCH_INTERVAL);
        totals_.longestPause = std::max<Duration>(totals_.longestPause, framework::monotonicNow() - begin - WATCH_INTERVAL);
    }
}

asio::awaitable<void> Site::shiftDemand()
{
    while (!finished_) {
        co_await transport::sleepFor(DEMAND_INTERVAL);
        group_.shiftDemand();
    }
}

asio::awaitable<void> Site::restart(Process &process)
{
    if (process.terminatedAt() != Instant{0}) {
        co_return;
    }
    ++restarting_;
    record("SIGTERM to " + process.name());
    if (callers_ && !process.callerAddress().empty()) {
        callers_->pursue(process.callerAddress(), framework::monotonicNow() + GRACE);
    }
    process.signal(SIGTERM);
    const Instant limit = framework::monotonicNow() + GRACE;
    while (!process.ended() && framework::monotonicNow() < limit) {
        co_await transport::sleepFor(WATCH_INTERVAL);
    }
    if (!process.ended()) {
        breakPromise(process.name() + " runs on after the grace period");
        process.kill();
    }
    record(process.name() + " has ended");
    co_await transport::sleepFor(RESTART_DELAY);
    record(process.name() + (process.start() ? " starts" : " cannot be started"));
    --restarting_;
}

asio::awaitable<void> Site::restartInTurn(std::vector<Process *> processes, milliseconds gap)
{
    for (Process *process : processes) {
        if (framework::monotonicNow() >= end_) {
            co_return;
        }
        asio::co_spawn(reactor_, restart(*process), asio::detached);
        co_await transport::sleepFor(gap);
    }
}

asio::awaitable<void> Site::operate(unsigned seed)
{
    std::minstd_rand random(seed);
    const auto pick = [&random](const std::vector<std::unique_ptr<Process>> &processes, bool inOrder) {
        std::vector<Process *> chosen;
        chosen.reserve(processes.size());
        for (const auto &process : processes) {
            chosen.push_back(process.get());
        }
        if (!inOrder) {
            std::shuffle(chosen.begin(), chosen.end(), random);
        }
        return chosen;
    };
    while (framework::monotonicNow() < end_) {
        co_await transport::sleepFor(milliseconds{1'000 + random() % 5'000});
        const milliseconds gap{300 + random() % 4'000};
        // Without a profile the series of earlier seeds stay as they were.
        switch (random() % (options_.profile != nullptr ? 6 : 4)) {
        case 4:
            co_await restart(mapController());
            break;
        case 5:
            // Half of the gateways at once.
            {
                std::vector<Process *> half = pick(gateways_, false);
                half.resize(half.size() / 2);
                co_await restartInTurn(half, milliseconds{1});
            }
            break;
        case 0:
            // Gateways only, in turn; with a short gap they drain side by side.
            co_await restartInTurn(pick(gateways_, random() % 2 == 0), gap);
            break;
        case 1:
            // All machines: agents and gateways in series that overlap.
            asio::co_spawn(reactor_, restartInTurn(pick(agents_, random() % 2 == 0), gap / 2), asio::detached);
            co_await restartInTurn(pick(gateways_, random() % 2 == 0), gap);
            break;
        case 2:
            for (const auto &process : gateways_) {
                process->signal(SIGHUP);
            }
            co_await restart(*gateways_[random() % gateways_.size()]);
            break;
        default:
            co_await restartInTurn(pick(agents_, false), gap / 4);
            break;
        }
    }
}

Process *Site::gatewayAt(const std::string &address)
{
    const auto found = std::ranges::find_if(gateways_, [&](const auto &gateway) { return address.starts_with(gateway->ip() + ":"); });
    return found == gateways_.end() ? nullptr : found->get();
}

asio::awaitable<void> Site::resolve(Directory &directory, std::minstd_rand &random)
{
    // Callers know the directory's addresses, in the order of their distance.
    for (size_t attempt = 0; attempt < 3; ++attempt) {
        const Process &gateway = *gateways_[random() % gateways_.size()];
        transport::HttpCaller caller(reactor_.get_executor());
        const transport::HttpReply reply
            = co_await caller.call(gateway.directoryAddress(), "GET", "/-/resolve?name=a.example&region=r&zone=a", "", milliseconds{1'000});
        if (reply.status != 200) {
            continue;
        }
        Json::Value json;
        const framework::Ret parsed = framework::evaluate([&]() -> framework::Result<void> {
            BOOST_LEAF_ASSIGN(json, framework::parseJsonObject(reply.body));
            return {};
        });
        if (!parsed || framework::arrayField(json, "addresses").empty()) {
            continue;
        }
        directory.addresses.clear();
        for (const Json::Value &address : json["addresses"]) {
            directory.addresses.push_back(address.asString());
        }
        const int lifetimes = random() % 4 == 0 ? MAX_ADDRESS_LIFETIMES : 1;
        directory.validUntil = framework::monotonicNow() + milliseconds{static_cast<int64_t>(framework::numberField(json, "ttl_s") * 1'000)} * lifetimes;
        co_return;
    }
}

asio::awaitable<void> Site::call(unsigned seed)
{
    std::minstd_rand random(seed);
    std::exponential_distribution<double> length(1.0 / (MEAN_TOKENS - MIN_TOKENS));
    Directory directory;
    while (framework::monotonicNow() < end_) {
        if (framework::monotonicNow() >= directory.validUntil) {
            co_await resolve(directory, random);
        }
        if (directory.addresses.empty()) {
            co_await transport::sleepFor(milliseconds{200});
            continue;
        }
        const int tokens = std::min(MAX_TOKENS, MIN_TOKENS + static_cast<int>(length(random)));
        const std::string address = directory.addresses[random() % directory.addresses.size()];
        const AttemptSeen ended = co_await exchange(address, tokens / options_.group.tokensPerEvent, random() % 2 == 0);
        judge(ended);
        if (ended.result.complete && ended.result.status == 200) {
            co_await transport::sleepFor(milliseconds{random() % 20});
            continue;
        }
        const double retryAfter = std::atof(ended.result.field("Retry-After").c_str());
        co_await transport::sleepFor(milliseconds{20 + static_cast<int64_t>(retryAfter * 1'000)});
        std::erase(directory.addresses, address);
        directory.validUntil = directory.addresses.empty() ? Instant{0} : directory.validUntil;
    }
}

asio::awaitable<AttemptSeen> Site::exchange(const std::string &address, int events, bool chunkedBody)
{
    AttemptSeen seen;
    seen.id = "r" + std::to_string(++requests_);
    seen.gateway = address;
    seen.events = events;
    seen.sentAt = framework::monotonicNow();
    seen.deadline = seen.sentAt + DEADLINE;
    const std::string head = "POST /draft/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + seen.id + "\r\nX-Model: m\r\nX-Token-Usage: 900,"
        + std::to_string(events * options_.group.tokensPerEvent) + "\r\nX-Prompt-Prefix: 3e9:40," + std::to_string(100'000 + requests_)
        + ":860\r\nX-Deadline-Ms: " + std::to_string(DEADLINE.count()) + "\r\n";
    const std::string bytes = head + (chunkedBody ? "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" : "Content-Length: 2\r\n\r\nhi");
    const auto endpoint = transport::parseEndpoint(address);
    const transport::ConnectionPtr connection = co_await transport::connectTo(reactor_.get_executor(), *endpoint, milliseconds{1'000});
    seen.connected = connection != nullptr;
    if (!connection || !co_await connection->write(bytes, WRITE_TIMEOUT)) {
        seen.endedAt = framework::monotonicNow();
        co_return seen;
    }
    transport::HttpReader reader(transport::HttpReader::MessageType::Response, 1U << 16U, 1U << 26U);
    const Instant deadline = seen.sentAt + DEADLINE;
    while (!reader.done() && !reader.failed() && framework::monotonicNow() < deadline) {
        connection->consume(reader.feed(connection->receiveBuffer()));
        if (reader.done() || connection->readEnd() != transport::ReadEnd::Open) {
            break;
        }
        co_await connection->waitForBytes(connection->receiveBuffer().size(), deadline);
    }
    seen.result = {reader.status(), reader.fields(), reader.body(), reader.done()};
    seen.endedAt = framework::monotonicNow();
    connection->close();
    co_return seen;
}

const UpstreamRun *Site::runOf(const std::string &requestId) const
{
    const UpstreamRun *run = group_.run(requestId);
    return run == nullptr && plain_ ? plain_->run(requestId) : run;
}

void Site::judge(const AttemptSeen &seen)
{
    const CallerResult &result = seen.result;
    const UpstreamRun *run = runOf(seen.id);
    const Process *gateway = gatewayAt(seen.gateway);
    if (result.complete && gateway != nullptr && gateway->terminatedAt() != Instant{0} && result.status == 200) {
        const Duration afterSignal = seen.endedAt - gateway->terminatedAt();
        totals_.longestAfterSignal = std::max(totals_.longestAfterSignal, afterSignal);
        if (seen.sentAt > gateway->terminatedAt() + EXCUSED_AFTER_SIGTERM) {
            totals_.longestOfLate = std::max(totals_.longestOfLate, afterSignal);
        }
    }
    if (result.complete && result.status == 200) {
        ++totals_.answered;
        const bool wholeStream = seen.events == 0 || hasAllEvents(result.body, seen.events);
        if (result.field("X-Request-Id") != seen.id || !wholeStream) {
            breakPromise(seen.id + " got a success that is not its own whole answer");
        }
        return;
    }
    if (result.complete) {
        ++(result.status == 503 ? totals_.refused : totals_.failed);
        if (result.status == 503 && run != nullptr && run->finished) {
            breakPromise(seen.id + " was refused although an upstream has run it");
        }
        return;
    }
    if (seen.callerLeft) {
        ++totals_.left;
        return;
    }
    judgeCut(seen, run);
}

void Site::judgeCut(const AttemptSeen &seen, const UpstreamRun *run)
{
    const Process *gateway = gatewayAt(seen.gateway);
    const Duration lasted = seen.endedAt - seen.sentAt;
    if (!seen.connected || gateway == nullptr || (run == nullptr && lasted <= LOSS_SLACK && seen.result.status == 0)) {
        ++totals_.notRead;
        return;
    }
    const Instant terminatedAt = gateway->terminatedAt();
    // A gateway counts from the arrival of the request.
    const bool atDeadline = seen.endedAt >= seen.deadline - DEADLINE_MARGIN;
    const bool sentEarly = terminatedAt != Instant{0} && seen.sentAt <= terminatedAt + EXCUSED_AFTER_SIGTERM;
    const bool workedOn = run != nullptr && run->lastEventAt >= terminatedAt + GRACE * 5 / 6;
    const bool brokenOff = run != nullptr && run->brokenOff;
    const std::string text = seen.id + " of " + std::to_string(seen.events) + " events was cut by " + gateway->name() + " after " + std::to_string(toMs(lasted))
        + " ms, "
        + (terminatedAt == Instant{0} ? std::string("no SIGTERM")
                                      : "sent " + std::to_string(toMs(seen.sentAt - terminatedAt)) + " ms and ended "
                   + std::to_string(toMs(seen.endedAt - terminatedAt)) + " ms after SIGTERM")
        + ", status " + std::to_string(seen.result.status) + ", " + std::to_string(seen.result.body.size()) + " bytes"
        + (seen.onKeptConnection ? ", on a kept connection" : "")
        + (run == nullptr      ? ", not passed on"
               : run->finished ? ", run to its end"
                               : "");
    if (atDeadline || brokenOff || (sentEarly && workedOn)) {
        ++totals_.excused;
        record("excused" + std::string(brokenOff ? ", the upstream broke off: " : ": ") + text);
        return;
    }
    breakPromise(text);
    record("log of " + seen.id + ":" + logLines(seen.id));
}

} // namespace daisymount::soak

// Starts a site, plays callers and an operator, and judges what callers saw.

#include "soak/site.h"

#include "framework/json.h"
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
/// An engine that still works in the last sixth of the grace period, on a request sent at most this long after SIGTERM, excuses a cut answer.
constexpr seconds EXCUSED_AFTER_SIGTERM{3};
constexpr milliseconds START_TIMEOUT{20'000};
constexpr milliseconds RESTART_DELAY{500};
constexpr milliseconds WATCH_INTERVAL{20};
constexpr milliseconds DEMAND_INTERVAL{3'500};
constexpr milliseconds WRITE_TIMEOUT{2'000};
constexpr int MAX_ADDRESS_LIFETIMES = 3;
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
    , options_(options)
    , random_(options.seed)
    , network_(freeNetwork())
    , store_(reactor.get_executor())
    , group_(reactor.get_executor(), options.group, network_, options.seed)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "daisymount-soak-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
    record_.open(folder_ / "record.txt");
    group_.onEvent = [this](const std::string &line) { record(line); };
}

const Totals &Site::totals() const
{
    return totals_;
}

const RankGroup &Site::group() const
{
    return group_;
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
    store_.put("op/config", CONFIG);
    for (int rank = 0; rank < options_.group.ranks; ++rank) {
        store_.put("servers/" + group_.id(rank), group_.registration(rank, "model", zoneOf(rank)));
    }
    const std::string first = network_ + "101";
    const SitePorts ports{freePort(reactor_, first), freePort(reactor_, first), freePort(reactor_, first), freePort(reactor_, first),
                          freePort(reactor_, first)};
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
            for (int i = 0; i < self->options_.callers; ++i) {
                asio::co_spawn(self->reactor_, self->call(self->options_.seed * 1'000 + static_cast<unsigned>(i)), asio::detached);
            }
            co_await transport::sleepFor(self->options_.duration + GRACE + DEADLINE);
            self->finished_ = true;
        }(this),
        asio::detached);
    while (!finished_) {
        reactor_.run_for(std::chrono::milliseconds{50});
    }
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
        switch (random() % 4) {
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
        const Exchange ended = co_await exchange(address, tokens / options_.group.tokensPerEvent, random() % 2 == 0);
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

asio::awaitable<Site::Exchange> Site::exchange(const std::string &address, int events, bool chunkedBody)
{
    Exchange seen;
    seen.id = "r" + std::to_string(++requests_);
    seen.gateway = gatewayAt(address);
    seen.events = events;
    seen.sentAt = framework::monotonicNow();
    const std::string head = "POST /draft/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + seen.id + "\r\nX-Model: m\r\nX-Token-Usage: 900,"
        + std::to_string(events * options_.group.tokensPerEvent) + "\r\nX-Prompt-Prefix: 3e9:40," + std::to_string(100'000 + requests_)
        + ":860\r\nX-Deadline-Ms: " + std::to_string(DEADLINE.count()) + "\r\n";
    const std::string bytes = head + (chunkedBody ? "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" : "Content-Length: 2\r\n\r\nhi");
    const auto endpoint = transport::parseEndpoint(address);
    const transport::ConnectionPtr connection = co_await transport::connectTo(reactor_.get_executor(), *endpoint, milliseconds{1'000});
    if (!connection || !co_await connection->write(bytes, WRITE_TIMEOUT)) {
        seen.endedAt = framework::monotonicNow();
        seen.gateway = connection ? seen.gateway : nullptr;
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
    seen.end = connection->readEnd();
    seen.result = {reader.status(), reader.fields(), reader.body(), reader.done()};
    seen.endedAt = framework::monotonicNow();
    connection->close();
    co_return seen;
}

void Site::judge(const Exchange &seen)
{
    const CallerResult &result = seen.result;
    if (result.complete && result.status == 200) {
        ++totals_.answered;
        if (result.field("X-Request-Id") != seen.id || !hasAllEvents(result.body, seen.events)) {
            breakPromise(seen.id + " got a success that is not its own whole answer");
        }
        return;
    }
    if (result.complete) {
        ++(result.status == 503 ? totals_.refused : totals_.failed);
        if (result.status == 503 && group_.run(seen.id) != nullptr && group_.run(seen.id)->finished) {
            breakPromise(seen.id + " was refused although an engine has run it");
        }
        return;
    }
    const EngineRun *run = group_.run(seen.id);
    const Duration lasted = seen.endedAt - seen.sentAt;
    const Instant terminatedAt = seen.gateway != nullptr ? seen.gateway->terminatedAt() : Instant{0};
    if (seen.gateway == nullptr || (run == nullptr && lasted <= LOSS_SLACK && result.status == 0)) {
        ++totals_.notRead;
        return;
    }
    const bool atDeadline = lasted >= DEADLINE - milliseconds{100};
    const bool sentEarly = terminatedAt != Instant{0} && seen.sentAt <= terminatedAt + EXCUSED_AFTER_SIGTERM;
    const bool workedOn = run != nullptr && run->lastEventAt >= terminatedAt + GRACE * 5 / 6;
    const std::string text = seen.id + " of " + std::to_string(seen.events) + " events was cut by " + seen.gateway->name() + " after "
        + std::to_string(toMs(lasted)) + " ms, "
        + (terminatedAt == Instant{0} ? std::string("no SIGTERM")
                                      : "sent " + std::to_string(toMs(seen.sentAt - terminatedAt)) + " ms and ended "
                   + std::to_string(toMs(seen.endedAt - terminatedAt)) + " ms after SIGTERM")
        + ", status " + std::to_string(result.status) + ", " + std::to_string(result.body.size()) + " bytes";
    if (atDeadline || (sentEarly && workedOn)) {
        ++totals_.excused;
        record("excused: " + text);
        return;
    }
    breakPromise(text);
}

} // namespace daisymount::soak

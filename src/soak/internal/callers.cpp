// Arrivals, directory, connections and returns of the callers.

#include "soak/callers.h"

#include "transport/httpcaller.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace daisymount::soak
{

namespace
{
constexpr milliseconds STREAM_DEADLINE{8'000};
constexpr milliseconds PLAIN_DEADLINE{4'000};
constexpr milliseconds CONNECT_TIMEOUT{1'000};
constexpr milliseconds DIRECTORY_TIMEOUT{1'000};
constexpr milliseconds WRITE_TIMEOUT{2'000};
/// A caller abandons a stream after a pause of the longest of these: 2 s, four objectives, eight longest pauses.
constexpr milliseconds MIN_PATIENCE{2'000};
constexpr int OBJECTIVES = 4;
constexpr int PAUSES = 8;
/// A caller honours a Retry-After up to this fraction of the time that it has left.
constexpr int RETRY_FRACTION = 3;
constexpr int MAX_LIFETIMES = 3;
constexpr size_t DIRECTORIES_ASKED = 3;
constexpr int MAX_CHUNK_PAUSE_MS = 40;
constexpr milliseconds RETRY_PAUSE{20};
constexpr int SHARED_PARTS = 60;
constexpr int PURSUED_CONNECTIONS = 40;
constexpr milliseconds PURSUIT_INTERVAL{250};
const std::string REGION = "r";

int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

milliseconds deadlineOf(const RequestClass &kind)
{
    return kind.route.kind == fleet::RequestKind::Stream ? STREAM_DEADLINE : PLAIN_DEADLINE;
}

Duration patienceOf(const RequestClass &kind)
{
    if (kind.route.kind != fleet::RequestKind::Stream) {
        return deadlineOf(kind);
    }
    return std::max<Duration>({MIN_PATIENCE, OBJECTIVES * kind.route.latencyObjective, PAUSES * kind.route.pauseObjective});
}

std::string zoneName(int zone)
{
    return std::string(1, static_cast<char>('a' + zone));
}
} // namespace

Callers::Callers(asio::any_io_executor executor, const TrafficProfile &profile, double load, Directories directories, unsigned seed)
    : executor_(std::move(executor)), profile_(profile), load_(load), directories_(std::move(directories)), random_(seed)
{
    for (int zone = 0; zone < profile.zones; ++zone) {
        callers_.emplace_back();
        for (int i = 0; i < profile.callersPerZone; ++i) {
            const auto caller = std::make_shared<Caller>();
            caller->zone = zone;
            caller->keepsOldAddresses = i % 4 == 0;
            caller->keepsConnections = i % 3 == 0;
            callers_.back().push_back(caller);
        }
    }
}

void Callers::start(Instant end)
{
    for (int zone = 0; zone < profile_.zones; ++zone) {
        asio::co_spawn(executor_, arrivals(zone, end), asio::detached);
    }
}

std::optional<int> Callers::eventsOf(const std::string &requestId) const
{
    const auto found = events_.find(requestId);
    return found == events_.end() ? std::nullopt : std::optional(found->second);
}

Callers::Request Callers::drawRequest()
{
    std::vector<double> rates;
    for (const RequestClass &kind : profile_.classes) {
        rates.push_back(kind.perSecond);
    }
    Request request;
    request.kind = &profile_.classes[std::discrete_distribution<size_t>(rates.begin(), rates.end())(random_)];
    if (request.kind->route.kind == fleet::RequestKind::Stream) {
        request.events = std::max(1, static_cast<int>(request.kind->events.draw(random_)));
        request.promptTokens = profile_.sharedPromptTokens + std::max(1, static_cast<int>(request.kind->promptTokens.draw(random_)));
        const double error = std::exp(std::normal_distribution<double>(0.0, profile_.hintSpread)(random_));
        request.hintTokens = std::max(1, static_cast<int>(request.events * profile_.engines.engine->stepsPerPass * error));
    }
    request.statesOwnLength = random_() % 3 == 0;
    request.firstSentAt = framework::monotonicNow();
    return request;
}

asio::awaitable<void> Callers::arrivals(int zone, Instant end)
{
    double perSecond = 0;
    for (const RequestClass &kind : profile_.classes) {
        perSecond += kind.perSecond * load_ / profile_.zones;
    }
    std::exponential_distribution<double> pause(perSecond);
    Instant next = framework::monotonicNow();
    while (next < end) {
        const double factor = next < burstEnd_ ? burstFactor_ : 1.0;
        next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause(random_) / factor));
        co_await transport::sleepFor(next - framework::monotonicNow());
        const auto &callers = callers_[static_cast<size_t>(zone)];
        asio::co_spawn(executor_, request(callers[random_() % callers.size()], drawRequest()), asio::detached);
    }
}

asio::awaitable<void> Callers::request(std::shared_ptr<Caller> caller, Request request)
{
    const Instant deadline = request.firstSentAt + deadlineOf(*request.kind);
    std::string failedAddress;
    for (int attempts = 0; attempts < 2; ++attempts) {
        const AttemptSeen seen = co_await attempt(caller, request, failedAddress);
        onAttempt(seen);
        const bool refused = seen.result.complete && (seen.result.status == 429 || seen.result.status == 503);
        const bool repeatable = request.kind->route.kind == fleet::RequestKind::Safe && !seen.callerLeft && seen.result.status != 200;
        if (!refused && !repeatable && seen.connected) {
            co_return;
        }
        failedAddress = seen.gateway;
        std::erase(caller->addresses, seen.gateway);
        const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::atof(seen.result.field("Retry-After").c_str())));
        const Duration left = deadline - framework::monotonicNow();
        if (wait > left / RETRY_FRACTION) {
            co_return;
        }
        co_await transport::sleepFor(wait + RETRY_PAUSE);
    }
}

void Callers::burst(double factor, milliseconds duration)
{
    burstFactor_ = factor;
    burstEnd_ = framework::monotonicNow() + duration;
}

void Callers::pursue(const std::string &address, Instant end)
{
    asio::co_spawn(executor_, keepSending(address, end), asio::detached);
}

asio::awaitable<void> Callers::keepSending(std::string address, Instant end)
{
    const auto caller = std::make_shared<Caller>();
    for (int i = 0; i < PURSUED_CONNECTIONS; ++i) {
        transport::ConnectionPtr connection = co_await transport::connectTo(executor_, *transport::parseEndpoint(address), CONNECT_TIMEOUT);
        if (connection) {
            caller->kept.push_back({address, std::move(connection)});
        }
    }
    while (framework::monotonicNow() < end && !caller->kept.empty()) {
        co_await transport::sleepFor(milliseconds{PURSUIT_INTERVAL.count() / 2 + static_cast<int64_t>(random_()) % PURSUIT_INTERVAL.count()});
        std::erase_if(caller->kept, [](const Kept &kept) { return !kept.connection->open(); });
        if (caller->kept.empty()) {
            co_return;
        }
        Kept kept = caller->kept.back();
        caller->kept.pop_back();
        const Request request = drawRequest();
        AttemptSeen seen;
        seen.id = "r" + std::to_string(++requests_);
        seen.kind = request.kind;
        seen.events = request.events;
        seen.gateway = address;
        seen.onKeptConnection = true;
        asio::co_spawn(executor_, exchangeAndReport(caller, request, std::move(kept), seen), asio::detached);
    }
}

asio::awaitable<void> Callers::exchangeAndReport(std::shared_ptr<Caller> caller, Request request, Kept kept, AttemptSeen seen)
{
    const AttemptSeen ended = co_await exchange(caller, request, kept, seen);
    onAttempt(ended);
}

asio::awaitable<void> Callers::resolve(std::shared_ptr<Caller> caller)
{
    std::vector<std::string> directories = directories_(caller->zone);
    directories.resize(std::min(directories.size(), DIRECTORIES_ASKED));
    for (const std::string &directory : directories) {
        transport::HttpCaller call(executor_);
        const std::string target = platform::standins::directoryTarget(PROFILE_HOST, REGION, zoneName(caller->zone));
        const transport::HttpReply reply = co_await call.call(directory, "GET", target, "", DIRECTORY_TIMEOUT);
        const auto answer = reply.status == 200 ? platform::standins::decodeDirectory(reply.body) : std::nullopt;
        if (answer) {
            caller->addresses = answer->addresses;
            caller->validUntil = framework::monotonicNow() + answer->ttl * (caller->keepsOldAddresses ? MAX_LIFETIMES : 1);
            if (!caller->keepsConnections) {
                std::erase_if(caller->kept, [&](const Kept &kept) { return std::ranges::find(answer->addresses, kept.address) == answer->addresses.end(); });
            }
            co_return;
        }
    }
}

std::optional<Callers::Kept> Callers::takeKept(Caller &caller)
{
    std::erase_if(caller.kept, [](const Kept &kept) { return !kept.connection->open(); });
    if (caller.kept.empty() || random_() % 3 == 0) {
        return std::nullopt;
    }
    const size_t chosen = random_() % caller.kept.size();
    Kept kept = caller.kept[chosen];
    caller.kept.erase(caller.kept.begin() + static_cast<std::ptrdiff_t>(chosen));
    return kept;
}

asio::awaitable<bool> Callers::send(transport::ConnectionPtr connection, Request request, std::string id, milliseconds deadline)
{
    platform::CallerHeaders headers;
    headers.requestId = id;
    headers.deadline = deadline;
    std::vector<platform::standins::PromptPart> prompt;
    if (request.events > 0) {
        headers.promptTokens = request.promptTokens;
        const auto longest = static_cast<int64_t>(request.kind->events.max);
        headers.maxAnswerTokens = (request.statesOwnLength ? request.events : longest) * profile_.engines.engine->stepsPerPass;
        headers.answerTokensHint = request.hintTokens;
        prompt = {{std::to_string(10 + random_() % SHARED_PARTS), profile_.sharedPromptTokens},
                  {std::to_string(1'000'000 + requests_), request.promptTokens - profile_.sharedPromptTokens}};
    }
    const std::string body(request.kind->route.kind == fleet::RequestKind::Safe ? 0 : 300 + random_() % 900, 'b');
    const std::string head = (body.empty() ? "GET " : "POST ") + request.kind->route.prefix + "x HTTP/1.1\r\nHost: " + std::string(PROFILE_HOST) + "\r\n"
        + platform::standins::callerRequestFields(headers, prompt);
    if (body.empty() || random_() % 2 == 0) {
        const std::string bytes = head + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
        co_return co_await connection->write(bytes, WRITE_TIMEOUT);
    }
    const auto chunk = [](std::string_view part) {
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
        return size.data() + std::string(part) + "\r\n";
    };
    const std::string first = head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(std::string_view(body).substr(0, body.size() / 2));
    if (!co_await connection->write(first, WRITE_TIMEOUT)) {
        co_return false;
    }
    co_await transport::sleepFor(milliseconds{random_() % MAX_CHUNK_PAUSE_MS});
    const std::string rest = chunk(std::string_view(body).substr(body.size() / 2)) + "0\r\n\r\n";
    co_return co_await connection->write(rest, WRITE_TIMEOUT);
}

asio::awaitable<AttemptSeen> Callers::attempt(std::shared_ptr<Caller> caller, Request request, std::string failedAddress)
{
    AttemptSeen seen;
    seen.id = "r" + std::to_string(++requests_);
    seen.kind = request.kind;
    seen.events = request.events;
    seen.sentAt = framework::monotonicNow();
    transport::ConnectionPtr connection;
    if (const std::optional<Kept> kept = failedAddress.empty() ? takeKept(*caller) : std::nullopt) {
        connection = kept->connection;
        seen.gateway = kept->address;
        seen.onKeptConnection = true;
    } else {
        if (framework::monotonicNow() >= caller->validUntil || caller->addresses.empty()) {
            co_await resolve(caller);
        }
        std::vector<std::string> choices = caller->addresses;
        std::erase(choices, failedAddress);
        if (!choices.empty()) {
            seen.gateway = choices[random_() % choices.size()];
            connection = co_await transport::connectTo(executor_, *transport::parseEndpoint(seen.gateway), CONNECT_TIMEOUT);
        }
    }
    if (!connection) {
        seen.endedAt = framework::monotonicNow();
        co_return seen;
    }
    Kept used;
    used.address = seen.gateway;
    used.connection = connection;
    seen = co_await exchange(caller, request, used, seen);
    co_return seen;
}

asio::awaitable<AttemptSeen> Callers::exchange(std::shared_ptr<Caller> caller, Request request, Kept kept, AttemptSeen seen)
{
    const transport::ConnectionPtr connection = kept.connection;
    const Instant deadline = request.firstSentAt + deadlineOf(*request.kind);
    seen.deadline = deadline;
    seen.connected = true;
    events_[seen.id] = request.events;
    const auto left = milliseconds{std::max<int64_t>(1, toMs(deadline - framework::monotonicNow()))};
    if (!co_await send(connection, request, seen.id, left)) {
        seen.endedAt = framework::monotonicNow();
        seen.connected = false;
        events_.erase(seen.id);
        co_return seen;
    }
    seen.sentAt = framework::monotonicNow();
    transport::HttpReader reader(transport::HttpReader::MessageType::Response, 1U << 16U, 1U << 26U);
    Instant limit = std::min<Instant>(deadline, seen.sentAt + patienceOf(*request.kind));
    while (!reader.done() && !reader.failed()) {
        const size_t used = reader.feed(connection->receiveBuffer());
        connection->consume(used);
        if (reader.done() || connection->readEnd() != transport::ReadEnd::Open) {
            break;
        }
        if (used > 0) {
            limit = std::min<Instant>(deadline, framework::monotonicNow() + patienceOf(*request.kind));
        }
        if (framework::monotonicNow() >= limit) {
            seen.callerLeft = true;
            break;
        }
        co_await connection->waitForBytes(connection->receiveBuffer().size(), limit);
    }
    seen.result = {reader.status(), reader.fields(), reader.body(), reader.done()};
    seen.endedAt = framework::monotonicNow();
    events_.erase(seen.id);
    if (reader.done() && reader.keepAlive() && connection->open()) {
        caller->kept.push_back(std::move(kept));
    } else {
        connection->close();
    }
    co_return seen;
}

} // namespace daisymount::soak

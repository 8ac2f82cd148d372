// HTTP client with connection reuse.

#include "transport/httpcaller.h"

#include <random>

namespace daisymount::transport
{

namespace
{
constexpr size_t HEAD_LIMIT = 16 * 1024;
/// Connections idle for longer are not reused, because the peer may have closed them.
constexpr milliseconds IDLE_LIMIT{4'000};
/// Maximum number of late copies of earlier replies that are skipped during one call.
constexpr int MAX_SKIPPED_REPLIES = 4;
/// If connecting takes longer, the peer is considered down or unreachable.
constexpr milliseconds CONNECT_LIMIT{1'000};
} // namespace

HttpCaller::HttpCaller(asio::any_io_executor executor, std::string idField) : executor_(std::move(executor)), idField_(std::move(idField))
{
    std::random_device device;
    idPrefix_ = std::to_string(device()) + "-";
}

asio::awaitable<HttpReply> HttpCaller::call(std::string address, std::string method, std::string target, std::string body, milliseconds timeout,
                                            HeaderFields fields, uint64_t maxReplyBytes)
{
    const Instant begin = framework::monotonicNow();
    std::string request = method + " " + target + " HTTP/1.1\r\nHost: " + address + "\r\n";
    for (const auto &[name, value] : fields) {
        request += name + ": " + value + "\r\n";
    }
    const std::string callId = idPrefix_ + std::to_string(++calls_);
    if (!idField_.empty()) {
        request += idField_ + ": " + callId + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        request += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    }
    request += "\r\n" + body;

    ConnectionPtr connection = takeIdle(address);
    if (!connection) {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint) {
            co_return HttpReply{};
        }
        connection = co_await connectTo(executor_, *endpoint, std::min(timeout, CONNECT_LIMIT));
        if (!connection) {
            co_return HttpReply{};
        }
    }
    HttpReply reply = co_await exchange(*connection, std::move(request), callId, begin, timeout, maxReplyBytes);
    const bool reusable = reply.status != 0 && connection->open() && connection->receiveBuffer().empty() && findField(reply.fields, "Connection") != "close";
    if (reusable) {
        connection->idleSince = framework::monotonicNow();
        connection->setIdle(true);
        idle_[address].push_back(std::move(connection));
        closeExpired(framework::monotonicNow());
    } else {
        connection->close();
    }
    co_return reply;
}

void HttpCaller::closeIdleConnections()
{
    for (auto &[address, connections] : idle_) {
        for (const ConnectionPtr &connection : connections) {
            connection->close();
        }
    }
    idle_.clear();
}

void HttpCaller::setPausedWithin(std::function<Duration(Instant from, Instant to)> pausedWithin)
{
    pausedWithin_ = std::move(pausedWithin);
}

asio::awaitable<HttpReply> HttpCaller::exchange(Connection &connection, std::string request, std::string callId, Instant begin, milliseconds timeout,
                                                uint64_t maxReplyBytes)
{
    const auto deadline = [&] { return begin + timeout + std::min<Duration>(timeout, pausedWithin_(begin, framework::monotonicNow())); };
    const auto left = std::chrono::duration_cast<milliseconds>(deadline() - framework::monotonicNow());
    if (!co_await connection.write(request, std::max(left, milliseconds{1}))) {
        co_return HttpReply{};
    }
    HttpReader reader(HttpReader::MessageType::Response, HEAD_LIMIT, maxReplyBytes);
    int skippedReplies = 0;
    HttpReply incomplete;
    while (!reader.done() && !reader.failed()) {
        const size_t consumed = reader.feed(connection.receiveBuffer());
        connection.consume(consumed);
        incomplete.bytesReceived += consumed;
        const std::string_view repliedId = reader.done() && !idField_.empty() ? findField(reader.fields(), idField_) : std::string_view{};
        if (!repliedId.empty() && repliedId != callId) {
            if (++skippedReplies > MAX_SKIPPED_REPLIES) {
                co_return incomplete;
            }
            reader = HttpReader(HttpReader::MessageType::Response, HEAD_LIMIT, maxReplyBytes);
            continue;
        }
        if (reader.done() || reader.failed()) {
            break;
        }
        if (connection.readEnd() == ReadEnd::Finished) {
            reader.feedEof();
            break;
        }
        if (connection.readEnd() == ReadEnd::Broken || framework::monotonicNow() >= deadline()) {
            co_return incomplete;
        }
        co_await connection.waitForBytes(connection.receiveBuffer().size(), deadline());
    }
    if (!reader.done()) {
        co_return incomplete;
    }
    co_return HttpReply{reader.status(), reader.fields(), std::move(reader.body()), incomplete.bytesReceived};
}

ConnectionPtr HttpCaller::takeIdle(const std::string &address)
{
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto &connections = found->second;
    while (!connections.empty()) {
        ConnectionPtr connection = std::move(connections.back());
        connections.pop_back();
        if (connection->open() && connection->receiveBuffer().empty() && framework::monotonicNow() - connection->idleSince < IDLE_LIMIT) {
            connection->setIdle(false);
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

void HttpCaller::closeExpired(Instant now)
{
    if (now - expiredClosedAt_ < IDLE_LIMIT) {
        return;
    }
    expiredClosedAt_ = now;
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        std::erase_if(entry->second, [now](const ConnectionPtr &connection) {
            const bool expired = !connection->open() || now - connection->idleSince >= IDLE_LIMIT;
            if (expired) {
                connection->close();
            }
            return expired;
        });
        entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

} // namespace daisymount::transport

// Reads requests from callers. Limits their size and duration and rejects ambiguous framing.

#include "gateway/callersession.h"

#include "gateway/exchange.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>

namespace daisymount::gateway
{

namespace
{
namespace asio = transport::asio;
using framework::ResultCode;
using transport::HttpReader;
using transport::ReadState;

constexpr int BAD_REQUEST = 400;
constexpr int REQUEST_TIMEOUT = 408;
constexpr int PAYLOAD_TOO_LARGE = 413;
constexpr int HEADERS_TOO_LARGE = 431;
constexpr int SERVICE_UNAVAILABLE = 503;

/// When a response is sent before the whole request has been read, the caller has this long to read it before the connection is reset.
constexpr milliseconds LINGER_TIME{1'000};
constexpr milliseconds WRITE_TIMEOUT{2'000};
/// All buffered request bodies together may use the process's memory limit divided by this number.
constexpr size_t BODY_MEMORY_DIVISOR = 4;
constexpr std::string_view CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

/// Result of reading one request.
struct ReadResult
{
    int errorStatus = 0; ///< Status of the error response, 0 when the request is complete or the connection was closed.
    bool complete = false;
    Instant receivedAt{0}; ///< When the first bytes had arrived.
};

/// Adds the size of one buffered request body to the process-wide total while the object exists.
class BodyMemoryReservation
{
public:
    explicit BodyMemoryReservation(GatewayContext &context) : context_(context)
    { }
    ~BodyMemoryReservation()
    {
        context_.bufferedBytes -= reserved_;
    }
    BodyMemoryReservation(const BodyMemoryReservation &) = delete;
    BodyMemoryReservation &operator=(const BodyMemoryReservation &) = delete;

    /// Sets the body's size. Returns false when the total of all bodies exceeds the limit.
    bool reserve(size_t bytes)
    {
        context_.bufferedBytes += bytes - reserved_;
        reserved_ = bytes;
        return context_.bufferedBytes <= context_.settings.memoryBytes / BODY_MEMORY_DIVISOR;
    }

private:
    GatewayContext &context_;
    size_t reserved_ = 0;
};

/// Increments a counter for the lifetime of the object.
class ScopedCounter
{
public:
    explicit ScopedCounter(int &counter) : counter_(counter)
    {
        ++counter_;
    }
    ~ScopedCounter()
    {
        --counter_;
    }
    ScopedCounter(const ScopedCounter &) = delete;
    ScopedCounter &operator=(const ScopedCounter &) = delete;

private:
    int &counter_;
};

int errorStatusOf(ReadState state)
{
    switch (state) {
    case ReadState::HeadTooLarge:
        return HEADERS_TOO_LARGE;
    case ReadState::BodyTooLarge:
        return PAYLOAD_TOO_LARGE;
    default:
        return BAD_REQUEST;
    }
}

/// Waits for the first bytes of the next request. Returns false if the connection has ended or was idle for too long.
asio::awaitable<bool> waitForRequest(GatewayContext &context, transport::Connection &connection)
{
    const Instant idleSince = framework::monotonicNow();
    while (connection.receiveBuffer().empty()) {
        // The configuration may change while the connection is idle.
        const Instant idleEnd = idleSince + context.view.config()->limits.idleTimeout;
        if (!connection.open() || framework::monotonicNow() >= idleEnd) {
            co_return false;
        }
        co_await connection.waitForBytes(0, idleEnd);
    }
    co_return true;
}

/// Reads the request whose first bytes have arrived.
asio::awaitable<ReadResult> readRequest(GatewayContext &context, transport::Connection &connection, HttpReader &reader, milliseconds pauseLimit,
                                        BodyMemoryReservation &bodyMemory)
{
    ReadResult outcome;
    outcome.receivedAt = framework::monotonicNow();
    const ScopedCounter readingCounter(context.requestsBeingRead);
    bool continueSent = false;
    while (!reader.done()) {
        connection.consume(reader.feed(connection.receiveBuffer()));
        const Instant now = framework::monotonicNow();
        if (reader.failed()) {
            outcome.errorStatus = errorStatusOf(reader.state());
            co_return outcome;
        }
        if (reader.done()) {
            break;
        }
        if (!bodyMemory.reserve(reader.body().size())) {
            outcome.errorStatus = SERVICE_UNAVAILABLE;
            co_return outcome;
        }
        if (!connection.open()) {
            co_return outcome;
        }
        if (reader.headDone() && !continueSent && boost::algorithm::iequals(transport::findField(reader.fields(), "Expect"), "100-continue")) {
            continueSent = true;
            if (!co_await connection.write(CONTINUE, WRITE_TIMEOUT)) {
                co_return outcome;
            }
            continue;
        }
        // The limit covers the entire head. For the body, it applies to each pause between received parts.
        const Instant deadline = (reader.headDone() ? now : outcome.receivedAt) + pauseLimit;
        const size_t known = connection.receiveBuffer().size();
        if (now < deadline) {
            co_await connection.waitForBytes(known, deadline);
        }
        const bool arrived = connection.receiveBuffer().size() > known;
        if (!arrived && connection.open() && framework::monotonicNow() >= deadline) {
            outcome.errorStatus = REQUEST_TIMEOUT;
            co_return outcome;
        }
    }
    outcome.complete = true;
    co_return outcome;
}

std::string hostWithoutPort(std::string_view host)
{
    return std::string(host.substr(0, host.rfind(':')));
}

CallerRequest buildRequest(HttpReader &reader, Instant receivedAt)
{
    CallerRequest request;
    request.method = reader.method();
    request.target = reader.target();
    request.host = hostWithoutPort(transport::findField(reader.fields(), "Host"));
    request.fields = reader.fields();
    request.headers = platform::parseCallerHeaders(request.fields);
    request.body = std::move(reader.body());
    request.receivedAt = receivedAt;
    request.keepAlive = reader.keepAlive();
    return request;
}

asio::awaitable<void> sendReadError(GatewayContext &context, transport::Connection &connection, const HttpReader &reader, int status)
{
    const std::string requestId = reader.headDone() ? platform::parseCallerHeaders(reader.fields()).requestId : std::string();
    const ResultCode code = status == BAD_REQUEST ? ResultCode::BadMessage : status == REQUEST_TIMEOUT ? ResultCode::DeadlinePassed : ResultCode::TooLarge;
    context.log.report({"callers", "request_refused", code, requestId, {{"status", std::to_string(status)}}});
    ResponseRelay relay(connection, true);
    std::string fields = platform::localReplyFields(requestId);
    if (status == SERVICE_UNAVAILABLE) {
        fields += "Retry-After: 1\r\n";
    }
    co_await relay.sendComplete(status, fields, "");
}
} // namespace

asio::awaitable<void> serveCaller(GatewayContext &context, transport::ConnectionPtr connection)
{
    context.acceptedAt = framework::monotonicNow();
    while (co_await waitForRequest(context, *connection)) {
        // Taken when the request begins: those in force when the connection became idle may be of an old version.
        const fleet::CallerLimits limits = context.view.config()->limits;
        HttpReader reader(HttpReader::MessageType::Request, limits.headerBytes, limits.bodyBytes);
        BodyMemoryReservation bodyMemory(context);
        const ReadResult outcome = co_await readRequest(context, *connection, reader, limits.headerTimeout, bodyMemory);
        if (!outcome.complete) {
            if (outcome.errorStatus != 0) {
                co_await sendReadError(context, *connection, reader, outcome.errorStatus);
            }
            break;
        }
        bodyMemory.reserve(reader.body().size());
        Exchange exchange(context, connection, buildRequest(reader, outcome.receivedAt));
        if (!co_await exchange.run()) {
            if (!exchange.responseComplete()) {
                connection->close();
            }
            break;
        }
    }
    co_await connection->closeGracefully(LINGER_TIME);
}

} // namespace daisymount::gateway

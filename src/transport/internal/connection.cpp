// TCP connection based on Boost.Asio.

#include "transport/connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>

namespace daisymount::transport
{

namespace
{
/// Reading pauses at this size until bytes are consumed, so that a fast peer cannot exhaust memory.
constexpr size_t RECEIVE_BUFFER_LIMIT = 256 * 1024;
/// Bytes that one turn of the event loop reads. With fewer, a large message takes so many turns that a busy process does not receive it in time.
constexpr size_t BYTES_PER_TURN = 128 * 1024;
/// TCP_USER_TIMEOUT: the connection fails if sent data stays unacknowledged for this long, as behind a network partition.
constexpr unsigned UNACKNOWLEDGED_LIMIT_MS = 3'000;

constexpr auto AWAIT = asio::as_tuple(asio::use_awaitable);

std::chrono::steady_clock::time_point toTimePoint(Instant instant)
{
    return std::chrono::steady_clock::time_point(std::chrono::duration_cast<std::chrono::steady_clock::duration>(instant));
}
} // namespace

std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto address = asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    const std::string_view digits = text.substr(colon + 1);
    uint16_t port = 0;
    const auto [end, parsed] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || parsed != std::errc{} || end != digits.data() + digits.size() || port == 0) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(address, port);
}

Connection::Connection(asio::ip::tcp::socket socket) : socket_(std::move(socket)), wakeTimer_(socket_.get_executor())
{ }

Connection::~Connection() = default;

void Connection::start()
{
    boost::system::error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    const int descriptor = socket_.native_handle();
    const unsigned limit = UNACKNOWLEDGED_LIMIT_MS;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
    readMore();
}

std::string_view Connection::receiveBuffer() const
{
    return std::string_view(receiveBuffer_).substr(consumed_);
}

void Connection::consume(size_t bytes)
{
    consumed_ += bytes;
    if (consumed_ == receiveBuffer_.size()) {
        receiveBuffer_.clear();
        consumed_ = 0;
    } else if (consumed_ > RECEIVE_BUFFER_LIMIT / 4) {
        receiveBuffer_.erase(0, consumed_);
        consumed_ = 0;
    }
    readMore();
}

ReadEnd Connection::readEnd() const
{
    return readEnd_;
}

bool Connection::open() const
{
    return !closed_ && readEnd_ == ReadEnd::Open;
}

void Connection::readMore()
{
    if (reading_ || readEnd_ != ReadEnd::Open || receiveBuffer_.size() - consumed_ >= RECEIVE_BUFFER_LIMIT) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](const boost::system::error_code &error, size_t bytes) {
        self->reading_ = false;
        if (error) {
            self->finishReading(error == asio::error::eof ? ReadEnd::Finished : ReadEnd::Broken);
            return;
        }
        if (self->idle_) {
            self->reset();
            return;
        }
        self->receiveBuffer_.append(self->chunk_.data(), bytes);
        if (bytes == self->chunk_.size()) {
            self->readAvailable();
        }
        self->readMore();
        self->wake();
    });
}

void Connection::readAvailable()
{
    boost::system::error_code error;
    size_t read = 0;
    while (!error && read < BYTES_PER_TURN && receiveBuffer_.size() - consumed_ < RECEIVE_BUFFER_LIMIT) {
        const size_t bytes = socket_.read_some(asio::buffer(chunk_), error);
        receiveBuffer_.append(chunk_.data(), bytes);
        read += bytes;
        if (bytes < chunk_.size()) {
            break;
        }
    }
    // A reset or time-out is reported only once, and would look like the end of a complete message after that. See also writeFailed_.
    if (error && error != asio::error::would_block) {
        finishReading(error == asio::error::eof ? ReadEnd::Finished : ReadEnd::Broken);
    }
}

void Connection::finishReading(ReadEnd end)
{
    if (readEnd_ != ReadEnd::Open) {
        return;
    }
    readEnd_ = writeFailed_ ? ReadEnd::Broken : end;
    wake();
    if (onReadEnd) {
        // The handler may assign onReadEnd.
        const auto handler = std::exchange(onReadEnd, nullptr);
        handler();
    }
}

asio::awaitable<void> Connection::waitForBytes(size_t known, Instant deadline)
{
    if (receiveBuffer().size() > known || readEnd_ != ReadEnd::Open) {
        co_return;
    }
    wakeTimer_.expires_at(toTimePoint(deadline));
    co_await wakeTimer_.async_wait(AWAIT);
}

void Connection::wake()
{
    wakeTimer_.cancel();
}

asio::awaitable<bool> Connection::write(std::string_view bytes, milliseconds timeout)
{
    boost::system::error_code error;
    size_t sent = 0;
    while (!closed_ && sent < bytes.size()) {
        const size_t count = socket_.write_some(asio::buffer(bytes.substr(sent)), error);
        sent += count;
        written_ += count;
        if (!error) {
            continue;
        }
        if (error != asio::error::would_block) {
            writeFailed_ = true;
            co_return false;
        }
        asio::steady_timer limit(socket_.get_executor(), timeout);
        limit.async_wait([self = shared_from_this()](const boost::system::error_code &cancelled) {
            if (!cancelled) {
                self->close();
            }
        });
        const auto [waitError] = co_await socket_.async_wait(asio::ip::tcp::socket::wait_write, AWAIT);
        if (waitError) {
            co_return false;
        }
    }
    co_return sent == bytes.size();
}

size_t Connection::bytesWritten() const
{
    return written_;
}

void Connection::setIdle(bool idle)
{
    idle_ = idle;
}

void Connection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    finishReading(ReadEnd::Broken);
}

void Connection::reset()
{
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

asio::awaitable<void> Connection::closeGracefully(milliseconds timeout)
{
    const auto self = shared_from_this();
    if (closed_) {
        co_return;
    }
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    const Instant deadline = framework::monotonicNow() + timeout;
    while (readEnd_ == ReadEnd::Open && framework::monotonicNow() < deadline) {
        consume(receiveBuffer().size());
        co_await waitForBytes(0, deadline);
    }
    close();
}

asio::awaitable<ConnectOutcome> tryConnect(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint, milliseconds timeout)
{
    // Shared with the timer's handler, which may still be queued after the connection is established.
    const auto socket = std::make_shared<asio::ip::tcp::socket>(executor);
    asio::steady_timer limit(executor, timeout);
    limit.async_wait([socket](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    const auto [error] = co_await socket->async_connect(endpoint, AWAIT);
    limit.cancel();
    if (error || !socket->is_open()) {
        co_return ConnectOutcome{nullptr, error == asio::error::connection_refused};
    }
    auto connection = std::make_shared<Connection>(std::move(*socket));
    connection->start();
    co_return ConnectOutcome{std::move(connection), false};
}

asio::awaitable<ConnectionPtr> connectTo(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint, milliseconds timeout)
{
    ConnectOutcome outcome = co_await tryConnect(std::move(executor), std::move(endpoint), timeout);
    co_return std::move(outcome.connection);
}

asio::awaitable<void> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(AWAIT);
}

} // namespace daisymount::transport

// TCP connection on the reactor thread. It reads even when no caller waits for data, so that a disconnect by the peer is detected immediately.

#pragma once

#include "framework/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace daisymount::transport
{

namespace asio = boost::asio;
using framework::Duration;
using framework::Instant;
using framework::milliseconds;

/// Parses an IPv4 address with port. Returns std::nullopt if @p text is not of the form IP:port.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

/// Whether and how the receiving side of a connection has ended.
enum class ReadEnd : uint8_t {
    Open, ///< More data may arrive.
    Finished, ///< The peer has shut down its sending side (end of file).
    Broken, ///< The connection was reset, timed out or was closed by this process.
};

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(asio::ip::tcp::socket socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Sets the socket options and starts reading. Call once.
    void start();

    /// Received bytes that have not been consumed.
    std::string_view receiveBuffer() const;
    void consume(size_t bytes);
    ReadEnd readEnd() const;
    bool open() const;

    /// Suspends until the receive buffer has more than @p known bytes, reading ends, wake() is called or @p deadline passes.
    asio::awaitable<void> waitForBytes(size_t known, Instant deadline);
    /// Resumes a pending waitForBytes().
    void wake();

    /// Writes all of @p bytes, which must stay valid. Returns false if the connection fails or cannot send for @p timeout.
    asio::awaitable<bool> write(std::string_view bytes, milliseconds timeout);
    /// Number of bytes passed to the operating system on this connection so far.
    size_t bytesWritten() const;

    /// Closes immediately. If there is unread data, the operating system resets the connection.
    void close();
    /// Closes immediately with a reset, so that the peer does not take a partial message for a complete one.
    void reset();
    /// Shuts down the sending side and waits for the peer to close, so that a reset does not discard the last bytes sent.
    asio::awaitable<void> closeGracefully(milliseconds timeout);

    /// While idle, the connection waits for its next use, and bytes that arrive reset it: they belong to no request.
    void setIdle(bool idle);

    /// Called once on the reactor thread when reading ends.
    std::function<void()> onReadEnd;

    // Used by connection pools.
    Instant idleSince{0};
    milliseconds peerIdleTimeout{0}; ///< Idle time after which the peer closes the connection. 0 if unknown.
    int requestsSent = 0;

private:
    void readMore();
    /// Reads what has arrived without waiting, up to the limit of one turn.
    void readAvailable();
    void finishReading(ReadEnd end);

    asio::ip::tcp::socket socket_;
    asio::steady_timer wakeTimer_;
    std::array<char, 8192> chunk_{};
    std::string receiveBuffer_;
    size_t consumed_ = 0; ///< Length of the consumed prefix of receiveBuffer_.
    size_t written_ = 0;
    ReadEnd readEnd_ = ReadEnd::Open;
    bool reading_ = false;
    bool writeFailed_ = false; ///< A write was told of a reset or time-out, so that the end of reading is no proper one.
    bool closed_ = false;
    bool idle_ = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/// Result of tryConnect().
struct ConnectOutcome
{
    ConnectionPtr connection; ///< Null if the connection failed.
    bool refused = false; ///< The host refused the connection: no process listens on the port.
};

/// Connects to @p endpoint within @p timeout.
asio::awaitable<ConnectOutcome> tryConnect(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint, milliseconds timeout);

/// Connects to @p endpoint within @p timeout. Returns null on failure.
asio::awaitable<ConnectionPtr> connectTo(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint, milliseconds timeout);

/// Suspends the calling coroutine for @p duration.
asio::awaitable<void> sleepFor(Duration duration);

} // namespace daisymount::transport

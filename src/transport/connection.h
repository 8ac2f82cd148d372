// A TCP connection on the reactor thread: always reading, so that a peer that leaves is noticed at once.

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

/// An IPv4 address with a port. Empty when @p text is not of the form IP:port.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

/// How reading has ended.
enum class ReadEnd : uint8_t {
    Open, ///< More bytes may come.
    Finished, ///< The peer closed its side in order.
    Broken, ///< Reset, timed out or closed by this process.
};

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(asio::ip::tcp::socket socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Sets socket options and begins to read. Call once.
    void start();

    /// Bytes that have arrived and were not consumed.
    std::string_view receiveBuffer() const;
    void consume(size_t bytes);
    ReadEnd readEnd() const;
    bool open() const;

    /// Suspends until more than @p known bytes are in the inbox, reading has ended, wake was called or @p deadline has passed.
    asio::awaitable<void> waitForBytes(size_t known, Instant deadline);
    /// Ends a waitForBytes early.
    void wake();

    /// Writes all of @p bytes, which must stay valid. False when the connection broke or the peer did not read within @p patience.
    asio::awaitable<bool> write(std::string_view bytes, milliseconds timeout);
    /// Bytes that a write has handed to the system so far on this connection.
    size_t bytesWritten() const;

    /// Closes at once. Unread bytes make this a reset.
    void close();
    /// Closes at once with a reset, so that the peer takes nothing that came before for complete.
    void reset();
    /// Tells the peer that nothing follows, then waits for it to close, so that the last bytes are not lost to a reset.
    asio::awaitable<void> closeGracefully(milliseconds timeout);

    /// Called once when reading ends, from the reactor.
    std::function<void()> onReadEnd;

    // For whoever keeps idle connections.
    Instant idleSince{0};
    milliseconds peerIdleTimeout{0}; ///< The peer closes an idle connection after this; 0: not stated.
    int requestsSent = 0; ///< Requests sent on this connection.

private:
    void readMore();
    void finishReading(ReadEnd end);

    asio::ip::tcp::socket socket_;
    asio::steady_timer wakeTimer_;
    std::array<char, 8192> chunk_{};
    std::string receiveBuffer_;
    size_t consumed_ = 0; ///< Front of inbox_ that was consumed.
    size_t written_ = 0;
    ReadEnd readEnd_ = ReadEnd::Open;
    bool reading_ = false;
    bool closed_ = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/// How an attempt to connect ended.
struct ConnectOutcome
{
    ConnectionPtr connection; ///< Null when it failed.
    bool refused = false; ///< The machine answered that nobody listens at the port.
};

/// Connects to @p endpoint within @p patience.
asio::awaitable<ConnectOutcome> tryConnect(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint, milliseconds timeout);

/// Connects to @p endpoint within @p patience; null when that fails.
asio::awaitable<ConnectionPtr> connectTo(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint, milliseconds timeout);

/// Suspends for @p duration.
asio::awaitable<void> sleepFor(Duration duration);

} // namespace daisymount::transport

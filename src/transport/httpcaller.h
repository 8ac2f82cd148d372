// HTTP client with connection reuse for calls with small bodies to other processes: the store, engine ranks and peers.

#pragma once

#include "framework/result.h"
#include "transport/connection.h"
#include "transport/httpreader.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::transport
{

struct HttpReply
{
    int status = 0; ///< 0 if no complete reply was received; the call may have been executed.
    HeaderFields fields;
    std::string body;
    size_t bytesReceived = 0; ///< Also of a reply that was not received completely.
};

/// Largest reply body of a call whose reply is a status or a short object.
inline constexpr uint64_t SHORT_REPLY_BYTES = 64 * 1024;

class HttpCaller
{
public:
    /// If @p idField is not empty, each call carries an id of its own in the field of that name. Servers that echo it let a late copy of an earlier reply be
    /// told from the reply to the call; replies without the field are accepted.
    explicit HttpCaller(asio::any_io_executor executor, std::string idField = "");

    /// Sends a request to @p address (IP:port) and reads the complete reply within @p timeout. A reply with a body of more than @p maxReplyBytes counts
    /// as none: a faulty server may send bytes without end.
    asio::awaitable<HttpReply> call(std::string address, std::string method, std::string target, std::string body, milliseconds timeout,
                                    HeaderFields fields = {}, uint64_t maxReplyBytes = SHORT_REPLY_BYTES);
    /// Sets a hook that tells for how long this process read nothing within a span. That time does not count against the time-out of a call, up to as
    /// long again as the time-out.
    void setPausedWithin(std::function<Duration(Instant from, Instant to)> pausedWithin);
    /// Closes all idle connections.
    void closeIdleConnections();

private:
    asio::awaitable<HttpReply> exchange(Connection &connection, std::string request, std::string callId, Instant begin, milliseconds timeout,
                                        uint64_t maxReplyBytes);
    ConnectionPtr takeIdle(const std::string &address);
    /// Closes connections that are no longer reusable, of all addresses.
    void closeExpired(Instant now);

    asio::any_io_executor executor_;
    std::function<Duration(Instant from, Instant to)> pausedWithin_ = [](Instant, Instant) { return Duration{0}; };
    std::string idField_;
    std::string idPrefix_; ///< Differs between processes.
    uint64_t calls_ = 0;
    std::map<std::string, std::vector<ConnectionPtr>> idle_; ///< By address.
    Instant expiredClosedAt_{0}; ///< When closeExpired() last ran.
};

} // namespace daisymount::transport

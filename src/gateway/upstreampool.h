// Pool of idle connections to upstreams, separate for each incarnation of an upstream.

#pragma once

#include "dispatch/dispatcher.h"
#include "transport/connection.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace daisymount::gateway
{

using transport::Instant;
using transport::milliseconds;

struct PooledConnection
{
    transport::ConnectionPtr connection; ///< Null when no connection could be established.
    bool reused = false; ///< The connection has carried requests before, so the upstream may be about to close it.
};

class UpstreamPool
{
public:
    explicit UpstreamPool(transport::asio::any_io_executor executor);

    /// Returns a pooled connection that has been idle for less than @p maxIdle, else a new one.
    transport::asio::awaitable<PooledConnection> acquire(dispatch::Placement placement, milliseconds maxIdle);
    /// Returns a connection without outstanding requests to the pool.
    void release(const dispatch::Placement &placement, transport::ConnectionPtr connection);
    /// Closes connections that exceeded their idle limit or were closed by the upstream.
    void closeExpired();
    void closeAll();

private:
    using Key = std::pair<std::string, int64_t>; ///< Id and start time of the upstream.

    static bool isReusable(const transport::Connection &connection, milliseconds maxIdle, Instant now);

    transport::asio::any_io_executor executor_;
    std::map<Key, std::vector<transport::ConnectionPtr>> idle_; ///< Ordered by last use, the most recent one last.
};

} // namespace daisymount::gateway

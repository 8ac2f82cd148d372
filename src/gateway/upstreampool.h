// Kept connections to upstreams, one set per incarnation.

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
    transport::ConnectionPtr connection; ///< Null when none could be opened.
    bool reused = false; ///< It has carried requests before: the upstream may close it at any moment.
};

class UpstreamPool
{
public:
    explicit UpstreamPool(transport::asio::any_io_executor executor);

    /// A kept connection to the upstream that was idle for at most @p maxIdle, else a new one.
    transport::asio::awaitable<PooledConnection> acquire(dispatch::Placement placement, milliseconds maxIdle);
    /// Keeps a connection that has nothing outstanding.
    void release(const dispatch::Placement &placement, transport::ConnectionPtr connection);
    /// Closes connections that have been idle for too long or were closed by the upstream.
    void closeExpired();
    void closeAll();

private:
    using Key = std::pair<std::string, int64_t>; ///< Id and time of birth of the upstream.

    static bool isReusable(const transport::Connection &connection, milliseconds maxIdle, Instant now);

    transport::asio::any_io_executor executor_;
    std::map<Key, std::vector<transport::ConnectionPtr>> idle_; ///< Most recently used last.
};

} // namespace daisymount::gateway

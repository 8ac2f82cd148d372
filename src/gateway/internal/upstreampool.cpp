// Connections are reused in last-in, first-out order, so that surplus ones reach their idle limit and are closed.

#include "gateway/upstreampool.h"

namespace daisymount::gateway
{

namespace
{
/// Connecting takes longer than this only if the upstream is down or unreachable or its accept queue is full.
constexpr milliseconds CONNECT_TIMEOUT{350};
/// Idle limit for upstreams that state none; shorter than the idle timeouts that servers commonly use.
constexpr milliseconds DEFAULT_IDLE_LIMIT{8'000};
/// Safety margin to the idle limit that the upstream states, since it counts from sending its last byte and the gateway from receiving it.
constexpr milliseconds IDLE_MARGIN{400};
} // namespace

UpstreamPool::UpstreamPool(transport::asio::any_io_executor executor) : executor_(std::move(executor))
{ }

bool UpstreamPool::isReusable(const transport::Connection &connection, milliseconds maxIdle, Instant now)
{
    const milliseconds stated = connection.peerIdleTimeout.count() > 0 ? connection.peerIdleTimeout - IDLE_MARGIN : DEFAULT_IDLE_LIMIT;
    // Unsolicited bytes in the inbox could be taken for the response to the next request.
    return connection.open() && connection.receiveBuffer().empty() && now - connection.idleSince < std::min(stated, maxIdle);
}

transport::asio::awaitable<PooledConnection> UpstreamPool::acquire(dispatch::Placement placement, milliseconds maxIdle)
{
    auto &kept = idle_[{placement.upstream, placement.bornMs}];
    const Instant now = framework::monotonicNow();
    while (!kept.empty()) {
        transport::ConnectionPtr connection = std::move(kept.back());
        kept.pop_back();
        if (isReusable(*connection, maxIdle, now)) {
            connection->setIdle(false);
            co_return PooledConnection{std::move(connection), true};
        }
        connection->close();
    }
    const auto endpoint = transport::parseEndpoint(placement.address);
    if (!endpoint) {
        co_return PooledConnection{};
    }
    transport::ConnectionPtr connection = co_await transport::connectTo(executor_, *endpoint, CONNECT_TIMEOUT);
    co_return PooledConnection{std::move(connection), false};
}

void UpstreamPool::release(const dispatch::Placement &placement, transport::ConnectionPtr connection)
{
    connection->idleSince = framework::monotonicNow();
    connection->setIdle(true);
    idle_[{placement.upstream, placement.bornMs}].push_back(std::move(connection));
}

void UpstreamPool::closeExpired()
{
    const Instant now = framework::monotonicNow();
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        std::erase_if(entry->second, [&](const transport::ConnectionPtr &connection) {
            if (isReusable(*connection, DEFAULT_IDLE_LIMIT, now)) {
                return false;
            }
            connection->close();
            return true;
        });
        entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

void UpstreamPool::closeAll()
{
    for (auto &[key, connections] : idle_) {
        for (const transport::ConnectionPtr &connection : connections) {
            connection->close();
        }
    }
    idle_.clear();
}

} // namespace daisymount::gateway

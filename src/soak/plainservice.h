// Stand-in for the upstreams of a plain service: they work on a few requests at once, and an operator replaces them one after the other.

#pragma once

#include "fleet/fleettypes.h"
#include "gateway/tests/gatewayfixture.h"
#include "soak/trafficprofile.h"
#include "soak/upstreamrun.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace daisymount::soak
{

namespace asio = transport::asio;
using framework::Duration;
using framework::Instant;

/// All members run on one reactor. Must outlive it.
class PlainService
{
public:
    /// Writes a registration to the store, or removes it. @see acknowledged()
    using Register = std::function<void(const std::string &id, const std::optional<fleet::Upstream> &registration)>;

    /// @param ips Addresses of the upstreams, one each.
    PlainService(asio::any_io_executor executor, std::string service, int slots, Amount workMs, std::vector<std::string> ips, unsigned seed);

    /// Registers all upstreams.
    void start(Register registration);
    /// Stops one upstream as a release does: it tells of its leaving, or its registration is only removed, serves on for the drain time and a
    /// little longer, and comes back at the same address as a new one.
    asio::awaitable<void> replace(size_t number, milliseconds drainTime);
    size_t size() const;
    /// The store has acknowledged the last registration of an upstream, or its removal. The drain time counts from then on.
    void acknowledged(const std::string &id);
    /// The store has lost the last registration of an upstream.
    void lost(const std::string &id);

    /// What became of a request; null if none of the upstreams received it.
    const UpstreamRun *run(const std::string &requestId) const;
    /// Latest arrival of a request at an upstream after the store had acknowledged its leaving.
    Duration latestArrival() const;

    std::function<void(const std::string &)> onEvent = [](const std::string &) {};
    /// Called with the id and the zone of each request that arrives at an upstream.
    std::function<void(const std::string &requestId, const std::string &zone)> onArrival = [](const std::string &, const std::string &) {};
    /// Called with a request that arrived later than the drain time at an upstream that leaves.
    std::function<void(const std::string &requestId, Duration late)> onLateArrival = [](const std::string &, Duration) {};

private:
    struct Member
    {
        fleet::Upstream registration;
        std::string ip;
        transport::AcceptorPtr acceptor;
        std::vector<std::weak_ptr<transport::Connection>> connections;
        bool leaving = false;
        Instant leavingSince{0}; ///< When the store acknowledged its leaving; 0 while it has not, or has lost it.
        bool replacing = false;
        int running = 0;
        int starts = 0;
    };

    void listen(Member &member, uint16_t port);
    /// Waits until the store has known for @p duration that the upstream leaves.
    static asio::awaitable<void> serveOn(Member &member, framework::Duration duration);
    void beginIncarnation(Member &member, size_t number);
    asio::awaitable<void> serve(Member &member, transport::ConnectionPtr connection);
    asio::awaitable<void> answer(Member &member, transport::ConnectionPtr connection, gateway::tests::ReceivedRequest request);

    asio::any_io_executor executor_;
    std::string service_;
    int slots_ = 0;
    Amount workMs_;
    std::minstd_rand random_;
    std::vector<std::unique_ptr<Member>> members_;
    std::map<std::string, UpstreamRun> runs_; ///< By request id.
    Register register_;
    milliseconds drainTime_{0};
    Duration latestArrival_{0};
};

} // namespace daisymount::soak

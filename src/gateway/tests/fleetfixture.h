// Several gateways with their heartbeats over loopback, before upstreams that crash when they begin a certain request and come back
// after a while as another incarnation. All on one reactor; the registry is handed to the gateways as the store would.

#pragma once

#include "gateway/peerlink.h"
#include "gatewayfixture.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/udp.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace daisymount::gateway::tests
{

enum class Behaviour : uint8_t {
    Answer,
    BreakOff, ///< Resets the connection and lives on.
    Crash,
};

using BehaviourOf = std::function<Behaviour(const ReceivedRequest &)>;

/// A stand-in upstream: answers, or crashes.
class CrashableUpstream
{
public:
    static constexpr framework::milliseconds WORK{20};
    static constexpr framework::milliseconds DOWN{800};

    /// @p behaviourOf: asked as the upstream begins a request. @p onBorn: called for each incarnation.
    CrashableUpstream(asio::any_io_executor executor, std::string name, BehaviourOf behaviourOf, std::function<void()> onBorn)
        : executor_(std::move(executor)), name_(std::move(name)), behaviourOf_(std::move(behaviourOf)), onBorn_(std::move(onBorn)), acceptor_(executor_)
    {
        listen(0);
    }

    std::string id() const
    {
        return name_ + "-" + std::to_string(incarnation_);
    }

    std::string registration(const std::string &service) const
    {
        return R"({"service":")" + service + R"(","address":"127.0.0.1:)" + std::to_string(port_) + R"(","zone":"z","slots":8,"state":"ready",)"
            + R"("cold_remaining_ms":0,"born":)" + std::to_string(incarnation_) + "}";
    }

    /// Ends the process: all connections are reset and the address refuses new ones until the next incarnation listens.
    void crash()
    {
        if (down_) {
            return;
        }
        down_ = true;
        crashedAt.push_back(framework::monotonicNow());
        if (!keepsAddress) {
            boost::system::error_code ignored;
            acceptor_.close(ignored);
        }
        for (const transport::ConnectionPtr &connection : connections_) {
            connection->reset();
        }
        connections_.clear();
        asio::co_spawn(executor_, restart(), asio::detached);
    }

    std::vector<framework::Instant> crashedAt;
    bool keepsAddress = false; ///< While the process is down a supervisor holds its listening socket: connections are accepted and stay silent.

private:
    void listen(uint16_t port)
    {
        const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(asio::socket_base::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
        port_ = acceptor_.local_endpoint().port();
        asio::co_spawn(executor_, accept(), asio::detached);
    }

    asio::awaitable<void> restart()
    {
        co_await transport::sleepFor(DOWN);
        ++incarnation_;
        if (!keepsAddress) {
            listen(port_);
        }
        down_ = false;
        onBorn_();
    }

    asio::awaitable<void> accept()
    {
        while (acceptor_.is_open()) {
            auto [error, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
            if (error) {
                co_return;
            }
            auto connection = std::make_shared<transport::Connection>(std::move(socket));
            connection->start();
            if (down_) {
                silent_.push_back(connection);
                continue;
            }
            connections_.push_back(connection);
            asio::co_spawn(executor_, serve(connection), asio::detached);
        }
    }

    asio::awaitable<void> serve(transport::ConnectionPtr connection)
    {
        while (connection->open()) {
            const std::optional<ReceivedRequest> whole = co_await readRequest(*connection);
            if (!whole) {
                co_return;
            }
            const ReceivedRequest &request = *whole;
            const Behaviour behaviour = behaviourOf_(request);
            if (behaviour == Behaviour::Crash) {
                crash();
                co_return;
            }
            if (behaviour == Behaviour::BreakOff) {
                connection->reset();
                co_return;
            }
            co_await transport::sleepFor(WORK);
            co_await send(connection, answer(request, "done"));
        }
    }

    asio::any_io_executor executor_;
    std::string name_;
    BehaviourOf behaviourOf_;
    std::function<void()> onBorn_;
    asio::ip::tcp::acceptor acceptor_;
    uint16_t port_ = 0;
    int incarnation_ = 1;
    bool down_ = false;
    std::vector<transport::ConnectionPtr> connections_;
    std::vector<transport::ConnectionPtr> silent_; ///< Accepted while the process was down.
};

/// Moments at which upstreams have crashed so far, in order.
inline std::vector<framework::Instant> crashMoments(const std::vector<std::unique_ptr<CrashableUpstream>> &upstreams)
{
    std::vector<framework::Instant> all;
    for (const auto &upstream : upstreams) {
        all.insert(all.end(), upstream->crashedAt.begin(), upstream->crashedAt.end());
    }
    std::ranges::sort(all);
    return all;
}

inline bool isQuarantined(const CallerResult &result)
{
    return result.body.find("Quarantined") != std::string::npos;
}

/// One gateway's request path and heartbeats.
class FleetGateway
{
public:
    FleetGateway(asio::io_context &reactor, const fleet::NodeSettings &settings, peers::Peer self, uint64_t seed)
        : context(settings, reactor.get_executor(), std::move(self), seed), link(context), acceptor_(reactor, {asio::ip::address_v4::loopback(), 0})
    {
        // It has run for a while, so that its part of the retry budget is whole.
        context.retryBudget = dispatch::RetryShare({0.2, RETRY_SLACK, std::chrono::seconds{10}}, framework::Instant{0});
        asio::co_spawn(reactor, accept(), asio::detached);
    }

    asio::ip::tcp::endpoint endpoint() const
    {
        return acceptor_.local_endpoint();
    }

    GatewayContext context;
    PeerLink link;

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            asio::ip::tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
            auto connection = std::make_shared<transport::Connection>(std::move(socket));
            connection->start();
            asio::co_spawn(context.executor, serveCaller(context, connection), asio::detached);
        }
    }

    asio::ip::tcp::acceptor acceptor_;
};

/// Lasts as long as the process: suspended coroutines refer to it.
class FleetWorld
{
public:
    FleetWorld(const std::string &config, std::string service, size_t upstreams, BehaviourOf behaviourOf)
        : config_(config), service_(std::move(service)), peerPort_(freePeerPort())
    {
        for (size_t i = 0; i < upstreams; ++i) {
            upstreams_.push_back(std::make_unique<CrashableUpstream>(reactor.get_executor(), "u" + std::to_string(i), behaviourOf, [this] { tellRegistry(); }));
        }
    }

    /// A gateway that knows the addresses of all earlier ones.
    FleetGateway &addGateway()
    {
        const std::string number = std::to_string(gateways_.size() + 1);
        fleet::NodeSettings settings;
        settings.name = "gateway" + number;
        settings.ip = "127.71.0." + number;
        settings.zone = "z";
        settings.firstPeerPort = peerPort_;
        settings.memoryBytes = 256U << 20U;
        peers::Peer self;
        self.name = settings.name;
        self.incarnation = static_cast<int64_t>(gateways_.size()) + 1;
        self.ip = settings.ip;
        self.zone = settings.zone;
        self.serving = true;
        gateways_.push_back(std::make_unique<FleetGateway>(reactor, settings, self, gateways_.size() + 1));
        FleetGateway &added = *gateways_.back();
        for (const auto &gateway : gateways_) {
            added.context.peers.learnAddress(gateway->context.settings.ip, framework::monotonicNow());
        }
        added.context.peers.onRegistryRead();
        added.context.view.applyConfig({"c", config_, 1});
        tellRegistry();
        added.link.start();
        return added;
    }

    /// Sends @p bytes on a new connection to any gateway and counts the answer by @p onEnd.
    void send(const std::string &bytes, std::function<void(const CallerResult &)> onEnd)
    {
        sendTo(*gateways_[random_() % gateways_.size()], bytes, std::move(onEnd));
    }

    void sendTo(FleetGateway &gateway, const std::string &bytes, std::function<void(const CallerResult &)> onEnd)
    {
        asio::co_spawn(reactor, sendAndReadResponse(reactor.get_executor(), gateway.endpoint(), bytes, std::move(onEnd)), asio::detached);
    }

    CallerResult callAt(FleetGateway &gateway, const std::string &bytes)
    {
        auto result = std::make_shared<std::optional<CallerResult>>();
        sendTo(gateway, bytes, [result](const CallerResult &answered) { *result = answered; });
        const framework::Instant deadline = framework::monotonicNow() + std::chrono::seconds{8};
        while (!result->has_value() && framework::monotonicNow() < deadline) {
            run(std::chrono::milliseconds{5});
        }
        return result->value_or(CallerResult{});
    }

    void run(framework::milliseconds duration)
    {
        reactor.run_for(std::chrono::milliseconds{duration.count()});
    }

    std::vector<framework::Instant> crashes() const
    {
        return crashMoments(upstreams_);
    }

    const std::vector<std::unique_ptr<FleetGateway>> &gateways() const
    {
        return gateways_;
    }

    const std::vector<std::unique_ptr<CrashableUpstream>> &upstreams() const
    {
        return upstreams_;
    }

    asio::io_context reactor;

private:
    /// A port that is free at this moment; each gateway has an address of its own.
    uint16_t freePeerPort()
    {
        asio::ip::udp::socket probe(reactor, {asio::ip::make_address_v4("127.71.0.1"), 0});
        return probe.local_endpoint().port();
    }

    void tellRegistry()
    {
        ++revision_;
        std::vector<fleet::StoredItem> items;
        for (const auto &upstream : upstreams_) {
            items.push_back({upstream->id(), upstream->registration(service_), revision_});
        }
        for (const auto &gateway : gateways_) {
            gateway->context.view.applyUpstreams({items, revision_}, framework::monotonicNow());
            gateway->context.dispatcher.onFleetChange(gateway->context.view, framework::monotonicNow());
        }
    }

    std::string config_;
    std::string service_;
    uint16_t peerPort_;
    std::vector<std::unique_ptr<CrashableUpstream>> upstreams_;
    std::vector<std::unique_ptr<FleetGateway>> gateways_;
    int64_t revision_ = 1;
    std::minstd_rand random_{1};
};

} // namespace daisymount::gateway::tests

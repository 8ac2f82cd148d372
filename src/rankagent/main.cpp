// The rank agent: passes the map controller's calls to the engine on its own machine, where they are fresh and cost the group no pause.

#include "framework/eventlog.h"
#include "gateway/gatewaylog.h"
#include "platform/enginecodec.h"
#include "platform/headers.h"
#include "platform/settings.h"
#include "transport/httpcaller.h"
#include "transport/httpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace
{
using namespace daisymount;
namespace asio = transport::asio;
using framework::ResultCode;

constexpr int EXIT_INVALID_SETTINGS = 2;
constexpr int EXIT_CANNOT_START = 3;
/// Shorter than the controller's own patience, so that it learns of the failure from the agent.
constexpr transport::milliseconds ENGINE_PATIENCE{100};
constexpr transport::milliseconds LOG_FLUSH{500};
constexpr int BAD_GATEWAY = 502;
constexpr int NOT_FOUND = 404;

/// Relays one call. A call without an answer from the engine is answered with 502: it may have been carried out.
asio::awaitable<transport::ServerResponse> relay(transport::HttpCaller &engine, std::string address, transport::ServerRequest request)
{
    if (!platform::isRankEndpoint(request.target)) {
        co_return transport::ServerResponse{NOT_FOUND, "text/plain", "unknown page\n"};
    }
    transport::HeaderFields fields = platform::expectedUpstreamField(*request.fields);
    const transport::HttpReply reply = co_await engine.call(std::move(address), std::string(request.method), std::string(request.target),
                                                            std::string(request.body), ENGINE_PATIENCE, std::move(fields));
    transport::ServerResponse page{BAD_GATEWAY, "application/json", ""};
    if (reply.status != 0) {
        page = {reply.status, "application/json", reply.body};
    }
    co_return page;
}

asio::awaitable<void> flushLog(gateway::GatewayLog &log)
{
    while (true) {
        log.flush();
        co_await transport::sleepFor(LOG_FLUSH);
    }
}

/// Reads the settings again. The address of the engine may change, the agent's own belongs to the process.
void reload(fleet::NodeSettings &settings, gateway::GatewayLog &log)
{
    const framework::Ret read = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(current, platform::readSettingsFile(platform::ProcessRole::RankAgent));
        settings.engineAddress = current.engineAddress;
        return {};
    });
    log.report({"process", "reloaded", read.code, "", {{"engine", settings.engineAddress}, {"detail", read.detail}}});
}

void watchSignals(asio::io_context &reactor, asio::signal_set &signals, fleet::NodeSettings &settings, gateway::GatewayLog &log)
{
    signals.async_wait([&](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal != SIGHUP) {
            reactor.stop();
            return;
        }
        reload(settings, log);
        watchSignals(reactor, signals, settings, log);
    });
}

void serve(fleet::NodeSettings settings)
{
    asio::io_context reactor(1);
    gateway::GatewayLog log({settings.name, settings.zone});
    transport::HttpCaller engine(reactor.get_executor());
    const auto endpoint = transport::parseEndpoint(settings.ip + ":" + std::to_string(settings.firstPeerPort));
    transport::listenAndServeAsync(reactor.get_executor(), endpoint.value_or(asio::ip::tcp::endpoint()),
                                   [&](transport::ServerRequest request) { return relay(engine, settings.engineAddress, request); });
    asio::signal_set signals(reactor, SIGTERM, SIGINT, SIGHUP);
    watchSignals(reactor, signals, settings, log);
    log.report({"process", "started", ResultCode::Ok, "", {{"role", "rank_agent"}, {"ip", settings.ip}, {"engine", settings.engineAddress}}});
    asio::co_spawn(reactor, flushLog(log), asio::detached);
    reactor.run();
    log.report({"process", "stopped", ResultCode::Ok, "", {}});
    log.flush();
    // As in the gateway: suspended coroutines refer to this frame.
    std::_Exit(0);
}
} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    fleet::NodeSettings settings;
    const framework::Ret read = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(settings, platform::readSettingsFile(platform::ProcessRole::RankAgent));
        return {};
    });
    if (!read) {
        std::cerr << "invalid settings: " << read.detail << '\n';
        return EXIT_INVALID_SETTINGS;
    }
    try {
        serve(std::move(settings));
    } catch (const std::exception &error) {
        std::cerr << "cannot serve: " << error.what() << '\n';
        return EXIT_CANNOT_START;
    }
    return 0;
}

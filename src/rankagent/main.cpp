// Rank agent: relays the map controller's calls to the engine on the same machine, where reports are current and calls do not pause the group.

#include "framework/eventlog.h"
#include "gateway/gatewaylog.h"
#include "platform/enginecodec.h"
#include "platform/headers.h"
#include "platform/settings.h"
#include "transport/httpcaller.h"
#include "transport/httpserver.h"
#include "transport/tasks.h"

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
constexpr int EXIT_LOOP_FAILED = 4;
/// Shorter than the controller's time-outs for reports and prepare orders, so that the agent reports the failure before the controller stops waiting.
constexpr transport::milliseconds ENGINE_TIMEOUT{100};
constexpr transport::milliseconds LOG_FLUSH_INTERVAL{500};
/// Counts of some ten thousand experts, the longest reply of an engine.
constexpr uint64_t MAX_ENGINE_REPLY_BYTES = 256 * 1024;
constexpr int BAD_GATEWAY = 502;
constexpr int NOT_FOUND = 404;

/// Relays one call. Replies with status 502 if the engine does not answer; the engine may still have executed the call.
asio::awaitable<transport::ServerResponse> relay(transport::HttpCaller &engine, std::string address, transport::ServerRequest request)
{
    if (!platform::isRankEndpoint(request.target)) {
        co_return transport::ServerResponse{NOT_FOUND, "text/plain", "unknown page\n"};
    }
    transport::HeaderFields fields = platform::expectedUpstreamField(*request.fields);
    const transport::HttpReply reply = co_await engine.call(std::move(address), std::string(request.method), std::string(request.target),
                                                            std::string(request.body), ENGINE_TIMEOUT, std::move(fields), MAX_ENGINE_REPLY_BYTES);
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
        co_await transport::sleepFor(LOG_FLUSH_INTERVAL);
    }
}

/// Reloads the settings. Only the address of the engine takes effect; the agent's own address requires a restart.
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
    transport::HttpCaller engine(reactor.get_executor(), platform::callIdField());
    const auto endpoint = transport::parseEndpoint(settings.ip + ":" + std::to_string(settings.firstPeerPort));
    transport::listenAndServeAsync(reactor.get_executor(), endpoint.value_or(asio::ip::tcp::endpoint()),
                                   [&](transport::ServerRequest request) { return relay(engine, settings.engineAddress, request); });
    transport::setTaskFailureHandler([&](const transport::TaskFailure &failure) {
        log.report({"process",
                    failure.isLoop ? "loop_failed" : "task_failed",
                    ResultCode::Internal,
                    "",
                    {{"task", std::string(failure.task)}, {"what", failure.what}, {"exhausted", failure.exhausted ? "yes" : "no"}}});
        if (failure.exhausted) {
            log.flush();
            std::_Exit(EXIT_LOOP_FAILED);
        }
    });
    asio::signal_set signals(reactor, SIGTERM, SIGINT, SIGHUP);
    watchSignals(reactor, signals, settings, log);
    log.report({"process", "started", ResultCode::Ok, "", {{"role", "rank_agent"}, {"ip", settings.ip}, {"engine", settings.engineAddress}}});
    transport::spawnLoop(reactor.get_executor(), "flush_log", [&log] { return flushLog(log); });
    reactor.run();
    log.report({"process", "stopped", ResultCode::Ok, "", {}});
    log.flush();
    // Exit without destructors, because suspended coroutines still refer to objects on this stack frame.
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

// Small HTTP server shared by the stand-ins: requests are handled on one thread that also ticks.

#pragma once

#include "framework/json.h"
#include "network/httpserver.h"

#include <functional>
#include <memory>
#include <string>

namespace daisymount::standins
{

class StandInServer
{
public:
    struct Hooks
    {
        std::function<void(const network::HttpRequest &request)> request;
        std::function<void(network::ExchangeId exchange)> disconnected;
        std::function<void()> tick;
    };

    StandInServer(const std::string &address, framework::Duration tickInterval, Hooks hooks);

    /// Runs until SIGTERM or SIGINT. Returns the exit code.
    int run();

    void reply(network::ExchangeId exchange, int status, const Json::Value &body);
    network::ReplyPort &replyPort();

private:
    Hooks hooks_;
    network::DutyThread thread_;
    std::shared_ptr<network::Inbox> inbox_;
    network::HttpServer server_;
    std::unique_ptr<network::ReplyPort> replyPort_;
};

/// Parses a body; null on a fault.
Json::Value parseBody(const std::string &body);

int64_t unixMillis();

} // namespace daisymount::standins

// HTTP server shared by the stand-in programs. A single thread handles requests and runs the periodic tick, so that the
// stand-ins need no locking.

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
    /// Callbacks, all invoked on the handler thread. @c disconnected and @c tick may be empty.
    struct Hooks
    {
        std::function<void(const network::HttpRequest &request)> request;
        std::function<void(network::ExchangeId exchange)> disconnected; ///< The client closed the connection before the reply was complete.
        std::function<void()> tick; ///< Called periodically, see the tick interval.
    };

    StandInServer(const std::string &address, framework::Duration tickInterval, Hooks hooks);

    /// Blocks until SIGTERM or SIGINT. Returns the exit code of the process: 3 if the server cannot start.
    int run();

    /// Sends @p body as a complete JSON reply.
    void reply(network::ExchangeId exchange, int status, const Json::Value &body);
    /// Gives access to streamed replies and aborted connections.
    network::ReplyPort &replyPort();

private:
    Hooks hooks_;
    network::DutyThread thread_;
    std::shared_ptr<network::Inbox> inbox_;
    network::HttpServer server_;
    std::unique_ptr<network::ReplyPort> replyPort_;
};

/// Parses @p body as a JSON object. Returns an empty object if it is invalid or not an object.
Json::Value parseBody(const std::string &body);

/// Returns the wall-clock time in milliseconds since the Unix epoch.
int64_t unixMillis();

} // namespace daisymount::standins

// HTTP server on Pistache whose answers may come from any duty, late, whole or streamed, and never reach another caller.
//
// Pistache queues writes by file descriptor. A caller that hangs up frees its descriptor and the next caller may get the
// same number, so a queued write could reach the wrong caller. Here every write is made on the reactor's thread: the
// connection is looked up by its unique id, written and flushed before the reactor can handle a disconnection.

#pragma once

#include "framework/result.h"
#include "network/dutythread.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisymount::network
{

/// Identifies one request on one connection. Never reused within a process.
using ExchangeId = uint64_t;

struct HttpRequest
{
    ExchangeId exchange = 0;
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct HttpReply
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct HttpServerOptions
{
    std::string address; ///< IPv4 address and port.
    size_t maxBodyBytes = 1024 * 1024;
};

struct HttpServerHooks
{
    /// Both run on the reactor's thread and must not block.
    std::function<void(HttpRequest request)> request;
    std::function<void(ExchangeId exchange)> gone; ///< The caller has disconnected before the end of the answer.
};

struct HttpServerCounters
{
    uint64_t connections = 0;
    uint64_t requests = 0;
    uint64_t droppedWrites = 0; ///< Answers whose caller had gone.
};

class ReactorState;

/// One duty's way to answer. All calls come from that duty's thread.
class ReplyPort
{
public:
    explicit ReplyPort(std::shared_ptr<ReactorState> state);

    framework::ResultCode reply(ExchangeId exchange, const HttpReply &reply);
    /// Starts a chunked answer.
    framework::ResultCode beginStream(ExchangeId exchange, int status, std::string_view contentType);
    framework::ResultCode sendChunk(ExchangeId exchange, std::string_view data);
    framework::ResultCode endStream(ExchangeId exchange);
    /// Breaks the connection off, so that the caller sees that the answer is incomplete.
    framework::ResultCode abort(ExchangeId exchange);

private:
    std::shared_ptr<ReactorState> state_;
    std::shared_ptr<Inbox> inbox_;
};

class HttpServer
{
public:
    HttpServer(HttpServerOptions options, HttpServerHooks hooks);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Call before start().
    std::unique_ptr<ReplyPort> makePort();
    /// Fails with ResultCode::BadValue when the address cannot be bound.
    framework::Ret start();
    void stop();
    HttpServerCounters counters() const;

private:
    struct Listening;
    HttpServerOptions options_;
    std::shared_ptr<ReactorState> state_;
    std::unique_ptr<Listening> listening_;
};

} // namespace daisymount::network

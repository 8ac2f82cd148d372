// A small HTTP server for the gateway's own pages: directory, readiness, metrics, peers.

#pragma once

#include "transport/connection.h"
#include "transport/httpreader.h"

#include <functional>
#include <string>
#include <string_view>

namespace daisymount::transport
{

struct ServerRequest
{
    std::string_view method;
    std::string_view target; ///< Path and query.
    std::string_view body;
    const HeaderFields *fields = nullptr;
};

struct ServerResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

using RequestHandler = std::function<ServerResponse(const ServerRequest &request)>;
/// For pages that need other processes. The request stays valid until the page is there.
using AsyncRequestHandler = std::function<asio::awaitable<ServerResponse>(ServerRequest request)>;
using ConnectionHandler = std::function<void(ConnectionPtr connection)>;

using AcceptorPtr = std::shared_ptr<asio::ip::tcp::acceptor>;

/// Listens at @p endpoint and hands each accepted connection to @p handler. Throws boost::system::system_error when it cannot listen.
/// Closing the returned acceptor ends it.
AcceptorPtr listenAt(const asio::any_io_executor &executor, const asio::ip::tcp::endpoint &endpoint, ConnectionHandler handler);

/// Answers the requests of one connection with @p handler until it ends.
asio::awaitable<void> serveConnection(ConnectionPtr connection, AsyncRequestHandler handler);

/// Listens at @p endpoint and answers with @p handler.
void listenAndServe(const asio::any_io_executor &executor, const asio::ip::tcp::endpoint &endpoint, RequestHandler handler);
void listenAndServeAsync(const asio::any_io_executor &executor, const asio::ip::tcp::endpoint &endpoint, AsyncRequestHandler handler);

/// Value of @p name in the query of @p target with percent signs decoded, empty when absent.
std::string queryValue(std::string_view target, std::string_view name);

/// Reason phrase of @p status.
std::string_view reasonPhrase(int status);

} // namespace daisymount::transport

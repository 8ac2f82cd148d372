// Small HTTP server for internal endpoints: gateway directory, readiness, metrics, peer communication and the rank agent.

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
/// For endpoints that call other processes. The request stays valid until the handler completes.
using AsyncRequestHandler = std::function<asio::awaitable<ServerResponse>(ServerRequest request)>;
using ConnectionHandler = std::function<void(ConnectionPtr connection)>;

using AcceptorPtr = std::shared_ptr<asio::ip::tcp::acceptor>;

/// Listens on @p endpoint and passes each accepted connection to @p handler. Throws boost::system::system_error on failure.
/// Close the returned acceptor to stop listening.
AcceptorPtr listenAt(const asio::any_io_executor &executor, const asio::ip::tcp::endpoint &endpoint, ConnectionHandler handler);

/// Handles the requests of a connection with @p handler until the connection ends.
asio::awaitable<void> serveConnection(ConnectionPtr connection, AsyncRequestHandler handler);

/// Listens on @p endpoint and handles all requests with @p handler.
void listenAndServe(const asio::any_io_executor &executor, const asio::ip::tcp::endpoint &endpoint, RequestHandler handler);
void listenAndServeAsync(const asio::any_io_executor &executor, const asio::ip::tcp::endpoint &endpoint, AsyncRequestHandler handler);

/// Returns the percent-decoded value of parameter @p name in the query of @p target, or an empty string if absent.
std::string queryValue(std::string_view target, std::string_view name);

/// Returns the HTTP reason phrase of @p status.
std::string_view reasonPhrase(int status);

} // namespace daisymount::transport

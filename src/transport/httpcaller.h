// HTTP client with connection reuse for calls with small bodies to other processes: the store, engine ranks and peers.

#pragma once

#include "framework/result.h"
#include "transport/connection.h"
#include "transport/httpreader.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::transport
{

struct HttpReply
{
    int status = 0; ///< 0 if no complete reply was received; the call may have been executed.
    HeaderFields fields;
    std::string body;
};

class HttpCaller
{
public:
    explicit HttpCaller(asio::any_io_executor executor);

    /// Sends a request to @p address (IP:port) and reads the complete reply within @p timeout.
    asio::awaitable<HttpReply> call(std::string address, std::string method, std::string target, std::string body, milliseconds timeout,
                                    HeaderFields fields = {});
    /// Closes all idle connections.
    void closeIdleConnections();

private:
    asio::awaitable<HttpReply> exchange(Connection &connection, std::string request, Instant deadline);
    ConnectionPtr takeIdle(const std::string &address);

    asio::any_io_executor executor_;
    std::map<std::string, std::vector<ConnectionPtr>> idle_; ///< By address.
};

} // namespace daisymount::transport

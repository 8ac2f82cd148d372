// Relays an upstream's response to a caller and ensures that a truncated response is not framed as a complete one.

#pragma once

#include "transport/connection.h"
#include "transport/httpreader.h"

#include <string>
#include <string_view>

namespace daisymount::gateway
{

/// Writes one response to a caller's connection.
class ResponseRelay
{
public:
    ResponseRelay(transport::Connection &caller, bool closeConnection);

    /// Sends a response whose whole body is known. @p fieldLines contains the end-to-end header fields, one per line.
    transport::asio::awaitable<bool> sendComplete(int status, std::string_view fieldLines, std::string_view body);
    /// Sends the head and the first bytes of a chunked response, whose length is not yet known.
    transport::asio::awaitable<bool> start(int status, std::string_view fieldLines, std::string_view firstBytes);
    transport::asio::awaitable<bool> sendChunk(std::string_view bytes);
    /// Completes a chunked response by sending the last chunk.
    transport::asio::awaitable<bool> finish();

    bool started() const;
    bool finished() const;
    /// Returns true when the response carries "Connection: close".
    bool closesConnection() const;
    /// Suppresses the body, for responses to HEAD requests.
    void omitBody();

private:
    std::string head(int status, std::string_view fieldLines, std::string_view framing) const;

    transport::Connection &caller_;
    bool closeConnection_;
    bool omitBody_ = false;
    bool started_ = false;
    bool finished_ = false;
};

} // namespace daisymount::gateway

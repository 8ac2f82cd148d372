// A request received from a caller.

#pragma once

#include "platform/headers.h"
#include "transport/connection.h"

#include <string>

namespace daisymount::gateway
{

using transport::Duration;
using transport::Instant;
using transport::milliseconds;

struct CallerRequest
{
    std::string method;
    std::string target; ///< Path and query, forwarded unchanged.
    std::string host; ///< Value of the Host field without the port.
    transport::HeaderFields fields;
    platform::CallerHeaders headers;
    std::string body;
    Instant receivedAt{0}; ///< When the first byte of the request was received.
    bool keepAlive = false;

    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

} // namespace daisymount::gateway

// A caller's request as it was read.

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
    std::string target; ///< Path and query, forwarded as it came.
    std::string host; ///< Without a port.
    transport::HeaderFields fields;
    platform::CallerHeaders facts;
    std::string body;
    Instant receivedAt{0}; ///< When its first byte was seen.
    bool keepAlive = false;

    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

} // namespace daisymount::gateway

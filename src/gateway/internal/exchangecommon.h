// Status codes and time conversion shared by the source files of Exchange.

#pragma once

#include "framework/clock.h"

namespace daisymount::gateway
{

inline constexpr int MISDIRECTED_REQUEST = 421; ///< The address now belongs to another upstream.
inline constexpr int BAD_GATEWAY = 502;
inline constexpr int SERVICE_UNAVAILABLE = 503;
inline constexpr int GATEWAY_TIMEOUT = 504;

inline framework::milliseconds toMilliseconds(framework::Duration duration)
{
    return std::chrono::duration_cast<framework::milliseconds>(duration);
}

} // namespace daisymount::gateway

// What an upstream saw of a request. The soak judges the gateways by it.

#pragma once

#include "framework/clock.h"

namespace daisymount::soak
{

struct UpstreamRun
{
    framework::Instant lastEventAt{0}; ///< When the upstream last worked on the request.
    bool finished = false; ///< The whole answer was written.
    bool brokenOff = false; ///< The upstream itself ended the answer early.
};

} // namespace daisymount::soak

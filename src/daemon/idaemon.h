// A process of either role, as main() drives it.

#pragma once

#include "framework/result.h"

namespace daisymount::daemon
{

class IDaemon
{
public:
    virtual ~IDaemon() = default;
    virtual framework::Ret start() = 0;
    /// Begins a graceful shutdown: no request is cut off.
    virtual void drain() = 0;
    /// True once nothing is left to finish.
    virtual bool drained() const = 0;
    virtual void stop() = 0;
};

} // namespace daisymount::daemon

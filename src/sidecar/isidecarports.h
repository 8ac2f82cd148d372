// What a sidecar's core needs from outside: its upstream and the entries that wait for answers.

#pragma once

#include "attempts/attempttypes.h"

namespace daisymount::sidecar
{

/// The upstream behind the sidecar. Events come back by SidecarCore::onEngineEvent.
class IEngineLink
{
public:
    virtual ~IEngineLink() = default;
    virtual void start(const attempts::AttemptRequest &request) = 0;
    /// No event follows for @p attempt.
    virtual void cancel(attempts::AttemptId attempt) = 0;
    /// Asks for the engine's incarnation; the answer comes by SidecarCore::onProbe.
    virtual void probe() = 0;
};

/// The entries' ends of attempts.
class IAttemptReplies
{
public:
    virtual ~IAttemptReplies() = default;
    virtual void send(attempts::AttemptId attempt, const attempts::AttemptEvent &event) = 0;
};

} // namespace daisymount::sidecar

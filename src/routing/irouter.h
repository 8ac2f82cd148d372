// Public face of routing: chooses an upstream for each attempt and learns from its outcome.

#pragma once

#include "config/configtypes.h"
#include "routing/routingtypes.h"

#include <optional>
#include <string_view>

namespace daisymount::routing
{

class IRouter
{
public:
    virtual ~IRouter() = default;

    /// Takes over upstreams, zones and limits of @p config. State of upstreams that remain is kept.
    virtual void configure(const config::Config &config) = 0;

    /// Returns no choice when no upstream of the service may take work.
    virtual std::optional<Choice> pick(const RouteQuery &query, Instant now) = 0;

    virtual void onSent(std::string_view upstream, Instant now) = 0;
    virtual void onFirstToken(std::string_view upstream, Duration latency, Instant now) = 0;
    /// The attempt ended, in whatever way. Must be called once for each onSent.
    virtual void onFinished(std::string_view upstream, Instant now) = 0;
    virtual void onHint(std::string_view upstream, const LoadHint &hint, Instant now) = 0;
    /// The sidecar refused or could not be reached; the upstream is avoided for a short time.
    virtual void onRefused(std::string_view upstream, framework::ResultCode code, Instant now) = 0;
    /// An attempt went without an answer for longer than it should.
    virtual void onStalled(std::string_view upstream, Instant now) = 0;

    /// Membership's view. A leaving upstream takes no new work.
    virtual void setAlive(std::string_view upstream, bool alive) = 0;
    virtual void setLeaving(std::string_view upstream, bool leaving) = 0;

    /// Upstream that runs suspect requests of @p service alone, leaving out @p excluded. Equal on all entries with equal views; empty when there is none.
    virtual std::string designatedUpstream(std::string_view service, const UpstreamNames &excluded) const = 0;
};

} // namespace daisymount::routing

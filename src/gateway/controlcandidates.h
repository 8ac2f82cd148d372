// Decides which gateway should control the maps of rank groups. The searches take processor time that a small VM does not have beside its requests.

#pragma once

#include "framework/clock.h"

#include <optional>
#include <span>
#include <string>

namespace daisymount::gateway
{

/// A serving gateway.
struct ControlCandidate
{
    std::string name;
    double processorShare = 1.0; ///< Of a core.
    bool controls = false; ///< Holds the lease of the map controller.
};

/// True if @p self should acquire the lease: nobody holds it, and no other candidate has more processor time or, with as much, a lower name.
bool shouldAcquireControl(const ControlCandidate &self, std::span<const ControlCandidate> others);

/// Decides when a holder passes control on to a stronger gateway.
class ControlHandover
{
public:
    /// True once a considerably stronger candidate has been serving for STRONGER_FOR. Must be called several times within that time.
    bool isDue(const ControlCandidate &self, std::span<const ControlCandidate> others, framework::Instant now);

    /// Each change of control costs the time to read the maps again.
    static constexpr double STRONGER_RATIO = 1.5;
    /// Restarted gateways that soon stop again do not attract control.
    static constexpr framework::Duration STRONGER_FOR = framework::seconds{4};

private:
    std::optional<framework::Instant> strongerSince_; ///< Empty while no stronger candidate serves.
};

} // namespace daisymount::gateway

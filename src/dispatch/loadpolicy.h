// Decides from the configuration and the settings whether a service is admitted by adaptive concurrency limits and shares or by its slots.

#pragma once

#include "dispatch/groupdirectory.h"
#include "fleet/fleettypes.h"
#include "fleet/nodesettings.h"

#include <string_view>

namespace daisymount::dispatch
{

/// True if @p service uses ConcurrencyLimit and AdmissionShares. In mode Auto, services with engines do if they have several rank groups or
/// if the routes to them have different priorities.
bool isAdaptive(fleet::AdmissionMode mode, const fleet::FleetConfig &config, const GroupDirectory &groups, std::string_view service);

} // namespace daisymount::dispatch

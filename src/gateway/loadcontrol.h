// Admits requests to services with adaptive admission: gathers what this gateway knows of their rank groups for dispatch::ServiceAdmission.

#pragma once

#include "dispatch/serviceadmission.h"
#include "fleet/fleettypes.h"
#include "peers/peertypes.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisymount::gateway
{

struct GatewayContext;

using framework::Duration;
using framework::Instant;

class LoadControl
{
public:
    LoadControl(GatewayContext &context, uint64_t seed);

    /// True if the configuration in force or the settings call for adaptive admission to the service.
    bool isAdaptive(std::string_view service);
    bool isAnyAdaptive();
    dispatch::ServiceAdmission &admission(const std::string &service);
    /// State of the groups of an adaptive service.
    std::vector<dispatch::GroupView> groups(const std::string &service, Instant now);

    /// An event of a stream from the group with key @p group arrived @p gap after the one before it.
    void onPass(const std::string &service, std::string_view group, Duration gap, Instant now);
    void onPeerDemand(std::string_view entry, std::span<const peers::ServiceDemand> demand, Instant now);
    /// Demand on the adaptive services, for the next heartbeat.
    std::vector<peers::ServiceDemand> demand(Instant now);

    /// Calls @p visit for each adaptive service with its limit and its requests in flight, both over all entries.
    void forEachLoad(const std::function<void(std::string_view service, double limit, double inFlight)> &visit) const;

private:
    /// What the configuration says of an adaptive service.
    struct ServicePolicy
    {
        Duration shortestPause{0}; ///< Of the routes to it; 0 if none has a pause objective.
    };

    /// Policies of the adaptive services. Evaluated once for each configuration and list of groups: it reads all routes, and requests and events of
    /// streams ask for it.
    const std::map<std::string, ServicePolicy, std::less<>> &policies();

    GatewayContext &context_;
    std::map<std::string, ServicePolicy, std::less<>> policies_;
    std::shared_ptr<const fleet::FleetConfig> policiesConfig_; ///< Configuration of policies_, null before the first.
    std::pair<int64_t, int64_t> policiesGroups_; ///< Term and revision of the list of groups of policies_.
    uint64_t seed_;
    std::map<std::string, dispatch::ServiceAdmission, std::less<>> services_;
    std::set<std::string, std::less<>> down_; ///< Keys of groups that lacked a rank when they were last looked at.
};

} // namespace daisymount::gateway

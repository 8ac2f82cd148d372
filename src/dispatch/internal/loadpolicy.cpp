// Selection of the admission rule of a service.

#include "dispatch/loadpolicy.h"

#include <algorithm>
#include <set>

namespace daisymount::dispatch
{

namespace
{
bool prioritiesDiffer(const fleet::FleetConfig &config, std::string_view service)
{
    std::set<int> priorities;
    for (const fleet::Route &route : config.routes) {
        if (std::ranges::any_of(route.services, [&](const fleet::WeightedService &entry) { return entry.service == service; })) {
            priorities.insert(route.priority);
        }
    }
    return priorities.size() > 1;
}
} // namespace

bool isAdaptive(fleet::AdmissionMode mode, const fleet::FleetConfig &config, const GroupDirectory &groups, std::string_view service)
{
    const auto found = config.services.find(service);
    if (mode == fleet::AdmissionMode::Slots || found == config.services.end() || !found->second.engine) {
        return false;
    }
    return mode == fleet::AdmissionMode::Adaptive || groups.hasSeveralGroups(service) || prioritiesDiffer(config, service);
}

} // namespace daisymount::dispatch

// State of rank groups as seen by this gateway.

#include "gateway/loadcontrol.h"

#include "dispatch/loadpolicy.h"
#include "gateway/gatewaycontext.h"

#include <algorithm>

namespace daisymount::gateway
{

namespace
{
/// Shortest positive pause objective of the routes to @p service; 0 if none has one.
Duration shortestPause(const fleet::FleetConfig &config, std::string_view service)
{
    Duration shortest{0};
    for (const fleet::Route &route : config.routes) {
        const bool uses = std::ranges::any_of(route.services, [&](const fleet::WeightedService &entry) { return entry.service == service; });
        if (uses && route.pauseObjective.count() > 0 && (shortest.count() == 0 || route.pauseObjective < shortest)) {
            shortest = route.pauseObjective;
        }
    }
    return shortest;
}
} // namespace

LoadControl::LoadControl(GatewayContext &context, uint64_t seed) : context_(context), seed_(seed)
{ }

const std::map<std::string, LoadControl::ServicePolicy, std::less<>> &LoadControl::policies()
{
    const auto config = context_.view.hasConfig() ? context_.view.config() : nullptr;
    const std::pair<int64_t, int64_t> groups{context_.groups.list().term, context_.groups.list().revision};
    if (config == policiesConfig_ && groups == policiesGroups_) {
        return policies_;
    }
    policiesConfig_ = config;
    policiesGroups_ = groups;
    policies_.clear();
    if (config) {
        for (const auto &[name, service] : config->services) {
            if (dispatch::isAdaptive(context_.settings.admission, *config, context_.groups, name)) {
                policies_[name] = {shortestPause(*config, name)};
            }
        }
    }
    return policies_;
}

bool LoadControl::isAnyAdaptive()
{
    return !policies().empty();
}

bool LoadControl::isAdaptive(std::string_view service)
{
    return policies().contains(service);
}

dispatch::ServiceAdmission &LoadControl::admission(const std::string &service)
{
    const auto found = services_.find(service);
    if (found != services_.end()) {
        return found->second;
    }
    dispatch::ServiceAdmissionOptions options;
    options.seed = seed_;
    return services_.emplace(service, dispatch::ServiceAdmission(options)).first->second;
}

std::vector<dispatch::GroupView> LoadControl::groups(const std::string &service, Instant now)
{
    std::vector<dispatch::GroupView> views;
    const auto config = context_.view.config();
    const auto known = config->services.find(service);
    if (known == config->services.end() || !known->second.engine) {
        return views;
    }
    const Instant listening = context_.listeningTime(now);
    const auto policy = policies().find(service);
    const Duration pause = policy == policies_.end() ? Duration{0} : policy->second.shortestPause;
    for (const std::string &key : context_.groups.keysOf(service)) {
        const dispatch::EngineLoad load = context_.dispatcher.engineLoad(key, now);
        const bool lacksRank = context_.peers.groupDown(key, now);
        if (lacksRank) {
            down_.insert(key);
        } else if (down_.erase(key) > 0) {
            admission(service).onGroupReopened(key, now);
        }
        const bool down = lacksRank || context_.passTimeTracker.stalled(key, listening);
        dispatch::GroupView view;
        view.key = key;
        view.capacity = {*known->second.engine, std::max(load.usable, context_.groups.ranksOf(key)), pause};
        view.ownInFlight = load.inFlight;
        view.inFlight = load.inFlight + context_.peers.inFlightOfOthers(key, now);
        // A rank that is only unreachable for the controller does not stop the others.
        view.usable
            = load.usable > 0 && (!down || context_.passTimeTracker.progressing(key, listening)) && !context_.silenceDetector.isServiceSilent(key, listening);
        views.push_back(std::move(view));
    }
    return views;
}

void LoadControl::onPass(const std::string &service, std::string_view group, Duration gap, Instant now)
{
    const int inFlight = context_.dispatcher.engineLoad(group, now).inFlight + context_.peers.inFlightOfOthers(group, now);
    admission(service).onPass(group, gap, inFlight, now);
}

void LoadControl::onPeerDemand(std::string_view entry, std::span<const peers::ServiceDemand> demand, Instant now)
{
    for (const peers::ServiceDemand &service : demand) {
        if (isAdaptive(service.service)) {
            admission(service.service).onPeerDemand(entry, service.demand, now);
        }
    }
}

void LoadControl::forEachLoad(const std::function<void(std::string_view service, double limit, double inFlight)> &visit) const
{
    for (const auto &[name, admission] : services_) {
        visit(name, admission.room().limit, admission.room().inFlight);
    }
}

std::vector<peers::ServiceDemand> LoadControl::demand(Instant now)
{
    const int entries = static_cast<int>(context_.peers.serving(now).size()) + 1;
    std::vector<peers::ServiceDemand> demands;
    for (auto &[name, service] : services_) {
        service.setEntries(entries);
        demands.push_back({name, service.demand(now)});
    }
    return demands;
}

} // namespace daisymount::gateway

// Applies stored items in revision order and builds the lookup tables.

#include "fleet/fleetview.h"

#include "framework/hash.h"

#include <algorithm>

namespace daisymount::fleet
{

namespace
{
/// Time for which the last registration of an upstream that is gone is remembered. Writes that got no reply are carried out within seconds.
constexpr framework::seconds REGISTRATION_MEMORY{60};
} // namespace

FleetView::FleetView(FleetDecoder decoder) : decoder_(std::move(decoder)), config_(std::make_shared<FleetConfig>())
{ }

bool FleetView::applyConfig(const StoredItem &item)
{
    const bool ofSameEra = item.revision.era == configItem_.revision.era;
    if (ofSameEra && item.revision <= configItem_.revision) {
        return false;
    }
    std::optional<FleetConfig> decoded = decoder_.config(item.value);
    if (!decoded || decoded->version < config_->version) {
        return false;
    }
    if (decoded->version == config_->version && item.revision < configItem_.revision) {
        return false;
    }
    config_ = std::make_shared<const FleetConfig>(std::move(*decoded));
    configItem_ = item;
    buildLookupTables();
    return true;
}

bool FleetView::applyZonesOut(const std::set<std::string> &zones, StoreRevision revision)
{
    return zonesOut_.applySet(zones, revision);
}

bool FleetView::applyZoneChange(std::string_view zone, bool outOfService, StoreRevision revision)
{
    return zonesOut_.applyChange(zone, outOfService, revision);
}

void FleetView::retainZonesOut(const std::set<std::string> &zones, Instant until)
{
    zonesOut_.retain(zones);
    zonesRetainedUntil_ = std::max(zonesRetainedUntil_, until);
}

void FleetView::onNewEra(int64_t era, Instant now, Duration zoneRetention)
{
    zonesOut_.onNewEra(era);
    zonesRetainedUntil_ = std::max(zonesRetainedUntil_, now + zoneRetention);
    lapsedGraceUntil_ = now + LAPSED_GRACE;
    onlyLostLapse_ = true;
    copiedUntil_ = now + REGISTRATION_LIFETIME;
}

void FleetView::applyUpstreams(const Snapshot &snapshot, Instant now)
{
    if (snapshot.revision < upstreamItems_.revision) {
        return;
    }
    upstreamItems_ = snapshot;
    std::set<std::string_view> registeredIds;
    for (const StoredItem &item : snapshot.items) {
        registeredIds.insert(item.key);
        const auto known = upstreams_.find(item.key);
        // The pages of a long list are read one after the other, so an entry may be newer than its list, and than that of a newer list.
        if (known != upstreams_.end() && known->second.revision >= item.revision) {
            known->second.missingSince = Instant{0};
            continue;
        }
        const auto outdated = outdatedUpstreams_.find(item.key);
        if (outdated != outdatedUpstreams_.end() && outdated->second >= item.revision) {
            keepListed(item.key);
            continue;
        }
        const auto malformed = malformedUpstreams_.find(item.key);
        if (malformed != malformedUpstreams_.end() && malformed->second >= item.revision) {
            continue;
        }
        std::optional<Upstream> decoded = decoder_.upstream(item.key, item.value);
        if (!decoded) {
            upstreams_.erase(item.key);
            if (malformed == malformedUpstreams_.end()) {
                onMalformedUpstream(item);
            }
            malformedUpstreams_.insert_or_assign(item.key, item.revision);
            continue;
        }
        malformedUpstreams_.erase(item.key);
        const bool wasLeaving = isKnownToLeave(*decoded);
        const std::optional<StoreRevision> registeredAt = recordRegistration(*decoded, item.revision, now);
        if (!registeredAt) {
            outdatedUpstreams_.insert_or_assign(item.key, item.revision);
            keepListed(item.key);
            onOutdatedUpstream(item);
            continue;
        }
        outdatedUpstreams_.erase(item.key);
        const bool copied = *registeredAt != item.revision && known != upstreams_.end();
        const Instant coldFromNow = decoded->coldRemaining.count() > 0 ? now + decoded->coldRemaining : Instant{0};
        const Instant coldUntil = copied ? known->second.coldUntil : coldFromNow;
        if (known != upstreams_.end() && known->second.upstream.bornMs != decoded->bornMs) {
            rememberRemoval(known->second.upstream);
        }
        const auto applied
            = upstreams_.insert_or_assign(item.key, KnownUpstream{std::move(*decoded), item.revision, *registeredAt, coldUntil, Instant{0}}).first;
        if (applied->second.upstream.state == UpstreamState::Draining && !wasLeaving) {
            onUpstreamLeaving(applied->second);
        }
    }
    for (auto entry = upstreams_.begin(); entry != upstreams_.end();) {
        if (registeredIds.contains(entry->first) || entry->second.revision > snapshot.revision) {
            ++entry;
        } else if (mayHaveLapsed(entry->second, snapshot.revision, now)) {
            if (entry->second.missingSince == Instant{0}) {
                entry->second.missingSince = now;
            }
            ++entry;
        } else {
            markRemoved(entry->second);
            entry = upstreams_.erase(entry);
        }
    }
    std::erase_if(malformedUpstreams_, [&](const auto &entry) { return !registeredIds.contains(entry.first); });
    std::erase_if(outdatedUpstreams_, [&](const auto &entry) { return !registeredIds.contains(entry.first); });
    for (auto &[incarnation, last] : lastRegistrations_) {
        const auto &[id, bornMs] = incarnation;
        const auto known = upstreams_.find(id);
        const bool isKnown = known != upstreams_.end() && known->second.upstream.bornMs == bornMs;
        if (registeredIds.contains(id) && (isKnown || outdatedUpstreams_.contains(id))) {
            last.seenAt = now;
        }
    }
    std::erase_if(lastRegistrations_, [now](const auto &entry) { return now - entry.second.seenAt > REGISTRATION_MEMORY; });
    removeSuperseded();
}

bool FleetView::mayHaveLapsed(const KnownUpstream &known, StoreRevision listRevision, Instant now) const
{
    const bool mayBeLost = !onlyLostLapse_ || known.revision.era < listRevision.era;
    return now < lapsedGraceUntil_ && known.upstream.state == UpstreamState::Ready && mayBeLost;
}

void FleetView::keepListed(std::string_view id)
{
    const auto known = upstreams_.find(id);
    if (known != upstreams_.end()) {
        known->second.missingSince = Instant{0};
    }
}

bool FleetView::isKnownToLeave(const Upstream &upstream) const
{
    const auto last = lastRegistrations_.find({upstream.id, upstream.bornMs});
    return last != lastRegistrations_.end() && last->second.state == UpstreamState::Draining;
}

std::optional<StoreRevision> FleetView::recordRegistration(const Upstream &upstream, StoreRevision revision, Instant now)
{
    LastRegistration &last = lastRegistrations_[{upstream.id, upstream.bornMs}];
    const bool sameIncarnation = last.seenAt != Instant{0} && upstream.bornMs != 0;
    const bool comesBack = last.state == UpstreamState::Draining && upstream.state == UpstreamState::Ready;
    const bool sameRegistration = sameIncarnation && upstream.sequence == last.sequence;
    if (sameIncarnation && (upstream.sequence < last.sequence || (sameRegistration && comesBack))) {
        return std::nullopt;
    }
    const bool copied = sameRegistration && revision.era > last.registeredAt.era;
    if (copied && last.removed && now < copiedUntil_) {
        return std::nullopt;
    }
    last = {upstream.sequence, upstream.state, copied ? last.registeredAt : revision, false, now};
    return last.registeredAt;
}

void FleetView::markRemoved(const KnownUpstream &known)
{
    rememberRemoval(known.upstream);
    onUpstreamRemoved(known);
}

void FleetView::rememberRemoval(const Upstream &upstream)
{
    const auto last = lastRegistrations_.find({upstream.id, upstream.bornMs});
    if (last != lastRegistrations_.end()) {
        last->second.removed = true;
    }
}

void FleetView::removeSuperseded()
{
    // Ordered by store revision, since the clocks of upstreams may have been set back.
    std::map<std::string, StoreRevision, std::less<>> newestRevisions; // By address. Owns its keys, since entries are removed while it is used.
    for (const auto &[id, known] : upstreams_) {
        StoreRevision &revision = newestRevisions[known.upstream.address];
        revision = std::max(revision, known.registeredAt);
    }
    std::erase_if(upstreams_, [&](const auto &entry) { return entry.second.registeredAt < newestRevisions.find(entry.second.upstream.address)->second; });
}

void FleetView::onStoreRegained(Instant now)
{
    onlyLostLapse_ = false;
    lapsedGraceUntil_ = now + LAPSED_GRACE;
}

bool FleetView::expire(Instant now)
{
    if (copiedUntil_ != Instant{0} && now >= copiedUntil_) {
        copiedUntil_ = Instant{0};
        // The next list decides again about registrations that were taken for dead ones.
        outdatedUpstreams_.clear();
    }
    bool changed = false;
    if (zonesRetainedUntil_ != Instant{0} && now >= zonesRetainedUntil_) {
        zonesRetainedUntil_ = Instant{0};
        changed = zonesOut_.endRetention();
    }
    if (lapsedGraceUntil_ == Instant{0} || now < lapsedGraceUntil_) {
        return changed;
    }
    for (auto entry = upstreams_.begin(); entry != upstreams_.end();) {
        if (entry->second.missingSince == Instant{0}) {
            ++entry;
            continue;
        }
        markRemoved(entry->second);
        entry = upstreams_.erase(entry);
        changed = true;
    }
    return changed;
}

bool FleetView::hasConfig() const
{
    return configItem_.revision > StoreRevision();
}

std::shared_ptr<const FleetConfig> FleetView::config() const
{
    return config_;
}

RouteMatch FleetView::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = routesByHost_.find(std::string(host));
    if (routes == routesByHost_.end()) {
        return {};
    }
    for (const Route *route : routes->second) {
        if (path.starts_with(route->prefix)) {
            return {route, config_};
        }
    }
    return {};
}

const Organisation *FleetView::organisationOf(std::string_view apiKey) const
{
    const auto found = organisationByKey_.find(std::string(apiKey));
    return found == organisationByKey_.end() ? nullptr : found->second;
}

bool FleetView::zoneOut(std::string_view zone) const
{
    return zonesOut_.contains(zone);
}

const std::set<std::string> &FleetView::zonesOut() const
{
    return zonesOut_.zones();
}

std::set<std::string> FleetView::storedZonesOut() const
{
    return zonesOut_.stored();
}

const std::set<std::string> &FleetView::retainedZonesOut() const
{
    return zonesOut_.retained();
}

const std::map<std::string, KnownUpstream, std::less<>> &FleetView::upstreams() const
{
    return upstreams_;
}

StoreRevision FleetView::configRevision() const
{
    return configItem_.revision;
}

StoreRevision FleetView::zonesRevision() const
{
    return zonesOut_.revision();
}

uint32_t FleetView::zonesDigest() const
{
    std::string names;
    for (const std::string &zone : storedZonesOut()) {
        names += zone + '\n';
    }
    return static_cast<uint32_t>(framework::hash64(names));
}

StoreRevision FleetView::upstreamsRevision() const
{
    return upstreamItems_.revision;
}

const StoredItem &FleetView::configItem() const
{
    return configItem_;
}

const Snapshot &FleetView::upstreamItems() const
{
    return upstreamItems_;
}

void FleetView::buildLookupTables()
{
    routesByHost_.clear();
    organisationByKey_.clear();
    for (const Route &route : config_->routes) {
        // An empty prefix would match all paths of the host.
        if (route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
            routesByHost_[route.host].push_back(&route);
        }
    }
    for (auto &[host, routes] : routesByHost_) {
        std::ranges::stable_sort(routes, [](const Route *a, const Route *b) { return a->prefix.size() > b->prefix.size(); });
    }
    for (const Organisation &organisation : config_->organisations) {
        for (const std::string &key : organisation.apiKeys) {
            organisationByKey_[key] = &organisation;
        }
    }
}

} // namespace daisymount::fleet

// What this process knows of the fleet: the configuration in force, zones out of service and upstreams, each by store revision.

#pragma once

#include "fleet/fleettypes.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace daisymount::fleet
{

/// A stored item as the view remembers it, so that a peer can be given the same.
struct StoredItem
{
    std::string key;
    std::string value;
    int64_t revision = 0;
};

/// Items below one prefix at a store revision.
struct Snapshot
{
    std::vector<StoredItem> items;
    int64_t revision = 0;
};

/// An upstream with what the view adds to its registration.
struct KnownUpstream
{
    Upstream upstream;
    int64_t revision = 0;
    Instant coldUntil{0};
    Instant missingSince{0}; ///< 0 while registered. Set while an entry may come back after a store outage.
};

/// Decodes stored values. Implemented by the platform adapter; an empty result names nothing to use.
struct FleetDecoder
{
    std::function<std::optional<FleetConfig>(std::string_view value)> config;
    std::function<std::optional<Upstream>(std::string_view id, std::string_view value)> upstream;
};

/// Outcome of looking for the route of a request.
struct RouteMatch
{
    const Route *route = nullptr; ///< Valid while the configuration it came from is held.
    std::shared_ptr<const FleetConfig> config;
};

class FleetView
{
public:
    explicit FleetView(FleetDecoder decoder);

    /// Takes over a configuration. Older revisions are ignored; returns true when it is now in force.
    bool applyConfig(const StoredItem &item);
    /// Replaces the zones that are out of service. Ignored when @p revision is older than the last one.
    bool applyZonesOut(std::set<std::string> zones, int64_t revision);
    /// Replaces the upstreams by those in @p snapshot. Upstreams missing from it stay until the grace after an outage ends. Of several
    /// at one address only the one registered last is kept: after a crash the earlier registration stands until its lease ends.
    void applyUpstreams(const Snapshot &snapshot, Instant now);
    /// The store answers again after an outage: registrations that lapsed meanwhile get LAPSED_GRACE to return.
    void onStoreRegained(Instant now);
    /// Drops upstreams whose grace has ended.
    void expire(Instant now);

    bool hasConfig() const;
    std::shared_ptr<const FleetConfig> config() const;
    RouteMatch findRoute(std::string_view host, std::string_view path) const;
    /// The organisation that holds @p apiKey in the configuration in force, or nullptr.
    const Organisation *organisationOf(std::string_view apiKey) const;
    bool zoneOut(std::string_view zone) const;
    const std::set<std::string> &zonesOut() const;
    const std::map<std::string, KnownUpstream, std::less<>> &upstreams() const;
    int64_t configRevision() const;
    int64_t zonesRevision() const;
    int64_t upstreamsRevision() const;
    const StoredItem &configItem() const;
    const Snapshot &upstreamItems() const;

    /// Entries of live servers that lapsed during a store outage are back within about two seconds.
    static constexpr Duration LAPSED_GRACE = milliseconds{2'200};

private:
    void buildLookupTables();
    void removeSuperseded();

    FleetDecoder decoder_;
    std::shared_ptr<const FleetConfig> config_; ///< Never null; version 0 before the first configuration.
    StoredItem configItem_; ///< Its revision never decreases.
    std::set<std::string> zonesOut_;
    int64_t zonesRevision_ = -1; ///< Never decreases.
    Snapshot upstreamItems_; ///< Its revision never decreases.
    std::map<std::string, KnownUpstream, std::less<>> upstreams_; ///< By id.
    Instant lapsedGraceUntil_{0}; ///< Until then missing upstreams are kept.
    std::unordered_map<std::string, std::vector<const Route *>> routesByHost_; ///< Longest prefix first.
    std::unordered_map<std::string, const Organisation *> organisationByKey_;
};

} // namespace daisymount::fleet

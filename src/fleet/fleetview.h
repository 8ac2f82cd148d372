// Fleet state of this process: the active configuration, the zones out of service and the upstreams, each with its store revision.
//
// What the store has acknowledged stays accepted when the store comes back from an older copy. Between two eras a configuration is therefore ordered by its
// version, which operators only raise, and a registration by the sequence of its upstream. Only within an era revisions order everything.

#pragma once

#include "fleet/fleettypes.h"
#include "fleet/zonesoutofservice.h"
#include "storeera/storerevision.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace daisymount::fleet
{

/// A stored item, kept in its original form so that it can be passed on to peers.
struct StoredItem
{
    std::string key;
    std::string value;
    StoreRevision revision;
};

/// Items with a common key prefix at one store revision. All are of its era.
struct Snapshot
{
    std::vector<StoredItem> items;
    StoreRevision revision;
};

/// A registered upstream with the state kept by the view.
struct KnownUpstream
{
    Upstream upstream;
    StoreRevision revision;
    StoreRevision registeredAt; ///< Of this registration when it was first seen. Not changed by an older copy of the store that has it too.
    Instant coldUntil{0};
    Instant missingSince{0}; ///< 0 while registered. Set while a lapsed registration may return after a store outage.
};

/// Decodes stored values. Implemented by the platform adapter; an empty result means that the value is invalid.
struct FleetDecoder
{
    std::function<std::optional<FleetConfig>(std::string_view value)> config;
    std::function<std::optional<Upstream>(std::string_view id, std::string_view value)> upstream;
};

/// Result of a route lookup.
struct RouteMatch
{
    const Route *route = nullptr; ///< Valid as long as config is held.
    std::shared_ptr<const FleetConfig> config;
};

class FleetView
{
public:
    explicit FleetView(FleetDecoder decoder);

    /// Applies a configuration. Older revisions of the same era and lower versions are ignored, as is the same version of an earlier era; returns true if it
    /// became active.
    bool applyConfig(const StoredItem &item);
    /// Applies the complete set of zones out of service as of @p revision, see ZonesOutOfService::applySet().
    bool applyZonesOut(const std::set<std::string> &zones, StoreRevision revision);
    /// Applies the change of one zone, see ZonesOutOfService::applyChange().
    bool applyZoneChange(std::string_view zone, bool outOfService, StoreRevision revision);
    /// See ZonesOutOfService::retain(). The zones are kept out until @p until.
    void retainZonesOut(const std::set<std::string> &zones, Instant until);
    /// Replaces the upstreams by those in @p snapshot. Missing upstreams are kept during the grace period after a store outage. Of several
    /// upstreams at one address only the last registered is kept, since the registration of a crashed one remains until its lease ends.
    void applyUpstreams(const Snapshot &snapshot, Instant now);
    /// The store is available again after an outage: lapsed registrations may return within LAPSED_GRACE.
    void onStoreRegained(Instant now);
    /// The store has come back from an older copy, and begun @p era. Zones that are out of service stay out for @p zoneRetention, unless they change before.
    /// Registrations that the copy does not have may return within LAPSED_GRACE.
    void onNewEra(int64_t era, Instant now, Duration zoneRetention);
    /// Removes upstreams that did not return within the grace period, and ends the retention of zones.
    /// Returns true if anything changed.
    bool expire(Instant now);

    bool hasConfig() const;
    std::shared_ptr<const FleetConfig> config() const;
    RouteMatch findRoute(std::string_view host, std::string_view path) const;
    /// The organisation of @p apiKey in the active configuration, or nullptr.
    const Organisation *organisationOf(std::string_view apiKey) const;
    bool zoneOut(std::string_view zone) const;
    const std::set<std::string> &zonesOut() const;
    /// Zones out of service without those that are only retained, see ZonesOutOfService::stored().
    std::set<std::string> storedZonesOut() const;
    const std::set<std::string> &retainedZonesOut() const;
    const std::map<std::string, KnownUpstream, std::less<>> &upstreams() const;
    StoreRevision configRevision() const;
    StoreRevision zonesRevision() const;
    /// Equal for equal zones out of service, without those that are only retained.
    uint32_t zonesDigest() const;
    StoreRevision upstreamsRevision() const;
    const StoredItem &configItem() const;
    const Snapshot &upstreamItems() const;

    /// Called once for each entry of the upstreams that cannot be decoded, until the entry is valid or gone. Such an entry names no upstream.
    std::function<void(const StoredItem &)> onMalformedUpstream = [](const StoredItem &) {};

    /// Called when the list of upstreams first shows that an upstream leaves.
    std::function<void(const KnownUpstream &)> onUpstreamLeaving = [](const KnownUpstream &) {};

    /// Called when an upstream is dropped because it is no longer in the list.
    std::function<void(const KnownUpstream &)> onUpstreamRemoved = [](const KnownUpstream &) {};

    /// Called for each registration that is older than one known of the same incarnation: the store has carried out its write late. It changes nothing.
    std::function<void(const StoredItem &)> onOutdatedUpstream = [](const StoredItem &) {};

    /// Running servers renew registrations that lapsed during a store outage within about two seconds.
    static constexpr Duration LAPSED_GRACE = milliseconds{2'200};
    /// The store removes the registration of an upstream that does not renew it for 3.6 s, also one that a copy has brought back. Lists that are applied after
    /// this time were read after the removal.
    static constexpr Duration REGISTRATION_LIFETIME = milliseconds{5'200};

private:
    /// The newest registration of an incarnation of an upstream, kept for some time after it has been removed.
    struct LastRegistration
    {
        int64_t sequence = 0;
        UpstreamState state = UpstreamState::Ready;
        StoreRevision registeredAt; ///< See KnownUpstream.
        bool removed = false; ///< The incarnation has been dropped or replaced by another one since.
        Instant seenAt{0};
    };

    void buildLookupTables();
    void removeSuperseded();
    /// Remembers @p upstream, read at @p revision, as the newest registration of its incarnation. Returns the revision at which that was first seen, or an
    /// empty value if a newer one is known or an older copy of the store has brought it back.
    std::optional<StoreRevision> recordRegistration(const Upstream &upstream, StoreRevision revision, Instant now);
    bool isKnownToLeave(const Upstream &upstream) const;
    void markRemoved(const KnownUpstream &known);
    /// The list has an entry of the upstream with @p id, although an older one than is known.
    void keepListed(std::string_view id);
    /// True if @p known, which the list at @p listRevision does not have, may be running and return: its registration lapsed, or the store has lost it.
    bool mayHaveLapsed(const KnownUpstream &known, StoreRevision listRevision, Instant now) const;
    void rememberRemoval(const Upstream &upstream);

    FleetDecoder decoder_;
    std::shared_ptr<const FleetConfig> config_; ///< Never null; version 0 before the first configuration.
    StoredItem configItem_; ///< Its revision never decreases within an era.
    ZonesOutOfService zonesOut_;
    Snapshot upstreamItems_; ///< Its revision never decreases.
    std::map<std::string, KnownUpstream, std::less<>> upstreams_; ///< By id.
    std::map<std::string, StoreRevision, std::less<>> malformedUpstreams_; ///< Revision by id.
    std::map<std::string, StoreRevision, std::less<>> outdatedUpstreams_; ///< Of registrations that change nothing: revision by id.
    std::map<std::pair<std::string, int64_t>, LastRegistration> lastRegistrations_; ///< By id and bornMs.
    Instant lapsedGraceUntil_{0}; ///< Missing upstreams are kept until this time.
    bool onlyLostLapse_ = false; ///< The grace period is that of a new era: upstreams that were listed in it have been removed for good.
    Instant zonesRetainedUntil_{0};
    Instant copiedUntil_{0}; ///< Registrations that a copy has brought back may not have been removed before this time. 0 if there are none.
    std::unordered_map<std::string, std::vector<const Route *>> routesByHost_; ///< Longest prefix first.
    std::unordered_map<std::string, const Organisation *> organisationByKey_;
};

} // namespace daisymount::fleet

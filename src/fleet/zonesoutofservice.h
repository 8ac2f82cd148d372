// Availability zones that operators have taken out of service. Complete sets and single changes come from several sources at once, late and more than
// once: reads of the store, watches and peers. Every zone has the state of the latest revision at which it is known.

//
// A store that comes back from an older copy may have lost evacuations that it had acknowledged. What was out of service then stays out until the zone
// changes in the new era, or until operators have had time to write it again.

#pragma once

#include "storeera/storerevision.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace daisymount::fleet
{

using storeera::StoreRevision;

class ZonesOutOfService
{
public:
    /// Applies the complete set of @p zones as of @p revision. Zones that are known as of a later revision keep their state. Returns true if a zone changed.
    bool applySet(const std::set<std::string> &zones, StoreRevision revision);
    /// Applies the change of one @p zone at @p revision, unless it is known as of that or a later one. Returns true if the zone changed.
    bool applyChange(std::string_view zone, bool outOfService, StoreRevision revision);

    const std::set<std::string> &zones() const;
    bool contains(std::string_view zone) const;
    /// Revision as of which the zones are complete, given that no change before the last one was left out; UNKNOWN before the first set or change.
    StoreRevision revision() const;

    /// Keeps @p zones out of service, whatever sets say, until each of them changes or endRetention() is called.
    void retain(const std::set<std::string> &zones);
    /// The store has begun @p era. Keeps the zones that are out of service, and those that late news of an earlier era still tells, as retain() does.
    void onNewEra(int64_t era);
    /// Ends the retention of all zones. Returns true if a zone changed.
    bool endRetention();
    const std::set<std::string> &retained() const;
    /// Zones that are out of service by the newest set and the changes after it.
    std::set<std::string> stored() const;

    static constexpr StoreRevision UNKNOWN{0, -1};

private:
    struct Change
    {
        bool outOfService = false;
        StoreRevision revision;
    };

    /// Computes zones_ again. Returns true if it changed.
    bool update();

    std::set<std::string> zones_; ///< stored() and retained_.
    std::set<std::string> set_; ///< The newest complete set.
    std::set<std::string> retained_; ///< Kept out of service until they change or are in a set, in era_.
    bool retaining_ = false; ///< From onNewEra() to endRetention().
    int64_t era_ = 0; ///< The newest that is known.
    StoreRevision setRevision_ = UNKNOWN; ///< Of set_. Never decreases.
    std::map<std::string, Change, std::less<>> changes_; ///< Last change of each zone after setRevision_.
};

} // namespace daisymount::fleet

// Availability zones that operators have taken out of service. Complete sets and single changes come from several sources at once, late and more than
// once: reads of the store, watches and peers. Every zone has the state of the latest revision at which it is known.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace daisymount::fleet
{

class ZonesOutOfService
{
public:
    /// Applies the complete set of @p zones as of @p revision. Zones that are known as of a later revision keep their state. Returns true if a zone changed.
    bool applySet(const std::set<std::string> &zones, int64_t revision);
    /// Applies the change of one @p zone at @p revision, unless it is known as of that or a later one. Returns true if the zone changed.
    bool applyChange(std::string_view zone, bool outOfService, int64_t revision);

    const std::set<std::string> &zones() const;
    bool contains(std::string_view zone) const;
    /// Revision as of which the zones are complete, given that no change before the last one was left out; -1 before the first set or change.
    int64_t revision() const;

private:
    struct Change
    {
        bool outOfService = false;
        int64_t revision = 0;
    };

    std::set<std::string> zones_;
    int64_t setRevision_ = -1; ///< Of the newest complete set. Never decreases.
    std::map<std::string, Change, std::less<>> changes_; ///< Last change of each zone after setRevision_.
};

} // namespace daisymount::fleet

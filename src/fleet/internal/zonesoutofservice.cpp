// Orders sets and changes of zones by revision.

#include "fleet/zonesoutofservice.h"

#include <algorithm>
#include <utility>

namespace daisymount::fleet
{

bool ZonesOutOfService::applySet(const std::set<std::string> &zones, int64_t revision)
{
    if (revision < setRevision_) {
        return false;
    }
    setRevision_ = revision;
    std::erase_if(changes_, [revision](const auto &entry) { return entry.second.revision <= revision; });
    std::set<std::string> merged = zones;
    for (const auto &[zone, change] : changes_) {
        if (change.outOfService) {
            merged.insert(zone);
        } else {
            merged.erase(zone);
        }
    }
    return std::exchange(zones_, std::move(merged)) != zones_;
}

bool ZonesOutOfService::applyChange(std::string_view zone, bool outOfService, int64_t revision)
{
    const auto last = changes_.find(zone);
    if (revision <= (last == changes_.end() ? setRevision_ : last->second.revision)) {
        return false;
    }
    changes_.insert_or_assign(std::string(zone), Change{outOfService, revision});
    return outOfService ? zones_.insert(std::string(zone)).second : zones_.erase(std::string(zone)) > 0;
}

const std::set<std::string> &ZonesOutOfService::zones() const
{
    return zones_;
}

bool ZonesOutOfService::contains(std::string_view zone) const
{
    return zones_.contains(std::string(zone));
}

int64_t ZonesOutOfService::revision() const
{
    int64_t revision = setRevision_;
    for (const auto &[zone, change] : changes_) {
        revision = std::max(revision, change.revision);
    }
    return revision;
}

} // namespace daisymount::fleet

// Orders sets and changes of zones by revision.

#include "fleet/zonesoutofservice.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace daisymount::fleet
{

bool ZonesOutOfService::applySet(const std::set<std::string> &zones, StoreRevision revision)
{
    if (revision < setRevision_) {
        return false;
    }
    setRevision_ = revision;
    set_ = zones;
    std::erase_if(changes_, [revision](const auto &entry) { return entry.second.revision <= revision; });
    if (revision.era >= era_) {
        std::erase_if(retained_, [&](const std::string &zone) { return zones.contains(zone); });
    } else if (retaining_) {
        std::ranges::copy_if(zones, std::inserter(retained_, retained_.end()), [this](const std::string &zone) { return !changes_.contains(zone); });
    }
    return update();
}

bool ZonesOutOfService::applyChange(std::string_view zone, bool outOfService, StoreRevision revision)
{
    const auto last = changes_.find(zone);
    if (revision <= (last == changes_.end() ? setRevision_ : last->second.revision)) {
        return false;
    }
    changes_.insert_or_assign(std::string(zone), Change{outOfService, revision});
    if (revision.era >= era_) {
        retained_.erase(std::string(zone));
    }
    return update();
}

void ZonesOutOfService::retain(const std::set<std::string> &zones)
{
    retained_.insert(zones.begin(), zones.end());
    update();
}

void ZonesOutOfService::onNewEra(int64_t era)
{
    era_ = era;
    retaining_ = true;
    retain(std::set<std::string>(zones_));
}

bool ZonesOutOfService::endRetention()
{
    retaining_ = false;
    retained_.clear();
    return update();
}

std::set<std::string> ZonesOutOfService::stored() const
{
    std::set<std::string> zones = set_;
    for (const auto &[zone, change] : changes_) {
        if (change.outOfService) {
            zones.insert(zone);
        } else {
            zones.erase(zone);
        }
    }
    return zones;
}

bool ZonesOutOfService::update()
{
    std::set<std::string> zones = stored();
    zones.insert(retained_.begin(), retained_.end());
    return std::exchange(zones_, std::move(zones)) != zones_;
}

const std::set<std::string> &ZonesOutOfService::zones() const
{
    return zones_;
}

const std::set<std::string> &ZonesOutOfService::retained() const
{
    return retained_;
}

bool ZonesOutOfService::contains(std::string_view zone) const
{
    return zones_.contains(std::string(zone));
}

StoreRevision ZonesOutOfService::revision() const
{
    StoreRevision revision = setRevision_;
    for (const auto &[zone, change] : changes_) {
        revision = std::max(revision, change.revision);
    }
    return revision;
}

} // namespace daisymount::fleet

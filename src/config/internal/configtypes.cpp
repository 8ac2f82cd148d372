// Queries on the merged configuration.

#include "config/configtypes.h"

namespace daisymount::config
{

bool Config::isOut(const Upstream &upstream) const
{
    const auto zone = zones.find(upstream.zone);
    const bool zoneOut = zone == zones.end() || zone->second.out;
    return upstream.out || zoneOut;
}

std::string Config::organisationOfKey(std::string_view apiKey) const
{
    for (const auto &[name, organisation] : organisations) {
        if (organisation.apiKey == apiKey) {
            return name;
        }
    }
    return {};
}

} // namespace daisymount::config

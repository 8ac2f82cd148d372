// JSON codec of fleet snapshots.

#include "peers/peercodec.h"

#include "framework/json.h"

namespace daisymount::peers
{

namespace
{
using framework::fail;
using framework::Result;
using framework::ResultCode;

Json::Value encodeItem(const fleet::StoredItem &item)
{
    Json::Value json;
    json["key"] = item.key;
    json["value"] = item.value;
    json["revision"] = static_cast<Json::Int64>(item.revision.revision);
    return json;
}

fleet::StoredItem decodeItem(const Json::Value &json, int64_t era)
{
    return {framework::stringField(json, "key"), framework::stringField(json, "value"), {era, framework::intField(json, "revision")}};
}

std::set<std::string> decodeZones(const Json::Value &json, const char *field)
{
    std::set<std::string> zones;
    for (const Json::Value &zone : framework::arrayField(json, field)) {
        if (zone.isString()) {
            zones.insert(zone.asString());
        }
    }
    return zones;
}

Json::Value encodeZones(const std::set<std::string> &zones)
{
    Json::Value json = Json::arrayValue;
    for (const std::string &zone : zones) {
        json.append(zone);
    }
    return json;
}
} // namespace

std::string encodeSnapshot(const FleetSnapshot &snapshot)
{
    Json::Value json;
    json["config"] = encodeItem(snapshot.config);
    json["config_era"] = static_cast<Json::Int64>(snapshot.config.revision.era);
    json["zones"] = encodeZones(snapshot.zonesOut);
    json["zones_retained"] = encodeZones(snapshot.zonesRetained);
    json["zones_revision"] = static_cast<Json::Int64>(snapshot.zonesRevision.revision);
    json["zones_era"] = static_cast<Json::Int64>(snapshot.zonesRevision.era);
    json["upstreams"] = Json::arrayValue;
    for (const fleet::StoredItem &item : snapshot.upstreams.items) {
        json["upstreams"].append(encodeItem(item));
    }
    json["upstreams_revision"] = static_cast<Json::Int64>(snapshot.upstreams.revision.revision);
    json["upstreams_era"] = static_cast<Json::Int64>(snapshot.upstreams.revision.era);
    return framework::writeJson(json);
}

Result<FleetSnapshot> decodeSnapshot(std::string_view bytes)
{
    BOOST_LEAF_AUTO(json, framework::parseJsonObject(bytes));
    FleetSnapshot snapshot;
    snapshot.config = decodeItem(json["config"], framework::intField(json, "config_era"));
    snapshot.zonesOut = decodeZones(json, "zones");
    snapshot.zonesRetained = decodeZones(json, "zones_retained");
    snapshot.zonesRevision = {framework::intField(json, "zones_era"), framework::toInteger(json["zones_revision"]).value_or(-1)};
    snapshot.upstreams.revision = {framework::intField(json, "upstreams_era"), framework::intField(json, "upstreams_revision")};
    for (const Json::Value &item : framework::arrayField(json, "upstreams")) {
        snapshot.upstreams.items.push_back(decodeItem(item, snapshot.upstreams.revision.era));
    }
    return snapshot;
}

} // namespace daisymount::peers

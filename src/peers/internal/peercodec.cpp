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
    json["revision"] = static_cast<Json::Int64>(item.revision);
    return json;
}

fleet::StoredItem decodeItem(const Json::Value &json)
{
    return {framework::stringField(json, "key"), framework::stringField(json, "value"), framework::intField(json, "revision")};
}
} // namespace

std::string encodeSnapshot(const FleetSnapshot &snapshot)
{
    Json::Value json;
    json["config"] = encodeItem(snapshot.config);
    json["zones"] = Json::arrayValue;
    for (const std::string &zone : snapshot.zonesOut) {
        json["zones"].append(zone);
    }
    json["zones_revision"] = static_cast<Json::Int64>(snapshot.zonesRevision);
    json["upstreams"] = Json::arrayValue;
    for (const fleet::StoredItem &item : snapshot.upstreams.items) {
        json["upstreams"].append(encodeItem(item));
    }
    json["upstreams_revision"] = static_cast<Json::Int64>(snapshot.upstreams.revision);
    return framework::writeJson(json);
}

Result<FleetSnapshot> decodeSnapshot(std::string_view bytes)
{
    BOOST_LEAF_AUTO(json, framework::parseJsonObject(bytes));
    FleetSnapshot snapshot;
    snapshot.config = decodeItem(json["config"]);
    for (const Json::Value &zone : framework::arrayField(json, "zones")) {
        if (zone.isString()) {
            snapshot.zonesOut.insert(zone.asString());
        }
    }
    snapshot.zonesRevision = framework::toInteger(json["zones_revision"]).value_or(-1);
    for (const Json::Value &item : framework::arrayField(json, "upstreams")) {
        snapshot.upstreams.items.push_back(decodeItem(item));
    }
    snapshot.upstreams.revision = framework::intField(json, "upstreams_revision");
    return snapshot;
}

} // namespace daisymount::peers

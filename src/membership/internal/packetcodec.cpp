// Gossip packet codec. Short field names: packets are sent all the time.

#include "membership/packetcodec.h"

namespace daisymount::membership
{

namespace
{
using framework::intField;
using framework::ResultCode;
using framework::stringField;
using framework::uintField;

Json::Value toJson(const Member &member)
{
    Json::Value value(Json::arrayValue);
    value.append(member.name);
    value.append(member.role);
    value.append(member.zone);
    value.append(member.address);
    value.append(static_cast<Json::UInt64>(member.incarnation));
    value.append(static_cast<int>(member.state));
    return value;
}

framework::Result<Member> memberFromJson(const Json::Value &value)
{
    constexpr Json::ArrayIndex fieldCount = 6;
    const bool shaped = value.isArray() && value.size() == fieldCount && value[0].isString() && value[1].isString() && value[2].isString()
        && value[3].isString() && value[4].isUInt64() && value[5].isInt();
    if (!shaped || value[5].asInt() < 0 || value[5].asInt() > static_cast<int>(MemberState::Dead)) {
        return framework::fail(ResultCode::BadMessage, "member");
    }
    return Member{value[0].asString(), value[1].asString(), value[2].asString(),
                  value[3].asString(), value[4].asUInt64(), static_cast<MemberState>(value[5].asInt())};
}

framework::Result<Record> recordFromJson(const Json::Value &value)
{
    if (!value.isArray() || value.size() != 3 || !value[0].isString() || !value[1].isInt64() || !value[2].isString()) {
        return framework::fail(ResultCode::BadMessage, "record");
    }
    return Record{value[0].asString(), value[1].asInt64(), value[2].asString()};
}
} // namespace

Json::Value toJson(const Packet &packet)
{
    Json::Value value;
    value["t"] = static_cast<int>(packet.type);
    value["s"] = static_cast<Json::UInt64>(packet.sequence);
    value["f"] = packet.from;
    if (packet.urgent) {
        value["u"] = true;
    }
    if (!packet.target.empty()) {
        value["g"] = packet.target;
    }
    if (packet.bucket >= 0) {
        value["b"] = static_cast<Json::Int64>(packet.bucket);
        value["h"] = static_cast<Json::UInt64>(packet.bucketHash);
    }
    for (const Member &member : packet.members) {
        value["m"].append(toJson(member));
    }
    for (const Record &record : packet.records) {
        Json::Value item(Json::arrayValue);
        item.append(record.key);
        item.append(static_cast<Json::Int64>(record.version));
        item.append(record.value);
        value["r"].append(item);
    }
    return value;
}

framework::Result<Packet> packetFromJson(const Json::Value &value)
{
    if (!value.isObject() || !value["t"].isInt() || value["t"].asInt() < 0 || value["t"].asInt() > static_cast<int>(PacketType::Sync)) {
        return framework::fail(ResultCode::BadMessage, "packet type");
    }
    Packet packet;
    packet.type = static_cast<PacketType>(value["t"].asInt());
    packet.sequence = uintField(value, "s");
    packet.urgent = framework::boolField(value, "u");
    packet.from = stringField(value, "f");
    packet.target = stringField(value, "g");
    packet.bucket = value.isMember("b") ? intField(value, "b") : -1;
    packet.bucketHash = uintField(value, "h");
    if (value.isMember("m") && value["m"].isArray()) {
        for (const Json::Value &item : value["m"]) {
            BOOST_LEAF_AUTO(member, memberFromJson(item));
            packet.members.push_back(std::move(member));
        }
    }
    if (value.isMember("r") && value["r"].isArray()) {
        for (const Json::Value &item : value["r"]) {
            BOOST_LEAF_AUTO(record, recordFromJson(item));
            packet.records.push_back(std::move(record));
        }
    }
    return packet;
}

} // namespace daisymount::membership

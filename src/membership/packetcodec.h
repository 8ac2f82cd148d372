// JSON form of gossip packets.

#pragma once

#include "framework/json.h"
#include "membership/membershiptypes.h"

namespace daisymount::membership
{

Json::Value toJson(const Packet &packet);
framework::Result<Packet> packetFromJson(const Json::Value &value);

} // namespace daisymount::membership

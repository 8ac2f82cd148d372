// Codecs of datagrams between gateways and of fleet snapshots for gateways without access to the store.

#pragma once

#include "crashattribution/crashtypes.h"
#include "dispatch/groupdirectory.h"
#include "fleet/fleetview.h"
#include "framework/result.h"
#include "peers/peertypes.h"

#include <set>
#include <string>
#include <string_view>

namespace daisymount::peers
{

/// HTTP paths of the operators' keys and of the upstreams.
inline constexpr std::string_view KEYS_PAGE = "/keys";
inline constexpr std::string_view UPSTREAMS_PAGE = "/upstreams";

/// Fleet state of a gateway, or a part of it.
struct FleetSnapshot
{
    fleet::StoredItem config;
    std::set<std::string> zonesOut; ///< Without zonesRetained.
    storeera::StoreRevision zonesRevision = fleet::ZonesOutOfService::UNKNOWN;
    fleet::Snapshot upstreams;
    std::set<std::string> zonesRetained = {}; ///< Out of service although the store has lost that, see fleet::ZonesOutOfService::retain().
};

std::string encodeHeartbeat(const Heartbeat &heartbeat);
framework::Result<Heartbeat> decodeHeartbeat(std::string_view bytes);

/// Crash updates are separate messages, sent only after crashes of upstreams.
bool isCrashUpdate(std::string_view bytes);
std::string encodeCrashUpdate(const crashattribution::CrashUpdate &update);
framework::Result<crashattribution::CrashUpdate> decodeCrashUpdate(std::string_view bytes);

/// Lists of rank groups are separate messages, sent to members that know an older one.
bool isGroupList(std::string_view bytes);
std::string encodeGroupList(const dispatch::GroupList &list);
framework::Result<dispatch::GroupList> decodeGroupList(std::string_view bytes);

std::string encodeSnapshot(const FleetSnapshot &snapshot);
framework::Result<FleetSnapshot> decodeSnapshot(std::string_view bytes);

} // namespace daisymount::peers

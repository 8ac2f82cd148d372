// Datagrams between gateways, and the snapshot that one gives another that is cut off from the store.

#pragma once

#include "crashattribution/crashtypes.h"
#include "fleet/fleetview.h"
#include "framework/result.h"
#include "peers/peertypes.h"

#include <set>
#include <string>
#include <string_view>

namespace daisymount::peers
{

/// Pages at which a gateway gives its knowledge to others: all of it, or the upstreams alone.
inline constexpr std::string_view FLEET_PAGE = "/fleet";
inline constexpr std::string_view UPSTREAMS_PAGE = "/upstreams";

/// Everything that a gateway knows of the fleet.
struct FleetSnapshot
{
    fleet::StoredItem config;
    std::set<std::string> zonesOut;
    int64_t zonesRevision = -1;
    fleet::Snapshot upstreams;
};

std::string encodeHeartbeat(const Heartbeat &heartbeat);
framework::Result<Heartbeat> decodeHeartbeat(std::string_view bytes);

/// News of crashes are messages of their own: there are none while no upstream crashes.
bool isCrashUpdate(std::string_view bytes);
std::string encodeCrashUpdate(const crashattribution::CrashUpdate &update);
framework::Result<crashattribution::CrashUpdate> decodeCrashUpdate(std::string_view bytes);

std::string encodeSnapshot(const FleetSnapshot &snapshot);
framework::Result<FleetSnapshot> decodeSnapshot(std::string_view bytes);

} // namespace daisymount::peers

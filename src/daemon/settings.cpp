// Settings reader.

#include "daemon/settings.h"

namespace daisymount::daemon
{

using framework::CheckedTable;
using Presence = CheckedTable::Presence;

NodeSettings readSettings(const std::string &text, const std::string &file, framework::Diagnostics &diagnostics)
{
    constexpr int64_t minBody = 1024;
    constexpr int64_t maxBody = 64 * 1024 * 1024;
    NodeSettings settings;
    const toml::table root = framework::parseToml(text, file, diagnostics);
    if (!diagnostics.empty()) {
        return settings;
    }
    CheckedTable reader(root, file, "", diagnostics);
    const auto readNode = [&](CheckedTable &node) {
        node.read("name", settings.name, Presence::Required);
        node.readChoice("role", settings.role, {"entry", "sidecar"}, Presence::Required);
        node.read("zone", settings.zone, Presence::Required);
        node.readAddress("address", settings.address, Presence::Required);
        node.read("seeds", settings.seeds);
        node.read("max_body_bytes", settings.maxBodyBytes, minBody, maxBody);
    };
    const auto readPlatform = [&](CheckedTable &platform) {
        platform.readAddress("store", settings.storeAddress, Presence::Required);
        platform.readAddress("vm_list", settings.vmListAddress);
    };
    const auto readEngine = [&](CheckedTable &engine) { engine.readAddress("address", settings.engineAddress, Presence::Required); };
    reader.child("node", readNode, Presence::Required);
    reader.child("platform", readPlatform, Presence::Required);
    reader.child("engine", readEngine, settings.role == "sidecar" ? Presence::Required : Presence::Optional);
    reader.finish();
    return settings;
}

} // namespace daisymount::daemon

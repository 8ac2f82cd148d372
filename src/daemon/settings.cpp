// Settings reader.

#include "daemon/settings.h"

namespace daisymount::daemon
{

using framework::CheckedTable;
using Need = CheckedTable::Need;

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
        node.read("name", settings.name, Need::Required);
        node.readChoice("role", settings.role, {"entry", "sidecar"}, Need::Required);
        node.read("zone", settings.zone, Need::Required);
        node.readAddress("address", settings.address, Need::Required);
        node.read("seeds", settings.seeds);
        node.read("max_body_bytes", settings.maxBodyBytes, minBody, maxBody);
    };
    const auto readPlatform = [&](CheckedTable &platform) {
        platform.readAddress("store", settings.storeAddress, Need::Required);
        platform.readAddress("vm_list", settings.vmListAddress);
    };
    const auto readEngine = [&](CheckedTable &engine) { engine.readAddress("address", settings.engineAddress, Need::Required); };
    reader.child("node", readNode, Need::Required);
    reader.child("platform", readPlatform, Need::Required);
    reader.child("engine", readEngine, settings.role == "sidecar" ? Need::Required : Need::Optional);
    reader.finish();
    return settings;
}

} // namespace daisymount::daemon

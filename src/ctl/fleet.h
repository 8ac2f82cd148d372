// RPC calls to all nodes of a configuration.

#pragma once

#include "config/configtypes.h"

#include <json/json.h>

#include <string>
#include <vector>

namespace daisymount::ctl
{

/// Response of one node to an RPC call.
struct NodeAnswer
{
    std::string name;
    std::string role;
    std::string zone;
    bool answered = false;
    Json::Value result;
};

/// Calls @p method on all entries and sidecars of @p config in parallel.
std::vector<NodeAnswer> callFleet(const config::Config &config, const std::string &method, const Json::Value &params);

/// Waits until all nodes have applied @p revision or the timeout has passed, then prints how many have. Returns true if all have.
bool waitUntilApplied(const config::Config &config, int64_t revision, int64_t timeoutMs);

} // namespace daisymount::ctl

// Calls to all nodes that a configuration names.

#pragma once

#include "config/configtypes.h"

#include <json/json.h>

#include <string>
#include <vector>

namespace daisymount::ctl
{

/// One node's answer to a call.
struct NodeAnswer
{
    std::string name;
    std::string role;
    std::string zone;
    bool answered = false;
    Json::Value result;
};

/// Calls @p method on all entries and sidecars of @p config, several at a time.
std::vector<NodeAnswer> callFleet(const config::Config &config, const std::string &method, const Json::Value &params);

/// Waits until all answering nodes have @p revision or the time is up; prints progress. Returns true when all nodes have it.
bool waitUntilApplied(const config::Config &config, int64_t revision, int64_t timeoutMs);

} // namespace daisymount::ctl

// Blocking JSON-RPC 2.0 client by libjsonrpccpp, for the command-line tool.
//
// libjsonrpccpp's client headers use dynamic exception specifications, which C++17 removed. This header and its source
// keep to C++14, the standard that the source is compiled with.

#pragma once

#include <json/json.h>

#include <string>

namespace daisymount
{
namespace rpc
{

struct RpcReply
{
    bool ok = false;
    Json::Value result;
    std::string error; ///< Reason when not ok.
};

/// Calls @p method at @p url with named parameters; waits up to @p timeoutMs.
RpcReply callRpc(const std::string &url, const std::string &method, const Json::Value &params, long timeoutMs);

} // namespace rpc
} // namespace daisymount

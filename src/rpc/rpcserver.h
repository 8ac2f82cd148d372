// JSON-RPC 2.0 server by libjsonrpccpp; the HTTP server hands it request bodies.

#pragma once

#include <json/json.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace daisymount::rpc
{

/// Result of a method. Throw nothing; return an object with "error" for a fault of the method itself.
using Method = std::function<Json::Value(const Json::Value &params)>;

/// All calls come from one duty.
class RpcServer
{
public:
    RpcServer();
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    /// Parameters are passed by name.
    void bind(const std::string &name, Method method);
    /// Returns the response text; empty for a notification.
    std::string handle(const std::string &request);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace daisymount::rpc

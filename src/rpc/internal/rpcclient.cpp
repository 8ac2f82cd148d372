// Blocking JSON-RPC client.

#include "rpc/rpcclient.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace daisymount
{
namespace rpc
{

RpcReply callRpc(const std::string &url, const std::string &method, const Json::Value &params, long timeoutMs)
{
    RpcReply reply;
    try {
        jsonrpc::HttpClient connector(url);
        connector.SetTimeout(timeoutMs);
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        reply.result = client.CallMethod(method, params);
        reply.ok = true;
    } catch (const jsonrpc::JsonRpcException &error) {
        reply.error = error.what();
    }
    return reply;
}

} // namespace rpc
} // namespace daisymount

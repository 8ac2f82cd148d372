// JSON-RPC server.

#include "rpc/rpcserver.h"

#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

namespace daisymount::rpc
{

namespace
{
/// Connector without a transport of its own.
class DirectConnector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override
    {
        return true;
    }

    bool StopListening() override
    {
        return true;
    }

    bool SendResponse(const std::string & /*response*/, void * /*addInfo*/) override
    {
        return true;
    }

    std::string process(const std::string &request)
    {
        std::string response;
        GetHandler()->HandleRequest(request, response);
        return response;
    }
};
} // namespace

/// The connector comes first, since the server refers to it.
struct ConnectorHolder
{
    DirectConnector connector;
};

struct RpcServer::Impl : public ConnectorHolder, public jsonrpc::AbstractServer<RpcServer::Impl>
{
    Impl() : jsonrpc::AbstractServer<Impl>(connector, jsonrpc::JSONRPC_SERVER_V2)
    { }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override
    {
        output = methods.at(procedure.GetProcedureName())(input);
    }

    void add(const std::string &name, Method method)
    {
        methods[name] = std::move(method);
        bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL), &Impl::unused);
    }

    /// The base class wants a member function per method; calls are dispatched by HandleMethodCall instead.
    void unused(const Json::Value & /*input*/, Json::Value & /*output*/)
    { }

    std::map<std::string, Method> methods;
};

RpcServer::RpcServer() : impl_(std::make_unique<Impl>())
{ }

RpcServer::~RpcServer() = default;

void RpcServer::bind(const std::string &name, Method method)
{
    impl_->add(name, std::move(method));
}

std::string RpcServer::handle(const std::string &request)
{
    return impl_->connector.process(request);
}

} // namespace daisymount::rpc

// Tests of the RPC server.

#include "rpc/rpcserver.h"

#include <CppUTest/TestHarness.h>

using daisymount::rpc::RpcServer;

TEST_GROUP(RpcServer)
{
    RpcServer server;

    void setup() override
    {
        server.bind("double", [](const Json::Value &params) {
            Json::Value result;
            result["value"] = params["value"].asInt() * 2;
            return result;
        });
    }
};

TEST(RpcServer, callsTheBoundMethodWithNamedParameters)
{
    const std::string response = server.handle(R"({"jsonrpc":"2.0","id":1,"method":"double","params":{"value":21}})");
    CHECK(response.find("42") != std::string::npos);
}

TEST(RpcServer, answersAnUnknownMethodWithAnError)
{
    const std::string response = server.handle(R"({"jsonrpc":"2.0","id":1,"method":"nothing","params":{}})");
    CHECK(response.find("\"error\"") != std::string::npos);
}

TEST(RpcServer, answersMalformedInputWithAnError)
{
    CHECK(server.handle("{").find("\"error\"") != std::string::npos);
}

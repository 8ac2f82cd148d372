// The control duty of a process: membership datagrams, configuration, JSON-RPC, on a thread of its own.

#pragma once

#include "daemon/eventhistory.h"
#include "daemon/settings.h"
#include "network/datagramsocket.h"
#include "network/dutythread.h"
#include "network/httpclient.h"
#include "network/httpserver.h"
#include "node/controlplane.h"
#include "rpc/rpcserver.h"
#include "store/httpplatformstore.h"
#include "store/httpvmlist.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace daisymount::daemon
{

/// What the control duty tells the process's main duty. All run on the control thread.
struct ControlDutyHooks
{
    std::function<void(const membership::VersionedConfig &config)> configApplied;
    std::function<void(const membership::Member &member)> memberChanged;
    std::function<void(const membership::Record &record)> recordChanged;
    std::function<void(bool cutOff)> cutOffChanged;
    /// A datagram whose method the control duty does not handle itself.
    std::function<void(const std::string &method, const Json::Value &params)> message;
    /// Adds to the answer of the "status" method.
    std::function<void(Json::Value &status)> status;
};

class ControlDuty
{
public:
    ControlDuty(const NodeSettings &settings, EventHistory &log, network::HttpClient &client, ControlDutyHooks hooks);

    /// Binds the datagram socket. Fails with ResultCode::BadValue.
    framework::Ret bind();
    void start(network::HttpServer &server);
    void stop();

    /// Inbox for one producing thread. Call before start().
    std::shared_ptr<network::Inbox> makeInbox();
    /// Adds a JSON-RPC method; it runs on the control thread. Call before start().
    void bindMethod(const std::string &name, rpc::Method method);

    /// Sends a notification to a node's control address. Any thread.
    void send(std::string_view address, const std::string &method, const Json::Value &params) const;

    // Control thread only.
    node::ControlPlane &plane();
    void onRpc(network::ExchangeId exchange, const std::string &body);
    void publish(std::string_view key, std::string_view value, bool urgent);

private:
    void onDatagram(std::string_view data);
    void fetchConfig(std::string_view member);
    void pollVmList();
    void tick();
    Json::Value status();

    const NodeSettings &settings_;
    EventHistory &log_;
    ControlDutyHooks hooks_;
    network::DutyThread thread_;
    network::DatagramSocket socket_;
    std::unique_ptr<network::ClientPort> fetchPort_;
    store::HttpPlatformStore store_;
    std::unique_ptr<store::HttpVmList> vmList_;
    std::unique_ptr<network::ReplyPort> replies_;
    rpc::RpcServer rpc_;
    std::unique_ptr<node::ControlPlane> plane_;
    framework::Instant nextVmListAt_{0};
    std::map<std::string, std::string> vmStates_; ///< Last published, by VM.
};

/// Milliseconds since the Unix epoch.
int64_t unixMillis();

/// Strictly above any value that an earlier process of this node has drawn, as long as the wall clock does not go back.
uint32_t drawIncarnation();

} // namespace daisymount::daemon

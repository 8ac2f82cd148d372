// Control duty.

#include "daemon/controlduty.h"

#include "framework/hash.h"
#include "framework/json.h"
#include "membership/packetcodec.h"

#include <chrono>

namespace daisymount::daemon
{

using framework::monotonicNow;
using framework::Ret;

namespace
{
constexpr framework::Duration CONTROL_TICK = framework::milliseconds{50};
constexpr framework::Duration VM_LIST_INTERVAL = framework::seconds{1};
constexpr int HTTP_OK = 200;
/// Seconds subtracted from Unix time, so that incarnations fit 32 bits for a long time.
constexpr int64_t INCARNATION_EPOCH_S = 1'700'000'000;
/// Incarnations a second, so that a quick restart draws a new one.
constexpr int64_t INCARNATIONS_PER_SECOND = 10;

node::ControlPlaneOptions planeOptions(const NodeSettings &settings)
{
    node::ControlPlaneOptions options;
    options.gossip.self = {settings.name, settings.role, settings.zone, settings.address, drawIncarnation(), membership::MemberState::Alive};
    options.gossip.seeds = settings.seeds;
    options.gossip.seed = framework::hash64(settings.name);
    return options;
}
} // namespace

int64_t unixMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

uint32_t drawIncarnation()
{
    static const uint32_t incarnation = static_cast<uint32_t>((unixMillis() - INCARNATION_EPOCH_S * 1000) * INCARNATIONS_PER_SECOND / 1000);
    return incarnation;
}

ControlDuty::ControlDuty(const NodeSettings &settings, EventHistory &log, network::HttpClient &client, ControlDutyHooks hooks)
    : settings_(settings)
    , log_(log)
    , hooks_(std::move(hooks))
    , thread_("control", CONTROL_TICK)
    , fetchPort_(client.makePort(thread_))
    , store_("http://" + settings.storeAddress, client.makePort(thread_))
{
    if (!settings.vmListAddress.empty()) {
        vmList_ = std::make_unique<store::HttpVmList>("http://" + settings.vmListAddress + "/v1/vms", client.makePort(thread_));
    }
    node::ControlPlaneHooks planeHooks;
    planeHooks.send = [this](std::string_view address, const membership::Packet &packet) { send(address, "gossip", membership::toJson(packet)); };
    planeHooks.fetchConfig = [this](std::string_view member) { fetchConfig(member); };
    planeHooks.configApplied = hooks_.configApplied;
    planeHooks.memberChanged = hooks_.memberChanged;
    planeHooks.recordChanged = hooks_.recordChanged;
    planeHooks.cutOffChanged = hooks_.cutOffChanged;
    plane_ = std::make_unique<node::ControlPlane>(planeOptions(settings), store_, log_, std::move(planeHooks));
    rpc_.bind("status", [this](const Json::Value &) { return status(); });
    rpc_.bind("config.get", [this](const Json::Value &) {
        Json::Value answer;
        answer["revision"] = static_cast<Json::Int64>(plane_->config().revision);
        answer["stored"] = plane_->encodedConfig();
        return answer;
    });
    rpc_.bind("explain", [this](const Json::Value &params) {
        Json::Value answer;
        answer["lines"] = log_.linesOf(framework::stringField(params, "request"));
        return answer;
    });
}

Ret ControlDuty::bind()
{
    return socket_.bind(settings_.address);
}

std::shared_ptr<network::Inbox> ControlDuty::makeInbox()
{
    return thread_.makeInbox();
}

void ControlDuty::bindMethod(const std::string &name, rpc::Method method)
{
    rpc_.bind(name, std::move(method));
}

void ControlDuty::start(network::HttpServer &server)
{
    replies_ = server.makePort();
    network::DutyThread::Hooks hooks;
    hooks.tick = [this] { tick(); };
    hooks.readable = [this] { socket_.drain([this](std::string_view data) { onDatagram(data); }); };
    hooks.descriptor = socket_.descriptor();
    thread_.start(std::move(hooks));
}

void ControlDuty::stop()
{
    thread_.stop();
}

void ControlDuty::send(std::string_view address, const std::string &method, const Json::Value &params) const
{
    Json::Value notification;
    notification["jsonrpc"] = "2.0";
    notification["method"] = method;
    notification["params"] = params;
    socket_.send(address, framework::writeJson(notification));
}

node::ControlPlane &ControlDuty::plane()
{
    return *plane_;
}

void ControlDuty::onRpc(network::ExchangeId exchange, const std::string &body)
{
    network::HttpReply reply;
    reply.body = rpc_.handle(body);
    replies_->reply(exchange, reply);
}

void ControlDuty::publish(std::string_view key, std::string_view value, bool urgent)
{
    plane_->gossip().publish(key, unixMillis(), value, urgent, monotonicNow());
}

void ControlDuty::onDatagram(std::string_view data)
{
    Json::Value notification;
    membership::Packet packet;
    const Ret ret = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(notification, framework::parseJson(data));
        if (framework::stringField(notification, "method") == "gossip") {
            BOOST_LEAF_ASSIGN(packet, membership::packetFromJson(notification["params"]));
        }
        return {};
    });
    if (!ret || !notification.isObject()) {
        log_.report({"control", "bad_datagram", ret.code, "", {{"detail", ret.detail}}});
        return;
    }
    const std::string method = framework::stringField(notification, "method");
    if (method == "gossip") {
        plane_->onPacket(packet, monotonicNow());
    } else if (hooks_.message) {
        hooks_.message(method, notification["params"]);
    }
}

void ControlDuty::fetchConfig(std::string_view member)
{
    const std::string address = plane_->addressOf(member);
    if (address.empty()) {
        return;
    }
    network::HttpCall call;
    call.method = "POST";
    call.url = "http://" + address + "/rpc";
    call.headers = {"Content-Type: application/json"};
    call.body = R"({"jsonrpc":"2.0","id":1,"method":"config.get","params":{}})";
    const auto text = std::make_shared<std::string>();
    network::HttpCallHooks hooks;
    hooks.data = [text](int /*status*/, std::string_view bytes) { *text += bytes; };
    hooks.done = [this, text](network::CallResult result, int status) {
        if (result != network::CallResult::Complete || status != HTTP_OK) {
            return;
        }
        Json::Value answer;
        const Ret ret = framework::evaluate([&]() -> framework::Result<void> {
            BOOST_LEAF_ASSIGN(answer, framework::parseJson(*text));
            return {};
        });
        if (ret && answer.isObject() && answer["result"].isObject()) {
            plane_->onConfigOffered(framework::intField(answer["result"], "revision"), framework::stringField(answer["result"], "stored"));
        }
    };
    fetchPort_->start(std::move(call), std::move(hooks));
}

void ControlDuty::pollVmList()
{
    vmList_->fetch([this](const Ret &ret, const std::vector<store::VmInfo> &vms) {
        if (!ret) {
            return;
        }
        for (const store::VmInfo &vm : vms) {
            const std::string state = vm.state == store::VmState::Leaving ? "leaving" : "live";
            std::string &known = vmStates_[vm.name];
            const bool news = known != state && (state == "leaving" || !known.empty());
            known = state;
            if (news) {
                publish("vm/" + vm.name, state, true);
            }
        }
    });
}

void ControlDuty::tick()
{
    const framework::Instant now = monotonicNow();
    plane_->tick(now);
    if (vmList_ && now >= nextVmListAt_ && plane_->isWatcher()) {
        nextVmListAt_ = now + VM_LIST_INTERVAL;
        pollVmList();
    }
}

Json::Value ControlDuty::status()
{
    Json::Value status;
    status["name"] = settings_.name;
    status["role"] = settings_.role;
    status["availability_zone"] = settings_.zone;
    status["revision"] = static_cast<Json::Int64>(plane_->config().revision);
    status["change"] = plane_->config().stored.changeId;
    status["members"] = static_cast<Json::UInt64>(plane_->gossip().members().size());
    status["cut_off"] = plane_->isCutOff();
    if (hooks_.status) {
        hooks_.status(status);
    }
    return status;
}

} // namespace daisymount::daemon

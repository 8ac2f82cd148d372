// VM list fetched over HTTP.

#include "store/httpvmlist.h"

#include "framework/json.h"

namespace daisymount::store
{

using framework::ResultCode;
using framework::Ret;

namespace
{
Ret parseVms(const std::string &text, std::vector<VmInfo> &vms)
{
    return framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(value, framework::parseJson(text));
        if (!value.isObject() || !value["vms"].isArray()) {
            return framework::fail(ResultCode::BadMessage, "VM list reply has no \"vms\" array");
        }
        for (const Json::Value &item : value["vms"]) {
            const bool leaving = framework::stringField(item, "state") == "leaving";
            vms.push_back({framework::stringField(item, "name"), leaving ? VmState::Leaving : VmState::Live});
        }
        return {};
    });
}
} // namespace

HttpVmList::HttpVmList(std::string url, std::unique_ptr<network::ClientPort> port) : url_(std::move(url)), port_(std::move(port))
{ }

void HttpVmList::fetch(VmListHandler handler)
{
    network::HttpCall call;
    call.url = url_;
    const auto text = std::make_shared<std::string>();
    network::HttpCallHooks hooks;
    hooks.data = [text](int /*status*/, std::string_view bytes) { *text += bytes; };
    hooks.done = [text, handler = std::move(handler)](network::CallResult result, int status) {
        std::vector<VmInfo> vms;
        if (result != network::CallResult::Complete || status != 200) {
            handler(Ret{ResultCode::StoreDown, "VM list request failed"}, vms);
            return;
        }
        const Ret ret = parseVms(*text, vms);
        handler(ret, vms);
    };
    port_->start(std::move(call), std::move(hooks));
}

} // namespace daisymount::store

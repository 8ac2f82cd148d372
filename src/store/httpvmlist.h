// VM list implementation for a JSON endpoint: {"vms": [{"name": "...", "state": "live" or "leaving"}]}.

#pragma once

#include "network/httpclient.h"
#include "store/ivmlist.h"

#include <memory>
#include <string>

namespace daisymount::store
{

class HttpVmList : public IVmList
{
public:
    HttpVmList(std::string url, std::unique_ptr<network::ClientPort> port);
    void fetch(VmListHandler handler) override;

private:
    std::string url_;
    std::unique_ptr<network::ClientPort> port_;
};

} // namespace daisymount::store

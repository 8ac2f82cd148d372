// Interface to the platform's list of VMs, which is updated with a delay.

#pragma once

#include "framework/result.h"

#include <functional>
#include <string>
#include <vector>

namespace daisymount::store
{

enum class VmState : uint8_t {
    Live,
    Leaving, ///< The platform will stop the VM soon.
};

struct VmInfo
{
    std::string name;
    VmState state = VmState::Live;
};

using VmListHandler = std::function<void(const framework::Ret &ret, const std::vector<VmInfo> &vms)>;

class IVmList
{
public:
    virtual ~IVmList() = default;
    /// Fetches the list, which may be several seconds out of date.
    virtual void fetch(VmListHandler handler) = 0;
};

} // namespace daisymount::store

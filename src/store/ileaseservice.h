// Interface to the leases of the platform's key-value store.

#pragma once

#include "framework/clock.h"
#include "framework/result.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace daisymount::store
{

/// Lease that is held. The fencing token increases with each new holder of the key.
struct LeaseGrant
{
    int64_t lease = 0;
    int64_t fencingToken = 0;
};

/// Ok: the lease was granted. CasConflict: the key has another holder.
using LeaseHandler = std::function<void(const framework::Ret &ret, const LeaseGrant &grant)>;
using RenewHandler = std::function<void(const framework::Ret &ret)>;

/// Asynchronous interface. Handlers run on the event-loop thread that made the call.
class ILeaseService
{
public:
    virtual ~ILeaseService() = default;

    /// Acquires the lease on @p key for @p holder. It expires @p ttl after the store granted or last renewed it.
    virtual void acquire(std::string_view key, std::string_view holder, framework::Duration ttl, LeaseHandler handler) = 0;
    /// Renews the lease. The handler gets LeaseLapsed if the lease has expired.
    virtual void renew(int64_t lease, RenewHandler handler) = 0;
};

} // namespace daisymount::store

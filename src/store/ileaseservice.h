// Leases of the platform's key-value service.

#pragma once

#include "framework/clock.h"
#include "framework/result.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace daisymount::store
{

/// A held lease. Its fencing number grows with each new holder of the key.
struct LeaseGrant
{
    int64_t lease = 0;
    int64_t fencingToken = 0;
};

/// Ok with the grant; CasConflict while another holds the key.
using LeaseHandler = std::function<void(const framework::Ret &ret, const LeaseGrant &grant)>;
using RenewHandler = std::function<void(const framework::Ret &ret)>;

/// Asynchronous; handlers run on the duty that made the call.
class ILeaseService
{
public:
    virtual ~ILeaseService() = default;

    /// Takes the lease on @p key for @p holder. It lapses @p ttl after the service granted or renewed it.
    virtual void acquire(std::string_view key, std::string_view holder, framework::Duration ttl, LeaseHandler handler) = 0;
    /// LeaseLapsed when it is no longer held.
    virtual void renew(int64_t lease, RenewHandler handler) = 0;
};

} // namespace daisymount::store

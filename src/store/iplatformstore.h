// Interface to the platform's key-value store. Implemented over HTTP and by an in-memory fake.

#pragma once

#include "framework/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace daisymount::store
{

/// Value with the revision of its last write. The revision is 0 if the key does not exist.
struct VersionedValue
{
    std::string value;
    int64_t revision = 0;
};

/// Receives the result of a read. A missing key gives Ok with revision 0.
using ReadHandler = std::function<void(const framework::Ret &ret, const VersionedValue &value)>;

/// Receives the result of a write. Ok: the new revision. CasConflict: the current revision. ReplyLost: the write may have taken effect.
using WriteHandler = std::function<void(const framework::Ret &ret, int64_t revision)>;

/// Asynchronous interface. Handlers run on the event-loop thread that made the call, but never before the call returns.
class IPlatformStore
{
public:
    virtual ~IPlatformStore() = default;

    virtual void read(std::string_view key, ReadHandler handler) = 0;

    /// Writes @p value if the current revision of @p key is @p expected, where 0 means that the key must not exist.
    virtual void compareAndSwap(std::string_view key, int64_t expected, std::string value, WriteHandler handler) = 0;

    /// Calls @p handler once the revision of @p key differs from @p knownRevision, or with an unchanged revision after the store's wait limit.
    virtual void watch(std::string_view key, int64_t knownRevision, ReadHandler handler) = 0;
};

} // namespace daisymount::store

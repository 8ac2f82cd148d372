// The platform's key-value service as the cores see it. One adapter speaks HTTP, one fake lives in memory.

#pragma once

#include "framework/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace daisymount::store
{

/// A value with the revision of its last write. Revision 0 means that the key does not exist.
struct VersionedValue
{
    std::string value;
    int64_t revision = 0;
};

/// Outcome of a read. NotFound comes as Ok with revision 0.
using ReadHandler = std::function<void(const framework::Ret &ret, const VersionedValue &value)>;

/// Outcome of a write. Ok carries the new revision; CasConflict the revision in force; ReplyLost means that the write may have taken effect.
using WriteHandler = std::function<void(const framework::Ret &ret, int64_t revision)>;

/// Asynchronous access. Handlers run on the duty that made the call, never from inside the call itself.
class IPlatformStore
{
public:
    virtual ~IPlatformStore() = default;

    virtual void read(std::string_view key, ReadHandler handler) = 0;

    /// Writes @p value if the revision of @p key is @p expected (0: the key must not exist).
    virtual void compareAndSwap(std::string_view key, int64_t expected, std::string value, WriteHandler handler) = 0;

    /// Answers when the revision of @p key differs from @p known, or with the same revision after the service's wait limit.
    virtual void watch(std::string_view key, int64_t knownRevision, ReadHandler handler) = 0;
};

} // namespace daisymount::store

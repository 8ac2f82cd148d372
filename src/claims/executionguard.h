// The sidecar's last word on non-idempotent requests: a key starts at most once, and never after it was revoked.

#pragma once

#include "framework/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace daisymount::claims
{

enum class StartVerdict : uint8_t {
    Start, ///< First time: hand it over.
    AlreadyStarted, ///< It runs or has run here.
    Revoked, ///< A tombstone forbids it.
    WrongIncarnation, ///< It was addressed to an earlier process, whose memory of revocations is lost.
};

enum class RevokeVerdict : uint8_t {
    NeverStarts, ///< Proven: it has not started and the tombstone keeps it from starting.
    Started, ///< It runs or has run.
    Unknown, ///< It was sent to an earlier process.
};

/// Memory of keys for a bounded time. All calls come from one duty.
class ExecutionGuard
{
public:
    /// @p incarnation identifies this process. @p memory must exceed the longest deadline of a request.
    ExecutionGuard(uint64_t incarnation, framework::Duration memory);

    /// @p addressedTo is the incarnation that the entry knew when it sent the request.
    StartVerdict start(std::string_view key, uint64_t addressedTo, framework::Instant now);
    RevokeVerdict revoke(std::string_view key, uint64_t addressedTo, framework::Instant now);

    /// Takes back a start that was refused before hand-over.
    void withdraw(std::string_view key);
    /// Forgets keys older than the memory.
    void expire(framework::Instant now);

    uint64_t incarnation() const;
    size_t size() const;

private:
    struct KeyState
    {
        bool revoked = false;
        framework::Instant at{0};
    };

    uint64_t incarnation_;
    framework::Duration memory_;
    std::map<std::string, KeyState, std::less<>> keys_;
};

} // namespace daisymount::claims

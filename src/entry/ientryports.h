// What an entry's core needs from outside.

#pragma once

#include "attempts/attempttypes.h"
#include "claims/executionguard.h"
#include "entry/entrytypes.h"

#include <functional>
#include <string_view>

namespace daisymount::entry
{

/// Sidecars. Events come back by EntryCore::onAttemptEvent; a broken connection comes as a Failure.
class IAttemptTransport
{
public:
    virtual ~IAttemptTransport() = default;
    virtual void send(std::string_view address, const attempts::AttemptRequest &request) = 0;
    /// No event follows for @p attempt.
    virtual void cancel(attempts::AttemptId attempt) = 0;

    /// Runs @p handler with the sidecar's word, or with RevokeVerdict::Unknown when it gave none in time.
    using RevokeHandler = std::function<void(claims::RevokeVerdict verdict)>;
    virtual void revoke(std::string_view address, std::string_view key, uint64_t addressedTo, RevokeHandler handler) = 0;
};

/// Other entries, reached by datagrams that may be lost, late or doubled.
class IEntryPeers
{
public:
    virtual ~IEntryPeers() = default;
    virtual void query(std::string_view entry, const OwnerQuery &query) = 0;
    virtual bool isAlive(std::string_view entry) const = 0;
};

} // namespace daisymount::entry

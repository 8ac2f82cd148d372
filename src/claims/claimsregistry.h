// All journal shards of one entry, with the home entry of each shard as a hint: other entries forward their claims to it.

#pragma once

#include "claims/shardjournal.h"
#include "config/configtypes.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace daisymount::claims
{

/// A claim or completion that an entry asks the shard's home to write.
struct ForwardedRecord
{
    std::string service;
    std::string key; ///< Idempotency key, which names the shard.
    JournalRecord record;
};

/// How claims reach other entries. Messages may be lost, late or doubled.
struct ClaimsLink
{
    /// Live entries, this one included, sorted by name.
    std::function<std::vector<std::string>()> liveEntries;
    std::function<void(std::string_view home, const ForwardedRecord &forwarded)> forward;
};

class ClaimsRegistry
{
public:
    ClaimsRegistry(ClaimsOptions options, store::IPlatformStore &store, ClaimsLink link);

    void configure(const config::Config &config);

    /// The handler runs exactly once.
    void claim(std::string_view service, const Claim &claim, ClaimHandler handler, Instant now, int64_t unixMs);
    void complete(std::string_view service, std::string_view key, const Completion &completion, Instant now, int64_t unixMs);

    /// A record forwarded by another entry. @p reply carries the outcome of a claim back to it.
    void onForwarded(const ForwardedRecord &forwarded, ClaimHandler reply, Instant now, int64_t unixMs);
    /// The home's answer to a record forwarded by this entry.
    void onForwardReply(std::string_view id, const ClaimOutcome &outcome, Instant now, int64_t unixMs);
    /// Identity under which the answer to @p record comes back.
    static std::string replyId(const JournalRecord &record);

    void tick(Instant now, int64_t unixMs);
    /// See ShardJournal::release.
    void release(std::string_view service, std::string_view key, std::string_view claimId, Instant now, int64_t unixMs);
    /// See ShardJournal::isReleased.
    bool isReleased(std::string_view service, std::string_view key, std::string_view claimId);
    /// True when this entry has seen a claim on @p key.
    bool knows(std::string_view service, std::string_view key);

    /// Home of the shard of @p key; this entry when no other is live.
    std::string homeOf(std::string_view service, std::string_view key) const;

private:
    struct Forwarded
    {
        ForwardedRecord record;
        ClaimHandler handler; ///< Empty for a completion.
        Instant fallbackAt; ///< Written directly from then on.
    };

    void writeDirectly(Forwarded item, Instant now, int64_t unixMs);

    std::shared_ptr<ShardJournal> journal(std::string_view service, std::string_view key);
    std::string shardName(std::string_view service, std::string_view key) const;

    ClaimsOptions options_;
    store::IPlatformStore &store_;
    ClaimsLink link_;
    std::map<std::string, config::Service, std::less<>> services_;
    std::map<std::string, std::shared_ptr<ShardJournal>, std::less<>> journals_;
    std::map<std::string, Forwarded, std::less<>> forwarded_; ///< Claims by claim id, completions by "done/" and claim id.
};

} // namespace daisymount::claims

// Knows how current the operators' keys of a gateway are, and decides from where it gets newer ones.
//
// Expected load: up to some hundred gateways of which a few watch the store on behalf of all, configurations of up to a megabyte several times a
// second, gateways with a quarter of a core, and a store, links and peers that fail or fall silent one after the other.
//
// A gateway is current if nothing newer exists. Evidence is a reply of the store about the keys, its own or that of a peer whose keys are not newer
// than its own. Each reply has a time, so the age of the evidence is known and bounded: what peers cannot tell in time is asked of the store.
//
// A confirmed revision belongs to an era of the store. When the store comes back from an older copy, none of before counts, but the keys stay: a configuration
// that was accepted is not replaced by the older one of the copy.

#pragma once

#include "framework/clock.h"
#include "storeera/storerevision.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace daisymount::configsync
{

using framework::Duration;
using framework::Instant;
using framework::milliseconds;
using storeera::StoreRevision;

/// Identifies a configuration. Revisions order those of an era; versions, and then the eras, those of different eras.
struct ConfigRevision
{
    StoreRevision revision; ///< 0 before the first configuration.
    int64_t version = 0; ///< Set by the operators, never decreases from one configuration to the next.

    bool operator==(const ConfigRevision &other) const = default;
};

/// Revisions in the store of the operators' keys that a gateway has applied.
struct KeyRevisions
{
    ConfigRevision config;
    StoreRevision zones{0, -1}; ///< -1 before the zones out of service are known.
    uint32_t zonesDigest = 0; ///< Of the zones out of service. A gateway that reads all keys gives a new revision to zones that have not changed.

    bool operator==(const KeyRevisions &other) const = default;
};

bool isNewer(const ConfigRevision &a, const ConfigRevision &b);
/// True if any key of @p a is newer than the same one of @p b.
bool isNewer(const KeyRevisions &a, const KeyRevisions &b);

/// What a gateway tells others of its keys.
struct KeyReport
{
    KeyRevisions revisions;
    int64_t era = 0; ///< Of confirmedRevision.
    int64_t confirmedRevision = 0; ///< Revision of the whole store up to which there is no newer key; 0 if unknown.
    milliseconds confirmedAge{0}; ///< Time since the store was asked for that.
};

/// A live peer with newer keys.
struct KeySource
{
    std::string name;
    bool sameZone = false; ///< Traffic between availability zones is billed.
    KeyRevisions revisions;
};

struct ConfigCurrencyOptions
{
    milliseconds maxAge{1'000}; ///< Longest time for which the gateway may be behind, or without evidence that it is not.
    milliseconds retryInterval{200}; ///< Between two failed reads of the store; doubles with each failure.
    milliseconds maxRetryInterval{1'000};
    milliseconds minFetchTimeout{400};
    uint64_t seed = 1;
};

enum class SyncAction : uint8_t {
    None,
    FetchFromPeer,
    AskStore, ///< For the changes after confirmedRevision(), or for all keys if it is 0.
};

struct SyncStep
{
    SyncAction action = SyncAction::None;
    std::string peer; ///< With FetchFromPeer.
    milliseconds timeout{0}; ///< With FetchFromPeer.
};

class ConfigCurrency
{
public:
    explicit ConfigCurrency(const ConfigCurrencyOptions &options);

    /// The options may change with the settings.
    void setMaxAge(milliseconds maxAge);
    /// The gateway has applied these keys.
    void onApplied(const KeyRevisions &own);
    /// All keys were read, asked for at @p askedAt, when the store was at @p storeRevision, and applied.
    void onKeysRead(int64_t storeRevision, Instant askedAt);
    /// The store, asked at @p askedAt, has told changes up to @p lastChange, 0 if there were none, and they were applied. While a store is compacted,
    /// watches may hear nothing for a moment, so that @p storeRevision is not taken for read until REVISION_LAG has passed without a change.
    void onChangesRead(int64_t lastChange, int64_t storeRevision, Instant askedAt);
    /// The store no longer has the changes after confirmedRevision().
    void onHistoryGone();
    /// The store has begun @p era: confirmed revisions of before mean nothing, and all keys have to be read.
    void onNewEra(int64_t era);
    /// A peer has sent @p report at @p sentAt. Returns true if it has newer keys.
    bool onPeerReport(const KeyReport &report, Instant sentAt, Instant now);
    void onFetchEnded(std::string_view peer, bool succeeded, Instant now);
    void onStoreAsked(bool succeeded, Instant now);

    /// What to do now, given the live peers with newer keys.
    SyncStep next(std::span<const KeySource> sources, Instant now);

    KeyReport report(Instant now) const;
    int64_t confirmedRevision() const;
    /// Time for which the gateway has known that newer keys exist; 0 if it knows of none.
    Duration behindFor(Instant now) const;
    /// Age of the evidence that there are no newer keys; empty before the first.
    std::optional<Duration> evidenceAge(Instant now) const;
    /// True if the gateway is behind, or cannot know whether it is, for longer than maxAge.
    bool isStale(Instant now) const;

    static constexpr Duration REVISION_LAG = framework::seconds{5};

private:
    /// A revision of the store that was told without a change.
    struct ToldRevision
    {
        Instant at{0};
        int64_t revision = 0;
    };

    void confirm(Instant askedAt);
    bool isBehind() const;
    /// Time until the evidence is older than maxAge; negative after that.
    milliseconds remaining(Instant now) const;
    std::optional<SyncStep> fetchStep(std::span<const KeySource> sources, Instant now);
    void drawCheckAge();

    ConfigCurrencyOptions options_;
    KeyRevisions own_;
    KeyRevisions newest_; ///< Known to exist. At least own_.
    Instant behindSince_{0}; ///< When newest_ became newer than own_, valid while it is.
    Instant learnedAt_{0}; ///< When newest_ was last raised.
    int64_t era_ = 0; ///< Of all revisions below.
    int64_t confirmedRevision_ = 0; ///< Changes are asked for from here. Never decreases, except to 0.
    int64_t goneRevision_ = 0; ///< The store no longer has the changes after it; peers may still tell it.
    std::deque<ToldRevision> told_; ///< Later than confirmedRevision_, oldest first.
    std::optional<Instant> confirmedAt_; ///< Never decreases.
    Duration checkAge_{0}; ///< Age of the evidence at which the store is asked. Differs between gateways, so that one of them asks for all.
    std::map<std::string, Instant, std::less<>> failedPeers_; ///< Time of the last failed fetch, by peer.
    int storeFailures_ = 0; ///< In a row.
    Instant nextStoreCallAt_{0};
    std::minstd_rand random_;
};

} // namespace daisymount::configsync

// One entry's view of one journal shard: loads the chain, appends records by group commit, settles lost replies by reading back.

#pragma once

#include "claims/claimstypes.h"
#include "claims/journal.h"
#include "store/iplatformstore.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace daisymount::claims
{

/// What makes a shard's journal; shared by all entries.
struct ShardIdentity
{
    std::string service;
    int64_t shard = 0;
    Duration retention{0}; ///< Claims are remembered at least this long.
};

/// Deterministic core. Two entries may use the same shard at once: the compare-and-swap on the open segment orders them.
class ShardJournal : public std::enable_shared_from_this<ShardJournal>
{
public:
    ShardJournal(ShardIdentity identity, const ClaimsOptions &options, store::IPlatformStore &store);

    /// Asks for @p claim. The handler runs exactly once, within ClaimsOptions::claimTimeout of calls to tick().
    /// @p mayStand: another entry was asked to write it before.
    void claim(const Claim &claim, ClaimHandler handler, Instant now, int64_t unixMs, bool mayStand = false);

    /// Records the end of a claim. Retried until it stands or the retention of pending records is exhausted.
    /// @p written runs once it stands; never when the record is displaced.
    void complete(const Completion &completion, std::function<void()> written, Instant now, int64_t unixMs);

    /// Fires due flushes and time-outs.
    void tick(Instant now, int64_t unixMs);

    /// Frees the key of a claim of this entry under which nothing has run or will run.
    void release(std::string_view claimId, Instant now, int64_t unixMs);
    /// True for a claim that this entry has released; makes sure that the release is written.
    bool isReleased(std::string_view claimId);
    /// True when the loaded part of the journal holds @p key.
    bool knows(std::string_view key) const;

    size_t pendingRecords() const;

private:
    enum class Phase : uint8_t {
        Unloaded,
        LoadingHead,
        LoadingBack, ///< Reads older segments down to the retention.
        LoadingForward, ///< Reads towards the open segment.
        Ready,
        Writing,
    };

    struct PendingClaim
    {
        Claim claim;
        ClaimHandler handler;
        Instant giveUpAt;
        bool sent = false; ///< A write that contains it may have taken effect.
        bool refreshed = false; ///< The journal was read after this claim was asked for.
    };

    struct PendingCompletion
    {
        Completion completion;
        std::function<void()> written;
    };

    struct IndexedClaim
    {
        Claim claim;
        bool done = false;
        std::optional<StoredAnswer> answer;
    };

    /// A sealed segment of the loaded chain.
    struct SealedSegment
    {
        int64_t number;
        int64_t sealedAtMs;
        std::vector<std::string> keys;
    };

    /// A write of the open segment that is under way.
    struct Written
    {
        Segment added; ///< Records that it adds; sealed when it seals the segment.
        std::string records; ///< All records of the segment, encoded.
    };

    void startLoad();
    void loadBack(int64_t number);
    void loadForward(int64_t number);
    void onForward(int64_t number, const framework::Ret &ret, const store::VersionedValue &value);
    void takeOverOpen(const Segment &segment);
    void onStoreFault();
    void ensureReleaseWritten(const std::string &claimId);
    void refusePending(const std::function<bool(const PendingClaim &)> &refused);
    void indexClaim(const Claim &claim);
    void indexCompletion(const Completion &completion);
    void flush();
    void onWritten(const framework::Ret &ret, int64_t revision, Written written);
    void index(const Segment &segment, int64_t number);
    int64_t oldestKeptMs() const;
    void forgetOldSegments();
    /// Empties a segment beyond the retention, to give its space back.
    void reclaim(int64_t number);
    void forgetWrittenCompletions(const Segment &written);
    void settlePending();
    /// Takes completions that stand out of the pending ones and reports them.
    void settleCompletions(const std::function<bool(const Completion &)> &stands);
    /// A running duplicate is answered only from a journal read after the question.
    bool needsRefresh(const PendingClaim &pending, const IndexedClaim &standing) const;
    bool refreshIfNeeded();
    std::vector<JournalRecord> pendingBatch();
    void expirePending();
    void updateHead();
    bool hasPending() const;
    ClaimOutcome outcomeFor(const Claim &asked, const IndexedClaim &standing);

    ShardIdentity identity_;
    const ClaimsOptions &options_;
    store::IPlatformStore &store_;
    Phase phase_ = Phase::Unloaded;
    Instant now_{0};
    int64_t unixMs_ = 0;
    Instant nextWriteAt_{0}; ///< No write starts earlier.
    int64_t headHint_ = 0;
    int64_t openNumber_ = 0;
    int64_t openRevision_ = 0; ///< Revision at which openSegment_ was read or written; 0 while it does not exist.
    std::string openRecords_; ///< Encoded records of the open segment, joined by commas.
    std::vector<std::string> openKeys_; ///< Keys claimed in the open segment.
    std::map<std::string, IndexedClaim, std::less<>> byKey_; ///< Claims of the loaded chain.
    std::map<std::string, std::string, std::less<>> keyOfClaim_;
    std::vector<SealedSegment> sealed_;
    std::vector<PendingClaim> pendingClaims_;
    std::vector<PendingCompletion> pendingCompletions_;
    std::set<std::string, std::less<>> released_; ///< Claims of this entry that were released; some may come to stand later.
    bool storeFailed_ = false; ///< The last store call failed: claims are refused until the next try.
};

} // namespace daisymount::claims

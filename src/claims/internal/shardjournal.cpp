// Shard journal core.

#include "claims/shardjournal.h"

#include <algorithm>
#include <charconv>

namespace daisymount::claims
{

using framework::ResultCode;
using framework::Ret;
using store::VersionedValue;

namespace
{
/// Fixed part of an encoded record, in bytes; used to decide when to seal.
constexpr size_t RECORD_OVERHEAD_BYTES = 64;
/// Claims are kept this much longer than the retention, since entries' wall clocks differ.
constexpr Duration CLOCK_SKEW_ALLOWANCE = std::chrono::minutes{5};

size_t approximateBytes(const JournalRecord &record)
{
    if (const auto *claim = std::get_if<Claim>(&record)) {
        return RECORD_OVERHEAD_BYTES + claim->key.size() + claim->claimId.size() + claim->owner.size();
    }
    const auto &completion = std::get<Completion>(record);
    const size_t bodySize = completion.answer ? completion.answer->body.size() + completion.answer->contentType.size() : 0;
    return RECORD_OVERHEAD_BYTES + completion.claimId.size() + bodySize;
}

std::optional<Segment> decoded(const VersionedValue &value)
{
    if (value.revision == 0) {
        return Segment{};
    }
    std::optional<Segment> segment;
    const Ret ret = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(segment, decodeSegment(value.value));
        return {};
    });
    return ret ? segment : std::nullopt;
}
} // namespace

ShardJournal::ShardJournal(ShardIdentity identity, const ClaimsOptions &options, store::IPlatformStore &store)
    : identity_(std::move(identity)), options_(options), store_(store)
{ }

void ShardJournal::claim(const Claim &claim, ClaimHandler handler, Instant now, int64_t unixMs, bool mayStand)
{
    now_ = std::max(now_, now);
    unixMs_ = unixMs;
    if (pendingClaims_.size() >= options_.maxPending) {
        handler({ClaimVerdict::Refused, ResultCode::JournalFull, {}, std::nullopt});
        return;
    }
    if (storeFailed_ && now_ < nextWriteAt_) {
        handler({ClaimVerdict::Refused, ResultCode::StoreUnavailable, {}, std::nullopt});
        return;
    }
    pendingClaims_.push_back({claim, std::move(handler), now + options_.claimTimeout, mayStand, false});
    tick(now, unixMs);
}

void ShardJournal::complete(const Completion &completion, std::function<void()> written, Instant now, int64_t unixMs)
{
    if (pendingCompletions_.size() >= options_.maxPending) {
        pendingCompletions_.erase(pendingCompletions_.begin());
    }
    pendingCompletions_.push_back({completion, std::move(written)});
    tick(now, unixMs);
}

void ShardJournal::tick(Instant now, int64_t unixMs)
{
    now_ = std::max(now_, now);
    unixMs_ = unixMs;
    expirePending();
    if (phase_ == Phase::Ready) {
        forgetOldSegments();
        settlePending();
        if (refreshIfNeeded()) {
            return;
        }
    }
    if (!hasPending() || now_ < nextWriteAt_) {
        return;
    }
    if (phase_ == Phase::Unloaded) {
        startLoad();
    } else if (phase_ == Phase::Ready) {
        flush();
    }
}

bool ShardJournal::hasPending() const
{
    return !pendingClaims_.empty() || !pendingCompletions_.empty();
}

size_t ShardJournal::pendingRecords() const
{
    return pendingClaims_.size() + pendingCompletions_.size();
}

void ShardJournal::release(std::string_view claimId, Instant now, int64_t unixMs)
{
    released_.emplace(claimId);
    ensureReleaseWritten(std::string(claimId));
    tick(now, unixMs);
}

bool ShardJournal::isReleased(std::string_view claimId)
{
    if (released_.count(claimId) == 0) {
        return false;
    }
    if (keyOfClaim_.count(claimId) != 0) {
        ensureReleaseWritten(std::string(claimId));
    }
    return true;
}

bool ShardJournal::knows(std::string_view key) const
{
    return byKey_.count(key) != 0;
}

void ShardJournal::ensureReleaseWritten(const std::string &claimId)
{
    for (const PendingCompletion &pending : pendingCompletions_) {
        if (pending.completion.claimId == claimId) {
            return;
        }
    }
    pendingCompletions_.push_back({Completion{claimId, std::nullopt, true}, {}});
}

void ShardJournal::startLoad()
{
    phase_ = Phase::LoadingHead;
    byKey_.clear();
    keyOfClaim_.clear();
    sealed_.clear();
    store_.read(headKey(identity_.service, identity_.shard), [self = shared_from_this()](const Ret &ret, const VersionedValue &value) {
        if (!ret) {
            self->onStoreFault();
            return;
        }
        int64_t number = 0;
        std::from_chars(value.value.data(), value.value.data() + value.value.size(), number);
        self->headHint_ = number;
        self->phase_ = Phase::LoadingBack;
        self->loadBack(number - 1);
    });
}

void ShardJournal::loadBack(int64_t number)
{
    if (number < 0) {
        phase_ = Phase::LoadingForward;
        loadForward(headHint_);
        return;
    }
    const std::string key = segmentKey(identity_.service, identity_.shard, number);
    store_.read(key, [self = shared_from_this(), number](const Ret &ret, const VersionedValue &value) {
        const std::optional<Segment> segment = ret ? decoded(value) : std::nullopt;
        if (!segment) {
            self->onStoreFault();
            return;
        }
        const bool tooOld = segment->sealed && segment->sealedAtMs < self->oldestKeptMs();
        if (!tooOld) {
            self->index(*segment, number);
        }
        self->loadBack(tooOld ? -1 : number - 1);
    });
}

void ShardJournal::loadForward(int64_t number)
{
    const std::string key = segmentKey(identity_.service, identity_.shard, number);
    store_.read(key, [self = shared_from_this(), number](const Ret &ret, const VersionedValue &value) { self->onForward(number, ret, value); });
}

void ShardJournal::onForward(int64_t number, const Ret &ret, const VersionedValue &value)
{
    std::optional<Segment> segment = ret ? decoded(value) : std::nullopt;
    if (!segment) {
        onStoreFault();
        return;
    }
    index(*segment, number);
    if (segment->sealed) {
        loadForward(number + 1);
        return;
    }
    openNumber_ = number;
    openRevision_ = value.revision;
    storeFailed_ = false;
    takeOverOpen(*segment);
    phase_ = Phase::Ready;
    settlePending();
    if (hasPending() && now_ >= nextWriteAt_) {
        flush();
    }
}

void ShardJournal::takeOverOpen(const Segment &segment)
{
    openRecords_.clear();
    openKeys_.clear();
    for (const JournalRecord &record : segment.records) {
        openRecords_ += openRecords_.empty() ? "" : ",";
        openRecords_ += encodeRecord(record);
        if (const auto *claim = std::get_if<Claim>(&record)) {
            openKeys_.push_back(claim->key);
        }
    }
}

void ShardJournal::onStoreFault()
{
    phase_ = Phase::Unloaded;
    storeFailed_ = true;
    nextWriteAt_ = now_ + options_.retryInterval;
    refusePending([](const PendingClaim &) { return true; });
}

int64_t ShardJournal::oldestKeptMs() const
{
    const auto kept = std::chrono::duration_cast<std::chrono::milliseconds>(identity_.retention + CLOCK_SKEW_ALLOWANCE);
    return unixMs_ - kept.count();
}

void ShardJournal::index(const Segment &segment, int64_t number)
{
    if (segment.sealed) {
        sealed_.push_back({number, segment.sealedAtMs, {}});
    }
    for (const JournalRecord &record : segment.records) {
        const auto *claim = std::get_if<Claim>(&record);
        if (claim == nullptr) {
            indexCompletion(std::get<Completion>(record));
            continue;
        }
        indexClaim(*claim);
        if (segment.sealed) {
            sealed_.back().keys.push_back(claim->key);
        }
    }
}

void ShardJournal::indexClaim(const Claim &claim)
{
    // A key that stands keeps its first claim; the compare-and-swap lets no second one in.
    byKey_.try_emplace(claim.key, IndexedClaim{claim, false, std::nullopt});
    keyOfClaim_[claim.claimId] = claim.key;
}

void ShardJournal::indexCompletion(const Completion &completion)
{
    const auto key = keyOfClaim_.find(completion.claimId);
    if (key == keyOfClaim_.end()) {
        return;
    }
    const auto indexed = byKey_.find(key->second);
    const bool stands = indexed != byKey_.end() && indexed->second.claim.claimId == completion.claimId;
    if (stands && completion.released) {
        byKey_.erase(indexed);
        keyOfClaim_.erase(key);
    } else if (stands) {
        indexed->second.done = true;
        indexed->second.answer = completion.answer;
    }
}

void ShardJournal::forgetOldSegments()
{
    std::vector<SealedSegment> old;
    std::erase_if(sealed_, [&](SealedSegment &segment) {
        const bool tooOld = segment.sealedAtMs < oldestKeptMs();
        if (tooOld) {
            old.push_back(std::move(segment));
        }
        return tooOld;
    });
    for (const SealedSegment &segment : old) {
        for (const std::string &key : segment.keys) {
            const auto found = byKey_.find(key);
            if (found != byKey_.end()) {
                keyOfClaim_.erase(found->second.claim.claimId);
                byKey_.erase(found);
            }
        }
        reclaim(segment.number);
    }
}

void ShardJournal::reclaim(int64_t number)
{
    const std::string key = segmentKey(identity_.service, identity_.shard, number);
    store_.read(key, [self = shared_from_this(), key](const Ret &ret, const VersionedValue &value) {
        const std::optional<Segment> segment = ret ? decoded(value) : std::nullopt;
        if (!segment || segment->records.empty()) {
            return;
        }
        const Segment emptied{true, segment->sealedAtMs, {}};
        self->store_.compareAndSwap(key, value.revision, encodeSegment(emptied), [](const Ret &, int64_t) {});
    });
}

ClaimOutcome ShardJournal::outcomeFor(const Claim &asked, const IndexedClaim &standing)
{
    if (standing.claim.claimId == asked.claimId) {
        return {ClaimVerdict::Granted, ResultCode::Ok, standing.claim, std::nullopt};
    }
    if (standing.claim.bodyHash != asked.bodyHash) {
        return {ClaimVerdict::Refused, ResultCode::IdempotencyKeyReused, standing.claim, std::nullopt};
    }
    ClaimOutcome outcome{ClaimVerdict::Duplicate, ResultCode::Ok, standing.claim, standing.answer};
    if (standing.done && !standing.answer) {
        outcome.code = ResultCode::AnswerTruncated;
    }
    return outcome;
}

void ShardJournal::settlePending()
{
    std::vector<std::pair<ClaimHandler, ClaimOutcome>> settled;
    std::erase_if(pendingClaims_, [&](PendingClaim &pending) {
        const auto standing = byKey_.find(pending.claim.key);
        if (standing == byKey_.end() || needsRefresh(pending, standing->second)) {
            return false;
        }
        if (isReleased(standing->second.claim.claimId)) {
            // Waits until the release stands and the key is free.
            return false;
        }
        settled.emplace_back(std::move(pending.handler), outcomeFor(pending.claim, standing->second));
        return true;
    });
    settleCompletions([this](const Completion &completion) {
        const auto key = keyOfClaim_.find(completion.claimId);
        return !completion.released && key != keyOfClaim_.end() && byKey_[key->second].done;
    });
    for (auto &[handler, outcome] : settled) {
        handler(outcome);
    }
}

void ShardJournal::settleCompletions(const std::function<bool(const Completion &)> &stands)
{
    std::vector<std::function<void()>> written;
    std::erase_if(pendingCompletions_, [&](PendingCompletion &pending) {
        if (!stands(pending.completion)) {
            return false;
        }
        written.push_back(std::move(pending.written));
        return true;
    });
    for (const auto &handler : written) {
        if (handler) {
            handler();
        }
    }
}

bool ShardJournal::needsRefresh(const PendingClaim &pending, const IndexedClaim &standing) const
{
    const bool own = standing.claim.claimId == pending.claim.claimId || standing.claim.owner == options_.self;
    return !pending.refreshed && !standing.done && !own;
}

bool ShardJournal::refreshIfNeeded()
{
    bool needed = false;
    for (PendingClaim &pending : pendingClaims_) {
        const auto standing = byKey_.find(pending.claim.key);
        if (standing != byKey_.end() && needsRefresh(pending, standing->second)) {
            pending.refreshed = true;
            needed = true;
        }
    }
    if (needed) {
        phase_ = Phase::LoadingForward;
        loadForward(openNumber_);
    }
    return needed;
}

void ShardJournal::expirePending()
{
    refusePending([this](const PendingClaim &pending) { return now_ >= pending.giveUpAt; });
}

void ShardJournal::refusePending(const std::function<bool(const PendingClaim &)> &refused)
{
    std::vector<ClaimHandler> handlers;
    std::erase_if(pendingClaims_, [&](PendingClaim &pending) {
        if (!refused(pending)) {
            return false;
        }
        // The claim may stand, or come to stand, without anybody running under it.
        if (pending.sent && pending.claim.owner == options_.self) {
            released_.insert(pending.claim.claimId);
            ensureReleaseWritten(pending.claim.claimId);
        }
        handlers.push_back(std::move(pending.handler));
        return true;
    });
    for (const ClaimHandler &handler : handlers) {
        handler({ClaimVerdict::Refused, ResultCode::StoreUnavailable, {}, std::nullopt});
    }
}

std::vector<JournalRecord> ShardJournal::pendingBatch()
{
    std::vector<JournalRecord> batch;
    std::set<std::string_view> keys;
    size_t bytes = openRecords_.size();
    for (PendingClaim &pending : pendingClaims_) {
        // Of two pending claims on one key the second waits and finds the first in the journal.
        const bool stands = byKey_.count(pending.claim.key) != 0;
        if (stands || bytes > options_.segmentBytes || !keys.insert(pending.claim.key).second) {
            continue;
        }
        pending.sent = true;
        batch.emplace_back(pending.claim);
        bytes += approximateBytes(batch.back());
    }
    for (const PendingCompletion &pending : pendingCompletions_) {
        if (bytes > options_.segmentBytes) {
            break;
        }
        batch.emplace_back(pending.completion);
        bytes += approximateBytes(batch.back());
    }
    return batch;
}

void ShardJournal::flush()
{
    std::vector<JournalRecord> batch = pendingBatch();
    if (batch.empty()) {
        return;
    }
    Written written{Segment{false, 0, std::move(batch)}, openRecords_};
    for (const JournalRecord &record : written.added.records) {
        written.records += written.records.empty() ? "" : ",";
        written.records += encodeRecord(record);
    }
    if (written.records.size() > options_.segmentBytes) {
        written.added.sealed = true;
        written.added.sealedAtMs = unixMs_;
    }
    std::string text = assembleSegment(written.records, written.added.sealed, written.added.sealedAtMs);
    phase_ = Phase::Writing;
    nextWriteAt_ = now_ + options_.batchInterval;
    const std::string key = segmentKey(identity_.service, identity_.shard, openNumber_);
    const auto onAnswer
        = [self = shared_from_this(), written = std::move(written)](const Ret &ret, int64_t revision) { self->onWritten(ret, revision, written); };
    store_.compareAndSwap(key, openRevision_, std::move(text), onAnswer);
}

void ShardJournal::onWritten(const Ret &ret, int64_t revision, Written written)
{
    if (ret.code == ResultCode::CasConflict || ret.code == ResultCode::ReplyLost) {
        // The journal tells which of our records stand.
        phase_ = Phase::LoadingForward;
        loadForward(openNumber_);
        return;
    }
    if (!ret) {
        onStoreFault();
        return;
    }
    storeFailed_ = false;
    forgetWrittenCompletions(written.added);
    index(written.added, openNumber_);
    for (const JournalRecord &record : written.added.records) {
        if (const auto *claim = std::get_if<Claim>(&record)) {
            openKeys_.push_back(claim->key);
        }
    }
    openRecords_ = std::move(written.records);
    openRevision_ = revision;
    phase_ = Phase::Ready;
    if (written.added.sealed) {
        // The index has listed only the keys of the last write.
        sealed_.back().keys = std::move(openKeys_);
        ++openNumber_;
        openRevision_ = 0;
        openRecords_.clear();
        openKeys_.clear();
        updateHead();
    }
    settlePending();
}

void ShardJournal::forgetWrittenCompletions(const Segment &written)
{
    std::set<std::string_view> ids;
    for (const JournalRecord &record : written.records) {
        if (const auto *completion = std::get_if<Completion>(&record)) {
            ids.insert(completion->claimId);
        }
    }
    settleCompletions([&](const Completion &completion) { return ids.count(completion.claimId) != 0; });
}

void ShardJournal::updateHead()
{
    const std::string key = headKey(identity_.service, identity_.shard);
    store_.read(key, [self = shared_from_this(), key, number = openNumber_](const Ret &ret, const VersionedValue &value) {
        int64_t standing = 0;
        std::from_chars(value.value.data(), value.value.data() + value.value.size(), standing);
        if (!ret || standing >= number) {
            return;
        }
        self->store_.compareAndSwap(key, value.revision, std::to_string(number), [](const Ret &, int64_t) {});
    });
}

} // namespace daisymount::claims

// Stored form of a claim journal: a chain of segments per shard. Only the last segment of a chain is open.

#pragma once

#include "claims/claimstypes.h"
#include "framework/result.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace daisymount::claims
{

/// End of the claim with the same id.
struct Completion
{
    std::string claimId;
    std::optional<StoredAnswer> answer; ///< Absent when the answer was too large to keep.
    bool released = false; ///< The request certainly has not run under this claim and will not: its key is free again.
};

using JournalRecord = std::variant<Claim, Completion>;

/// One value in the platform's store. A sealed segment never changes again.
struct Segment
{
    bool sealed = false;
    int64_t sealedAtMs = 0; ///< Wall clock of the entry that sealed it, Unix milliseconds.
    std::vector<JournalRecord> records;
};

std::string encodeSegment(const Segment &segment);
/// One record, as it stands between the commas of an encoded segment.
std::string encodeRecord(const JournalRecord &record);
/// A segment whose records are already encoded and joined by commas.
std::string assembleSegment(std::string_view encodedRecords, bool sealed, int64_t sealedAtMs);
framework::Result<Segment> decodeSegment(std::string_view text);

std::string segmentKey(std::string_view service, int64_t shard, int64_t number);
/// Key of a hint at the number of the open segment. It may lag, never lead.
std::string headKey(std::string_view service, int64_t shard);

} // namespace daisymount::claims

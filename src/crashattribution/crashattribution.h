// Finds the request that crashes each upstream which runs it, from what all entries saw at the crashes.
//
// Load: a caller sends one request again and again to any of up to some hundred entries, among callers whose sound requests run beside it
// in the same batches, while upstreams, their machines and whole zones also crash for other reasons.

#pragma once

#include "crashattribution/crashtypes.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace daisymount::crashattribution
{

struct CrashAttributionOptions
{
    size_t crashesToConvict = 3; ///< One after the other. Two may be chance where upstreams crash for other reasons.
    size_t crashesToConvictAmbiguous = 5; ///< A request that was under way at so many is convicted even if another one always was there too.
    /// A observation is judged so long after it was learnt: by then others of the same crash have arrived too, a few rounds of heartbeats later.
    milliseconds settleTime{800};
    /// Crashes that lie closer together than commonCauseSpan, of at least commonCauseCrashes upstreams where the request was not under way, have
    /// another cause: a machine, a rack, the power of a zone.
    milliseconds commonCauseSpan{500};
    size_t commonCauseCrashes = 2;
    milliseconds retention{600'000}; ///< Observations and convictions are forgotten after this.
    milliseconds freshDuration{4'000}; ///< How long news is passed on after it was learnt; it reaches all entries in a few rounds.
    /// Afterwards convictions, and what is needed to convict, are told in one round of so many: only an entry that starts later lacks them.
    unsigned resendRounds = 4;
    size_t maxSuspects = 1'024;
    size_t maxCrashes = 2'048;
    size_t maxItemsPerUpdate = 32; ///< Of each kind in one message, so that it fits into a packet or two.
    uint64_t seed = 1;
};

enum class CrashStatus : uint8_t {
    Clear,
    Suspect, ///< It was under way at two crashes or more: entries do not send it a second time on their own.
    Convicted, ///< Refused.
};

/// A conviction with its evidence, for the log.
struct ConvictionEvidence
{
    Fingerprint fingerprint = 0;
    std::vector<CrashObservation> crashes;
};

/// Deterministic core; one per entry. All entries that hold the same observations come to the same verdicts.
class CrashAttribution
{
public:
    explicit CrashAttribution(const CrashAttributionOptions &options);

    /// The request was sent to the incarnation at @p sentAt and had no answer when that crashed at @p crashedAt.
    void onCrash(Fingerprint fingerprint, const UpstreamIncarnation &incarnation, Instant sentAt, Instant crashedAt, Instant now);
    /// An upstream answered the request. Returns true when that clears it of something.
    bool onAnswered(Fingerprint fingerprint, Instant now);
    /// Takes over what another entry tells. Returns the convictions that are new here.
    std::vector<Fingerprint> merge(const CrashUpdate &update, Instant now);
    /// Judges and forgets. Call several times a second; returns the verdicts that are new.
    std::vector<ConvictionEvidence> evaluate(Instant now);

    CrashStatus status(Fingerprint fingerprint, Instant now) const;
    /// How long a convicted request stays refused.
    milliseconds remainingRejection(Fingerprint fingerprint, Instant now) const;
    /// Crashes, one after the other, at which the request was under way since its last answer and which no convicted request explains.
    size_t crashes(Fingerprint fingerprint, Instant now) const;
    /// News for one round of heartbeats.
    CrashUpdate nextUpdate(Instant now);

    size_t suspects() const;
    size_t convictions(Instant now) const;

private:
    struct Observation
    {
        Instant sentAt{0};
        Instant crashedAt{0};
        Instant learnedAt{0};
    };

    struct Suspect
    {
        std::map<UpstreamIncarnation, Observation> observations; ///< At most MOST_SIGHTINGS.
        std::optional<Instant> answeredAt; ///< Observations up to then are void.
        Instant answerLearnedAt{0};
        std::optional<Instant> convictedAt; ///< Later than answeredAt, else void.
        Instant convictionLearnedAt{0};

        bool isConvicted() const
        {
            return convictedAt && (!answeredAt || *convictedAt > *answeredAt);
        }
    };

    using Observations = std::map<UpstreamIncarnation, Observation>;

    /// Observations that count against the request, learnt up to @p until.
    Observations evidence(const Suspect &suspect, Instant until) const;
    /// Other upstreams crashed together with the one of @p observation.
    bool hasCommonCause(const Suspect &suspect, const Observation &observation) const;
    void updateExplained();
    void recordCrash(const UpstreamIncarnation &incarnation, Instant crashedAt);
    /// Another request was under way at all crashes of @p observations as well.
    bool hasEquallyLikelySuspect(Fingerprint fingerprint, const Observations &observations, Instant until) const;
    Suspect &suspectOf(Fingerprint fingerprint);
    void recordObservation(Fingerprint fingerprint, const UpstreamIncarnation &incarnation, const Observation &observation);
    void expire(Instant now);
    /// Leaves at most maxItemsPerUpdate of @p rows that follow one another, a different part each time.
    template<typename Row>
    void limitRows(std::vector<Row> &rows);

    CrashAttributionOptions options_;
    std::map<Fingerprint, Suspect> suspects_; ///< At most mostSuspects.
    std::map<UpstreamIncarnation, Instant> crashes_; ///< All known ones, at most mostCrashes.
    std::set<std::pair<Instant, UpstreamIncarnation>> crashesByTime_; ///< The same.
    std::set<UpstreamIncarnation> explained_; ///< Crashes at which a convicted request was under way: no evidence against others.
    std::minstd_rand random_;
};

} // namespace daisymount::crashattribution

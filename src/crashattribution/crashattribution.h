// Identifies requests, and parts of prompts, that crash the upstreams executing them, from the crashes observed by all entries.
//
// Expected load: callers repeat several such requests, or send different requests with a common part, at any of up to some hundred
// entries. Harmless requests run in the same batches, and upstreams, machines and whole zones also fail for other reasons.
//
// An answer clears a request and the parts of its prompt. What remains suspect is tried at increasing intervals and by few entries, so that
// each trial either clears it or is a crash that no other suspect explains.

#pragma once

#include "crashattribution/crashtypes.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisymount::crashattribution
{

struct CrashAttributionOptions
{
    size_t crashesToConvict = 3; ///< Successive crashes. Two may be a coincidence where upstreams crash for other reasons.
    /// Successive crashes for a conviction if another suspect was in flight at all of them too, or if the request was answered before.
    size_t crashesToConvictAmbiguous = 5;
    /// Upstreams that crashed under a suspect, at any intervals, from which two successive crashes convict it.
    size_t upstreamsToConvict = 5;
    /// An answer clears crashes up to this time later: a request that crashes upstreams crashes each of them.
    milliseconds clearanceValidity{60'000};
    size_t maxAnswered = 16'384; ///< Answered requests and parts that are remembered.
    /// Minimum time between a crash and the next trial of its suspects. Doubles with each successive crash, up to maxTrialInterval, and is
    /// extended by up to its own length, differently for each suspect.
    milliseconds trialInterval{500};
    milliseconds maxTrialInterval{30'000};
    /// Time after which twice as many entries may try a suspect, if longer than the trial interval.
    milliseconds trialWidening{2'000};
    /// Delay before an observation is evaluated. By then other observations of the same crash have arrived with a few rounds of heartbeats.
    milliseconds settleTime{800};
    /// If at least commonCauseCrashes upstreams without the request crash within commonCauseSpan, the crashes are attributed to another
    /// cause, such as a machine, a rack or the power supply of a zone. Crashes with a convicted request in flight are not counted.
    milliseconds commonCauseSpan{150};
    size_t commonCauseCrashes = 2;
    milliseconds retention{600'000}; ///< Lifetime of observations and convictions.
    milliseconds freshDuration{4'000}; ///< Time for which new information is sent in each round; it reaches all entries in a few rounds.
    /// Afterwards convictions and the observations needed for one are sent in one of resendRounds rounds on average, for entries started later.
    unsigned resendRounds = 4;
    size_t maxSuspects = 1'024;
    size_t maxCrashes = 2'048;
    size_t maxItemsPerUpdate = 32; ///< Items of each kind in one message, so that it fits into one or two packets.
    uint64_t seed = 1;
};

enum class CrashStatus : uint8_t {
    Clear,
    Suspect, ///< In flight at two or more crashes: entries do not retry it.
    Convicted, ///< Rejected.
};

/// A conviction with the crashes it is based on, for the log.
struct ConvictionEvidence
{
    Fingerprint fingerprint = 0;
    std::vector<CrashObservation> crashes;
};

/// Limits the attempts at finding out whether a suspect crashes upstreams.
struct TrialLimit
{
    Fingerprint suspect = 0;
    size_t crashes = 0; ///< Successive crashes with the suspect in flight.
    milliseconds wait{0}; ///< Time until the next trial, 0 if one may begin.
    size_t entries = 0; ///< Number of entries of which each may have one trial in flight.
};

/// Deterministic core; one per entry. Entries with the same observations reach the same convictions.
class CrashAttribution
{
public:
    explicit CrashAttribution(const CrashAttributionOptions &options);

    /// The incarnation crashed at @p crashedAt before it responded to the request sent at @p sentAt.
    void onCrash(Fingerprint fingerprint, const UpstreamIncarnation &incarnation, Instant sentAt, Instant crashedAt, Instant now);
    /// An upstream answered the request, or a request with this part. Returns true if this voids observations or a conviction.
    bool onAnswered(Fingerprint fingerprint, Instant now);
    /// Merges an update from another entry. Returns the convictions that are new to this entry.
    std::vector<Fingerprint> merge(const CrashUpdate &update, Instant now);
    /// Evaluates observations and removes expired ones. Must be called several times a second. Returns new convictions.
    std::vector<ConvictionEvidence> evaluate(Instant now);

    CrashStatus status(Fingerprint fingerprint, Instant now) const;
    /// Remaining time for which a convicted request is rejected.
    milliseconds remainingRejection(Fingerprint fingerprint, Instant now) const;
    /// Number of successive crashes with the request in flight since its last response. Crashes with a convicted request in flight are
    /// not counted.
    size_t crashes(Fingerprint fingerprint, Instant now) const;
    /// True if an answer within the clearance validity shows that the request or part does not crash upstreams.
    bool isCleared(Fingerprint fingerprint, Instant now) const;
    /// Returns the limit on trials if the request or part was in flight at @p minCrashes or more successive crashes that are not explained
    /// otherwise. A single crash with a common cause does not count.
    std::optional<TrialLimit> trialLimit(Fingerprint fingerprint, size_t minCrashes, Instant now) const;
    /// Update to be sent in one round of heartbeats.
    CrashUpdate nextUpdate(Instant now);

    size_t suspects() const;
    size_t convictions(Instant now) const;
    /// All convictions that are in force.
    std::vector<Conviction> convicted(Instant now) const;

private:
    struct Observation
    {
        Instant sentAt{0};
        Instant crashedAt{0};
        Instant learnedAt{0};
    };

    struct Suspect
    {
        std::map<UpstreamIncarnation, Observation> observations; ///< At most MAX_OBSERVATIONS.
        std::optional<Instant> answeredAt; ///< Observations up to this time are void.
        Instant answerLearnedAt{0};
        std::optional<Instant> convictedAt; ///< Void if not later than answeredAt.
        Instant convictionLearnedAt{0};

        bool isConvicted() const
        {
            return convictedAt && (!answeredAt || *convictedAt > *answeredAt);
        }
    };

    using Observations = std::map<UpstreamIncarnation, Observation>;

    enum class CommonCause : uint8_t { Discard, Count };

    /// Observations received up to @p until that count against a request that was not answered within the clearance validity before.
    Observations evidence(const Suspect &suspect, Instant until, CommonCause commonCause = CommonCause::Discard) const;
    /// Observations received up to @p until that are later than the last answer.
    Observations evidenceSinceAnswer(const Suspect &suspect, Instant until, CommonCause commonCause = CommonCause::Discard) const;
    /// True if other upstreams crashed at about the time of @p observation.
    bool hasCommonCause(const Suspect &suspect, const Observation &observation) const;
    void updateExplained();
    void recordCrash(const UpstreamIncarnation &incarnation, Instant crashedAt);
    /// Suspects in flight at several crashes, by crash.
    std::map<UpstreamIncarnation, std::vector<Fingerprint>> repeatedSuspects(Instant until) const;
    /// True if another request was also in flight at all crashes in @p observations.
    bool hasEquallyLikelySuspect(Fingerprint fingerprint, const Observations &observations, Instant until) const;
    /// Suspects that the observations received up to @p until convict. Convicting them may explain the crashes of others.
    std::vector<Fingerprint> convictable(Instant until) const;
    Suspect &suspectOf(Fingerprint fingerprint);
    void recordObservation(Fingerprint fingerprint, const UpstreamIncarnation &incarnation, const Observation &observation);
    void rememberAnswer(Fingerprint fingerprint, Instant answeredAt);
    void expire(Instant now);
    /// Reduces @p rows to at most maxItemsPerUpdate consecutive ones from a random position.
    template<typename Row>
    void limitRows(std::vector<Row> &rows);

    CrashAttributionOptions options_;
    std::map<Fingerprint, Suspect> suspects_; ///< At most maxSuspects.
    std::map<UpstreamIncarnation, Instant> crashes_; ///< All known crashes, at most maxCrashes.
    std::set<std::pair<Instant, UpstreamIncarnation>> crashesByTime_; ///< The same crashes, ordered by time.
    std::set<UpstreamIncarnation> explained_; ///< Crashes with a convicted request in flight; no evidence against other requests.
    std::unordered_map<Fingerprint, Instant> answered_; ///< Time of the last answer, at most maxAnswered.
    std::deque<std::pair<Instant, Fingerprint>> answers_; ///< In the order of recording; outdated entries are skipped.
    std::minstd_rand random_;
};

} // namespace daisymount::crashattribution

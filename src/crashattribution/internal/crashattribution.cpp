// The evidence is a grow-only set of observations and the time of the last response, so updates can be merged in any order.

#include "crashattribution/crashattribution.h"

#include <algorithm>
#include <tuple>

namespace daisymount::crashattribution
{

namespace
{
/// Further observations do not affect the result.
constexpr size_t MAX_OBSERVATIONS = 32;
/// Number of crashes from which entries do not retry a request.
constexpr size_t CRASHES_TO_SUSPECT = 2;
/// Two entries' times of the same response differ by less than this, due to message delay and short process pauses.
constexpr milliseconds ANSWER_TIME_TOLERANCE{1'000};

/// Accuracy of times from other entries, which are rounded to milliseconds and shifted by different message delays.
constexpr milliseconds CLOCK_TOLERANCE{5};

milliseconds elapsed(Instant from, Instant to)
{
    return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(to - from));
}

/// Number of crashes that cannot have one common cause: each time, the request was sent after the preceding crash.
template<typename Observations>
size_t successiveCrashes(const Observations &observations)
{
    std::vector<std::pair<Instant, Instant>> spans;
    spans.reserve(observations.size());
    for (const auto &[incarnation, observation] : observations) {
        spans.emplace_back(observation.crashedAt, observation.sentAt);
    }
    std::ranges::sort(spans);
    size_t count = 0;
    Instant last = Instant::min();
    for (const auto &[crashedAt, sentAt] : spans) {
        if (count == 0 || sentAt + CLOCK_TOLERANCE >= last) {
            ++count;
            last = crashedAt;
        }
    }
    return count;
}
} // namespace

CrashAttribution::CrashAttribution(const CrashAttributionOptions &options) : options_(options), random_(static_cast<unsigned>(options.seed))
{ }

void CrashAttribution::onCrash(Fingerprint fingerprint, const UpstreamIncarnation &incarnation, Instant sentAt, Instant crashedAt, Instant now)
{
    recordObservation(fingerprint, incarnation, {sentAt, crashedAt, now});
}

bool CrashAttribution::onAnswered(Fingerprint fingerprint, Instant now)
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end()) {
        return false;
    }
    Suspect &suspect = found->second;
    const bool counted = suspect.isConvicted() || !evidence(suspect, now).empty();
    suspect.answeredAt = now;
    suspect.answerLearnedAt = now;
    updateExplained();
    return counted;
}

std::vector<Fingerprint> CrashAttribution::merge(const CrashUpdate &update, Instant now)
{
    for (const CrashObservation &observation : update.observations) {
        if (observation.age < options_.retention) {
            const Instant crashedAt = now - observation.age;
            recordObservation(observation.fingerprint, observation.incarnation, {crashedAt - observation.timeInFlight, crashedAt, now});
        }
    }
    for (const Clearance &clearance : update.clearances) {
        if (clearance.age >= options_.retention) {
            continue;
        }
        Suspect &suspect = suspectOf(clearance.fingerprint);
        const Instant answeredAt = now - clearance.age;
        if (!suspect.answeredAt || answeredAt > *suspect.answeredAt + ANSWER_TIME_TOLERANCE) {
            suspect.answeredAt = answeredAt;
            suspect.answerLearnedAt = now;
        }
    }
    std::vector<Fingerprint> convicted;
    for (const Conviction &conviction : update.convictions) {
        if (conviction.age >= options_.retention) {
            continue;
        }
        Suspect &suspect = suspectOf(conviction.fingerprint);
        if (suspect.isConvicted()) {
            continue;
        }
        suspect.convictedAt = now - conviction.age;
        suspect.convictionLearnedAt = now;
        if (suspect.isConvicted()) {
            convicted.push_back(conviction.fingerprint);
        }
    }
    updateExplained();
    return convicted;
}

std::vector<ConvictionEvidence> CrashAttribution::evaluate(Instant now)
{
    expire(now);
    updateExplained();
    const Instant settled = now - options_.settleTime;
    std::vector<ConvictionEvidence> newConvictions;
    for (const auto &[fingerprint, suspect] : suspects_) {
        if (suspect.isConvicted() || suspect.observations.size() < options_.crashesToConvict) {
            continue;
        }
        const Observations counted = evidence(suspect, settled);
        const size_t crashes = successiveCrashes(counted);
        if (crashes < options_.crashesToConvict || (crashes < options_.crashesToConvictAmbiguous && hasEquallyLikelySuspect(fingerprint, counted, settled))) {
            continue;
        }
        ConvictionEvidence conviction{fingerprint, {}};
        for (const auto &[incarnation, observation] : counted) {
            conviction.crashes.push_back({fingerprint, incarnation, elapsed(observation.crashedAt, now), elapsed(observation.sentAt, observation.crashedAt)});
        }
        newConvictions.push_back(std::move(conviction));
    }
    for (const ConvictionEvidence &conviction : newConvictions) {
        Suspect &convicted = suspects_[conviction.fingerprint];
        convicted.convictedAt = now;
        convicted.convictionLearnedAt = now;
    }
    updateExplained();
    return newConvictions;
}

CrashStatus CrashAttribution::status(Fingerprint fingerprint, Instant now) const
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end()) {
        return CrashStatus::Clear;
    }
    if (found->second.isConvicted() && now - *found->second.convictedAt < options_.retention) {
        return CrashStatus::Convicted;
    }
    return successiveCrashes(evidence(found->second, now)) >= CRASHES_TO_SUSPECT ? CrashStatus::Suspect : CrashStatus::Clear;
}

milliseconds CrashAttribution::remainingRejection(Fingerprint fingerprint, Instant now) const
{
    const auto found = suspects_.find(fingerprint);
    const bool convicted = found != suspects_.end() && found->second.isConvicted();
    return convicted ? options_.retention - elapsed(*found->second.convictedAt, now) : milliseconds{0};
}

size_t CrashAttribution::crashes(Fingerprint fingerprint, Instant now) const
{
    const auto found = suspects_.find(fingerprint);
    return found == suspects_.end() ? 0 : successiveCrashes(evidence(found->second, now));
}

CrashUpdate CrashAttribution::nextUpdate(Instant now)
{
    CrashUpdate update;
    const bool resend = random_() % options_.resendRounds == 0;
    const auto isNew = [&](Instant learnedAt) { return now - learnedAt <= options_.freshDuration; };
    for (const auto &[fingerprint, suspect] : suspects_) {
        if (suspect.isConvicted() && (resend || isNew(suspect.convictionLearnedAt))) {
            update.convictions.push_back({fingerprint, elapsed(*suspect.convictedAt, now)});
        }
        if (suspect.answeredAt && isNew(suspect.answerLearnedAt)) {
            update.clearances.push_back({fingerprint, elapsed(*suspect.answeredAt, now)});
        }
        const bool neededToConvict = !suspect.isConvicted() && suspect.observations.size() >= CRASHES_TO_SUSPECT;
        for (const auto &[incarnation, observation] : suspect.observations) {
            if (isNew(observation.learnedAt) || (resend && neededToConvict)) {
                update.observations.push_back(
                    {fingerprint, incarnation, elapsed(observation.crashedAt, now), elapsed(observation.sentAt, observation.crashedAt)});
            }
        }
    }
    // Sorted by time so that observations of the same crash and of close crashes are sent together, since they are evaluated together.
    std::ranges::sort(update.observations, {},
                      [](const CrashObservation &observation) { return std::tuple(observation.age, observation.incarnation, observation.fingerprint); });
    limitRows(update.observations);
    limitRows(update.clearances);
    limitRows(update.convictions);
    return update;
}

size_t CrashAttribution::suspects() const
{
    return suspects_.size();
}

size_t CrashAttribution::convictions(Instant now) const
{
    return static_cast<size_t>(std::ranges::count_if(suspects_, [&](const auto &entry) { return status(entry.first, now) == CrashStatus::Convicted; }));
}

CrashAttribution::Observations CrashAttribution::evidence(const Suspect &suspect, Instant until) const
{
    Observations counted;
    for (const auto &[incarnation, observation] : suspect.observations) {
        const bool isCleared = suspect.answeredAt && observation.crashedAt <= *suspect.answeredAt;
        const bool isExplained = !suspect.isConvicted() && explained_.contains(incarnation);
        if (!isCleared && !isExplained && observation.learnedAt <= until && !hasCommonCause(suspect, observation)) {
            counted.emplace(incarnation, observation);
        }
    }
    return counted;
}

bool CrashAttribution::hasCommonCause(const Suspect &suspect, const Observation &observation) const
{
    size_t others = 0;
    auto crash = crashesByTime_.lower_bound({observation.crashedAt - options_.commonCauseSpan, {}});
    for (; crash != crashesByTime_.end() && crash->first <= observation.crashedAt + options_.commonCauseSpan; ++crash) {
        others += suspect.observations.contains(crash->second) ? 0 : 1;
    }
    return others >= options_.commonCauseCrashes;
}

void CrashAttribution::recordCrash(const UpstreamIncarnation &incarnation, Instant crashedAt)
{
    const auto [known, isNew] = crashes_.try_emplace(incarnation, crashedAt);
    if (!isNew) {
        if (known->second <= crashedAt) {
            return;
        }
        crashesByTime_.erase({known->second, incarnation});
        known->second = crashedAt;
    }
    crashesByTime_.emplace(crashedAt, incarnation);
    if (crashesByTime_.size() > options_.maxCrashes) {
        crashes_.erase(crashesByTime_.begin()->second);
        crashesByTime_.erase(crashesByTime_.begin());
    }
}

void CrashAttribution::updateExplained()
{
    explained_.clear();
    for (const auto &[fingerprint, suspect] : suspects_) {
        if (suspect.isConvicted()) {
            for (const auto &[incarnation, observation] : suspect.observations) {
                explained_.insert(incarnation);
            }
        }
    }
}

bool CrashAttribution::hasEquallyLikelySuspect(Fingerprint fingerprint, const Observations &observations, Instant until) const
{
    return std::ranges::any_of(suspects_, [&](const auto &entry) {
        if (entry.first == fingerprint || entry.second.isConvicted() || entry.second.observations.size() < observations.size()) {
            return false;
        }
        const Observations theirs = evidence(entry.second, until);
        return std::ranges::all_of(observations, [&](const auto &observation) { return theirs.contains(observation.first); });
    });
}

CrashAttribution::Suspect &CrashAttribution::suspectOf(Fingerprint fingerprint)
{
    if (suspects_.size() >= options_.maxSuspects && !suspects_.contains(fingerprint)) {
        // Evicts the suspect with the least evidence; among equals, the one with the oldest last crash.
        const auto evictionOrder = [](const auto &entry) {
            Instant latest = Instant::min();
            for (const auto &[incarnation, observation] : entry.second.observations) {
                latest = std::max(latest, observation.crashedAt);
            }
            return std::pair(entry.second.isConvicted() ? MAX_OBSERVATIONS + 1 : entry.second.observations.size(), latest);
        };
        suspects_.erase(std::ranges::min_element(suspects_, {}, evictionOrder));
    }
    return suspects_[fingerprint];
}

void CrashAttribution::recordObservation(Fingerprint fingerprint, const UpstreamIncarnation &incarnation, const Observation &observation)
{
    Suspect &suspect = suspectOf(fingerprint);
    if (const auto known = suspect.observations.find(incarnation); known != suspect.observations.end()) {
        // Message delay makes a crash appear later than it was, so the earliest time is the most accurate.
        known->second.sentAt = std::min(known->second.sentAt, observation.sentAt);
        known->second.crashedAt = std::min(known->second.crashedAt, observation.crashedAt);
        recordCrash(incarnation, observation.crashedAt);
        return;
    }
    if (suspect.observations.size() >= MAX_OBSERVATIONS) {
        const auto earliest = std::ranges::min_element(suspect.observations, {}, [](const auto &entry) { return entry.second.crashedAt; });
        if (earliest->second.crashedAt >= observation.crashedAt) {
            return;
        }
        suspect.observations.erase(earliest);
    }
    suspect.observations.emplace(incarnation, observation);
    recordCrash(incarnation, observation.crashedAt);
}

void CrashAttribution::expire(Instant now)
{
    for (auto &[fingerprint, suspect] : suspects_) {
        std::erase_if(suspect.observations, [&](const auto &entry) { return now - entry.second.crashedAt >= options_.retention; });
        if (suspect.convictedAt && now - *suspect.convictedAt >= options_.retention) {
            suspect.convictedAt.reset();
        }
        if (suspect.answeredAt && now - *suspect.answeredAt >= options_.retention) {
            suspect.answeredAt.reset();
        }
    }
    while (!crashesByTime_.empty() && now - crashesByTime_.begin()->first >= options_.retention) {
        crashes_.erase(crashesByTime_.begin()->second);
        crashesByTime_.erase(crashesByTime_.begin());
    }
    std::erase_if(suspects_, [](const auto &entry) {
        const Suspect &suspect = entry.second;
        return suspect.observations.empty() && !suspect.convictedAt && !suspect.answeredAt;
    });
}

template<typename Row>
void CrashAttribution::limitRows(std::vector<Row> &rows)
{
    if (rows.size() <= options_.maxItemsPerUpdate) {
        return;
    }
    std::rotate(rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(random_() % rows.size()), rows.end());
    rows.resize(options_.maxItemsPerUpdate);
}

} // namespace daisymount::crashattribution

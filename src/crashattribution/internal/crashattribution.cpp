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

/// The time of an answer is updated this many times within the clearance validity.
constexpr int ANSWERS_PER_VALIDITY = 20;
/// Further doublings would exceed any number of entries.
constexpr int64_t MAX_DOUBLINGS = 16;

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
    rememberAnswer(fingerprint, now);
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end()) {
        return false;
    }
    Suspect &suspect = found->second;
    const bool counted = suspect.isConvicted() || !evidenceSinceAnswer(suspect, now).empty();
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
            rememberAnswer(clearance.fingerprint, answeredAt);
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
    for (std::vector<Fingerprint> found = convictable(settled); !found.empty(); found = convictable(settled)) {
        for (const Fingerprint fingerprint : found) {
            ConvictionEvidence conviction{fingerprint, {}};
            for (const auto &[incarnation, observation] : evidenceSinceAnswer(suspects_[fingerprint], settled)) {
                conviction.crashes.push_back(
                    {fingerprint, incarnation, elapsed(observation.crashedAt, now), elapsed(observation.sentAt, observation.crashedAt)});
            }
            newConvictions.push_back(std::move(conviction));
        }
        for (const Fingerprint fingerprint : found) {
            Suspect &convicted = suspects_[fingerprint];
            convicted.convictedAt = now;
            convicted.convictionLearnedAt = now;
        }
        updateExplained();
    }
    return newConvictions;
}

std::vector<Fingerprint> CrashAttribution::convictable(Instant until) const
{
    const std::map<UpstreamIncarnation, std::vector<Fingerprint>> repeated = repeatedSuspects(until);
    const auto isDistinctive = [&repeated](Fingerprint fingerprint, const UpstreamIncarnation &incarnation) {
        const auto suspects = repeated.find(incarnation);
        return suspects == repeated.end() || std::ranges::all_of(suspects->second, [fingerprint](Fingerprint other) { return other == fingerprint; });
    };
    Fingerprint likeliest = 0;
    size_t mostCrashes = 0;
    std::vector<Fingerprint> ambiguous;
    for (const auto &[fingerprint, suspect] : suspects_) {
        if (suspect.isConvicted() || suspect.observations.size() < options_.crashesToConvict) {
            continue;
        }
        const auto isOwn = [&, fp = fingerprint](const auto &observation) { return isDistinctive(fp, observation.first); };
        const Observations counted = evidence(suspect, until);
        const size_t crashes = successiveCrashes(counted);
        const bool several = crashes >= options_.crashesToConvict || (crashes > 1 && counted.size() >= options_.upstreamsToConvict);
        const Observations sinceAnswer = evidenceSinceAnswer(suspect, until);
        const size_t crashesSinceAnswer = successiveCrashes(sinceAnswer);
        const bool changed = crashesSinceAnswer >= options_.crashesToConvictAmbiguous && std::ranges::all_of(sinceAnswer, isOwn);
        if ((several && std::ranges::any_of(counted, isOwn)) || changed) {
            if (crashesSinceAnswer > mostCrashes) {
                mostCrashes = crashesSinceAnswer;
                likeliest = fingerprint;
            }
        } else if (crashes >= options_.crashesToConvictAmbiguous && hasEquallyLikelySuspect(fingerprint, counted, until)) {
            ambiguous.push_back(fingerprint);
        }
    }
    return mostCrashes > 0 ? std::vector<Fingerprint>{likeliest} : ambiguous;
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
    return found == suspects_.end() ? 0 : successiveCrashes(evidenceSinceAnswer(found->second, now));
}

bool CrashAttribution::isCleared(Fingerprint fingerprint, Instant now) const
{
    const auto answered = answered_.find(fingerprint);
    return answered != answered_.end() && now - answered->second < options_.clearanceValidity;
}

std::optional<TrialLimit> CrashAttribution::trialLimit(Fingerprint fingerprint, size_t minCrashes, Instant now) const
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end()) {
        return std::nullopt;
    }
    const Suspect &suspect = found->second;
    const Observations counted = evidence(suspect, now, CommonCause::Count);
    const size_t crashes = successiveCrashes(counted);
    const bool isCoincidence = crashes == 1 && evidence(suspect, now).empty();
    if (crashes == 0 || crashes < minCrashes || isCoincidence) {
        return std::nullopt;
    }
    const auto last = std::ranges::max_element(counted, {}, [](const auto &entry) { return entry.second.crashedAt; });
    const Duration sinceCrash = now - last->second.crashedAt;
    const int64_t doublings = std::min<int64_t>(static_cast<int64_t>(crashes) - 1, MAX_DOUBLINGS);
    const milliseconds shortest = std::min(options_.trialInterval * (int64_t{1} << doublings), options_.maxTrialInterval);
    // Different intervals separate the trials of suspects that were in flight at the same crash.
    const milliseconds interval = shortest + milliseconds{static_cast<int64_t>(fingerprint % static_cast<uint64_t>(shortest.count()))};
    if (sinceCrash < interval) {
        return TrialLimit{fingerprint, crashes, elapsed(sinceCrash, interval), 0};
    }
    const int64_t widenings = std::min<int64_t>((sinceCrash - interval) / std::max(interval, options_.trialWidening), MAX_DOUBLINGS);
    return TrialLimit{fingerprint, crashes, milliseconds{0}, size_t{1} << static_cast<unsigned>(widenings)};
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

std::vector<Conviction> CrashAttribution::convicted(Instant now) const
{
    std::vector<Conviction> found;
    for (const auto &[fingerprint, suspect] : suspects_) {
        if (status(fingerprint, now) == CrashStatus::Convicted) {
            found.push_back({fingerprint, elapsed(*suspect.convictedAt, now)});
        }
    }
    return found;
}

size_t CrashAttribution::convictions(Instant now) const
{
    return static_cast<size_t>(std::ranges::count_if(suspects_, [&](const auto &entry) { return status(entry.first, now) == CrashStatus::Convicted; }));
}

CrashAttribution::Observations CrashAttribution::evidence(const Suspect &suspect, Instant until, CommonCause commonCause) const
{
    Observations counted = evidenceSinceAnswer(suspect, until, commonCause);
    std::erase_if(counted, [&](const auto &entry) { return suspect.answeredAt && entry.second.crashedAt < *suspect.answeredAt + options_.clearanceValidity; });
    return counted;
}

CrashAttribution::Observations CrashAttribution::evidenceSinceAnswer(const Suspect &suspect, Instant until, CommonCause commonCause) const
{
    Observations counted;
    for (const auto &[incarnation, observation] : suspect.observations) {
        const bool isCleared = suspect.answeredAt && observation.crashedAt <= *suspect.answeredAt;
        const bool isExplained = !suspect.isConvicted() && explained_.contains(incarnation);
        const bool isDiscarded = commonCause == CommonCause::Discard && hasCommonCause(suspect, observation);
        if (!isCleared && !isExplained && observation.learnedAt <= until && !isDiscarded) {
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
        others += suspect.observations.contains(crash->second) || explained_.contains(crash->second) ? 0 : 1;
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

std::map<UpstreamIncarnation, std::vector<Fingerprint>> CrashAttribution::repeatedSuspects(Instant until) const
{
    std::map<UpstreamIncarnation, std::vector<Fingerprint>> suspects;
    for (const auto &[fingerprint, suspect] : suspects_) {
        if (suspect.isConvicted() || suspect.observations.size() < CRASHES_TO_SUSPECT) {
            continue;
        }
        const Observations counted = evidence(suspect, until);
        if (successiveCrashes(counted) < CRASHES_TO_SUSPECT) {
            continue;
        }
        for (const auto &[incarnation, observation] : counted) {
            suspects[incarnation].push_back(fingerprint);
        }
    }
    return suspects;
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

void CrashAttribution::rememberAnswer(Fingerprint fingerprint, Instant answeredAt)
{
    const auto [known, isNew] = answered_.try_emplace(fingerprint, answeredAt);
    // The second entry of a frequent answer would be outdated at once, so it is recorded again only after part of the validity.
    if (!isNew && answeredAt - known->second < options_.clearanceValidity / ANSWERS_PER_VALIDITY) {
        return;
    }
    known->second = answeredAt;
    answers_.emplace_back(answeredAt, fingerprint);
    while (answered_.size() > options_.maxAnswered) {
        const auto [at, oldest] = answers_.front();
        answers_.pop_front();
        if (const auto entry = answered_.find(oldest); entry != answered_.end() && entry->second == at) {
            answered_.erase(entry);
        }
    }
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
    // Other entries need an earlier answer only if they suspect the request or part.
    if (const auto answered = answered_.find(fingerprint); answered != answered_.end()) {
        suspect.answeredAt = std::max(suspect.answeredAt.value_or(answered->second), answered->second);
        suspect.answerLearnedAt = observation.learnedAt;
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
    while (!answers_.empty() && now - answers_.front().first >= options_.clearanceValidity) {
        const auto [at, oldest] = answers_.front();
        answers_.pop_front();
        if (const auto entry = answered_.find(oldest); entry != answered_.end() && entry->second == at) {
            answered_.erase(entry);
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

// Evidence is a set of sightings that only grows, and the latest answer: entries may merge them in any order.

#include "crashattribution/crashattribution.h"

#include <algorithm>
#include <tuple>

namespace daisymount::crashattribution
{

namespace
{
/// More than that decide nothing further.
constexpr size_t MOST_SIGHTINGS = 32;
/// From so many crashes on a request is not sent a second time by an entry on its own.
constexpr size_t CRASHES_TO_SUSPECT = 2;
/// What two entries know of the moment of one answer differs by less: by the way of the message and a short pause of a process.
constexpr milliseconds SAME_MOMENT{1'000};

/// What other entries tell, in whole milliseconds and on ways of different length, is this exact.
constexpr milliseconds CLOCK_TOLERANCE{5};

milliseconds between(Instant from, Instant to)
{
    return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(to - from));
}

/// Crashes that can be told apart from one common cause: the request was sent to the next upstream after the crash of the one before.
template<typename Sightings>
size_t successiveCrashes(const Sightings &sightings)
{
    std::vector<std::pair<Instant, Instant>> spans;
    spans.reserve(sightings.size());
    for (const auto &[incarnation, sighting] : sightings) {
        spans.emplace_back(sighting.crashedAt, sighting.sentAt);
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
    note(fingerprint, incarnation, {sentAt, crashedAt, now});
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
    suspect.answerLearntAt = now;
    updateExplained();
    return counted;
}

std::vector<Fingerprint> CrashAttribution::merge(const CrashNews &news, Instant now)
{
    for (const CrashSighting &sighting : news.sightings) {
        if (sighting.age < options_.memory) {
            const Instant crashedAt = now - sighting.age;
            note(sighting.fingerprint, sighting.incarnation, {crashedAt - sighting.underWay, crashedAt, now});
        }
    }
    for (const Clearance &clearance : news.clearances) {
        if (clearance.age >= options_.memory) {
            continue;
        }
        Suspect &suspect = suspectOf(clearance.fingerprint);
        const Instant answeredAt = now - clearance.age;
        if (!suspect.answeredAt || answeredAt > *suspect.answeredAt + SAME_MOMENT) {
            suspect.answeredAt = answeredAt;
            suspect.answerLearntAt = now;
        }
    }
    std::vector<Fingerprint> convicted;
    for (const Conviction &conviction : news.convictions) {
        if (conviction.age >= options_.memory) {
            continue;
        }
        Suspect &suspect = suspectOf(conviction.fingerprint);
        if (suspect.isConvicted()) {
            continue;
        }
        suspect.convictedAt = now - conviction.age;
        suspect.convictionLearntAt = now;
        if (suspect.isConvicted()) {
            convicted.push_back(conviction.fingerprint);
        }
    }
    updateExplained();
    return convicted;
}

std::vector<Verdict> CrashAttribution::judge(Instant now)
{
    forget(now);
    updateExplained();
    const Instant settled = now - options_.settleTime;
    std::vector<Verdict> verdicts;
    for (const auto &[fingerprint, suspect] : suspects_) {
        if (suspect.isConvicted() || suspect.sightings.size() < options_.crashesToConvict) {
            continue;
        }
        const Sightings counted = evidence(suspect, settled);
        const size_t crashes = successiveCrashes(counted);
        if (crashes < options_.crashesToConvict || (crashes < options_.crashesBeyondDoubt && hasRival(fingerprint, counted, settled))) {
            continue;
        }
        Verdict verdict{fingerprint, {}};
        for (const auto &[incarnation, sighting] : counted) {
            verdict.crashes.push_back({fingerprint, incarnation, between(sighting.crashedAt, now), between(sighting.sentAt, sighting.crashedAt)});
        }
        verdicts.push_back(std::move(verdict));
    }
    for (const Verdict &verdict : verdicts) {
        Suspect &convicted = suspects_[verdict.fingerprint];
        convicted.convictedAt = now;
        convicted.convictionLearntAt = now;
    }
    updateExplained();
    return verdicts;
}

Standing CrashAttribution::standing(Fingerprint fingerprint, Instant now) const
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end()) {
        return Standing::Clear;
    }
    if (found->second.isConvicted() && now - *found->second.convictedAt < options_.memory) {
        return Standing::Convicted;
    }
    return successiveCrashes(evidence(found->second, now)) >= CRASHES_TO_SUSPECT ? Standing::Suspect : Standing::Clear;
}

milliseconds CrashAttribution::refusedFor(Fingerprint fingerprint, Instant now) const
{
    const auto found = suspects_.find(fingerprint);
    const bool convicted = found != suspects_.end() && found->second.isConvicted();
    return convicted ? options_.memory - between(*found->second.convictedAt, now) : milliseconds{0};
}

size_t CrashAttribution::crashes(Fingerprint fingerprint, Instant now) const
{
    const auto found = suspects_.find(fingerprint);
    return found == suspects_.end() ? 0 : successiveCrashes(evidence(found->second, now));
}

CrashNews CrashAttribution::toTell(Instant now)
{
    CrashNews news;
    const bool alsoOld = random_() % options_.oldNewsRounds == 0;
    const auto isNew = [&](Instant learntAt) { return now - learntAt <= options_.tellFor; };
    for (const auto &[fingerprint, suspect] : suspects_) {
        if (suspect.isConvicted() && (alsoOld || isNew(suspect.convictionLearntAt))) {
            news.convictions.push_back({fingerprint, between(*suspect.convictedAt, now)});
        }
        if (suspect.answeredAt && isNew(suspect.answerLearntAt)) {
            news.clearances.push_back({fingerprint, between(*suspect.answeredAt, now)});
        }
        const bool neededToConvict = !suspect.isConvicted() && suspect.sightings.size() >= CRASHES_TO_SUSPECT;
        for (const auto &[incarnation, sighting] : suspect.sightings) {
            if (isNew(sighting.learntAt) || (alsoOld && neededToConvict)) {
                news.sightings.push_back({fingerprint, incarnation, between(sighting.crashedAt, now), between(sighting.sentAt, sighting.crashedAt)});
            }
        }
    }
    // Sightings of one crash, and of crashes close to each other, are judged together and told together.
    std::ranges::sort(news.sightings, {}, [](const CrashSighting &sighting) { return std::tuple(sighting.age, sighting.incarnation, sighting.fingerprint); });
    limit(news.sightings);
    limit(news.clearances);
    limit(news.convictions);
    return news;
}

size_t CrashAttribution::suspects() const
{
    return suspects_.size();
}

size_t CrashAttribution::convictions(Instant now) const
{
    return static_cast<size_t>(std::ranges::count_if(suspects_, [&](const auto &entry) { return standing(entry.first, now) == Standing::Convicted; }));
}

CrashAttribution::Sightings CrashAttribution::evidence(const Suspect &suspect, Instant until) const
{
    Sightings counted;
    for (const auto &[incarnation, sighting] : suspect.sightings) {
        const bool isVoid = suspect.answeredAt && sighting.crashedAt <= *suspect.answeredAt;
        const bool isExplained = !suspect.isConvicted() && explained_.contains(incarnation);
        if (!isVoid && !isExplained && sighting.learntAt <= until && !hasCommonCause(suspect, sighting)) {
            counted.emplace(incarnation, sighting);
        }
    }
    return counted;
}

bool CrashAttribution::hasCommonCause(const Suspect &suspect, const Sighting &sighting) const
{
    size_t others = 0;
    auto crash = crashesByTime_.lower_bound({sighting.crashedAt - options_.commonCauseSpan, {}});
    for (; crash != crashesByTime_.end() && crash->first <= sighting.crashedAt + options_.commonCauseSpan; ++crash) {
        others += suspect.sightings.contains(crash->second) ? 0 : 1;
    }
    return others >= options_.commonCauseCrashes;
}

void CrashAttribution::noteCrash(const UpstreamIncarnation &incarnation, Instant crashedAt)
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
    if (crashesByTime_.size() > options_.mostCrashes) {
        crashes_.erase(crashesByTime_.begin()->second);
        crashesByTime_.erase(crashesByTime_.begin());
    }
}

void CrashAttribution::updateExplained()
{
    explained_.clear();
    for (const auto &[fingerprint, suspect] : suspects_) {
        if (suspect.isConvicted()) {
            for (const auto &[incarnation, sighting] : suspect.sightings) {
                explained_.insert(incarnation);
            }
        }
    }
}

bool CrashAttribution::hasRival(Fingerprint fingerprint, const Sightings &sightings, Instant until) const
{
    return std::ranges::any_of(suspects_, [&](const auto &entry) {
        if (entry.first == fingerprint || entry.second.isConvicted() || entry.second.sightings.size() < sightings.size()) {
            return false;
        }
        const Sightings theirs = evidence(entry.second, until);
        return std::ranges::all_of(sightings, [&](const auto &sighting) { return theirs.contains(sighting.first); });
    });
}

CrashAttribution::Suspect &CrashAttribution::suspectOf(Fingerprint fingerprint)
{
    if (suspects_.size() >= options_.mostSuspects && !suspects_.contains(fingerprint)) {
        // The one with the least evidence goes, of several the one whose last crash is the longest ago.
        const auto weight = [](const auto &entry) {
            Instant latest = Instant::min();
            for (const auto &[incarnation, sighting] : entry.second.sightings) {
                latest = std::max(latest, sighting.crashedAt);
            }
            return std::pair(entry.second.isConvicted() ? MOST_SIGHTINGS + 1 : entry.second.sightings.size(), latest);
        };
        suspects_.erase(std::ranges::min_element(suspects_, {}, weight));
    }
    return suspects_[fingerprint];
}

void CrashAttribution::note(Fingerprint fingerprint, const UpstreamIncarnation &incarnation, const Sighting &sighting)
{
    Suspect &suspect = suspectOf(fingerprint);
    if (const auto known = suspect.sightings.find(incarnation); known != suspect.sightings.end()) {
        // Delays on the way only make a crash seem later than it was.
        known->second.sentAt = std::min(known->second.sentAt, sighting.sentAt);
        known->second.crashedAt = std::min(known->second.crashedAt, sighting.crashedAt);
        noteCrash(incarnation, sighting.crashedAt);
        return;
    }
    if (suspect.sightings.size() >= MOST_SIGHTINGS) {
        const auto earliest = std::ranges::min_element(suspect.sightings, {}, [](const auto &entry) { return entry.second.crashedAt; });
        if (earliest->second.crashedAt >= sighting.crashedAt) {
            return;
        }
        suspect.sightings.erase(earliest);
    }
    suspect.sightings.emplace(incarnation, sighting);
    noteCrash(incarnation, sighting.crashedAt);
}

void CrashAttribution::forget(Instant now)
{
    for (auto &[fingerprint, suspect] : suspects_) {
        std::erase_if(suspect.sightings, [&](const auto &entry) { return now - entry.second.crashedAt >= options_.memory; });
        if (suspect.convictedAt && now - *suspect.convictedAt >= options_.memory) {
            suspect.convictedAt.reset();
        }
        if (suspect.answeredAt && now - *suspect.answeredAt >= options_.memory) {
            suspect.answeredAt.reset();
        }
    }
    while (!crashesByTime_.empty() && now - crashesByTime_.begin()->first >= options_.memory) {
        crashes_.erase(crashesByTime_.begin()->second);
        crashesByTime_.erase(crashesByTime_.begin());
    }
    std::erase_if(suspects_, [](const auto &entry) {
        const Suspect &suspect = entry.second;
        return suspect.sightings.empty() && !suspect.convictedAt && !suspect.answeredAt;
    });
}

template<typename Row>
void CrashAttribution::limit(std::vector<Row> &rows)
{
    if (rows.size() <= options_.mostTold) {
        return;
    }
    std::rotate(rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(random_() % rows.size()), rows.end());
    rows.resize(options_.mostTold);
}

} // namespace daisymount::crashattribution

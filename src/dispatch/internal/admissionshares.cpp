// Max-min fair division of the capacity.

#include "dispatch/admissionshares.h"

#include "framework/hash.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <limits>

namespace daisymount::dispatch
{

std::string_view toString(ShareReason reason)
{
    switch (reason) {
    case ShareReason::Room:
        return "room";
    case ShareReason::Share:
        return "share";
    case ShareReason::Returning:
        return "returning";
    case ShareReason::OverShare:
        return "over_share";
    case ShareReason::LowPriority:
        break;
    }
    return "low_priority";
}

namespace
{
/// Time constant of the measured rates: a burst of a few seconds shows within a second.
constexpr double RATE_TIME_S = 1.5;
/// Reports count in full up to the first age and not at all from the second one.
constexpr Duration REPORT_FRESH = milliseconds{2'000};
constexpr Duration REPORT_EXPIRY = milliseconds{5'000};
constexpr Duration ALLOCATION_INTERVAL = milliseconds{100};
/// Part of the capacity that each priority is assured of, if it asks for as much.
constexpr double ASSURED_PART = 0.1;
/// Part of a priority's share for callers that return too late for their objective.
constexpr double RETURNING_PART = 0.12;
/// Credits of an organisation are bounded, so that a quiet one does not collect a burst.
constexpr double MAX_CREDIT = 2.0;
/// Time by which callers of each less urgent priority return later, and the shortest time.
constexpr milliseconds RETRY_STEP{350};
constexpr milliseconds RETRY_MIN{250};
/// Callers accept a delay of up to a third of their remaining time; the rest is for the way.
constexpr double RETRY_MAX_FRACTION = 0.32;
constexpr double NEGLIGIBLE_RATE = 0.01;
/// Largest multiple of its equal part that an entry claims by its demand.
constexpr double MAX_SHARE_MULTIPLE = 4.0;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

uint32_t organisationHash(std::string_view organisation)
{
    return static_cast<uint32_t>(framework::hash64(organisation));
}
} // namespace

void AdmissionShares::Rate::add(Instant now)
{
    perSecond = value(now) + 1.0 / RATE_TIME_S;
    at = now;
}

double AdmissionShares::Rate::value(Instant now) const
{
    return perSecond * std::exp(-seconds(now - at) / RATE_TIME_S);
}

AdmissionShares::AdmissionShares(uint64_t seed) : random_(static_cast<unsigned>(seed))
{ }

void AdmissionShares::onArrival(const DemandKey &key, Instant now)
{
    OwnPriority &priority = own_[key.priority];
    if (key.returning) {
        priority.returning.add(now);
    } else {
        priority.organisations[organisationHash(key.organisation)].add(now);
    }
}

void AdmissionShares::onPeerDemand(std::string_view entry, const DemandReport &report, Instant now)
{
    auto found = peers_.find(entry);
    if (found == peers_.end()) {
        found = peers_.emplace(std::string(entry), PeerReport{}).first;
    }
    found->second = {report, now};
}

void AdmissionShares::setEntries(int entries)
{
    entries_ = std::max(1, entries);
}

void AdmissionShares::setCapacity(double perSecond, Instant now)
{
    capacity_ = perSecond;
    if (now - allocatedAt_ >= ALLOCATION_INTERVAL) {
        allocate(now);
    }
}

DemandReport AdmissionShares::report(Instant now) const
{
    DemandReport report;
    for (const auto &[value, own] : own_) {
        DemandReport::Priority priority{value, 0.0, own.returning.value(now), {}};
        for (const auto &[hash, rate] : own.organisations) {
            const double perSecond = rate.value(now);
            priority.perSecond += perSecond;
            if (perSecond >= NEGLIGIBLE_RATE) {
                priority.largest.push_back({hash, perSecond});
            }
        }
        std::ranges::sort(priority.largest, std::greater{}, &DemandReport::Organisation::perSecond);
        if (priority.largest.size() > DemandReport::MAX_ORGANISATIONS) {
            priority.largest.resize(DemandReport::MAX_ORGANISATIONS);
        }
        report.priorities.push_back(std::move(priority));
    }
    return report;
}

double AdmissionShares::reportWeight(const PeerReport &report, Instant now)
{
    const Duration age = now - report.heardAt;
    if (age <= REPORT_FRESH) {
        return 1.0;
    }
    return std::max(0.0, 1.0 - seconds(age - REPORT_FRESH) / seconds(REPORT_EXPIRY - REPORT_FRESH));
}

std::map<int, AdmissionShares::Allocation> AdmissionShares::totalDemand(Instant now) const
{
    // Entries that were not heard are assumed to have the mean demand of the others.
    double heard = 1.0;
    for (const auto &[name, peer] : peers_) {
        heard += reportWeight(peer, now);
    }
    const double scale = std::max(1.0, entries_ / heard);
    std::map<int, Allocation> total;
    const auto add = [&](const DemandReport &report, double weight) {
        for (const DemandReport::Priority &priority : report.priorities) {
            Allocation &allocation = total[priority.priority];
            allocation.demand += scale * weight * priority.perSecond;
            allocation.returningDemand += scale * weight * priority.returningPerSecond;
            for (const DemandReport::Organisation &organisation : priority.largest) {
                allocation.organisations[organisation.hash] += scale * weight * organisation.perSecond;
            }
        }
    };
    add(report(now), 1.0);
    for (const auto &[name, peer] : peers_) {
        add(peer.report, reportWeight(peer, now));
    }
    return total;
}

void AdmissionShares::divide(Allocation &allocation, double perSecond)
{
    allocation.fraction = allocation.demand > 0.0 ? std::min(1.0, perSecond / allocation.demand) : 1.0;
    allocation.largestShare = std::numeric_limits<double>::infinity();
    if (allocation.fraction >= 1.0) {
        return;
    }
    // Water filling: the smallest demands are served in full until the rest, in equal parts, is below the next one.
    std::vector<double> demands;
    double listed = 0.0;
    for (const auto &[hash, demand] : allocation.organisations) {
        demands.push_back(demand);
        listed += demand;
    }
    std::ranges::sort(demands);
    // Organisations that no entry lists are small: they are served in full as long as the listed ones keep as much as they would by demand.
    const double unlisted = std::max(0.0, allocation.demand - listed);
    double rest = std::max(perSecond - unlisted, perSecond * listed / std::max(allocation.demand, NEGLIGIBLE_RATE));
    for (size_t i = 0; i < demands.size(); ++i) {
        const double equalPart = rest / static_cast<double>(demands.size() - i);
        if (demands[i] >= equalPart) {
            allocation.largestShare = equalPart;
            return;
        }
        rest -= demands[i];
    }
}

void AdmissionShares::allocate(Instant now)
{
    allocatedAt_ = now;
    std::erase_if(peers_, [&](const auto &entry) { return now - entry.second.heardAt > REPORT_EXPIRY; });
    allocations_ = totalDemand(now);
    if (capacity_ <= 0.0) {
        allocations_.clear();
        return;
    }
    double assuredSum = 0.0;
    for (const auto &[priority, allocation] : allocations_) {
        assuredSum += std::min(ASSURED_PART * capacity_, allocation.demand);
    }
    double rest = std::max(0.0, capacity_ - assuredSum);
    double highest = 1.0; // A less urgent priority is never served more often than a more urgent one.
    for (auto &[priority, allocation] : allocations_) {
        const double assured = std::min(ASSURED_PART * capacity_, allocation.demand);
        const double extra = std::min(std::max(0.0, allocation.demand - assured), rest);
        rest -= extra;
        double share = std::min(assured + extra, highest * allocation.demand);
        // Late callers get a part of the share, and what the priority leaves of the capacity.
        const double forReturning = std::min(allocation.returningDemand, std::max(RETURNING_PART * share, rest));
        const bool fromShare = forReturning > rest;
        if (fromShare) {
            share -= forReturning - rest;
        }
        rest = std::max(0.0, rest - forReturning);
        allocation.returningFraction = allocation.returningDemand > NEGLIGIBLE_RATE ? forReturning / allocation.returningDemand : 1.0;
        divide(allocation, share);
        highest = std::min(highest, allocation.fraction);
    }
}

double AdmissionShares::ownShare(Instant now) const
{
    double own = 0.0;
    for (const DemandReport::Priority &priority : report(now).priorities) {
        own += priority.perSecond + priority.returningPerSecond;
    }
    double total = 0.0;
    for (const auto &[priority, allocation] : allocations_) {
        total += allocation.demand + allocation.returningDemand;
    }
    const double equal = 1.0 / entries_;
    if (total <= NEGLIGIBLE_RATE || entries_ == 1) {
        return equal;
    }
    // Half by equal parts: the demand of a short time at one of many entries is mostly chance.
    return std::min(1.0, 0.5 * equal + 0.5 * std::min(own / total, MAX_SHARE_MULTIPLE * equal));
}

milliseconds AdmissionShares::retryAfter(int priority, Duration left)
{
    const auto moreUrgent = std::ranges::count_if(own_, [&](const auto &entry) { return entry.first < priority; });
    const auto longest = milliseconds{static_cast<int64_t>(RETRY_MAX_FRACTION * 1'000.0 * std::max(0.0, seconds(left)))};
    const milliseconds earliest = std::min(longest, RETRY_MIN + RETRY_STEP * moreUrgent);
    return std::uniform_int_distribution<int64_t>(earliest.count(), longest.count())(random_) * milliseconds{1};
}

ShareDecision AdmissionShares::admit(const DemandKey &key, Duration left, Instant now)
{
    if (now - allocatedAt_ >= ALLOCATION_INTERVAL) {
        allocate(now);
    }
    const auto found = allocations_.find(key.priority);
    if (found == allocations_.end()) {
        return {};
    }
    const Allocation &allocation = found->second;
    OwnPriority &own = own_[key.priority];
    const uint32_t hash = organisationHash(key.organisation);
    double fraction = allocation.returningFraction;
    double *credit = &own.returningCredit;
    if (!key.returning) {
        const auto demand = allocation.organisations.find(hash);
        fraction = demand == allocation.organisations.end() ? 1.0 : std::min(1.0, allocation.largestShare / std::max(demand->second, NEGLIGIBLE_RATE));
        credit = &own.credits.try_emplace(hash, 1.0).first->second;
    }
    if (fraction >= 1.0) {
        return {true, key.returning ? ShareReason::Returning : ShareReason::Room, milliseconds{0}, 1.0};
    }
    *credit = std::min(MAX_CREDIT, *credit + fraction);
    if (*credit >= 1.0) {
        *credit -= 1.0;
        return {true, key.returning ? ShareReason::Returning : ShareReason::Share, milliseconds{0}, fraction};
    }
    const ShareReason reason = fraction < allocation.fraction ? ShareReason::OverShare : ShareReason::LowPriority;
    return {false, reason, retryAfter(key.priority, left), fraction};
}

} // namespace daisymount::dispatch

// Combines concurrency limits, shares and the choice of a group.

#include "dispatch/serviceadmission.h"

#include <algorithm>

namespace daisymount::dispatch
{

namespace
{
/// Weight divisor of one measurement in the usual durations.
constexpr int DURATION_WEIGHT_DIVISOR = 16;
/// Multiple of the usual time to the first event for which a request has to be sent before its objective ends.
constexpr double FIRST_EVENT_MARGIN = 1.3;
/// Assumed time to the first event before one was measured, as a fraction of the objective.
constexpr double ASSUMED_FIRST_EVENT = 0.4;
constexpr Duration CORRECTION_INTERVAL = milliseconds{250};
constexpr double CORRECTION_DOWN = 0.93;
constexpr double CORRECTION_UP = 1.05;
constexpr double MIN_CORRECTION = 0.5;
constexpr double MAX_CORRECTION = 1.5;
/// The capacity is taken for larger than estimated if the entry uses less than this fraction of its part while shares refuse requests.
constexpr double USED_FRACTION = 0.85;
/// Time after which a priority that nobody asks for keeps no headroom.
constexpr Duration PRIORITY_RETENTION = framework::seconds{10};
/// A stream has this many passes, each of this fraction of the permitted pause, before a duration was measured.
constexpr double ASSUMED_PASS_FRACTION = 0.6;

void average(Duration &mean, Duration sample)
{
    mean = mean.count() == 0 ? sample : mean + (sample - mean) / DURATION_WEIGHT_DIVISOR;
}
} // namespace

ServiceAdmission::ServiceAdmission(const ServiceAdmissionOptions &options)
    : options_(options), shares_(options.seed), retryDelay_(options.seed), random_(static_cast<unsigned>(options.seed))
{ }

void ServiceAdmission::onArrival(const AdmissionRequest &request, Instant now)
{
    priorities_[request.key.priority] = now;
    std::erase_if(priorities_, [&](const auto &entry) { return now - entry.second > PRIORITY_RETENTION; });
    shares_.onArrival(request.key, now);
}

void ServiceAdmission::onPass(std::string_view group, Duration passTime, int inFlight, Instant now)
{
    const auto found = limiters_.find(group);
    if (found != limiters_.end()) {
        found->second.onPass(passTime, inFlight, now);
    }
}

void ServiceAdmission::onFirstEvent(Duration sinceSent)
{
    average(usualFirstEvent_, sinceSent);
}

void ServiceAdmission::onCompleted(Duration sinceSent)
{
    average(usualDuration_, sinceSent);
}

void ServiceAdmission::onGroupReopened(std::string_view group, Instant now)
{
    const auto found = limiters_.find(group);
    if (found != limiters_.end()) {
        found->second.onReopened(now);
    }
}

void ServiceAdmission::onPeerDemand(std::string_view entry, const DemandReport &report, Instant now)
{
    shares_.onPeerDemand(entry, report, now);
}

void ServiceAdmission::setEntries(int entries)
{
    shares_.setEntries(entries);
}

DemandReport ServiceAdmission::demand(Instant now) const
{
    return shares_.report(now);
}

const std::map<std::string, ConcurrencyDecision, std::less<>> &ServiceAdmission::limits() const
{
    return limits_;
}

const ServiceAdmission::Room &ServiceAdmission::room() const
{
    return room_;
}

ServiceAdmission::Room ServiceAdmission::updateLimits(std::span<const GroupView> groups, Instant now)
{
    Room room;
    for (const GroupView &group : groups) {
        auto limiter = limiters_.find(group.key);
        if (limiter == limiters_.end()) {
            limiter = limiters_.emplace(group.key, ConcurrencyLimit({})).first;
        }
        limiter->second.onInFlight(group.inFlight);
        const ConcurrencyDecision decision = limiter->second.decide(group.capacity, now);
        limits_[group.key] = decision;
        if (group.usable) {
            room.limit += decision.limit;
            room.ownInFlight += group.ownInFlight;
            room.inFlight += group.inFlight;
        }
    }
    room.ownLimit = room.limit * shares_.ownShare(now);
    if (!groups.empty()) {
        updateCapacity(room, groups.front().capacity, now);
    }
    room_ = room;
    return room;
}

void ServiceAdmission::updateCapacity(Room &room, const GroupCapacity &capacity, Instant now)
{
    if (now - correctedAt_ >= CORRECTION_INTERVAL) {
        if (shortOfRoom_) {
            capacityCorrection_ *= CORRECTION_DOWN;
        } else if (shareRefused_ && room.ownInFlight < USED_FRACTION * room.ownLimit) {
            capacityCorrection_ *= CORRECTION_UP;
        }
        capacityCorrection_ = std::clamp(capacityCorrection_, MIN_CORRECTION, MAX_CORRECTION);
        correctedAt_ = now;
        shortOfRoom_ = false;
        shareRefused_ = false;
    }
    const double passes = capacity.engine.usualAnswerTokens / std::max(1, capacity.engine.stepsPerPass) + 2.0;
    const double assumed = passes * ASSUMED_PASS_FRACTION * std::chrono::duration<double>(capacity.pauseObjective).count();
    const double duration = usualDuration_.count() > 0 ? std::chrono::duration<double>(usualDuration_).count() : assumed;
    room.capacity = duration > 0.0 ? capacityCorrection_ * room.limit / duration : 0.0;
    shares_.setCapacity(room.capacity, now);
}

double ServiceAdmission::ownRoom(const GroupView &group, const AdmissionRequest &request, Instant now) const
{
    const auto found = limits_.find(group.key);
    if (!group.usable || found == limits_.end()) {
        return 0.0;
    }
    const auto moreUrgent = std::ranges::count_if(priorities_, [&](const auto &entry) { return entry.first < request.key.priority; });
    const double headroom = options_.priorityHeadroom * static_cast<double>(moreUrgent + (request.key.returning ? 1 : 0));
    const double limit = found->second.limit * std::max(0.0, 1.0 - headroom);
    const bool hasRoom = group.inFlight < options_.roomFraction * limit;
    const double own = std::max(1.0, limit * shares_.ownShare(now) * (hasRoom ? options_.lending : 1.0));
    return std::max(0.0, own - group.ownInFlight);
}

Duration ServiceAdmission::maxWait(const AdmissionRequest &request) const
{
    const Duration objectiveLeft = request.objective - request.sinceFirstAttempt;
    if (request.objective.count() > 0 && objectiveLeft.count() <= 0) {
        return options_.maxLateWait;
    }
    const Duration firstEvent = usualFirstEvent_.count() > 0 ? std::chrono::duration_cast<Duration>(usualFirstEvent_ * FIRST_EVENT_MARGIN)
                                                             : std::chrono::duration_cast<Duration>(request.objective * ASSUMED_FIRST_EVENT);
    return std::max<Duration>(Duration{0}, objectiveLeft - firstEvent);
}

std::string ServiceAdmission::pick(std::span<const GroupView> groups, std::span<const double> weights)
{
    double total = 0.0;
    for (const double weight : weights) {
        total += weight;
    }
    if (total <= 0.0) {
        return {};
    }
    double point = std::uniform_real_distribution<double>(0.0, total)(random_);
    for (size_t i = 0; i < weights.size(); ++i) {
        point -= weights[i];
        if (weights[i] > 0.0 && point <= 0.0) {
            return groups[i].key;
        }
    }
    const auto last = std::ranges::find_if(weights.rbegin(), weights.rend(), [](double weight) { return weight > 0.0; });
    return groups[static_cast<size_t>(std::distance(last, weights.rend())) - 1].key;
}

ServiceDecision ServiceAdmission::refuse(const AdmissionRequest &request, std::string_view reason, const Room &room)
{
    milliseconds retryAfter = request.share ? request.share->retryAfter : milliseconds{0};
    if (retryAfter.count() == 0) {
        retryAfter = retryDelay_.choose(RefusalCause::Busy, request.left);
    }
    return {Admission::Refuse, {}, retryAfter, reason, room.limit, room.ownLimit, room.capacity, room.fill()};
}

ServiceDecision ServiceAdmission::decide(AdmissionRequest &request, std::span<const GroupView> groups, Instant now)
{
    const Room room = updateLimits(groups, now);
    if (std::ranges::none_of(groups, [](const GroupView &group) { return group.usable; })) {
        // Callers return once: the first attempt is rejected, the return waits as long as it can still be served.
        if (request.key.returning && request.waited < options_.outageWait) {
            return {Admission::Wait, {}, milliseconds{0}, "outage", 0.0, 0.0};
        }
        return {Admission::Refuse, {}, retryDelay_.choose(RefusalCause::Outage, request.left), "outage", 0.0, 0.0};
    }
    if (!request.share) {
        request.share = shares_.admit(request.key, request.left, now);
    }
    if (!request.share->admit && room.fill() >= options_.openFill) {
        shareRefused_ = true;
        return refuse(request, toString(request.share->reason), room);
    }
    std::vector<double> weights;
    for (const GroupView &group : groups) {
        weights.push_back(ownRoom(group, request, now));
    }
    std::string chosen = pick(groups, weights);
    if (!chosen.empty()) {
        return {Admission::Admit, std::move(chosen), milliseconds{0}, toString(request.share->reason), room.limit, room.ownLimit, room.capacity, room.fill()};
    }
    if (request.waited < maxWait(request)) {
        return {Admission::Wait, {}, milliseconds{0}, "no_room", room.limit, room.ownLimit, room.capacity, room.fill()};
    }
    shortOfRoom_ = true;
    return refuse(request, "no_room", room);
}

std::string ServiceAdmission::chooseOtherGroup(std::span<const GroupView> groups, std::string_view avoided, Instant now)
{
    const AdmissionRequest retry{};
    std::vector<double> weights;
    for (const GroupView &group : groups) {
        weights.push_back(group.key == avoided ? 0.0 : ownRoom(group, retry, now));
    }
    return pick(groups, weights);
}

} // namespace daisymount::dispatch

// Admission core.

#include "admission/admissioncontroller.h"

#include <algorithm>

namespace daisymount::admission
{

using framework::milliseconds;
using framework::ResultCode;

namespace
{
constexpr double SERVICE_WEIGHT = 0.1;
constexpr Duration MIN_RETRY_AFTER = milliseconds{100};
constexpr Duration OUT_OF_SERVICE_RETRY_AFTER = milliseconds{1000};

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}
} // namespace

AdmissionController::AdmissionController(const config::AdmissionLimits &limits, Instant now)
    : limits_(limits), limit_(limits.coldConcurrency), tokenBalance_(static_cast<double>(limits.tokensPerSecond)), tokensAt_(now)
{ }

void AdmissionController::setLimits(const config::AdmissionLimits &limits)
{
    const bool wasWarm = !isCold();
    limits_ = limits;
    limit_ = wasWarm ? limits.warmConcurrency : std::clamp(limit_, limits.coldConcurrency, limits.warmConcurrency);
}

void AdmissionController::setOutOfService(bool out)
{
    if (out_ && !out) {
        goCold(ColdReason::ReturnedToService);
    }
    out_ = out;
}

void AdmissionController::setColdHook(ColdHook hook)
{
    coldHook_ = std::move(hook);
}

void AdmissionController::goCold(ColdReason reason)
{
    limit_ = limits_.coldConcurrency;
    rampProgress_ = 0;
    detector_.reset();
    for (auto &[attempt, running] : running_) {
        running.countsForRamp = false;
    }
    if (coldHook_) {
        coldHook_(reason, limit_);
    }
}

Decision AdmissionController::refusal(ResultCode code) const
{
    Duration retryAfter = std::max(MIN_RETRY_AFTER, expectedService() / std::max<int64_t>(1, limit_));
    if (code == ResultCode::ZoneOutOfService) {
        retryAfter = OUT_OF_SERVICE_RETRY_AFTER;
    }
    return {Verdict::Refused, code, retryAfter};
}

ResultCode AdmissionController::fullCode() const
{
    return isCold() ? ResultCode::ColdLimit : ResultCode::UpstreamFull;
}

Duration AdmissionController::expectedService() const
{
    return Duration{static_cast<int64_t>(serviceMs_ * 1000.0)};
}

bool AdmissionController::exclusiveRunning() const
{
    return std::any_of(running_.begin(), running_.end(), [](const auto &item) { return item.second.exclusive; });
}

bool AdmissionController::hasTokens() const
{
    return limits_.tokensPerSecond == 0 || tokenBalance_ > 0.0;
}

bool AdmissionController::hasSlot(const Offer &offer) const
{
    if (offer.exclusive) {
        return running_.empty();
    }
    return inFlight() < limit_ && hasTokens() && !exclusiveRunning();
}

bool AdmissionController::meetsDeadline(const Offer &offer, Instant now) const
{
    const auto ahead = std::count_if(queue_.begin(), queue_.end(), [&](const Offer &other) { return !before(offer, other); });
    const Duration wait = expectedService() * (ahead + 1) / std::max<int64_t>(1, limit_);
    return now + wait < offer.deadline;
}

bool AdmissionController::before(const Offer &left, const Offer &right)
{
    if (left.exclusive != right.exclusive) {
        return left.exclusive;
    }
    if (left.priority != right.priority) {
        return left.priority > right.priority;
    }
    return left.deadline < right.deadline;
}

void AdmissionController::refillTokens(Instant now)
{
    if (limits_.tokensPerSecond > 0 && now > tokensAt_) {
        const double rate = static_cast<double>(limits_.tokensPerSecond);
        tokenBalance_ = std::min(rate, tokenBalance_ + rate * std::chrono::duration<double>(now - tokensAt_).count());
    }
    tokensAt_ = std::max(tokensAt_, now);
}

void AdmissionController::start(const Offer &offer, Instant now)
{
    const bool countsForRamp = 2 * (inFlight() + 1) >= limit_;
    running_[offer.attempt] = {now, offer.exclusive, countsForRamp};
}

Decision AdmissionController::offer(const Offer &offer, Instant now)
{
    refillTokens(now);
    if (out_) {
        return refusal(ResultCode::ZoneOutOfService);
    }
    if (offer.deadline <= now) {
        return refusal(ResultCode::DeadlinePassed);
    }
    const bool mustWait = !queue_.empty() && !before(offer, queue_.front());
    if (!mustWait && hasSlot(offer)) {
        start(offer, now);
        return {Verdict::Admitted, ResultCode::Ok, Duration{0}};
    }
    if (!meetsDeadline(offer, now)) {
        return refusal(fullCode());
    }
    return enqueue(offer);
}

Decision AdmissionController::enqueue(const Offer &offer)
{
    if (static_cast<int64_t>(queue_.size()) >= limits_.queueLength) {
        return refusal(fullCode());
    }
    const auto position = std::upper_bound(queue_.begin(), queue_.end(), offer, before);
    queue_.insert(position, offer);
    return {Verdict::Queued, ResultCode::Ok, Duration{0}};
}

PollResult AdmissionController::poll(Instant now)
{
    refillTokens(now);
    PollResult result;
    std::vector<Offer> waiting;
    waiting.swap(queue_);
    bool blocked = false;
    for (const Offer &offer : waiting) {
        if (out_) {
            result.refused.emplace_back(offer.attempt, refusal(ResultCode::ZoneOutOfService));
        } else if (offer.deadline <= now) {
            result.refused.emplace_back(offer.attempt, refusal(ResultCode::DeadlinePassed));
        } else if (!blocked && hasSlot(offer)) {
            start(offer, now);
            result.admitted.push_back(offer.attempt);
        } else {
            blocked = true;
            queue_.push_back(offer);
        }
    }
    return result;
}

void AdmissionController::cancel(AttemptId attempt)
{
    running_.erase(attempt);
    std::erase_if(queue_, [attempt](const Offer &offer) { return offer.attempt == attempt; });
}

void AdmissionController::onFirstToken(AttemptId attempt, Instant now)
{
    const auto found = running_.find(attempt);
    if (found == running_.end()) {
        return;
    }
    if (detector_.observe(now - found->second.startedAt) && !isCold()) {
        goCold(ColdReason::LatencyJump);
    }
}

void AdmissionController::onTokens(int64_t count, Instant now)
{
    refillTokens(now);
    tokenBalance_ -= static_cast<double>(count);
}

void AdmissionController::onFinished(AttemptId attempt, bool succeeded, Instant now)
{
    const auto found = running_.find(attempt);
    if (found == running_.end()) {
        return;
    }
    const Running running = found->second;
    running_.erase(found);
    if (!succeeded) {
        return;
    }
    const double sample = toMilliseconds(now - running.startedAt);
    serviceMs_ = serviceMs_ <= 0.0 ? sample : serviceMs_ + SERVICE_WEIGHT * (sample - serviceMs_);
    if (!isCold() || !running.countsForRamp) {
        return;
    }
    if (++rampProgress_ >= limits_.rampCompletions) {
        rampProgress_ = 0;
        ++limit_;
    }
}

void AdmissionController::onEngineRestarted()
{
    running_.clear();
    goCold(ColdReason::EngineRestarted);
}

Instant AdmissionController::nextDeadline() const
{
    Instant earliest = Instant::max();
    for (const Offer &offer : queue_) {
        earliest = std::min(earliest, offer.deadline);
    }
    return earliest;
}

routing::LoadHint AdmissionController::hint() const
{
    return {inFlight(), static_cast<int64_t>(queue_.size()), limit_, isCold(), 0};
}

int64_t AdmissionController::limit() const
{
    return limit_;
}

int64_t AdmissionController::inFlight() const
{
    return static_cast<int64_t>(running_.size());
}

bool AdmissionController::isCold() const
{
    return limit_ < limits_.warmConcurrency;
}

} // namespace daisymount::admission

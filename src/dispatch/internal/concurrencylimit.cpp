// Model of the pass time and the limit derived from it.

#include "dispatch/concurrencylimit.h"

#include <algorithm>

namespace daisymount::dispatch
{

std::string_view toString(LimitReason reason)
{
    switch (reason) {
    case LimitReason::Unmeasured:
        return "unmeasured";
    case LimitReason::PassTime:
        return "pass_time";
    case LimitReason::Growing:
        return "growing";
    case LimitReason::Slots:
        return "slots";
    case LimitReason::Floor:
        break;
    }
    return "floor";
}

Duration modelledPassTime(const GroupCapacity &capacity, double inFlight)
{
    const fleet::EngineProfile &engine = capacity.engine;
    const double perRank = inFlight / std::max(1, capacity.ranks);
    const double contextThousands = (engine.usualPromptTokens + engine.usualAnswerTokens / 2.0) / 1'000.0;
    const double stepMs = engine.stepMs + perRank * (engine.stepMsPerSequence + engine.stepMsPerThousandContextTokens * contextThousands);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(stepMs * std::max(1, engine.stepsPerPass)));
}

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitOptions &options) : options_(options)
{ }

void ConcurrencyLimit::onPass(Duration /*passTime*/, int inFlight, Instant /*now*/)
{
    inFlight_ = inFlight;
}

void ConcurrencyLimit::onReopened(Instant /*now*/)
{
    windows_.clear();
    limit_ = 0.0;
}

ConcurrencyDecision ConcurrencyLimit::decide(const GroupCapacity &capacity, Instant /*now*/)
{
    return {static_cast<double>(capacity.engine.slots) * capacity.ranks, LimitReason::Slots, Duration{0}};
}

} // namespace daisymount::dispatch

// Execution guard.

#include "claims/executionguard.h"

namespace daisymount::claims
{

ExecutionGuard::ExecutionGuard(uint64_t incarnation, framework::Duration memory) : incarnation_(incarnation), memory_(memory)
{ }

StartVerdict ExecutionGuard::start(std::string_view key, uint64_t addressedTo, framework::Instant now)
{
    if (addressedTo != incarnation_) {
        return StartVerdict::WrongIncarnation;
    }
    const auto [state, inserted] = keys_.try_emplace(std::string(key), KeyState{false, now});
    if (inserted) {
        return StartVerdict::Start;
    }
    return state->second.revoked ? StartVerdict::Revoked : StartVerdict::AlreadyStarted;
}

RevokeVerdict ExecutionGuard::revoke(std::string_view key, uint64_t addressedTo, framework::Instant now)
{
    if (addressedTo != incarnation_) {
        return RevokeVerdict::Unknown;
    }
    const auto [state, inserted] = keys_.try_emplace(std::string(key), KeyState{true, now});
    if (!inserted && !state->second.revoked) {
        return RevokeVerdict::Started;
    }
    state->second.at = now;
    return RevokeVerdict::NeverStarts;
}

void ExecutionGuard::withdraw(std::string_view key)
{
    const auto found = keys_.find(key);
    if (found != keys_.end() && !found->second.revoked) {
        keys_.erase(found);
    }
}

void ExecutionGuard::expire(framework::Instant now)
{
    std::erase_if(keys_, [&](const auto &item) { return item.second.at + memory_ < now; });
}

uint64_t ExecutionGuard::incarnation() const
{
    return incarnation_;
}

size_t ExecutionGuard::size() const
{
    return keys_.size();
}

} // namespace daisymount::claims

// Order of the candidates for the control of maps.

#include "gateway/controlcandidates.h"

#include <algorithm>
#include <tuple>

namespace daisymount::gateway
{

bool shouldAcquireControl(const ControlCandidate &self, std::span<const ControlCandidate> others)
{
    const auto order = [](const ControlCandidate &candidate) { return std::tuple(-candidate.processorShare, candidate.name); };
    return std::ranges::none_of(others, [&](const ControlCandidate &other) { return other.controls || order(other) < order(self); });
}

bool ControlHandover::isDue(const ControlCandidate &self, std::span<const ControlCandidate> others, framework::Instant now)
{
    const bool stronger
        = std::ranges::any_of(others, [&](const ControlCandidate &other) { return other.processorShare >= STRONGER_RATIO * self.processorShare; });
    if (!stronger) {
        strongerSince_.reset();
        return false;
    }
    strongerSince_ = strongerSince_.value_or(now);
    return now - *strongerSince_ >= STRONGER_FOR;
}

} // namespace daisymount::gateway

// Growth of the window by prompt answers.

#include "dispatch/rampup.h"

#include <algorithm>

namespace daisymount::dispatch
{

namespace
{
/// Fraction of the slots that all entries together use first.
constexpr double FIRST_FRACTION = 0.34;
/// Time after which each further set of entries joins: several answers of a service whose requests take some tens of milliseconds.
constexpr Duration JOIN_INTERVAL = milliseconds{300};
/// An answer within this multiple of the usual time is prompt.
constexpr int PROMPT_MULTIPLE = 2;
/// Time within which an answer is prompt while the usual time is unknown.
constexpr Duration ASSUMED_USUAL = milliseconds{250};
} // namespace

void RampUp::begin(const RampUpView &view, uint64_t position, Instant now)
{
    view_ = view;
    active_ = true;
    hasAnswered_ = false;
    window_ = 1;
    const auto first = static_cast<uint64_t>(std::max(1.0, FIRST_FRACTION * view.slots));
    // The sets double, like the windows of the entries that have begun.
    joinsAt_ = now;
    for (uint64_t joined = first; joined <= position; joined *= 2) {
        joinsAt_ += JOIN_INTERVAL;
    }
}

bool RampUp::isActive() const
{
    return active_;
}

int RampUp::window(Instant now) const
{
    return now >= joinsAt_ ? window_ : 0;
}

bool RampUp::allows(int inFlight, Instant now) const
{
    return !active_ || inFlight < window(now);
}

void RampUp::onAnswer(Duration sinceSent, Instant /*now*/)
{
    if (!active_) {
        return;
    }
    const Duration usual = view_.usualAnswer.count() > 0 ? view_.usualAnswer : ASSUMED_USUAL;
    if (sinceSent > PROMPT_MULTIPLE * usual) {
        window_ = std::max(1, window_ / 2);
        return;
    }
    // The first answer shows that the upstream works; each further one doubles the window.
    window_ *= hasAnswered_ ? 2 : 1;
    hasAnswered_ = true;
    active_ = window_ < view_.slots;
}

void RampUp::onFailure(Instant now)
{
    if (active_) {
        window_ = 1;
        hasAnswered_ = false;
        joinsAt_ = std::max<Instant>(joinsAt_, now + JOIN_INTERVAL);
    }
}

} // namespace daisymount::dispatch

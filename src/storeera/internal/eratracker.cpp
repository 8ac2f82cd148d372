// Raises the current era.

#include "storeera/eratracker.h"

#include <utility>

namespace daisymount::storeera
{

AnswerEra EraTracker::onAnswer(int64_t era, std::string_view call)
{
    raise(era, call);
    return era < current_ ? AnswerEra::Outdated : AnswerEra::Current;
}

void EraTracker::onPeerEra(int64_t era, std::string_view peer)
{
    raise(era, peer);
}

int64_t EraTracker::current() const
{
    return current_;
}

void EraTracker::raise(int64_t era, std::string_view toldBy)
{
    if (era > current_) {
        const int64_t before = std::exchange(current_, era);
        onNewEra(before, era, toldBy);
    }
}

} // namespace daisymount::storeera

// Evaluates the ends of the calls to the store.

#include "gateway/storeoutage.h"

#include <algorithm>

namespace daisymount::gateway
{

bool StoreOutage::onAnswered(framework::Instant now)
{
    const bool ended = lastAnswerAt_ != framework::Instant{0} && isOut();
    lastAnswerAt_ = now;
    unansweredCalls_ = 0;
    return ended;
}

void StoreOutage::onUnanswered(framework::Instant askedAt, framework::Instant now)
{
    // Another call may have been answered while this one waited.
    unansweredSince_ = unansweredCalls_ == 0 ? std::max(askedAt, lastAnswerAt_) : unansweredSince_;
    ++unansweredCalls_;
    lastUnansweredAt_ = now;
}

bool StoreOutage::isOut() const
{
    return unansweredCalls_ >= MIN_CALLS && lastUnansweredAt_ - unansweredSince_ > MIN_LENGTH;
}

framework::Instant StoreOutage::lastAnswerAt() const
{
    return lastAnswerAt_;
}

} // namespace daisymount::gateway

// Tells an outage of the platform's store from calls that failed for a reason of their own, and from a time without calls.
//
// Expected load: a few calls a second at a gateway that reads the upstreams itself, one in two seconds at one that relies on another, and
// watches that are cut or whose connection has died.

#pragma once

#include "framework/clock.h"

namespace daisymount::gateway
{

class StoreOutage
{
public:
    /// A call was answered. Returns true if this ends an outage.
    bool onAnswered(framework::Instant now);
    /// A call that began at @p askedAt ended without an answer.
    void onUnanswered(framework::Instant askedAt, framework::Instant now);
    /// True if several calls in a row went unanswered for so long that registrations may have lapsed.
    bool isOut() const;
    /// When the store last answered; 0 if it never did.
    framework::Instant lastAnswerAt() const;

    /// Upstreams renew their registrations every 1.2 s and lose them after 3.6 s, so a shorter outage ends none.
    static constexpr framework::milliseconds MIN_LENGTH{2'400};
    /// A single call fails with its connection.
    static constexpr int MIN_CALLS = 2;

private:
    framework::Instant lastAnswerAt_{0};
    int unansweredCalls_ = 0; ///< In a row since lastAnswerAt_.
    framework::Instant unansweredSince_{0}; ///< When the first of them began, but not before lastAnswerAt_.
    framework::Instant lastUnansweredAt_{0}; ///< When the last of them ended.
};

} // namespace daisymount::gateway

// Whether a request for a service with lock-step engines is let in now, waits a moment, or is refused at once.
//
// Load: groups near their capacity, whose passes lengthen for every stream with each request that is let in, and group outages of a few
// seconds while a rank is away.

#pragma once

#include "framework/clock.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>

namespace daisymount::dispatch
{

using framework::Duration;
using framework::Instant;
using framework::milliseconds;

struct AdmissionOptions
{
    double slotFraction = 11.0 / 12.0; ///< Of the engines' slots that fresh callers may take, over all entries; the rest is for those who
                                       ///< come back and would not come a third time.
    double slotFractionUnknownPassTime = 2.0 / 3.0; ///< Of a group whose passes have not been seen: it may have formed anew, with experts in turn.
    double entryShareUnknownPassTime = 1.25; ///< Of its even share of the places that one entry may take before it has seen passes.
    milliseconds maxRetryWait{1'300}; ///< Callers leave after two seconds without an event; the first one takes up to 0.6 s.
    milliseconds maxWait{110}; ///< For a place; a stream that waits this long still gets its first event in time.
    milliseconds typicalServiceTime{2'200}; ///< That a usual stream needs once it is let in.
};

struct AdmissionView
{
    int inFlight = 0; ///< Over all entries, as far as known.
    int ownInFlight = 0; ///< Of this entry.
    int entries = 1; ///< That take callers, this one among them.
    int engines = 0;
    int slotsPerEngine = 0;
    bool passTimeKnown = false; ///< This entry's streams have had events lately.
    bool groupDown = false; ///< The group has lost a rank and makes no passes.
    bool isRetry = false; ///< The caller was refused before.
    Duration waited{0};
    Duration left{0}; ///< Until the request's deadline.
};

enum class Admission : uint8_t {
    Admit,
    Wait,
    Refuse,
};

struct AdmissionDecision
{
    Admission admission = Admission::Admit;
    milliseconds retryAfter{0}; ///< With Refuse: within the third of its time that a caller is willing to wait.
};

class EngineAdmission
{
public:
    EngineAdmission(const AdmissionOptions &options, uint64_t seed);

    AdmissionDecision decide(const AdmissionView &view);

private:
    /// Requests that may be at the engines.
    double slotLimit(const AdmissionView &view) const;
    bool isWithinEntryShare(const AdmissionView &view) const;
    milliseconds randomDelay(milliseconds from, milliseconds to);

    AdmissionOptions options_;
    std::minstd_rand random_;
};

/// Tells callers that were refused before by the time that they have left.
class RetryDetector
{
public:
    /// @p deadline: that the request states. Callers of a route all begin with the same one.
    bool isRetry(std::string_view route, milliseconds deadline, Instant now);

private:
    struct LongestDeadline
    {
        milliseconds deadline{0};
        Instant seenAt{0};
    };

    std::map<std::string, LongestDeadline, std::less<>> longest_; ///< By route.
};

} // namespace daisymount::dispatch

// Admission control for services with lock-step engines: a request is admitted, held for a short time, or rejected.
//
// Expected load: rank groups near their capacity, where each admitted request lengthens the passes of all streams, and group outages
// of a few seconds while a rank is missing.

#pragma once

#include "dispatch/retrydelay.h"
#include "framework/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace daisymount::dispatch
{

using framework::Duration;
using framework::Instant;
using framework::milliseconds;

struct AdmissionOptions
{
    double slotFraction = 11.0 / 12.0; ///< Fraction of all engine slots open to first attempts, over all entries; the rest is
                                       ///< reserved for retries, since callers do not try a third time.
    double slotFractionUnknownPassTime = 2.0 / 3.0; ///< Limit while the pass time is unknown: a newly formed group may still be loading experts in turn.
    double entryShareUnknownPassTime = 1.25; ///< Multiple of its equal share that one entry may use while the pass time is unknown.
    milliseconds maxRetryWait{1'300}; ///< Callers disconnect after 2 s without an event; the first event takes up to 0.6 s.
    milliseconds maxWait{110}; ///< For a first attempt; after this wait the first event of a stream still arrives in time.
    milliseconds typicalServiceTime{2'200}; ///< Time to serve a typical stream after admission.
};

struct AdmissionView
{
    int inFlight = 0; ///< Over all entries, as far as reported.
    int ownInFlight = 0; ///< From this entry.
    int entries = 1; ///< Entries that accept callers, including this one.
    int engines = 0;
    int slotsPerEngine = 0;
    bool passTimeKnown = false; ///< Recent events on streams of this entry gave a pass time.
    bool groupDown = false; ///< The group lacks a rank and executes no passes.
    bool groupSilent = false; ///< All streams of this entry have stopped, possibly only for a long pass.
    bool groupProgressing = false; ///< Streams of this entry got events within the last passes, whatever is reported of the group.
    bool isRetry = false; ///< The caller was rejected before.
    Duration waited{0};
    Duration left{0}; ///< Time until the request deadline.
};

enum class Admission : uint8_t {
    Admit,
    Wait,
    Refuse,
};

struct AdmissionDecision
{
    Admission admission = Admission::Admit;
    milliseconds retryAfter{0}; ///< With Refuse.
};

class EngineAdmission
{
public:
    EngineAdmission(const AdmissionOptions &options, uint64_t seed);

    AdmissionDecision decide(const AdmissionView &view);

private:
    /// Maximum number of requests in flight at the engines.
    double slotLimit(const AdmissionView &view) const;
    bool isWithinEntryShare(const AdmissionView &view) const;

    AdmissionOptions options_;
    RetryDelay retryDelay_;
};

} // namespace daisymount::dispatch

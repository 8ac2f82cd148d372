// Finds the request that crashes every upstream that runs it, without convicting those that ran beside it.

#pragma once

#include "config/configtypes.h"
#include "framework/clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisymount::quarantine
{

using framework::Duration;
using framework::Instant;

/// Hash of a request's service, path and body: equal for a request that its caller sends again.
using Fingerprint = uint64_t;

/// A crash of an upstream's engine with the requests that it ran.
struct CrashReport
{
    std::string upstream;
    uint64_t engineIncarnation = 0; ///< With upstream: identity of the crash.
    std::vector<Fingerprint> inFlight;
};

/// A conviction as other entries hear of it.
struct Conviction
{
    Fingerprint fingerprint = 0;
    Duration remaining{0};
};

enum class Standing : uint8_t {
    Clear,
    Suspect, ///< Runs alone on the designated upstream.
    Convicted, ///< Refused as not run.
};

/// Deterministic core; one per entry. Reports may come twice and in any order.
class Quarantine
{
public:
    explicit Quarantine(const config::Quarantine &settings);

    void setSettings(const config::Quarantine &settings);
    Standing standing(Fingerprint fingerprint, Instant now) const;

    /// Returns the fingerprints that this report convicted.
    std::vector<Fingerprint> onCrash(const CrashReport &report, Instant now);
    /// A suspect ran alone to its end and is cleared.
    void onCompletedAlone(Fingerprint fingerprint);
    /// A conviction heard from another entry.
    void onConviction(const Conviction &conviction, Instant now);

    std::vector<Conviction> convictions(Instant now) const;
    void expire(Instant now);

private:
    struct Suspect
    {
        int64_t crashes = 0;
        Instant until{0};
    };

    config::Quarantine settings_;
    std::map<Fingerprint, Suspect> suspects_;
    std::map<Fingerprint, Instant> convicted_; ///< To the end of the conviction.
    std::map<std::pair<std::string, uint64_t>, Instant> seenCrashes_; ///< To the time when they are forgotten.
};

} // namespace daisymount::quarantine

// Settings of a gateway process, independent of their file format.

#pragma once

#include "framework/clock.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace daisymount::fleet
{

using framework::milliseconds;

/// Service bounds guaranteed by the operators; the limits of the gateway are derived from them.
struct PromisedBounds
{
    milliseconds contact{3'000}; ///< Time after the end of a disturbance from which the time bounds apply.
    milliseconds drain{2'000}; ///< A draining upstream gets no new requests after this time.
    milliseconds configApply{2'000}; ///< An accepted configuration is in force everywhere after this time.
    bool revokeWhenPartitioned = false; ///< A gateway that cannot know whether its configuration is current refuses requests after revoke.
    milliseconds revoke{5'000};
    milliseconds evacuate{5'000};
    milliseconds grace{8'000}; ///< From SIGTERM to SIGKILL.
    double retryBudgetRatio = 0.2;
    milliseconds retryWindow{10'000};
    double retrySlack = 0.0; ///< Retries per window and service in addition to the ratio, over all entries.
    double coldOvershoot = 1.0;
    double coldSlack = 0.0;
    milliseconds passPause{120}; ///< A stream counts as late if an event is forwarded after a longer delay.
    milliseconds addressTtlMax{5'000};

    /// Time for which callers may cache the address of a gateway. Some cache it MAX_ADDRESS_LIFETIMES times as long, so that the requests of all callers
    /// come within the first third of the grace period and have the rest of it to end.
    milliseconds addressTtl() const
    {
        return std::min(addressTtlMax, grace / (3 * MAX_ADDRESS_LIFETIMES));
    }

    /// Time after SIGTERM in which callers may still come with a cached address.
    milliseconds addressExpiry() const
    {
        return addressTtl() * MAX_ADDRESS_LIFETIMES;
    }

    /// Callers use an address for up to this multiple of the time for which they may cache it.
    static constexpr int MAX_ADDRESS_LIFETIMES = 3;

    /// Longest time for which a gateway may use a configuration without evidence that there is no newer one.
    milliseconds maxConfigAge() const
    {
        return configApply / 2;
    }
};

/// Rule by which requests to model engines are admitted.
enum class AdmissionMode : uint8_t {
    Auto, ///< Adaptive where the configuration calls for it, see dispatch/loadpolicy.h.
    Slots, ///< By a fraction of the published slots.
    Adaptive, ///< By measured concurrency limits and by shares of priorities and organisations.
};

/// Address and rate limits of the platform store; the limits apply to all processes of the system together.
struct StoreAccess
{
    std::string address;
    double writesPerSecond = 0.0;
    double readsPerSecond = 0.0;
    milliseconds leaseTtlMin{1'000};
};

struct NodeSettings
{
    std::string name;
    std::string ip;
    std::string zone;
    std::string region;
    uint16_t firstPeerPort = 0; ///< First port of the range for processes of the system.
    uint16_t lastPeerPort = 0;
    std::string callerAddress; ///< IP:port for callers.
    std::string readyAddress;
    std::string directoryAddress;
    std::string metricsAddress;
    std::string engineAddress; ///< Engine on the same machine; empty if there is none.
    size_t memoryBytes = 0;
    size_t descriptors = 0;
    double processorShare = 1.0;
    std::vector<std::string> seedIps; ///< Addresses for initial member discovery; they may be outdated or unreachable.
    std::string fingerprint; ///< Changes if any setting changes.
    PromisedBounds bounds;
    StoreAccess store;
    AdmissionMode admission = AdmissionMode::Auto;
};

} // namespace daisymount::fleet

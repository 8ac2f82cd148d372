// Detects whether an upstream that closed connections prematurely has crashed, and records the requests it was processing.

#pragma once

#include "crashattribution/crashattribution.h"
#include "dispatch/dispatcher.h"
#include "transport/connection.h"

#include <map>
#include <string>
#include <vector>

namespace daisymount::gateway
{

struct GatewayContext;

/// A request whose connection the upstream closed before the response was complete.
struct InterruptedAttempt
{
    crashattribution::Fingerprint fingerprint = 0;
    std::string requestId;
    std::string promptParts; ///< Shared parts of its prompt, separated by commas, for the log.
    transport::Instant sentAt{0};
    transport::Instant interruptedAt{0};
};

class CrashDetector
{
public:
    explicit CrashDetector(GatewayContext &context);

    /// Called when the connection of @p attempt was closed by an upstream that is not draining and had not answered. Starts a probe,
    /// whose result is known a little later: the upstream has crashed if it refuses connections, or if its registration ends before it
    /// answers another request.
    void onAttemptInterrupted(const dispatch::Placement &placement, InterruptedAttempt attempt);
    /// Called when the upstream has answered a request sent at @p sentAt.
    void onUpstreamAnswered(const dispatch::Placement &placement, transport::Instant sentAt);

private:
    enum class Evidence : uint8_t {
        ConnectionRefused, ///< No process is listening on its address.
        Unregistered, ///< Its registration has ended, or its id belongs to another incarnation.
        None,
    };

    /// Probes of one upstream incarnation that recently interrupted attempts.
    struct PendingProbes
    {
        std::vector<InterruptedAttempt> unprobedAttempts; ///< To be covered by the next probe.
        int activeProbes = 0;
        transport::Instant lastAnsweredSentAt{0}; ///< Send time of the latest request that it has answered.
    };

    transport::asio::awaitable<void> probe(dispatch::Placement placement);
    transport::asio::awaitable<Evidence> probeConnection(const dispatch::Placement &placement);
    transport::asio::awaitable<Evidence> awaitDeregistration(const dispatch::Placement &placement, transport::Instant interruptedAt);
    void onCrash(const crashattribution::UpstreamIncarnation &incarnation, Evidence evidence, const std::vector<InterruptedAttempt> &attempts);

    GatewayContext &context_;
    std::map<crashattribution::UpstreamIncarnation, PendingProbes> pendingProbes_; ///< An entry exists only while its probes run.
};

} // namespace daisymount::gateway

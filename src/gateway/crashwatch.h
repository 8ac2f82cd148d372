// Detects whether an upstream that closed connections prematurely has crashed, and records the requests it was processing.

#pragma once

#include "crashattribution/crashattribution.h"
#include "dispatch/dispatcher.h"
#include "transport/connection.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::gateway
{

struct GatewayContext;

/// Result of connecting to an upstream that closed connections prematurely.
enum class ProbeResult : uint8_t {
    Pending,
    Reachable, ///< It accepts connections.
    Crashed,
};

/// A request whose connection the upstream closed before the response was complete, or closed to end a response without a length.
struct InterruptedAttempt
{
    crashattribution::Fingerprint fingerprint = 0; ///< Of the whole request.
    std::vector<crashattribution::Fingerprint> partFingerprints; ///< Of the shared parts of its prompt.
    std::string requestId;
    std::string promptParts; ///< Shared parts of its prompt, separated by commas, for the log.
    transport::Instant sentAt{0};
    transport::Instant interruptedAt{0};
    bool answered = false; ///< The response appears complete; the attempt is evidence of a crash only if the upstream has crashed.
    std::shared_ptr<ProbeResult> probeResult = nullptr; ///< Set by the detector.
};

class CrashDetector
{
public:
    explicit CrashDetector(GatewayContext &context);

    /// Called when the connection of @p attempt was closed by an upstream that is not draining and had not answered. Starts a probe,
    /// whose result is known a little later: the upstream has crashed if it refuses connections, or if its registration ends before it
    /// answers another request. Returns the result of the connection attempt, or null if the upstream is not expected to serve.
    std::shared_ptr<const ProbeResult> onAttemptInterrupted(const dispatch::Placement &placement, InterruptedAttempt attempt);
    /// An answer, or a stream that goes on, shows that neither the request nor, with @p includingParts, its prompt crash upstreams.
    void clearSuspicion(const InterruptedAttempt &attempt, std::string_view upstream, bool includingParts);
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
    /// What may have caused the crash: the parts of the prompt that no answer has cleared, else the request as a whole.
    std::vector<crashattribution::Fingerprint> suspectsOf(const InterruptedAttempt &attempt, transport::Instant now) const;

    GatewayContext &context_;
    std::map<crashattribution::UpstreamIncarnation, PendingProbes> pendingProbes_; ///< An entry exists only while its probes run.
};

} // namespace daisymount::gateway

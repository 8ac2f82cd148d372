// Finds out whether an upstream that broke off connections has crashed, and which requests were under way there.

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

/// A request whose connection an upstream broke off before the whole answer.
struct InterruptedAttempt
{
    crashattribution::Fingerprint fingerprint = 0;
    std::string requestId;
    transport::Instant sentAt{0};
    transport::Instant interruptedAt{0};
};

class CrashDetector
{
public:
    explicit CrashDetector(GatewayContext &context);

    /// The upstream broke off @p attempt, though it neither leaves nor has answered. Whether it has crashed shows a little later: a crashed
    /// one refuses connections, or its registration ends without another sign of life.
    void onAttemptInterrupted(const dispatch::Placement &placement, InterruptedAttempt attempt);
    /// The upstream answered a request that was sent at @p sentAt.
    void onUpstreamAnswered(const dispatch::Placement &placement, transport::Instant sentAt);

private:
    enum class Evidence : uint8_t {
        ConnectionRefused, ///< Nobody listens at its address.
        Unregistered, ///< Its registration has ended, or another incarnation has its id.
        None,
    };

    /// An incarnation of which attempts were broken off lately.
    struct PendingProbes
    {
        std::vector<InterruptedAttempt> unprobedAttempts; ///< Wait for one look at the upstream.
        int activeProbes = 0; ///< Under way.
        transport::Instant lastAnsweredSentAt{0}; ///< When the last request was sent that it has answered meanwhile.
    };

    transport::asio::awaitable<void> probe(dispatch::Placement placement);
    transport::asio::awaitable<Evidence> probeConnection(const dispatch::Placement &placement);
    transport::asio::awaitable<Evidence> awaitDeregistration(const dispatch::Placement &placement, transport::Instant interruptedAt);
    void onCrash(const crashattribution::UpstreamIncarnation &incarnation, Evidence evidence, const std::vector<InterruptedAttempt> &attempts);

    GatewayContext &context_;
    std::map<crashattribution::UpstreamIncarnation, PendingProbes> pendingProbes_; ///< Only while there are examinations.
};

} // namespace daisymount::gateway

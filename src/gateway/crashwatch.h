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
struct BrokenAttempt
{
    crashattribution::Fingerprint fingerprint = 0;
    std::string requestId;
    transport::Instant sentAt{0};
    transport::Instant brokenAt{0};
};

class CrashWatch
{
public:
    explicit CrashWatch(GatewayContext &context);

    /// The upstream broke off @p attempt, though it neither leaves nor has answered. Whether it has crashed shows a little later: a crashed
    /// one refuses connections, or its registration ends.
    void onBroken(const dispatch::Placement &placement, BrokenAttempt attempt);

private:
    /// How a look at the upstream came out.
    enum class Evidence : uint8_t {
        Alive, ///< It accepts connections: it broke off for another reason.
        Refuses, ///< Nobody listens at its address.
        Unregistered, ///< Its registration has ended, or another incarnation has its id.
        None,
    };

    transport::asio::awaitable<void> examine(dispatch::Placement placement);
    transport::asio::awaitable<Evidence> findEvidence(const dispatch::Placement &placement);
    void onCrash(const crashattribution::UpstreamIncarnation &incarnation, Evidence evidence, const std::vector<BrokenAttempt> &attempts);

    GatewayContext &context_;
    std::map<crashattribution::UpstreamIncarnation, std::vector<BrokenAttempt>> pending_; ///< Being examined, one examination for each.
};

} // namespace daisymount::gateway

// Counters and latency histograms of a gateway, served as text.

#pragma once

#include "framework/clock.h"

#include <memory>
#include <string>
#include <string_view>

namespace daisymount::gateway
{

class GatewayMetrics
{
public:
    GatewayMetrics();
    ~GatewayMetrics();
    GatewayMetrics(const GatewayMetrics &) = delete;
    GatewayMetrics &operator=(const GatewayMetrics &) = delete;

    /// A request got its final answer. @p outcome: name of a result code, @p route: its name in the configuration.
    void onRequest(std::string_view route, std::string_view outcome, framework::Duration timeToFirstByte, framework::Duration totalTime);
    /// A request was sent to an upstream. @p result: how the attempt ended.
    void onAttempt(std::string_view service, std::string_view result);
    /// An exchange asked to send its request once more. @p allowed: the retry budget had one left.
    void onRetry(std::string_view service, bool allowed);
    /// A call to the store ended. @p result: "ok" or the name of a result code.
    void onStoreCall(std::string_view call, std::string_view result);
    /// What became known of crashes of upstreams and of the requests that were under way there. @p event: name of the log line.
    void onCrashEvent(std::string_view event);
    void onOrder(std::string_view order, std::string_view outcome);
    void setGauge(std::string_view name, double value);

    std::string render() const;

private:
    struct Families;
    std::unique_ptr<Families> families_;
};

} // namespace daisymount::gateway

// Metrics of a gateway in the Prometheus text format.

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

    /// Records a request's final response. @p route is its name in the configuration, @p outcome the name of a result code.
    void onRequest(std::string_view route, std::string_view outcome, framework::Duration timeToFirstByte, framework::Duration totalTime);
    /// Records a request whose response this gateway broke off. @p reason is that of the log event "cut".
    void onRequestCut(std::string_view route, std::string_view reason);
    /// Records the longest time between two events of a stream.
    void onStreamPause(std::string_view route, framework::Duration pause);
    /// Records an attempt to send a request to an upstream. @p result is the name of its outcome.
    void onAttempt(std::string_view service, std::string_view result);
    /// Records a request to engines that was refused for the load. @p reason is that of dispatch::ServiceDecision.
    void onAdmission(std::string_view route, std::string_view reason);
    /// Records a retry. @p allowed is false when the retry budget denied it.
    void onRetry(std::string_view service, bool allowed);
    /// Records a call to the store. @p result is "ok", the name of a result code, an HTTP status or "no_reply".
    void onStoreCall(std::string_view call, std::string_view result);
    /// The store answered @p call without its era, or with an earlier one than it had told.
    void onOutdatedAnswer(std::string_view call);
    /// An upstream was found silent, or responds again.
    void onSilenceChange(bool silent);
    /// Records an event of crash attribution. @p event is the name of the log event.
    void onCrashEvent(std::string_view event);
    void onOrder(std::string_view order, std::string_view outcome);
    /// An exception has ended a task or a loop.
    void onTaskFailure(std::string_view task);
    void setGauge(std::string_view name, double value);

    std::string render() const;

private:
    struct Families;
    std::unique_ptr<Families> families_;
};

} // namespace daisymount::gateway

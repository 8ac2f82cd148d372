// Metrics, implemented with prometheus-cpp.

#include "gateway/gatewaymetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace daisymount::gateway
{

namespace
{
const prometheus::Histogram::BucketBoundaries LATENCY_BUCKETS_S = {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0};
const prometheus::Histogram::BucketBoundaries PAUSE_BUCKETS_S = {0.04, 0.06, 0.08, 0.1, 0.12, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0};

double seconds(framework::Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}
} // namespace

struct GatewayMetrics::Families
{
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests
        = prometheus::BuildCounter().Name("daisymount_requests_total").Help("Requests by route and outcome.").Register(registry);
    prometheus::Family<prometheus::Counter> &cuts = prometheus::BuildCounter()
                                                        .Name("daisymount_requests_cut_total")
                                                        .Help("Responses broken off by this gateway, by route and reason.")
                                                        .Register(registry);
    prometheus::Family<prometheus::Counter> &attempts
        = prometheus::BuildCounter().Name("daisymount_attempts_total").Help("Requests sent to upstreams by service and result.").Register(registry);
    prometheus::Family<prometheus::Counter> &admissions = prometheus::BuildCounter()
                                                              .Name("daisymount_admission_refusals_total")
                                                              .Help("Requests refused for the load of their service, by route and reason.")
                                                              .Register(registry);
    prometheus::Family<prometheus::Counter> &retries = prometheus::BuildCounter()
                                                           .Name("daisymount_repeats_total")
                                                           .Help("Requests to be sent once more by service and the budget's word.")
                                                           .Register(registry);
    prometheus::Family<prometheus::Counter> &storeCalls
        = prometheus::BuildCounter().Name("daisymount_store_calls_total").Help("Calls to the platform's store by call and result.").Register(registry);
    prometheus::Family<prometheus::Counter> &outdatedAnswers = prometheus::BuildCounter()
                                                                   .Name("daisymount_store_outdated_answers_total")
                                                                   .Help("Answers of the store of an earlier era, or of none, by call.")
                                                                   .Register(registry);
    prometheus::Family<prometheus::Counter> &crashes
        = prometheus::BuildCounter().Name("daisymount_crash_events_total").Help("Crashed upstreams and the requests under way there.").Register(registry);
    prometheus::Family<prometheus::Counter> &silences = prometheus::BuildCounter()
                                                            .Name("daisymount_upstream_silences_total")
                                                            .Help("Upstreams that were found silent or respond again, by event.")
                                                            .Register(registry);
    prometheus::Family<prometheus::Counter> &orders
        = prometheus::BuildCounter().Name("daisymount_rank_orders_total").Help("Orders to ranks by kind and outcome.").Register(registry);
    prometheus::Family<prometheus::Counter> &taskFailures
        = prometheus::BuildCounter().Name("daisymount_task_failures_total").Help("Exceptions that ended a task or a loop, by its name.").Register(registry);
    prometheus::Family<prometheus::Gauge> &gauges = prometheus::BuildGauge().Name("daisymount_state").Help("State by name.").Register(registry);
    prometheus::Family<prometheus::Histogram> &firstByteTime
        = prometheus::BuildHistogram().Name("daisymount_first_answer_seconds").Help("Time to the first byte of the answer.").Register(registry);
    prometheus::Family<prometheus::Histogram> &longestPause = prometheus::BuildHistogram()
                                                                  .Name("daisymount_stream_longest_pause_seconds")
                                                                  .Help("Longest time between two events of a stream, by route.")
                                                                  .Register(registry);
    prometheus::Family<prometheus::Histogram> &duration
        = prometheus::BuildHistogram().Name("daisymount_request_seconds").Help("Time to the end of the answer.").Register(registry);
};

GatewayMetrics::GatewayMetrics() : families_(std::make_unique<Families>())
{ }

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::onRequest(std::string_view route, std::string_view outcome, framework::Duration timeToFirstByte, framework::Duration totalTime)
{
    families_->requests.Add({{"route", std::string(route)}, {"outcome", std::string(outcome)}}).Increment();
    families_->duration.Add({}, LATENCY_BUCKETS_S).Observe(seconds(totalTime));
    if (timeToFirstByte.count() > 0) {
        families_->firstByteTime.Add({}, LATENCY_BUCKETS_S).Observe(seconds(timeToFirstByte));
    }
}

void GatewayMetrics::onRequestCut(std::string_view route, std::string_view reason)
{
    families_->cuts.Add({{"route", std::string(route)}, {"reason", std::string(reason)}}).Increment();
}

void GatewayMetrics::onStreamPause(std::string_view route, framework::Duration pause)
{
    families_->longestPause.Add({{"route", std::string(route)}}, PAUSE_BUCKETS_S).Observe(seconds(pause));
}

void GatewayMetrics::onAttempt(std::string_view service, std::string_view result)
{
    families_->attempts.Add({{"service", std::string(service)}, {"result", std::string(result)}}).Increment();
}

void GatewayMetrics::onAdmission(std::string_view route, std::string_view reason)
{
    families_->admissions.Add({{"route", std::string(route)}, {"reason", std::string(reason)}}).Increment();
}

void GatewayMetrics::onRetry(std::string_view service, bool allowed)
{
    families_->retries.Add({{"service", std::string(service)}, {"budget", allowed ? "allowed" : "denied"}}).Increment();
}

void GatewayMetrics::onStoreCall(std::string_view call, std::string_view result)
{
    families_->storeCalls.Add({{"call", std::string(call)}, {"result", std::string(result)}}).Increment();
}

void GatewayMetrics::onOutdatedAnswer(std::string_view call)
{
    families_->outdatedAnswers.Add({{"call", std::string(call)}}).Increment();
}

void GatewayMetrics::onCrashEvent(std::string_view event)
{
    families_->crashes.Add({{"event", std::string(event)}}).Increment();
}

void GatewayMetrics::onSilenceChange(bool silent)
{
    families_->silences.Add({{"event", silent ? "silent" : "responding"}}).Increment();
}

void GatewayMetrics::onOrder(std::string_view order, std::string_view outcome)
{
    families_->orders.Add({{"order", std::string(order)}, {"outcome", std::string(outcome)}}).Increment();
}

void GatewayMetrics::onTaskFailure(std::string_view task)
{
    families_->taskFailures.Add({{"task", std::string(task)}}).Increment();
}

void GatewayMetrics::setGauge(std::string_view name, double value)
{
    families_->gauges.Add({{"name", std::string(name)}}).Set(value);
}

std::string GatewayMetrics::render() const
{
    return prometheus::TextSerializer().Serialize(families_->registry.Collect());
}

} // namespace daisymount::gateway

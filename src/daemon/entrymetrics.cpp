// Entry metrics.

#include "daemon/entrymetrics.h"

#include <prometheus/text_serializer.h>

namespace daisymount::daemon
{

namespace
{
const prometheus::Histogram::BucketBoundaries FIRST_TOKEN_BUCKETS{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.85, 1.2, 2.0, 5.0};
const prometheus::Histogram::BucketBoundaries GAP_BUCKETS{0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.25, 1.0};

double toSeconds(framework::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
} // namespace

std::string renderRegistry(const prometheus::Registry &registry)
{
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

EntryMetrics::EntryMetrics()
    : registry_(std::make_shared<prometheus::Registry>())
    , requests_(prometheus::BuildCounter().Name("daisymount_requests_total").Help("Ended requests.").Register(*registry_))
    , firstToken_(prometheus::BuildHistogram().Name("daisymount_first_token_seconds").Help("Time to the first token.").Register(*registry_))
    , betweenTokens_(prometheus::BuildHistogram().Name("daisymount_between_tokens_seconds").Help("Time between tokens.").Register(*registry_))
    , gauges_(prometheus::BuildGauge().Name("daisymount_entry").Help("State and counters of the entry.").Register(*registry_))
{ }

void EntryMetrics::onOutcome(const entry::RequestOutcome &outcome)
{
    const std::string code(framework::resultCodeInfo(outcome.code).name);
    requests_.Add({{"service", outcome.service}, {"organisation", outcome.organisation}, {"code", code}}).Increment();
    if (outcome.firstToken > framework::Duration{0}) {
        firstToken_.Add({{"service", outcome.service}, {"organisation", outcome.organisation}}, FIRST_TOKEN_BUCKETS).Observe(toSeconds(outcome.firstToken));
    }
}

void EntryMetrics::onTokenGap(std::string_view service, framework::Duration gap)
{
    auto found = gapHistograms_.find(service);
    if (found == gapHistograms_.end()) {
        prometheus::Histogram &histogram = betweenTokens_.Add({{"service", std::string(service)}}, GAP_BUCKETS);
        found = gapHistograms_.emplace(std::string(service), &histogram).first;
    }
    found->second->Observe(toSeconds(gap));
}

void EntryMetrics::update(const entry::EntryCounters &counters, size_t openRequests, const network::HttpServerCounters &http)
{
    const auto set = [this](const char *name, uint64_t value) { gauges_.Add({{"figure", name}}).Set(static_cast<double>(value)); };
    set("received", counters.received);
    set("attempts", counters.attemptsSent);
    set("retries", counters.retries);
    set("resumed", counters.resumed);
    set("stale_events", counters.staleEvents);
    set("dropped_tokens", counters.droppedTokens);
    set("open_requests", openRequests);
    set("connections", http.connections);
    set("dropped_writes", http.droppedWrites);
}

std::string EntryMetrics::render() const
{
    return renderRegistry(*registry_);
}

} // namespace daisymount::daemon

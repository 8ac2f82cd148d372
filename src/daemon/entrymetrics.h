// Metrics of an entry, by prometheus-cpp.

#pragma once

#include "entry/entrycore.h"
#include "network/httpserver.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <string_view>

namespace daisymount::daemon
{

class EntryMetrics
{
public:
    EntryMetrics();

    void onOutcome(const entry::RequestOutcome &outcome);
    void onTokenGap(std::string_view service, framework::Duration gap);
    void update(const entry::EntryCounters &counters, size_t openRequests, const network::HttpServerCounters &http);
    /// Text exposition.
    std::string render() const;

private:
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter> &requests_;
    prometheus::Family<prometheus::Histogram> &firstToken_;
    prometheus::Family<prometheus::Histogram> &betweenTokens_;
    prometheus::Family<prometheus::Gauge> &gauges_;
    std::map<std::string, prometheus::Histogram *, std::less<>> gapHistograms_;
};

/// Text exposition of any registry.
std::string renderRegistry(const prometheus::Registry &registry);

} // namespace daisymount::daemon

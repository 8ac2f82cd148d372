// Shared limits and the billed peak.

#include "benches.h"
#include "table.h"

#include "organisations/billingmeter.h"
#include "organisations/organisationlimiter.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace daisymount::bench
{

namespace
{
using framework::Instant;
using framework::milliseconds;
using framework::seconds;

constexpr int ENTRIES = 7;

config::Config configOf()
{
    config::Config config;
    config.organisations["o"] = {"k", 1000, 1000, false};
    for (int i = 0; i < ENTRIES; ++i) {
        config.entries["e" + std::to_string(i)] = {};
    }
    config.billing.holdDeferrable = true;
    return config;
}

double overAdmission(std::vector<double> weights, bool shared)
{
    std::vector<std::unique_ptr<organisations::OrganisationLimiter>> limiters;
    for (int i = 0; i < ENTRIES; ++i) {
        limiters.push_back(std::make_unique<organisations::OrganisationLimiter>("e" + std::to_string(i)));
        limiters.back()->configure(configOf());
    }
    std::mt19937_64 random(3);
    std::discrete_distribution<int> arrival(weights.begin(), weights.end());
    Instant now = seconds{100};
    double admitted = 0;
    constexpr int warmUp = 5'000;
    constexpr int steps = 125'000;
    for (int step = 0; step < steps; ++step) {
        now += milliseconds{1};
        // The skew wanders: at times another entry gets most of the requests.
        const auto at = static_cast<size_t>((arrival(random) + step / 30'000) % ENTRIES);
        admitted += limiters[at]->admit("o", 5, now).admitted && step >= warmUp ? 5 : 0;
        if (shared && step % 250 == 0) {
            for (size_t from = 0; from < ENTRIES; ++from) {
                for (size_t to = 0; to < ENTRIES; ++to) {
                    limiters[to]->onPeerDemand("e" + std::to_string(from), limiters[from]->demand(now), now);
                }
            }
        }
    }
    return (admitted / (steps - warmUp) - 1.0) * 100.0;
}

struct BillResult
{
    double peak = 0.0;
    double urgentPeak = 0.0;
    double deferredShare = 0.0; ///< Of deferrable work that ran within the trace.
};

/// One working day: urgent work with two humps, deferrable work that comes in bursts and may wait up to 30 windows.
BillResult bill(bool hold)
{
    constexpr int windows = 240;
    constexpr int maxWait = 30;
    std::mt19937_64 random(9);
    std::vector<std::unique_ptr<organisations::BillingMeter>> meters;
    for (int i = 0; i < ENTRIES; ++i) {
        meters.push_back(std::make_unique<organisations::BillingMeter>("e" + std::to_string(i)));
        meters.back()->configure(configOf());
    }
    struct Deferred
    {
        double tokens;
        int since;
    };
    std::deque<Deferred> queue;
    std::vector<double> total(windows, 0.0);
    std::vector<double> cannotWait(windows, 0.0);
    double offered = 0;
    double done = 0;
    for (int window = 0; window < windows; ++window) {
        const double hump = 600.0 + 400.0 * std::sin(window / 240.0 * 12.566);
        for (int tick = 0; tick < 60; ++tick) {
            const int64_t unixMs = (1'000'000LL + window) * 60'000 + tick * 1000;
            const double urgent = hump * std::uniform_real_distribution<>(0.7, 1.3)(random);
            meters[random() % ENTRIES]->charge(urgent, true, unixMs);
            total[static_cast<size_t>(window)] += urgent;
            cannotWait[static_cast<size_t>(window)] += urgent;
            if (window % 20 == 5) {
                for (int i = 0; i < 10; ++i) {
                    queue.push_back({100.0, window});
                    offered += 100.0;
                }
            }
            for (int from = 0; tick % 2 == 0 && from < ENTRIES; ++from) {
                for (const auto &meter : meters) {
                    meter->onPeerUsage("e" + std::to_string(from), meters[static_cast<size_t>(from)]->usage(unixMs));
                }
            }
            for (size_t tries = queue.size(); tries > 0; --tries) {
                const Deferred item = queue.front();
                queue.pop_front();
                const bool mustRun = window - item.since >= maxWait;
                auto &meter = meters[random() % ENTRIES];
                if (hold && !mustRun && meter->decide(item.tokens, unixMs).held) {
                    queue.push_back(item);
                    continue;
                }
                meter->charge(item.tokens, mustRun, unixMs);
                total[static_cast<size_t>(window)] += item.tokens;
                cannotWait[static_cast<size_t>(window)] += mustRun ? item.tokens : 0.0;
                done += item.tokens;
            }
        }
    }
    return {*std::max_element(total.begin(), total.end()), *std::max_element(cannotWait.begin(), cannotWait.end()), done / offered};
}
} // namespace

void benchOrganisations()
{
    printTitle("Organisation limits at 7 entries, in per cent over the limit (baseline: entries that do not tell each other)");
    for (const auto &[name, weights] : {std::pair<const char *, std::vector<double>>{"even arrival", {1, 1, 1, 1, 1, 1, 1}},
                                        {"skewed arrival", {40, 20, 15, 10, 8, 5, 2}},
                                        {"one entry", {1, 0, 0, 0, 0, 0, 0}}}) {
        const double figure = overAdmission(weights, true);
        printRow(name, "under 5", overAdmission(weights, false), figure, verdict(figure < 5.0));
    }
    printTitle("Billed peak in tokens per window (baseline: first come, first served)");
    const BillResult held = bill(true);
    const BillResult free = bill(false);
    printRow("peak against urgent and what cannot wait", "+5%", held.urgentPeak, held.peak, verdict(held.peak <= held.urgentPeak * 1.05));
    printRow("peak against first come, first served", "-", free.peak, held.peak, "-");
    printRow("deferrable work done within the trace", "-", free.deferredShare, held.deferredShare, "-");
}

} // namespace daisymount::bench

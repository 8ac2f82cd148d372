// Router of one entry: a deterministic core that keeps what this entry knows of each upstream.

#pragma once

#include "routing/irouter.h"

#include <map>
#include <string>
#include <vector>

namespace daisymount::routing
{

struct RouterOptions
{
    std::string self; ///< Name of this entry.
    std::string zone; ///< Availability zone of this entry.
    uint64_t seed = 1;
    size_t subsetSize = 40; ///< Upstreams of one service that this entry uses, at least 1.
    PickPolicy policy; ///< loadAwarePolicy() when empty.
};

class Router : public IRouter
{
public:
    explicit Router(RouterOptions options);

    void configure(const config::Config &config) override;
    std::optional<Choice> pick(const RouteQuery &query, Instant now) override;
    void onSent(std::string_view upstream, Instant now) override;
    void onFirstToken(std::string_view upstream, Duration latency, Instant now) override;
    void onFinished(std::string_view upstream, Instant now) override;
    void onHint(std::string_view upstream, const LoadHint &hint, Instant now) override;
    void onRefused(std::string_view upstream, framework::ResultCode code, Instant now) override;
    void onStalled(std::string_view upstream, Instant now) override;
    void setAlive(std::string_view upstream, bool alive) override;
    void setLeaving(std::string_view upstream, bool leaving) override;
    std::string designatedUpstream(std::string_view service, const UpstreamNames &excluded) const override;

private:
    struct UpstreamState
    {
        std::string service;
        std::string zone;
        std::string address;
        bool out = false;
        bool alive = true;
        bool leaving = false;
        int64_t assumedLimit = 1; ///< Used until the first hint.
        int64_t ownInFlight = 0; ///< Never negative.
        int64_t ownAtHint = 0; ///< ownInFlight when the last hint arrived.
        LoadHint hint;
        double firstTokenMs = 0.0; ///< Moving average; 0 until the first sample.
        Instant firstTokenAt{0};
        Instant avoidUntil{0};
    };

    UpstreamState *find(std::string_view upstream);
    /// Names among which pick() chooses.
    std::vector<std::string> reachableBy(const RouteQuery &query) const;
    bool eligible(const UpstreamState &state) const;
    double estimatedLoad(const UpstreamState &state) const;
    double slowness(const UpstreamState &state, double medianMs, Instant now) const;
    double medianFirstTokenMs(const std::vector<const UpstreamState *> &states) const;
    void rebuildSubsets();

    RouterOptions options_;
    RandomEngine random_;
    std::map<std::string, UpstreamState, std::less<>> upstreams_;
    std::map<std::string, std::vector<std::string>, std::less<>> subsets_; ///< Service to the upstreams that this entry uses, sorted by name.
};

} // namespace daisymount::routing

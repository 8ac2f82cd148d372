// Token-rate limits of organisations, shared between entries in proportion to the demand that each has seen.

#pragma once

#include "config/configtypes.h"
#include "framework/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace daisymount::organisations
{

using framework::Duration;
using framework::Instant;

/// Tokens a second that an entry was asked for, by organisation. Organisations without recent demand are left out.
using Demand = std::map<std::string, double, std::less<>>;

struct LimitDecision
{
    bool admitted = false;
    Duration retryAfter{0}; ///< When a refused request may come back.
};

/// Deterministic core; one per entry.
class OrganisationLimiter
{
public:
    explicit OrganisationLimiter(std::string self);

    void configure(const config::Config &config);

    /// Takes @p tokens (the estimate of one request) from this entry's share.
    LimitDecision admit(std::string_view organisation, double tokens, Instant now);
    /// Corrects the estimate by what the request used.
    void settle(std::string_view organisation, double estimated, double used);

    /// Demand seen by this entry, to be told to the others.
    Demand demand(Instant now) const;
    void onPeerDemand(std::string_view peer, const Demand &demand, Instant now);
    void forgetPeer(std::string_view peer);

    /// Share of the organisation's rate that this entry may use, in (0, 1].
    double share(std::string_view organisation, Instant now) const;

private:
    struct Bucket
    {
        double balance = 0.0; ///< Tokens, at most the share of the burst.
        double demandRate = 0.0; ///< Decaying average of tokens a second asked for.
        Instant at{0};
        bool started = false;
    };

    struct PeerDemand
    {
        Demand demand;
        Instant at{0};
    };

    void advance(const std::string &organisation, const config::Organisation &settings, Bucket &bucket, Instant now);
    double decayedDemand(const Bucket &bucket, Instant now) const;

    std::string self_;
    std::map<std::string, config::Organisation, std::less<>> settings_;
    size_t entryCount_ = 1;
    std::map<std::string, Bucket, std::less<>> buckets_;
    std::map<std::string, PeerDemand, std::less<>> peers_;
};

} // namespace daisymount::organisations

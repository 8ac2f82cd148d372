// Types of the routing slice.

#pragma once

#include "framework/clock.h"
#include "framework/resultcode.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace daisymount::routing
{

using framework::Duration;
using framework::Instant;

using RandomEngine = std::mt19937_64;
using UpstreamNames = std::set<std::string, std::less<>>;

/// Load that a sidecar states with each answer and refusal.
struct LoadHint
{
    int64_t inFlight = 0; ///< Requests that the upstream runs for all entries.
    int64_t queued = 0; ///< Requests that wait at the sidecar.
    int64_t limit = 0; ///< Concurrency limit in force; 0 when unknown.
    bool cold = false;
    uint64_t incarnation = 0; ///< Of the sidecar process; 0 when unknown.
};

/// What a request asks of routing.
struct RouteQuery
{
    std::string_view service;
    uint64_t prefixHash = 0; ///< Hash of the prompt's prefix; 0 when affinity does not apply.
    std::string_view designated; ///< Upstream that must be used, empty when any will do.
    const UpstreamNames *excluded = nullptr; ///< Upstreams already tried.
};

/// One upstream as a pick policy sees it.
struct Candidate
{
    std::string_view name;
    bool sameZone = false;
    int64_t ownInFlight = 0; ///< Requests of this entry on the upstream.
    double load = 0.0; ///< Estimated requests in flight over the limit in force, at least 0.
    double slowness = 1.0; ///< First-token latency over the fleet's median, at least 1.
    bool avoid = false; ///< Recently full, unreachable or stalled: used only when nothing else is left.
};

/// Chooses one of @p candidates (never empty) and returns its index.
using PickPolicy = std::function<size_t(std::span<const Candidate> candidates, const RouteQuery &query, RandomEngine &random)>;

/// The upstream chosen for one attempt.
struct Choice
{
    std::string upstream;
    std::string address;
    uint64_t incarnation = 0; ///< Sidecar incarnation last heard of; 0 when unknown.
    bool affinityHit = false; ///< The first choice by prefix was taken.
};

} // namespace daisymount::routing

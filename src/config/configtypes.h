// The merged configuration of one site as every process sees it.

#pragma once

#include "framework/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::config
{

using framework::Duration;
using framework::milliseconds;
using framework::seconds;

/// What stands behind a service's upstreams.
enum class ServiceKind : uint8_t {
    Model, ///< A model engine that streams tokens.
    Plain, ///< An ordinary HTTP service.
};

/// Limits that a sidecar enforces for its upstream.
struct AdmissionLimits
{
    int64_t warmConcurrency = 32; ///< Requests in flight on a warm upstream, at least 1.
    int64_t coldConcurrency = 2; ///< Requests in flight at the start of a cold start, at least 1.
    int64_t tokensPerSecond = 0; ///< Generated tokens a second; 0 means no limit.
    int64_t rampCompletions = 4; ///< Completed requests that raise the limit of a cold upstream by one.
    int64_t queueLength = 16; ///< Requests that may wait for a slot.
};

/// Service-level objectives. The error budget is 1 - target.
struct Objectives
{
    Duration firstToken = milliseconds{850};
    Duration betweenTokens = milliseconds{50};
    double target = 0.95; ///< Share of requests that must meet the latency objectives, in (0, 1).
    double answeredTarget = 0.999; ///< Share of requests that must be answered, in (0, 1).
    double expertSkew = 1.05; ///< Slowest rank over mean, at least 1.
};

struct Service
{
    ServiceKind kind = ServiceKind::Model;
    bool idempotent = true; ///< Default for requests without an Idempotency-Key header.
    Duration deadline = seconds{30};
    Duration claimRetention = std::chrono::hours{24}; ///< How long a claim and its stored answer are kept.
    int64_t claimShards = 4;
    AdmissionLimits admission;
    Objectives objectives;
};

struct Organisation
{
    std::string apiKey;
    int64_t tokensPerSecond = 1000;
    int64_t burstTokens = 5000;
    bool deferrable = false; ///< Its work may be held back at the billed peak unless a request says otherwise.
};

struct Zone
{
    std::string region;
    bool out = false; ///< Taken out of service by an operator.
};

struct Upstream
{
    std::string service;
    std::string zone;
    std::string address; ///< Of its sidecar.
    bool out = false; ///< VM taken out of service by an operator.
    bool checksFencing = true; ///< Whether the engine itself refuses an order with an old fencing number.
    std::string group; ///< Rank group, empty when it belongs to none.
};

struct Entry
{
    std::string zone;
    std::string address;
    bool out = false;
};

struct RetryPolicy
{
    double budgetShare = 0.1; ///< Retries per recent success, in [0, 1].
    int64_t minimumPerSecond = 1; ///< Retries a second that are always allowed.
};

struct Quarantine
{
    Duration duration = std::chrono::minutes{10}; ///< How long a convicted fingerprint is refused.
    int64_t crashesToConvict = 2;
};

struct Billing
{
    bool holdDeferrable = false;
    Duration window = std::chrono::minutes{1};
};

struct Membership
{
    Duration heartbeat = milliseconds{500};
    Duration suspectAfter = seconds{2};
    Duration staleAfter = seconds{10}; ///< A sidecar that has heard from nobody for so long refuses new work.
    Duration addressTtl = seconds{2}; ///< How long callers may keep an address answer.
};

/// Names are unique within each map; references between maps are checked by validate().
struct Config
{
    std::string site;
    std::map<std::string, Service> services;
    std::map<std::string, Organisation> organisations;
    std::map<std::string, Zone> zones;
    std::map<std::string, Upstream> upstreams;
    std::map<std::string, Entry> entries;
    RetryPolicy retry;
    Quarantine quarantine;
    Billing billing;
    Membership membership;

    /// True when the zone or the VM of @p upstream was taken out of service.
    bool isOut(const Upstream &upstream) const;
    /// Returns the organisation that owns @p apiKey, empty when none does.
    std::string organisationOfKey(std::string_view apiKey) const;
};

/// A configuration as the store holds it: the merged TOML text under one change id.
struct StoredConfig
{
    std::string changeId; ///< Unique per change; settles a lost reply by reading back.
    std::string author;
    std::vector<std::string> history; ///< Most recent change ids, newest first, changeId included.
    std::string toml;
};

/// Where the configuration is kept in the platform's store.
constexpr std::string_view CONFIG_KEY = "daisymount/config";
/// Number of change ids kept in StoredConfig::history.
constexpr size_t CONFIG_HISTORY_LENGTH = 64;

} // namespace daisymount::config

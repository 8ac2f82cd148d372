// Routes, services, organisations and upstreams, independent of any wire format.

#pragma once

#include "framework/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisymount::fleet
{

using framework::Duration;
using framework::Instant;
using framework::milliseconds;

/// Whether a request may be executed again.
enum class RequestKind : uint8_t {
    Safe, ///< May be executed more than once.
    Unsafe, ///< Executed at most once per caller attempt.
    Stream, ///< Server-sent events; may be retried only if the route is resumable.
};

struct WeightedService
{
    std::string service;
    double weight = 1.0; ///< At least 0, relative to the other entries of the route.
};

struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::Unsafe;
    milliseconds timeout{0}; ///< 0: limited only by the deadline of the caller.
    milliseconds latencyObjective{0};
    milliseconds pauseObjective{0}; ///< Longest pause between events of a stream; 0 if not specified.
    int priority = 0; ///< 0 is the highest priority.
    int maxAttempts = 1; ///< Maximum number of upstreams used for one caller attempt.
    bool isPublic = false; ///< Needs no API key.
    bool resumable = false;
    std::vector<WeightedService> services;

    /// True if a second execution of the request is harmless.
    bool idempotent() const
    {
        return kind == RequestKind::Safe || (kind == RequestKind::Stream && resumable);
    }
};

/// Dimensions of the expert maps of the rank groups of a service.
struct ExpertLayout
{
    int sets = 0; ///< Number of layer sets; each has its own map.
    int experts = 0; ///< Experts per set.
    int placements = 0; ///< Maximum number of experts per rank and set.
    int spares = 0; ///< Maximum number of experts per set that one change may add to a rank.
    double megabytesPerExpert = 0.0;
    Duration copyTime{0}; ///< Time in which a rank copies one expert; 0 if not published.
    double workShare = 0.0; ///< Fraction of the computation per token that is done by experts.
};

/// Timing of a model engine as published by its service.
struct EngineProfile
{
    int slots = 0;
    int64_t memoryTokens = 0;
    double stepMs = 0.0;
    double stepMsPerSequence = 0.0;
    double stepMsPerThousandContextTokens = 0.0;
    double promptTokensPerSecond = 0.0;
    int chunkTokens = 0; ///< Maximum number of prompt tokens processed per step.
    int stepsPerPass = 1;
    double usualPromptTokens = 0.0;
    double usualAnswerTokens = 0.0;
    std::optional<ExpertLayout> experts;
};

struct Service
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; ///< Per upstream, over all callers.
    milliseconds coldStart{0};
    double coldPerSecond = 0.0; ///< Maximum request rate of a cold upstream; 0: unlimited.
    std::optional<EngineProfile> engine;
};

struct Organisation
{
    std::string name;
    std::vector<std::string> apiKeys;
    std::optional<int> priority; ///< Overrides the priority of the route.
};

/// Limits for requests from callers.
struct CallerLimits
{
    size_t headerBytes = 16'384;
    size_t bodyBytes = 4'194'304;
    milliseconds headerTimeout{3'000};
    milliseconds idleTimeout{15'000};
};

struct FleetConfig
{
    int64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service, std::less<>> services;
    bool apiKeysRequired = true; ///< On routes that are not public. Independent of the organisations, which may all be gone.
    std::vector<Organisation> organisations;
    CallerLimits limits;
};

enum class UpstreamState : uint8_t {
    Ready,
    Draining,
};

/// One registered incarnation of an upstream.
struct Upstream
{
    std::string id;
    int64_t bornMs = 0; ///< Unix milliseconds; together with the id it identifies the incarnation. 0 if unknown.
    std::string service;
    std::string address; ///< IP:port.
    std::string zone;
    int slots = 1;
    UpstreamState state = UpstreamState::Ready;
    milliseconds coldRemaining{0};
    int64_t sequence = 0; ///< Of this registration among those of the incarnation. Never decreases in the order in which it sends them.
};

/// An incarnation of an upstream that has announced its shutdown.
struct LeavingUpstream
{
    std::string upstream; ///< Id.
    int64_t bornMs = 0;
    milliseconds age{0}; ///< Since the announcement.
};

} // namespace daisymount::fleet

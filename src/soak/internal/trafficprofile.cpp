// The profiles of the deployments.

#include "soak/trafficprofile.h"

#include <algorithm>
#include <cmath>

namespace daisymount::soak
{

namespace
{
constexpr milliseconds CALLER_DEADLINE{8'000};
constexpr milliseconds PLAIN_TIMEOUT{2'000};
constexpr milliseconds PLAIN_OBJECTIVE{300};
constexpr milliseconds FAST_OBJECTIVE{400};
constexpr milliseconds OBJECTIVE{500};
constexpr milliseconds PAUSE_OBJECTIVE{120};
constexpr milliseconds COLD_START{3'000};
constexpr double COLD_PER_SECOND = 36.0;
constexpr int MAX_CONNECTIONS = 408;
constexpr double LINK_MEGABITS_PER_SECOND = 180'000.0;
const std::string ENGINES = "model";
const std::string PLAIN = "desk";

RequestClass streamClass(const std::string &name, double perSecond, milliseconds objective, Amount events, Amount promptTokens)
{
    RequestClass kind;
    kind.perSecond = perSecond;
    kind.events = events;
    kind.promptTokens = promptTokens;
    kind.route.name = name;
    kind.route.host = PROFILE_HOST;
    kind.route.prefix = "/" + name + "/";
    kind.route.kind = fleet::RequestKind::Stream;
    kind.route.timeout = CALLER_DEADLINE;
    kind.route.latencyObjective = objective;
    kind.route.pauseObjective = PAUSE_OBJECTIVE;
    kind.route.priority = 1;
    kind.route.maxAttempts = 2;
    kind.route.isPublic = true;
    kind.route.resumable = true;
    kind.route.services = {{ENGINES, 1.0}};
    return kind;
}

RequestClass plainClass(const std::string &name, double perSecond, fleet::RequestKind kindOfRequest)
{
    RequestClass kind;
    kind.perSecond = perSecond;
    kind.workMs = {60.0, 0.5, 450.0};
    kind.route.name = name;
    kind.route.host = PROFILE_HOST;
    kind.route.prefix = "/" + name + "/";
    kind.route.kind = kindOfRequest;
    kind.route.timeout = PLAIN_TIMEOUT;
    kind.route.latencyObjective = PLAIN_OBJECTIVE;
    kind.route.priority = 2;
    kind.route.maxAttempts = kindOfRequest == fleet::RequestKind::Safe ? 2 : 1;
    kind.route.isPublic = true;
    kind.route.services = {{PLAIN, 1.0}};
    return kind;
}

fleet::Service plainService()
{
    fleet::Service service;
    service.name = PLAIN;
    service.healthPath = "/healthz";
    service.maxConnections = 100;
    return service;
}

fleet::Service engineService(const fleet::EngineProfile &engine)
{
    fleet::Service service;
    service.name = ENGINES;
    service.healthPath = "/healthz";
    service.maxConnections = MAX_CONNECTIONS;
    service.coldStart = COLD_START;
    service.coldPerSecond = COLD_PER_SECOND;
    service.engine = engine;
    service.engine->experts->copyTime = milliseconds{static_cast<int64_t>(engine.experts->megabytesPerExpert * 8.0 / LINK_MEGABITS_PER_SECOND * 1'000.0)};
    return service;
}

fleet::EngineProfile smallEngine()
{
    return {.slots = 12,
            .memoryTokens = 372'000,
            .stepMs = 5.85,
            .stepMsPerSequence = 0.355,
            .stepMsPerThousandContextTokens = 0.036,
            .promptTokensPerSecond = 61'200.0,
            .chunkTokens = 512,
            .stepsPerPass = 5,
            .usualPromptTokens = 835.0,
            .usualAnswerTokens = 138.0,
            .experts = fleet::ExpertLayout{4, 72, 8, 3, 780.0, {}, 0.85}};
}

fleet::EngineProfile largeEngine()
{
    return {.slots = 12,
            .memoryTokens = 280'000,
            .stepMs = 4.55,
            .stepMsPerSequence = 0.905,
            .stepMsPerThousandContextTokens = 0.0183,
            .promptTokensPerSecond = 61'400.0,
            .chunkTokens = 512,
            .stepsPerPass = 4,
            .usualPromptTokens = 835.0,
            .usualAnswerTokens = 97.0,
            .experts = fleet::ExpertLayout{4, 64, 5, 2, 2'500.0, {}, 0.85}};
}

/// Twelve ranks; streams of 28 events in the mean.
TrafficProfile twelveRanks(const std::string &name, int gateways)
{
    TrafficProfile profile;
    profile.name = name;
    profile.gateways = gateways;
    profile.classes = {streamClass("draft", 25.5, FAST_OBJECTIVE, {27.8, 0.7, 69.0}, {674.0, 0.89, 2'340.0}),
                       streamClass("digest", 19.3, FAST_OBJECTIVE, {27.8, 0.89, 69.0}, {960.0, 1.0, 2'880.0}),
                       streamClass("advice", 11.2, FAST_OBJECTIVE, {27.8, 0.69, 69.0}, {787.0, 1.0, 2'850.0}),
                       plainClass("record", 4.79, fleet::RequestKind::Unsafe), plainClass("lookup", 3.0, fleet::RequestKind::Safe)};
    profile.engines = engineService(smallEngine());
    profile.timeToFirstPass = milliseconds{80};
    profile.plain = plainService();
    return profile;
}

/// Sixteen ranks that slow down more as they fill.
TrafficProfile sixteenRanks(const std::string &name)
{
    TrafficProfile profile = twelveRanks(name, 6);
    profile.ranks = 16;
    profile.classes = {streamClass("draft", 33.9, OBJECTIVE, {24.3, 0.7, 60.0}, {674.0, 0.89, 2'340.0}),
                       streamClass("digest", 25.7, OBJECTIVE, {24.3, 0.89, 60.0}, {960.0, 1.0, 2'880.0}),
                       streamClass("advice", 14.9, OBJECTIVE, {24.3, 0.69, 60.0}, {787.0, 1.0, 2'850.0}),
                       plainClass("record", 6.38, fleet::RequestKind::Unsafe), plainClass("lookup", 3.0, fleet::RequestKind::Safe)};
    profile.engines = engineService(largeEngine());
    profile.timeToFirstPass = milliseconds{90};
    return profile;
}

const std::vector<TrafficProfile> &profiles()
{
    static const std::vector<TrafficProfile> all = {twelveRanks("cooperative", 7), twelveRanks("logbook", 6), sixteenRanks("wholesale")};
    return all;
}
} // namespace

double Amount::draw(std::minstd_rand &random) const
{
    std::lognormal_distribution<double> distribution(std::log(mean) - spread * spread / 2.0, spread);
    return std::min(max, distribution(random));
}

fleet::FleetConfig TrafficProfile::config() const
{
    fleet::FleetConfig config;
    config.version = 1;
    for (const RequestClass &kind : classes) {
        config.routes.push_back(kind.route);
    }
    config.services.emplace(engines.name, engines);
    config.services.emplace(plain.name, plain);
    return config;
}

const TrafficProfile *findProfile(std::string_view name)
{
    const auto found = std::ranges::find(profiles(), name, &TrafficProfile::name);
    return found == profiles().end() ? nullptr : &*found;
}

std::string profileNames()
{
    std::string names;
    for (const TrafficProfile &profile : profiles()) {
        names += (names.empty() ? "" : ", ") + profile.name;
    }
    return names;
}

} // namespace daisymount::soak

// What a deployment is made of and what its callers send: kinds of requests with their rates and sizes, engines, gateways, zones.

#pragma once

#include "fleet/fleettypes.h"

#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::soak
{

using framework::milliseconds;

/// A quantity that varies from request to request: log-normal, cut off at a maximum.
struct Amount
{
    double mean = 0.0;
    double spread = 0.0; ///< Standard deviation of the logarithm.
    double max = 0.0;

    double draw(std::minstd_rand &random) const;
};

/// Requests of one route.
struct RequestClass
{
    fleet::Route route;
    double perSecond = 0.0; ///< Over all zones.
    Amount events; ///< Of a stream.
    Amount promptTokens; ///< Of a stream.
    Amount workMs; ///< Of a plain request.
};

struct TrafficProfile
{
    std::string name;
    int gateways = 6;
    int zones = 3;
    int callersPerZone = 24;
    std::vector<RequestClass> classes;
    fleet::Service engines;
    int ranks = 12;
    int queuePerEngine = 24; ///< Requests that wait at an engine beyond its slots.
    milliseconds timeToFirstPass{0}; ///< Time after which a request takes part in passes.
    double topicShare = 0.3; ///< Share of the demand for experts that changes with the topic of the prompts.
    int sharedPromptTokens = 40; ///< First part of each prompt.
    double hintSpread = 0.5; ///< Of the answer's length that callers estimate, as a standard deviation of the logarithm.
    fleet::Service plain;
    int plainUpstreams = 3;
    int plainSlots = 6;

    /// The configuration that an operator would write for it. All routes are public.
    fleet::FleetConfig config() const;
};

/// Host of all routes.
inline constexpr std::string_view PROFILE_HOST = "a.example";

/// Returns the profile with this name, or null. @see profileNames()
const TrafficProfile *findProfile(std::string_view name);
/// Names of all profiles, separated by commas.
std::string profileNames();

} // namespace daisymount::soak

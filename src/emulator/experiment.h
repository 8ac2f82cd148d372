// Simulates a request load on an emulated engine group under given expert-map and admission policies and reports the service quality.

#pragma once

#include "dispatch/engineadmission.h"
#include "emulator/lockstepgroup.h"

#include <string_view>

namespace daisymount::emulator
{

enum class MapPolicy : uint8_t {
    RoundRobin, ///< Keeps the initial round-robin map.
    SummedCounts, ///< Balances the counts summed over the last seconds; replans every few seconds.
    Samples, ///< Balances each short sample, as the gateways' map controller does.
};

std::string_view toString(MapPolicy policy);

struct ExperimentOptions
{
    GroupShape shape;
    MapPolicy policy = MapPolicy::Samples;
    dispatch::AdmissionOptions admission;
    double requestsPerSecond = 56.0;
    double meanPromptTokens = 850.0;
    double meanEvents = 28.0;
    milliseconds firstObjective{400};
    milliseconds pauseObjective{120};
    milliseconds duration{30'000};
    milliseconds shiftInterval{3'100}; ///< Time between shifts of demand; 0 disables them.
    double shiftFraction = 0.6;
    double copyCost = 0.012;
    milliseconds maxCopyTime{150}; ///< Time that a change may take to copy experts to one rank.
    uint64_t seed = 1;
};

struct ExperimentResult
{
    int arrived = 0;
    int onTime = 0; ///< Requests whose first event and every pause met the objectives.
    int late = 0;
    int refused = 0;
    double meanSkew = 0.0;
    milliseconds firstP50{0};
    milliseconds firstP99{0};
    milliseconds pauseP99{0}; ///< Percentile over the longest pause of each stream.
    int copies = 0;
    int changes = 0;
};

ExperimentResult runExperiment(const ExperimentOptions &options);

} // namespace daisymount::emulator

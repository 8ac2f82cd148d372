// Policies for maps and admission side by side on the emulated group; writes a table, and a plot's data when asked for.

#include "benches.h"

#include "emulator/experiment.h"

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace daisymount::bench
{

namespace
{
using emulator::ExperimentOptions;
using emulator::ExperimentResult;
using emulator::MapPolicy;

constexpr int SEEDS = 3;

struct Load
{
    const char *name;
    double requestsPerSecond;
    bool large;
};

emulator::GroupShape largeShape()
{
    emulator::GroupShape shape;
    shape.ranks = 63;
    shape.slots = 10;
    shape.sets = 8;
    shape.experts = 252;
    shape.placements = 5;
    shape.spares = 2;
    shape.stepMsPerSequence = 0.426;
    shape.stepsPerPass = 6;
    shape.subjectExponent = 0.65;
    shape.selectionsPerToken = 48;
    shape.copyTime = framework::milliseconds{110};
    return shape;
}

ExperimentResult playSeeds(ExperimentOptions options)
{
    ExperimentResult sum;
    for (uint64_t seed = 1; seed <= SEEDS; ++seed) {
        options.seed = seed;
        const ExperimentResult one = emulator::runExperiment(options);
        sum.arrived += one.arrived;
        sum.onTime += one.onTime;
        sum.late += one.late;
        sum.refused += one.refused;
        sum.copies += one.copies;
        sum.changes += one.changes;
        sum.meanSkew += one.meanSkew / SEEDS;
        sum.firstP50 += one.firstP50 / SEEDS;
        sum.firstP99 += one.firstP99 / SEEDS;
        sum.pauseP99 += one.pauseP99 / SEEDS;
    }
    return sum;
}
} // namespace

void benchGroup()
{
    std::printf("\nEmulated group, 30 s, demand shifts every 3.1 s, %d seeds\n  %-16s %-10s %8s %8s %8s %8s %8s %8s %8s %8s\n", SEEDS, "load", "maps",
                "on time", "late", "refused", "skew", "first50", "first99", "pause99", "copies");
    std::ofstream plot("group.dat");
    for (const Load &load :
         {Load{"small calm", 50.0, false}, Load{"small heavy", 60.0, false}, Load{"small twice", 110.0, false}, Load{"large calm", 210.0, true}}) {
        for (const MapPolicy policy : {MapPolicy::RoundRobin, MapPolicy::SummedCounts, MapPolicy::Samples}) {
            ExperimentOptions options;
            options.policy = policy;
            options.requestsPerSecond = load.requestsPerSecond;
            if (load.large) {
                options.shape = largeShape();
                options.meanEvents = 23.0;
                options.copyCost = 0.0017;
            }
            const ExperimentResult result = playSeeds(options);
            const double asked = std::max(1, result.arrived);
            std::printf("  %-16s %-10s %8.3f %8.3f %8.3f %8.2f %8lld %8lld %8lld %8d\n", load.name, emulator::toString(policy).data(), result.onTime / asked,
                        result.late / asked, result.refused / asked, result.meanSkew, static_cast<long long>(result.firstP50.count()),
                        static_cast<long long>(result.firstP99.count()), static_cast<long long>(result.pauseP99.count()), result.copies / SEEDS);
            plot << '"' << load.name << "\" \"" << emulator::toString(policy) << "\" " << result.onTime / asked << ' ' << result.meanSkew << '\n';
        }
    }
}

} // namespace daisymount::bench

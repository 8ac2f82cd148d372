// Machines are stopped and started in turn while the maps of a group of runners change.

#include "smallsite.h"

namespace
{
using namespace review;

constexpr double LENGTH_S = 100;

bool isBroken(const World &world)
{
    return std::ranges::any_of(world.lost, [](const auto &lost) { return *lost > 3; });
}

void restart(Node &node)
{
    node.kill(SIGTERM);
    if (!node.wait(8)) {
        node.kill(SIGKILL);
        node.wait(2);
    }
    sleepMs(500);
    node.start();
}

/// The operator stops and starts machines in turn: those beside runners, and the one that gives the orders once it has begun to change the map.
void rollMachines(World &world)
{
    for (size_t round = 0; seconds() < LENGTH_S - 15 && !isBroken(world); ++round) {
        restart(*world.agents[round % world.agents.size()]);
        const double since = seconds();
        while (world.group->lastPrepareAt() < since && seconds() < since + 4) {
            sleepMs(5);
        }
        if (world.group->lastPrepareAt() < since) {
            continue;
        }
        const std::string leader = world.store->lastConditionalWrite("");
        for (const std::unique_ptr<Node> &gateway : world.gateways) {
            if (gateway->name() == leader && gateway->running()) {
                restart(*gateway);
            }
        }
        sleepMs(4000);
    }
}
} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: handover RECORD TROUBLE\n";
        return 2;
    }
    Record record(argv[1]);
    World world(record);
    if (!startSite(world)) {
        return 2;
    }
    startTraffic(world);
    sleepMs(8000);
    if (std::string_view(argv[2]) != "0") {
        rollMachines(world);
    }
    while (seconds() < LENGTH_S && !isBroken(world)) {
        sleepMs(100);
    }
    endSite(world);
    finish(world, "LOST", isBroken(world));
}

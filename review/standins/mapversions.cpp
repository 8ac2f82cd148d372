// A runner leaves orders unanswered and carries them out late, and the gateway that gave them is killed.

#include "smallsite.h"

namespace
{
using namespace review;

constexpr double LENGTH_S = 80;
/// The worker leaves all orders unanswered for so long.
constexpr double UNANSWERED_S = 4.0;
/// It carries them out so much later.
constexpr double LATE_MS = 3'500;

/// Rank 0 leaves orders unanswered from the moment that it has taken a prepare order. The gateway is killed that then gives it the next one.
void playRound(World &world)
{
    std::atomic<double> begin{0};
    std::atomic<bool> prepareUnanswered{false};
    const double since = seconds();
    const auto inWindow = [&] { return begin > 0 && seconds() < begin + UNANSWERED_S; };
    world.group->setDelay([&](int rank, const Json::Value &order) -> std::optional<double> {
        if (rank != 0 || !inWindow()) {
            return std::nullopt;
        }
        prepareUnanswered = prepareUnanswered || order["operation"] == "prepare";
        return LATE_MS;
    });
    while (world.group->preparedRankAt(0) < since && seconds() < since + 10) {
        sleepMs(1);
    }
    begin = seconds();
    world.record.line("rank 0 begins to leave orders unanswered");
    while (!prepareUnanswered && inWindow()) {
        sleepMs(1);
    }
    const std::string leader = world.store->lastConditionalWrite("");
    for (const std::unique_ptr<Node> &gateway : world.gateways) {
        if (prepareUnanswered && gateway->name() == leader && gateway->running()) {
            world.record.line(leader + " is killed");
            gateway->kill(SIGKILL);
            gateway->wait(2);
            sleepMs(1000);
            gateway->start();
        }
    }
    while (inWindow()) {
        sleepMs(10);
    }
    world.record.line("rank 0 answers orders again");
    sleepMs(LATE_MS + 1000);
    world.group->setDelay({});
}
} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: mapversions RECORD TROUBLE\n";
        return 2;
    }
    Record record(argv[1]);
    World world(record);
    if (!startSite(world)) {
        return 2;
    }
    startTraffic(world);
    sleepMs(8000);
    while (std::string_view(argv[2]) != "0" && seconds() < LENGTH_S - 24 && world.group->mixedPasses() == 0) {
        playRound(world);
    }
    while (seconds() < LENGTH_S && world.group->mixedPasses() == 0) {
        sleepMs(100);
    }
    endSite(world);
    finish(world, "MAP", world.group->mixedPasses() > 0);
}

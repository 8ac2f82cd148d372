// A runner sends an answer twice, and leaves an order unanswered and carries it out late.

#include "smallsite.h"

namespace
{
using namespace review;

constexpr double LENGTH_S = 50;
/// Both disruptions come in spells, until an order has met both of them.
constexpr int SPELLS = 3;
constexpr double SPELL_S = 5;
constexpr double PAUSE_S = 5;
constexpr int FAULTY_RANK = 5;
/// How much later the order is carried out.
constexpr double LATE_MS = 3'000;

/// In a spell one answer of one runner is sent twice, and one order to it gets no answer and is carried out late.
void playSpell(World &world, std::atomic<bool> &met)
{
    world.record.line("rank " + std::to_string(FAULTY_RANK) + " may send an answer twice and leave an order unanswered");
    const auto isArm = [](int rank, const Json::Value &order) { return rank == FAULTY_RANK && order["operation"] == "arm"; };
    std::atomic<bool> extraSent{false};
    world.group->setExtraAnswers([&](int rank, const Json::Value &order) { return isArm(rank, order) && !extraSent.exchange(true); });
    world.group->setDelay(
        [&](int rank, const Json::Value &order) { return isArm(rank, order) && extraSent && !met.exchange(true) ? std::optional(LATE_MS) : std::nullopt; });
    const double end = seconds() + SPELL_S;
    while (seconds() < end && !met) {
        sleepMs(10);
    }
    world.group->setExtraAnswers({});
    world.group->setDelay({});
    world.record.line("that has ended");
    sleepMs(PAUSE_S * 1000);
}
} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: extraanswers RECORD TROUBLE\n";
        return 2;
    }
    Record record(argv[1]);
    World world(record);
    if (!startSite(world)) {
        return 2;
    }
    startTraffic(world);
    sleepMs(8000);
    std::atomic<bool> met{false};
    for (int i = 0; i < SPELLS && std::string_view(argv[2]) != "0" && !met; ++i) {
        playSpell(world, met);
    }
    while (seconds() < LENGTH_S) {
        sleepMs(100);
    }
    endSite(world);
    finish(world, "MAP", world.group->mixedPasses() > 0);
}

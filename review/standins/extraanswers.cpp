// Runners send some answers twice, and leave some orders unanswered and carry them out late.

#include "smallsite.h"

namespace
{
using namespace review;

constexpr double LENGTH_S = 110;
/// Share of the runners that send some answers twice, and of their answers.
constexpr double FAULTY_RUNNERS = 0.6;
constexpr double EXTRA_ANSWERS = 0.03;
/// Share of the orders that get no answer, and how much later they are carried out.
constexpr double UNANSWERED_ORDERS = 0.5;
constexpr double LATE_MIN_MS = 2'000;
constexpr double LATE_MAX_MS = 12'000;
/// Both come in spells.
constexpr double SPELL_S = 5;
constexpr double PAUSE_S = 1;
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
    std::mt19937 random(std::random_device{}());
    std::uniform_real_distribution<double> chance(0, 1);
    while (std::string_view(argv[2]) != "0" && seconds() < LENGTH_S - SPELL_S) {
        record.line("a spell of extra and lost answers begins");
        world.group->setExtraAnswers([&](int rank) { return rank < static_cast<int>(FAULTY_RUNNERS * RANKS) && chance(random) < EXTRA_ANSWERS; });
        world.group->setDelay([&](int, const Json::Value &) -> std::optional<double> {
            return chance(random) < UNANSWERED_ORDERS ? std::optional(LATE_MIN_MS + chance(random) * (LATE_MAX_MS - LATE_MIN_MS)) : std::nullopt;
        });
        sleepMs(SPELL_S * 1000);
        world.group->setExtraAnswers({});
        world.group->setDelay({});
        record.line("it ends");
        sleepMs(PAUSE_S * 1000);
    }
    while (seconds() < LENGTH_S) {
        sleepMs(100);
    }
    endSite(world);
    finish(world, "MAP", world.group->mixedPasses() > 0);
}

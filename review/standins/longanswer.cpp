// A machine is stopped, and a long answer is asked for while callers still have its address.

#include "smallsite.h"

namespace
{
using namespace review;

constexpr double HISTORY_S = 34; ///< Traffic before the first stop.
constexpr int SHORT_TOKENS = 100;
constexpr int LONG_TOKENS = 347; ///< The longest answer of the sheet: 69.5 events of 5 tokens.
constexpr double ASKED_AFTER_S = 3.8; ///< After the SIGTERM.

/// Sends short streams, one after the other, each to a random gateway.
void shortAnswers(World &world, unsigned seed)
{
    std::mt19937 random(seed);
    while (!finished) {
        Node &gateway = *world.gateways[random() % world.gateways.size()];
        std::unique_ptr<Socket> socket = gateway.running() && !gateway.signalled() ? connectTo(gateway.front()) : nullptr;
        const std::string id = requestId("short");
        Message answer;
        if (socket && socket->write(draftRequest(id, SHORT_TOKENS, random)) && socket->read(answer, 8000) == ReadResult::Complete) {
            ++(answer.status() == 200 ? world.answered : world.failed);
        }
        sleepMs(answer.status() == 200 ? 20 : 300);
    }
}

/// Asks the directory of @p gateway for addresses. Returns for how many seconds the answer may be kept, 0 if @p wanted isn't in it.
double askDirectory(World &world, size_t gateway, const std::string &wanted)
{
    const std::unique_ptr<Socket> socket = connectTo(world.site.seeds[gateway] + ":" + std::to_string(world.site.directoryPort));
    Message answer;
    if (!socket || !socket->write("GET /-/resolve?name=a.example&region=r&zone=a HTTP/1.1\r\nHost: a.example\r\n\r\n")
        || socket->read(answer, 1000) != ReadResult::Complete) {
        return 0;
    }
    const Json::Value json = parseJson(answer.body);
    const bool known = std::ranges::any_of(json["addresses"], [&](const Json::Value &address) { return address.asString() == wanted; });
    return known ? json["ttl_s"].asDouble() : 0;
}

/// Returns true if the rule is broken.
bool playRound(World &world, size_t index, bool trouble)
{
    Node &gateway = *world.gateways[index];
    // Some clients keep an answer of the directory three times as long as it says.
    const double keptFor = 3 * askDirectory(world, (index + 1) % world.gateways.size(), gateway.front());
    const double askedAt = seconds();
    world.record.line("the directory names " + gateway.name() + ", for " + std::to_string(keptFor) + " s at some clients");
    if (trouble) {
        gateway.kill(SIGTERM);
    }
    const double stoppedAt = seconds();
    const int64_t firstPass = world.group->step();
    sleepMs(ASKED_AFTER_S * 1000);
    bool broken = false;
    std::unique_ptr<Socket> socket = seconds() < askedAt + keptFor ? connectTo(gateway.front()) : nullptr;
    if (socket) {
        std::mt19937 random(static_cast<unsigned>(index) + 100);
        const std::string id = requestId("long");
        socket->write(draftRequest(id, LONG_TOKENS, random));
        world.record.line(id + " of " + std::to_string(LONG_TOKENS) + " tokens is sent to " + gateway.name() + ", " + std::to_string(seconds() - stoppedAt)
                          + " s after the directory's answer");
        Message answer;
        const ReadResult result = socket->read(answer, 8000);
        const std::vector<std::string> runners = world.arrivals.of(id);
        world.record.line("a pass lasted " + std::to_string((seconds() - stoppedAt) * 1000 / static_cast<double>(world.group->step() - firstPass))
                          + " ms on average since then");
        broken = trouble && result != ReadResult::Complete && result != ReadResult::TimedOut && !runners.empty();
        world.record.line(id + (runners.empty() ? " was not passed on" : " was passed on to " + runners.front()) + ", status " + std::to_string(answer.status())
                          + ", " + std::to_string(std::ranges::count(answer.body, 'i')) + " events, "
                          + (result == ReadResult::Complete ? "a complete answer" : "the connection ends without a complete answer") + ", "
                          + std::to_string(seconds() - stoppedAt) + " s after the directory's answer" + (broken ? " (LOST)" : ""));
    } else {
        world.record.line("no connection to " + gateway.name());
    }
    if (trouble) {
        if (!gateway.wait(8)) {
            gateway.kill(SIGKILL);
            gateway.wait(2);
        }
        sleepMs(500);
        gateway.start();
    }
    sleepMs(3500);
    return broken;
}
} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: longanswer RECORD TROUBLE\n";
        return 2;
    }
    Record record(argv[1]);
    World world(record);
    if (!startSite(world)) {
        return 2;
    }
    for (unsigned i = 0; i < STREAM_CLIENTS; ++i) {
        world.threads.emplace_back([&world, i] { shortAnswers(world, i + 1); });
    }
    sleepMs(HISTORY_S * 1000);
    bool broken = false;
    for (size_t i = 0; i < world.gateways.size(); ++i) {
        broken = playRound(world, i, std::string_view(argv[2]) != "0") || broken;
    }
    endSite(world);
    finish(world, "LOST", broken);
}

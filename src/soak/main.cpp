// Randomized soak: runs the real programs of a site, restarts them in overlapping series and checks what callers were promised.

#include "soak/site.h"

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

namespace
{
using namespace daisymount;

constexpr int EXIT_BROKEN = 1;
constexpr int EXIT_USAGE = 2;

int64_t toMs(framework::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

constexpr const char *USAGE = R"(Runs a site of real processes on loopback under planned restarts and checks what callers were promised.

Usage: daisymountsoak [--seed=N] [--seconds=S] [--gateways=N] [--callers=N] [--profile=NAME] [--load=X] [--store-returns=N] [--programs=FOLDER] [--keep]

Options:
  --seed=N      seed of the operator and the callers [default: 1]
  --seconds=S   duration of the traffic in seconds [default: 60]
  --gateways=N  number of gateways [default: 6]
  --callers=N   number of callers, each with one request at a time [default: 90]
  --profile=NAME  callers, engines and gateways of a deployment; without it each of --callers sends one stream after the other
  --load=X      factor of the rates of the profile [default: 1.0]
  --store-returns=N  times that the store goes away and comes back from an older copy; needs a profile [default: 0]
  --programs=FOLDER  build folder with the programs to run instead of those beside this one
  --keep        keep the record and the logs also if no promise was broken
)";
} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc}, true);
    soak::SiteOptions options;
    options.seed = static_cast<unsigned>(arguments["--seed"].asLong());
    options.duration = std::chrono::seconds{arguments["--seconds"].asLong()};
    options.gateways = static_cast<int>(arguments["--gateways"].asLong());
    options.callers = static_cast<int>(arguments["--callers"].asLong());
    options.load = std::atof(arguments["--load"].asString().c_str());
    if (arguments["--profile"]) {
        options.profile = soak::findProfile(arguments["--profile"].asString());
        if (options.profile == nullptr) {
            std::cerr << "unknown profile; there are: " << soak::profileNames() << '\n';
            return EXIT_USAGE;
        }
    }
    options.storeReturns = static_cast<int>(arguments["--store-returns"].asLong());
    if (options.storeReturns > 0 && options.profile == nullptr) {
        std::cerr << "--store-returns needs a profile\n";
        return EXIT_USAGE;
    }
    if (arguments["--programs"]) {
        options.gatewayProgram = arguments["--programs"].asString() + "/src/gateway/daisymountgateway";
        options.rankAgentProgram = arguments["--programs"].asString() + "/src/rankagent/daisymountrankagent";
    }
    // Never destroyed, because suspended coroutines refer to them.
    auto &reactor = *new soak::asio::io_context(1);
    auto &site = *new soak::Site(reactor, options);
    const std::vector<std::string> broken = site.run();
    const soak::Totals &totals = site.totals();
    std::cout << "seed " << options.seed << ": answered " << totals.answered << ", refused " << totals.refused << ", failed " << totals.failed << ", not read "
              << totals.notRead << ", given up " << totals.left << ", cut with an excuse " << totals.excused << " (in logs " << totals.cutLogged
              << "); longest answer after SIGTERM " << toMs(totals.longestAfterSignal) << " ms, of late requests " << toMs(totals.longestOfLate) << " ms ("
              << totals.latePassedOn << " late streams passed on); latest arrival at a leaving upstream " << toMs(site.latestArrival()) << " ms; "
              << site.storeReturns() << " returns of the store (" << site.versionsRead() << " versions read); " << site.group().switches()
              << " changes of the map, mean pass " << toMs(site.group().meanPass()) << " ms, longest stand " << toMs(site.group().longestStand())
              << " ms, longest pause of the soak " << toMs(totals.longestPause) << " ms\n";
    for (const std::string &line : broken) {
        std::cout << "  broken: " << line << '\n';
    }
    if (broken.empty() && !arguments["--keep"].asBool()) {
        std::filesystem::remove_all(site.folder());
    } else {
        std::cout << "  record and logs: " << site.folder().string() << '\n';
    }
    std::cout.flush();
    std::_Exit(broken.empty() ? 0 : EXIT_BROKEN);
}

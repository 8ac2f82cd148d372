// Randomized soak: runs the real programs of a site, restarts them in overlapping series and checks what callers were promised.

#include "soak/site.h"

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

namespace
{
using namespace daisymount;

constexpr int EXIT_BROKEN = 1;

constexpr const char *USAGE = R"(Runs a site of real processes on loopback under planned restarts and checks what callers were promised.

Usage: daisymountsoak [--seed=N] [--seconds=S] [--gateways=N] [--callers=N] [--programs=FOLDER] [--keep]

Options:
  --seed=N      seed of the operator and the callers [default: 1]
  --seconds=S   duration of the traffic in seconds [default: 60]
  --gateways=N  number of gateways [default: 6]
  --callers=N   number of callers, each with one request at a time [default: 90]
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
              << totals.notRead << ", cut with an excuse " << totals.excused << "; " << site.group().switches() << " changes of the map, longest stand "
              << std::chrono::duration_cast<std::chrono::milliseconds>(site.group().longestStand()).count() << " ms\n";
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

// Runs benches by name, or all of them.

#include "benches.h"

#include <docopt.h>

#include <cstdio>
#include <functional>
#include <iostream>
#include <map>

int main(int argc, char **argv)
{
    constexpr const char *usage = R"(Prints one table per item: target, baseline, figure, ratio.

Usage: bench [NAME...]

NAME is one of claims, control, group, organisations, placement, routing; all when none is given.
)";
    using namespace daisymount::bench;
    const std::map<std::string, std::function<void()>> benches{{"claims", benchClaims},       {"control", benchControl},
                                                               {"group", benchGroup},         {"organisations", benchOrganisations},
                                                               {"placement", benchPlacement}, {"routing", benchRouting}};
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto names = arguments.at("NAME").asStringList();
    for (const std::string &name : names) {
        if (benches.count(name) == 0) {
            std::cerr << "unknown bench " << name << '\n';
            return 1;
        }
        benches.at(name)();
    }
    for (const auto &[name, run] : benches) {
        if (names.empty()) {
            run();
        }
    }
    return 0;
}

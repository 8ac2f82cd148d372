// Shared entry point of all CppUTest programs. Skips the known failures that the test script takes from KNOWN-RED.txt.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iterator>
#include <ranges>
#include <set>
#include <sstream>
#include <string>
#include <vector>

// Must follow the standard headers: CppUTest redefines new.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

namespace
{
/// Environment variable with a space-separated list of PROGRAM:GROUP.NAME.
constexpr const char *KNOWN_FAILURES_VARIABLE = "DAISYMOUNT_KNOWN_RED";

std::set<std::string> knownFailures()
{
    const char *value = std::getenv(KNOWN_FAILURES_VARIABLE);
    std::istringstream words(value == nullptr ? "" : value);
    return {std::istream_iterator<std::string>(words), std::istream_iterator<std::string>()};
}

/// Removes the known failures from the registry, because CppUTest's filters can exclude only one test by group and name.
void skipKnownFailures(const std::string &program)
{
    const std::set<std::string> skipped = knownFailures();
    TestRegistry &registry = *TestRegistry::getCurrentRegistry();
    std::vector<UtestShell *> tests;
    for (UtestShell *test = registry.getFirstTest(); test != nullptr; test = registry.getFirstTest()) {
        tests.push_back(test);
        registry.unDoLastAddTest();
    }
    for (UtestShell *test : tests | std::views::reverse) {
        const std::string name = std::string(test->getGroup().asCharString()) + "." + test->getName().asCharString();
        if (skipped.contains(program + ":" + name)) {
            std::printf("skipped known failure: %s\n", name.c_str());
        } else {
            registry.addTest(test);
        }
    }
}
} // namespace

int main(int argc, char **argv)
{
    // Libraries keep process-wide caches, which CppUTest's leak detection would report as leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    skipKnownFailures(std::filesystem::path(argv[0]).filename());
    return CommandLineTestRunner::RunAllTests(argc, argv);
}

// Entry point shared by every CppUTest program. Tests that KNOWN-RED.txt lists are passed over when the test command says so.

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

// Behind the standard library: CppUTest redefines new.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

namespace
{
/// Words of the form PROGRAM:GROUP.NAME.
constexpr const char *KNOWN_FAILURES_VARIABLE = "DAISYMOUNT_KNOWN_RED";

std::set<std::string> knownFailures()
{
    const char *value = std::getenv(KNOWN_FAILURES_VARIABLE);
    std::istringstream words(value == nullptr ? "" : value);
    return {std::istream_iterator<std::string>(words), std::istream_iterator<std::string>()};
}

/// CppUTest's own filters cannot leave out more than one test by its group and name.
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
            std::printf("passed over, known red: %s\n", name.c_str());
        } else {
            registry.addTest(test);
        }
    }
}
} // namespace

int main(int argc, char **argv)
{
    // Libraries keep process-wide caches that leak detection by allocation count would report.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    skipKnownFailures(std::filesystem::path(argv[0]).filename());
    return CommandLineTestRunner::RunAllTests(argc, argv);
}

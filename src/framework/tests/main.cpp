// Shared entry point of all CppUTest programs. Skips the known failures that the test script takes from KNOWN-RED.txt, and may run a part of the
// groups only.

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
/// Environment variable with the shard to run as INDEX/COUNT; all tests run without it.
constexpr const char *SHARD_VARIABLE = "DAISYMOUNT_TEST_SHARD";

std::set<std::string> knownFailures()
{
    const char *value = std::getenv(KNOWN_FAILURES_VARIABLE);
    std::istringstream words(value == nullptr ? "" : value);
    return {std::istream_iterator<std::string>(words), std::istream_iterator<std::string>()};
}

/// Part of the groups that this process runs; the tests of a group may share addresses and stay together.
struct Shard
{
    size_t index = 0;
    size_t count = 1;
};

Shard shardToRun()
{
    const char *value = std::getenv(SHARD_VARIABLE);
    Shard shard;
    char slash = 0;
    std::istringstream text(value == nullptr ? "0/1" : value);
    text >> shard.index >> slash >> shard.count;
    return shard.count > 0 ? shard : Shard{};
}

/// Removes the known failures and the groups of other shards from the registry, because CppUTest's filters can exclude only one test by group and
/// name.
void selectTests(const std::string &program)
{
    const std::set<std::string> skipped = knownFailures();
    const Shard shard = shardToRun();
    std::vector<std::string> groups;
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
            continue;
        }
        const std::string group = test->getGroup().asCharString();
        const auto known = std::ranges::find(groups, group);
        const auto number = static_cast<size_t>(known - groups.begin());
        if (known == groups.end()) {
            groups.push_back(group);
        }
        if (number % shard.count == shard.index) {
            registry.addTest(test);
        }
    }
}
} // namespace

int main(int argc, char **argv)
{
    // Libraries keep process-wide caches, which CppUTest's leak detection would report as leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    selectTests(std::filesystem::path(argv[0]).filename());
    return CommandLineTestRunner::RunAllTests(argc, argv);
}

// Entry point of the gateway daemon: reads the settings file provided by the platform and serves until a shutdown is requested.

#include "gateway/gateway.h"
#include "platform/settings.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace
{
using namespace daisymount;

constexpr int EXIT_WRONG_ARGUMENTS = 1;
constexpr int EXIT_INVALID_SETTINGS = 2;
constexpr int EXIT_CANNOT_START = 3;
constexpr int EXIT_LOOP_FAILED = 4;

constexpr std::string_view USAGE
    = "usage: daisymountgateway [--check | --help]\n"
      "Serves callers with the settings file that the environment variable DAISYMOUNT_CONFIG names.\n"
      "  --check  check the settings and exit\n"
      "Exit codes: 0 graceful shutdown or valid settings, 1 wrong arguments, 2 invalid settings, 3 cannot start, 4 a loop failed again and again.\n";

framework::Result<fleet::NodeSettings> readGatewaySettings()
{
    return platform::readSettingsFile(platform::ProcessRole::Gateway);
}
} // namespace

int main(int argc, char **argv)
{
    const std::string_view option = argc > 1 ? argv[1] : "";
    if (argc > 2 || (argc == 2 && option != "--check" && option != "--help")) {
        std::cerr << USAGE;
        return EXIT_WRONG_ARGUMENTS;
    }
    if (option == "--help") {
        std::cout << USAGE;
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    fleet::NodeSettings settings;
    const framework::Ret read = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(settings, readGatewaySettings());
        return {};
    });
    if (!read) {
        std::cerr << "invalid settings: " << read.detail << '\n';
        return EXIT_INVALID_SETTINGS;
    }
    if (option == "--check") {
        std::cout << "settings are valid\n";
        return 0;
    }
    try {
        gateway::Gateway gateway(settings, readGatewaySettings);
        const bool shutDown = gateway.run();
        // Suspended coroutines hold references to the gateway and its reactor, so no order of destruction is safe: exit without destructors.
        std::_Exit(shutDown ? 0 : EXIT_LOOP_FAILED);
    } catch (const std::exception &error) {
        std::cerr << "cannot serve: " << error.what() << '\n';
        return EXIT_CANNOT_START;
    }
    return 0;
}

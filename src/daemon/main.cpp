// The daemon: reads its settings, runs one role until a signal asks it to stop gracefully.

#include "daemon/entrydaemon.h"
#include "daemon/settings.h"
#include "daemon/sidecardaemon.h"
#include "framework/eventlog.h"

#include <docopt.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>

namespace
{
constexpr const char *USAGE = R"(daisymountd: load balancer for expert-parallel model groups.

Usage:
  daisymountd --settings=FILE [--check]
  daisymountd (-h | --help)
  daisymountd --version

Options:
  --settings=FILE  Settings file (TOML).
  --check          Check the settings and exit.
  -h --help        Show this text.
  --version        Show the version.

Exit codes: 0 graceful shutdown or valid settings, 1 wrong arguments, 2 invalid settings, 3 cannot start.
)";

constexpr int EXIT_INVALID_SETTINGS = 2;
constexpr int EXIT_CANNOT_START = 3;
constexpr size_t HISTORY_LINES = 20'000;

using namespace daisymount;

bool loadSettings(const std::string &path, daemon::NodeSettings &settings)
{
    framework::Diagnostics diagnostics;
    std::ifstream file(path);
    if (!file) {
        diagnostics.push_back({framework::ResultCode::MissingSetting, path, 0, "-", "a readable file"});
    } else {
        std::ostringstream text;
        text << file.rdbuf();
        settings = daemon::readSettings(text.str(), path, diagnostics);
    }
    for (const framework::Diagnostic &diagnostic : diagnostics) {
        std::cerr << diagnostic.text() << '\n';
    }
    return diagnostics.empty();
}

std::unique_ptr<daemon::IDaemon> makeDaemon(const daemon::NodeSettings &settings, daemon::EventHistory &log)
{
    if (settings.role == "entry") {
        return std::make_unique<daemon::EntryDaemon>(settings, log);
    }
    return std::make_unique<daemon::SidecarDaemon>(settings, log);
}

void waitUntilDrained(const daemon::IDaemon &process)
{
    while (!process.drained()) {
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
}

/// Blocks the signals in all threads to come; returns the set to wait for.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}
} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc}, true, "daisymountd 0.1.0");
    daemon::NodeSettings settings;
    if (!loadSettings(arguments.at("--settings").asString(), settings)) {
        return EXIT_INVALID_SETTINGS;
    }
    if (arguments.at("--check").asBool()) {
        std::cout << "settings are valid\n";
        return 0;
    }
    const sigset_t signals = blockSignals();
    framework::initialiseLogging(argv[0]);
    daemon::EventHistory log({settings.name, settings.zone}, HISTORY_LINES);
    const std::unique_ptr<daemon::IDaemon> process = makeDaemon(settings, log);
    if (const framework::Ret started = process->start(); !started) {
        log.report({"process", "cannot_start", started.code, "", {{"detail", started.detail}}});
        return EXIT_CANNOT_START;
    }
    log.report({"process", "started", framework::ResultCode::Ok, "", {{"role", settings.role}, {"address", settings.address}}});
    int received = 0;
    sigwait(&signals, &received);
    log.report({"process", "draining", framework::ResultCode::Draining, "", {{"signal", std::to_string(received)}}});
    process->drain();
    waitUntilDrained(*process);
    process->stop();
    log.report({"process", "stopped", framework::ResultCode::Ok, "", {}});
    return 0;
}

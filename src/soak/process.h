// A program of the project as a process of its own, with settings like those that the platform writes.

#pragma once

#include "framework/clock.h"

#include <filesystem>
#include <string>
#include <sys/types.h>
#include <vector>

namespace daisymount::soak
{

/// Ports are the same on all machines of a site.
struct SitePorts
{
    uint16_t peer = 0;
    uint16_t callers = 0;
    uint16_t ready = 0;
    uint16_t directory = 0;
    uint16_t control = 0;
};

struct ProcessOptions
{
    std::string program;
    std::string name;
    std::string ip;
    std::string zone;
    std::string engine; ///< Address of the engine beside a rank agent; empty for a gateway.
    std::string store;
    std::vector<std::string> seeds;
    SitePorts ports;
    std::filesystem::path folder;
};

/// Killed at the latest by the destructor, by its id.
class Process
{
public:
    explicit Process(ProcessOptions options);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Returns false if the process could not be started.
    bool start();
    void signal(int number);
    /// Reaps the process if it has ended. Sets endedByItself() if no signal had asked for it.
    bool ended();
    void kill();

    const std::string &name() const;
    const std::string &ip() const;
    std::string directoryAddress() const;
    std::string metricsAddress() const;
    /// When the current process was started.
    framework::Instant startedAt() const;
    /// Empty for a rank agent.
    std::string callerAddress() const;
    /// When SIGTERM was last sent to the current process; 0 if it was not.
    framework::Instant terminatedAt() const;
    /// When the process was last started or terminated.
    framework::Instant disturbedAt() const;
    /// How the process ended by itself; empty if it did not.
    const std::string &ownEnd() const;

private:
    ProcessOptions options_;
    std::filesystem::path settings_;
    std::filesystem::path log_;
    pid_t id_ = 0; ///< 0 while no process runs.
    framework::Instant terminatedAt_{0};
    framework::Instant startedAt_{0};
    framework::Instant disturbedAt_{0};
    std::string ownEnd_;
};

} // namespace daisymount::soak

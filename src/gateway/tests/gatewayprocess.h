// A gateway that runs as a process of its own.

#pragma once

#include "gatewayfixture.h"
#include "loopbacknetwork.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <vector>

extern char **environ;

namespace daisymount::gateway::tests
{

/// Gateway process with an address of its own on loopback, killed at the latest by the destructor.
class GatewayProcess
{
public:
    GatewayProcess(const LoopbackNetwork &network, size_t number, const std::string &store, const std::filesystem::path &folder)
        : settings_(folder / ("gateway" + std::to_string(number) + ".toml")), log_(folder / ("gateway" + std::to_string(number) + ".log"))
    {
        const std::string ip = network.address(number);
        endpoint_ = {asio::ip::make_address_v4(ip), LoopbackNetwork::CALLER_PORT};
        std::ofstream file(settings_);
        const auto address = [&](uint16_t port) { return "\"" + ip + ":" + std::to_string(port) + "\"\n"; };
        file << "node_name = \"gateway" << number << "\"\nip = \"" << ip << "\"\nzone = \"z\"\nregion = \"r\"\nport_range = [" << LoopbackNetwork::PEER_PORT
             << "," << LoopbackNetwork::PEER_PORT + 1 << "]\nseeds = [\"" << network.address(1)
             << ":1\"]\n[listen]\nfront = " << address(LoopbackNetwork::CALLER_PORT) << "ready = " << address(LoopbackNetwork::READY_PORT)
             << "directory = " << address(LoopbackNetwork::DIRECTORY_PORT) << "[limits]\nmemory_mb = 256\nmax_fds = 1024\n[platform]\naddress = \"" << store
             << "\"\n[bounds]\ncontact_ms = 3000\nconfig_apply_ms = 3000\ngrace_s = 8\nbudget_slack = 1000.0\n";
    }

    ~GatewayProcess()
    {
        kill();
    }

    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    /// Returns false if the process could not be started.
    bool start()
    {
        const std::string variable = "DAISYMOUNT_CONFIG=" + settings_.string();
        std::vector<char *> environment;
        for (char **entry = environ; *entry != nullptr; ++entry) {
            environment.push_back(*entry);
        }
        environment.push_back(const_cast<char *>(variable.c_str()));
        environment.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, 1, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        // The child must not inherit the listening sockets of the simulated upstreams.
        posix_spawn_file_actions_addclosefrom_np(&files, 3);
        char program[] = GATEWAY_PROGRAM;
        char *arguments[] = {program, nullptr};
        const bool started = posix_spawn(&process_, program, &files, nullptr, arguments, environment.data()) == 0;
        posix_spawn_file_actions_destroy(&files);
        return started;
    }

    /// Asks the process to shut down gracefully.
    void terminate() const
    {
        ::kill(process_, SIGTERM);
    }

    /// True once the process has ended by itself.
    bool ended()
    {
        if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
            process_ = 0;
        }
        return process_ == 0;
    }

    void kill()
    {
        if (process_ > 0) {
            ::kill(process_, SIGKILL);
            ::waitpid(process_, nullptr, 0);
            process_ = 0;
        }
    }

    pid_t id() const
    {
        return process_;
    }

    /// Everything that the process has logged so far.
    std::string logText() const
    {
        std::ifstream file(log_);
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }

    asio::ip::tcp::endpoint endpoint() const
    {
        return endpoint_;
    }

private:
    std::filesystem::path settings_;
    std::filesystem::path log_;
    asio::ip::tcp::endpoint endpoint_;
    pid_t process_ = 0;
};

} // namespace daisymount::gateway::tests

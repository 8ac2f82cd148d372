// The project's programs as processes, with settings like those that the platform writes.

#pragma once

#include "record.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <optional>
#include <spawn.h>
#include <sys/wait.h>

extern char **environ;

namespace review
{

struct Site
{
    std::string network; ///< First three bytes of all addresses, with a dot at the end.
    std::string store;
    int peerPort = 0;
    int frontPort = 0;
    int readyPort = 0;
    int directoryPort = 0;
    int controlPort = 0;
    std::filesystem::path folder;
    std::vector<std::string> seeds;
    int memoryMb = 260;
};

/// One program on one machine.
class Node
{
public:
    Node(const Site &site, Record &record, std::string name, std::string ip, std::string zone, std::string engine = "")
        : record_(record)
        , name_(std::move(name))
        , ip_(std::move(ip))
        , front_(ip_ + ":" + std::to_string(site.frontPort))
        , settings_(site.folder / (name_ + ".toml"))
        , log_(site.folder / (name_ + ".log"))
        , program_(engine.empty() ? "target/src/gateway/daisymountgateway" : "target/src/rankagent/daisymountrankagent")
    {
        const auto address = [&](int port) { return "\"" + ip_ + ":" + std::to_string(port) + "\"\n"; };
        std::ofstream file(settings_);
        file << "node_name = \"" << name_ << "\"\nip = \"" << ip_ << "\"\nzone = \"" << zone << "\"\nregion = \"r\"\nport_range = [" << site.peerPort << ","
             << site.peerPort + 15 << "]\nseeds = [";
        for (size_t i = 0; i < site.seeds.size(); ++i) {
            file << (i == 0 ? "\"" : ",\"") << site.seeds[i] << ":" << site.controlPort << "\"";
        }
        file << "]\nheartbeat_ms = 1200\n";
        if (!engine.empty()) {
            file << "app = \"" << engine << "\"\n[listen]\n";
        } else {
            file << "[listen]\nfront = " << address(site.frontPort) << "ready = " << address(site.readyPort) << "control = " << address(site.controlPort)
                 << "directory = " << address(site.directoryPort);
        }
        file << "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = " << site.memoryMb
             << "\nmax_fds = 4100\n[tolerate]\nmachines = 1\nzones = 1\n[bounds]\ncontact_ms = 3000\ndrain_ms = 2000\n"
                "grace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nretry_budget_ratio = 0.2\nretry_window_s = 10\nbudget_slack = 88\n"
                "cold_overshoot = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\npass_ms = 120\nstall_ms = 1500\nttl_max_s = 5\n"
                "fencing_required = true\n[platform]\naddress = \""
             << site.store << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nttl_min_ms = 1000\n";
    }

    ~Node()
    {
        kill(SIGKILL);
        wait(5);
    }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    const std::string &name() const
    {
        return name_;
    }

    const std::string &front() const
    {
        return front_;
    }

    bool start()
    {
        const std::lock_guard lock(mutex_);
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
        char *arguments[] = {program_.data(), nullptr};
        pid_t process = 0;
        const bool started = posix_spawn(&process, program_.c_str(), &files, nullptr, arguments, environment.data()) == 0;
        posix_spawn_file_actions_destroy(&files);
        process_ = started ? process : 0;
        disturbedAt_ = seconds();
        signalled_ = false;
        record_.line(name_ + (started ? " starts" : " can't be started"));
        return started;
    }

    void kill(int signal)
    {
        const std::lock_guard lock(mutex_);
        if (process_ > 0) {
            if (signal != SIGKILL) {
                record_.line(name_ + " gets signal " + std::to_string(signal));
            }
            if (signal == SIGTERM || signal == SIGKILL) {
                signalled_ = true;
            }
            disturbedAt_ = seconds();
            ::kill(process_, signal);
        }
    }

    /// Reaps the process if it has ended. Counts ends that nobody asked for.
    bool ended()
    {
        const std::lock_guard lock(mutex_);
        int status = 0;
        if (process_ > 0 && ::waitpid(process_, &status, WNOHANG) == process_) {
            process_ = 0;
            const std::string how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "code " + std::to_string(WEXITSTATUS(status));
            record_.line(name_ + (signalled_ ? " has ended with " : " ENDS BY ITSELF with ") + how);
            ownEnds_ += signalled_ ? 0 : 1;
        }
        return process_ == 0;
    }

    bool wait(double forSeconds)
    {
        const double end = seconds() + forSeconds;
        while (!ended() && seconds() < end) {
            sleepMs(5);
        }
        return ended();
    }

    bool running() const
    {
        return process_ > 0;
    }

    bool signalled() const
    {
        return signalled_;
    }

    int ownEnds() const
    {
        return ownEnds_;
    }

    /// True if the script has neither started nor signalled the process in the last @p contact seconds. An end of its own doesn't count.
    bool inTouch(double at, double contact = 3.0) const
    {
        return at - disturbedAt_ > contact;
    }

    /// Resident memory, in kB.
    long memoryKb() const
    {
        std::ifstream file("/proc/" + std::to_string(process_) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with("VmRSS:")) {
                return std::atol(line.c_str() + 6);
            }
        }
        return 0;
    }

private:
    Record &record_;
    std::string name_;
    std::string ip_;
    std::string front_;
    std::filesystem::path settings_;
    std::filesystem::path log_;
    std::string program_;
    std::mutex mutex_;
    std::atomic<pid_t> process_{0};
    std::atomic<bool> signalled_{false};
    std::atomic<int> ownEnds_{0};
    std::atomic<double> disturbedAt_{0};
};

inline std::filesystem::path temporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return ::mkdtemp(pattern.data());
}

/// True once the ready page at IP:PORT answers 200.
inline bool isReady(const std::string &address)
{
    const std::unique_ptr<Socket> socket = connectTo(address);
    Message answer;
    return socket && socket->write("GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") && socket->read(answer, 1000) == ReadResult::Complete
        && answer.status() == 200;
}

} // namespace review

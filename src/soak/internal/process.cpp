// Writes settings, starts and signals one process.

#include "soak/process.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>

extern char **environ;

namespace daisymount::soak
{

namespace
{
/// Fixed by the platform.
const std::string METRICS_PORT = "9464";
} // namespace

Process::Process(ProcessOptions options)
    : options_(std::move(options)), settings_(options_.folder / (options_.name + ".toml")), log_(options_.folder / (options_.name + ".log"))
{
    const auto address = [this](uint16_t port) { return "\"" + options_.ip + ":" + std::to_string(port) + "\"\n"; };
    std::ofstream file(settings_);
    file << "node_name = \"" << options_.name << "\"\nip = \"" << options_.ip << "\"\nzone = \"" << options_.zone << "\"\nregion = \"r\"\nport_range = ["
         << options_.ports.peer << "," << options_.ports.peer + 15 << "]\nseeds = [";
    for (size_t i = 0; i < options_.seeds.size(); ++i) {
        file << (i == 0 ? "\"" : ",\"") << options_.seeds[i] << ":" << options_.ports.control << "\"";
    }
    file << "]\nheartbeat_ms = 1200\n";
    if (options_.engine.empty()) {
        file << "[listen]\nfront = " << address(options_.ports.callers) << "ready = " << address(options_.ports.ready)
             << "control = " << address(options_.ports.control) << "directory = " << address(options_.ports.directory);
    } else {
        file << "app = \"" << options_.engine << "\"\n[listen]\n";
    }
    file << "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n[bounds]\ncontact_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\n"
            "loss_slack_ms = 200\nconfig_apply_ms = 2000\nretry_budget_ratio = 0.2\nretry_window_s = 10\nbudget_slack = 90\ncold_overshoot = 1.5\n"
            "cold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\npass_ms = 120\nstall_ms = 1500\nttl_max_s = 5\nfencing_required = true\n[platform]\naddress "
            "= \""
         << options_.store << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nttl_min_ms = 1000\n";
}

Process::~Process()
{
    kill();
}

bool Process::start()
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
    posix_spawn_file_actions_addclosefrom_np(&files, 3);
    char *arguments[] = {options_.program.data(), nullptr};
    const bool started = posix_spawn(&id_, options_.program.c_str(), &files, nullptr, arguments, environment.data()) == 0;
    posix_spawn_file_actions_destroy(&files);
    id_ = started ? id_ : 0;
    terminatedAt_ = framework::Instant{0};
    startedAt_ = disturbedAt_ = framework::monotonicNow();
    return started;
}

void Process::signal(int number)
{
    if (id_ == 0) {
        return;
    }
    if (number == SIGTERM && terminatedAt_ == framework::Instant{0}) {
        terminatedAt_ = disturbedAt_ = framework::monotonicNow();
    }
    ::kill(id_, number);
}

bool Process::ended()
{
    int status = 0;
    if (id_ > 0 && ::waitpid(id_, &status, WNOHANG) == id_) {
        id_ = 0;
        const bool graceful = WIFEXITED(status) && WEXITSTATUS(status) == 0 && terminatedAt_ != framework::Instant{0};
        if (!graceful) {
            ownEnd_ = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "code " + std::to_string(WEXITSTATUS(status));
        }
    }
    return id_ == 0;
}

void Process::kill()
{
    if (id_ > 0) {
        ::kill(id_, SIGKILL);
        ::waitpid(id_, nullptr, 0);
        id_ = 0;
    }
}

const std::string &Process::name() const
{
    return options_.name;
}

const std::string &Process::ip() const
{
    return options_.ip;
}

std::string Process::directoryAddress() const
{
    return options_.ip + ":" + std::to_string(options_.ports.directory);
}

std::string Process::metricsAddress() const
{
    return options_.ip + ":" + METRICS_PORT;
}

framework::Instant Process::startedAt() const
{
    return startedAt_;
}

std::string Process::callerAddress() const
{
    return options_.engine.empty() ? options_.ip + ":" + std::to_string(options_.ports.callers) : std::string();
}

framework::Instant Process::terminatedAt() const
{
    return terminatedAt_;
}

framework::Instant Process::disturbedAt() const
{
    return disturbedAt_;
}

const std::string &Process::ownEnd() const
{
    return ownEnd_;
}

} // namespace daisymount::soak

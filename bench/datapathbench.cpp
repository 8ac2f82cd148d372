// Latency and processor time of the data path: the same streams sent straight to a stand-in engine and through an entry and a
// sidecar, interleaved in one run.

#include "table.h"

#include "framework/json.h"
#include "network/httpclient.h"

#include <docopt.h>

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

namespace
{
using namespace daisymount;
using framework::Instant;
using framework::monotonicNow;

constexpr const char *USAGE = R"(Measures the data path.

Usage: datapath --engine=ADDRESS --entry=ADDRESS --key=KEY --pids=LIST [--streams=N] [--rounds=N] [--tokens=N]

Options:
  --pids=LIST   Process ids of the entry and the sidecar, separated by a comma.
  --streams=N   Streams at once [default: 8].
  --rounds=N    Rounds over each path [default: 30].
  --tokens=N    Tokens per stream [default: 64].
)";

struct Samples
{
    std::vector<double> firstTokenMs;
    std::vector<double> totalMs;
    int64_t tokens = 0;
    int failed = 0;
};

double percentile(std::vector<double> samples, double share)
{
    if (samples.empty()) {
        return 0.0;
    }
    std::sort(samples.begin(), samples.end());
    return samples[static_cast<size_t>(share * static_cast<double>(samples.size() - 1))];
}

/// User and system time of a process in seconds.
double processSeconds(const std::string &pid)
{
    std::ifstream file("/proc/" + pid + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    long ticks = 0;
    for (int i = 0; i < 13 && fields >> field; ++i) {
        ticks += i >= 11 ? std::stol(field) : 0;
    }
    return static_cast<double>(ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMb(const std::string &pid)
{
    std::ifstream file("/proc/" + pid + "/statm");
    long size = 0;
    long resident = 0;
    file >> size >> resident;
    return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / 1048576.0;
}

class Loader
{
public:
    Loader() : duty_("loader", framework::milliseconds{5}), inbox_(duty_.makeInbox()), port_(client_.makePort(duty_))
    {
        duty_.start({[] {}, {}, -1});
        client_.start();
    }

    ~Loader()
    {
        duty_.stop();
        client_.stop();
    }

    /// Runs @p streams at once and waits for all.
    void round(const std::string &address, const std::string &key, int streams, int64_t tokens, Samples &samples)
    {
        std::atomic<int> open{streams};
        std::mutex mutex;
        for (int i = 0; i < streams; ++i) {
            inbox_->post([&, i] {
                network::HttpCall call;
                call.method = "POST";
                call.url = "http://" + address + "/v1/completions";
                call.headers = {"Content-Type: application/json", "Authorization: Bearer " + key};
                Json::Value body;
                body["model"] = "model";
                body["prompt"] = "stream " + std::to_string(++sequence_) + " of " + std::to_string(i);
                body["stream"] = true;
                body["max_tokens"] = static_cast<Json::Int64>(tokens);
                call.body = framework::writeJson(body);
                const Instant start = monotonicNow();
                const auto first = std::make_shared<Instant>(0);
                network::HttpCallHooks hooks;
                hooks.data = [first](int, std::string_view) { *first = *first == Instant{0} ? monotonicNow() : *first; };
                hooks.done = [&, start, first](network::CallResult result, int status) {
                    const std::lock_guard lock(mutex);
                    const bool good = result == network::CallResult::Complete && status == 200;
                    samples.failed += good ? 0 : 1;
                    if (good) {
                        samples.firstTokenMs.push_back(std::chrono::duration<double, std::milli>(*first - start).count());
                        samples.totalMs.push_back(std::chrono::duration<double, std::milli>(monotonicNow() - start).count());
                        samples.tokens += tokens;
                    }
                    --open;
                };
                port_->start(std::move(call), std::move(hooks));
            });
        }
        while (open > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds{2});
        }
    }

private:
    network::HttpClient client_;
    network::DutyThread duty_;
    std::shared_ptr<network::Inbox> inbox_;
    std::unique_ptr<network::ClientPort> port_;
    uint64_t sequence_ = 0;
};
} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc});
    const std::string engine = arguments.at("--engine").asString();
    const std::string entry = arguments.at("--entry").asString();
    const std::string key = arguments.at("--key").asString();
    const std::string pids = arguments.at("--pids").asString();
    const std::string entryPid = pids.substr(0, pids.find(','));
    const std::string sidecarPid = pids.substr(pids.find(',') + 1);
    const int streams = static_cast<int>(arguments.at("--streams").asLong());
    const int64_t tokens = arguments.at("--tokens").asLong();
    Loader loader;
    Samples direct;
    Samples through;
    for (int i = 0; i < 5; ++i) {
        Samples warmUp;
        loader.round(entry, key, streams, tokens, warmUp);
        loader.round(engine, key, streams, tokens, warmUp);
    }
    double entrySeconds = 0.0;
    double sidecarSeconds = 0.0;
    double throughSeconds = 0.0;
    for (int64_t i = 0; i < arguments.at("--rounds").asLong(); ++i) {
        loader.round(engine, key, streams, tokens, direct);
        const double entryBefore = processSeconds(entryPid);
        const double sidecarBefore = processSeconds(sidecarPid);
        const Instant before = monotonicNow();
        loader.round(entry, key, streams, tokens, through);
        throughSeconds += std::chrono::duration<double>(monotonicNow() - before).count();
        entrySeconds += processSeconds(entryPid) - entryBefore;
        sidecarSeconds += processSeconds(sidecarPid) - sidecarBefore;
    }
    using namespace daisymount::bench;
    const double perToken = entrySeconds / static_cast<double>(through.tokens);
    const double sidecarPerToken = sidecarSeconds / static_cast<double>(through.tokens);
    printTitle("Data path: " + std::to_string(streams) + " streams at once of " + std::to_string(tokens)
               + " tokens (baseline: straight to the engine in the same run)");
    const auto added = [](const std::vector<double> &a, const std::vector<double> &b, double share) { return percentile(a, share) - percentile(b, share); };
    const double p50 = added(through.firstTokenMs, direct.firstTokenMs, 0.5);
    const double p99 = added(through.firstTokenMs, direct.firstTokenMs, 0.99);
    printRow("first token, p50 ms (added " + std::to_string(p50) + ")", "+1", percentile(direct.firstTokenMs, 0.5), percentile(through.firstTokenMs, 0.5),
             verdict(p50 <= 1.0));
    printRow("first token, p99 ms (added " + std::to_string(p99) + ")", "+3", percentile(direct.firstTokenMs, 0.99), percentile(through.firstTokenMs, 0.99),
             verdict(p99 <= 3.0));
    printRow("whole stream, p50 ms", "-", percentile(direct.totalMs, 0.5), percentile(through.totalMs, 0.5), "-");
    printRow("relayed tokens a second", "-", 0.0, static_cast<double>(through.tokens) / throughSeconds, "-");
    printRow("entry: CPU per token, us", "-", 0.0, perToken * 1e6, "-");
    printRow("entry: share of a core at 6,400 tokens/s", "0.5", 0.0, perToken * 6400.0, verdict(perToken * 6400.0 < 0.5));
    printRow("sidecar: CPU per token, us", "-", 0.0, sidecarPerToken * 1e6, "-");
    printRow("entry: resident MB", "256", 0.0, residentMb(entryPid), verdict(residentMb(entryPid) < 256));
    printRow("sidecar: resident MB", "256", 0.0, residentMb(sidecarPid), verdict(residentMb(sidecarPid) < 256));
    printRow("failed streams", "0", direct.failed, through.failed, verdict(through.failed == 0));
    return 0;
}

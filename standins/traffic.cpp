// Traffic generator of the demo and the end-to-end run. Sends quotations (streamed), member questions (not streamed) and
// order confirmations (non-idempotent) to the entries, with retries. At the end it reads the execution records of the
// stand-ins, checks the promises (service guarantees) and prints a table. Exits with 1 if a promise was broken.

#include "answertext.h"
#include "promises/promiseledger.h"
#include "standinserver.h"

#include "framework/json.h"
#include "network/httpclient.h"

#include <docopt.h>

#include <algorithm>
#include <condition_variable>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <sstream>

namespace
{
using namespace daisymount;
using framework::Duration;
using framework::Instant;
using framework::monotonicNow;
using framework::ResultCode;
using framework::RunState;
using network::CallResult;

constexpr const char *USAGE = R"(Sends work to a daisymount site and checks its promises.

Usage: traffic --entries=LIST --model=NAME --plain=NAME --key=KEY --upstreams=FILE [options]

Options:
  --entries=LIST       Addresses of some entries, separated by commas.
  --model=NAME         Model service.
  --plain=NAME         Plain service.
  --key=KEY            API key.
  --upstreams=FILE     Lines "name zone kind address" of the stand-ins behind the sidecars.
  --events=FILE        Lines "zone-out|zone-in|leaving|returned NAME UNIX_MS", written by the caller of this program.
  --seconds=N          Duration [default: 20].
  --quotations=N       Streamed requests a second [default: 12].
  --questions=N        Whole requests a second [default: 12].
  --orders=N           Order confirmations a second [default: 8].
  --tokens=N           Tokens per answer [default: 16].
  --seed=N             Seed of the arrivals [default: 1].
  --allow-lost         Entries may be killed: an answer that never comes is not a broken promise.
)";

enum class RequestKind {
    Quotation,
    Question,
    Order,
};

constexpr int MAX_ATTEMPTS = 6;
constexpr Duration ATTEMPT_TIMEOUT = framework::seconds{20};
constexpr Duration MAX_RETRY_DELAY = framework::milliseconds{1000};
/// A zone or VM that is out of service or leaving must get no new work once this time has passed.
constexpr Duration WITHDRAWAL_GRACE = framework::seconds{3};

struct Job
{
    RequestKind kind = RequestKind::Quotation;
    std::string id;
    std::string key;
    std::string prompt;
    int attempts = 0;
    Instant startedAt{0};
    Instant firstTokenAt{0};
    Instant lastTokenAt{0};
    std::string buffer; ///< Undecoded remainder of a stream, or the complete body of any other response.
    std::string text;
    bool streamEnded = false; ///< The end marker of the stream has been received.
};

struct RequestCounters
{
    int64_t sent = 0;
    int64_t answered = 0;
    int64_t unknownOutcome = 0;
    int64_t lost = 0; ///< Not answered within MAX_ATTEMPTS attempts.
    std::map<std::string, int64_t> refused; ///< Error responses by name of the result code.
};

struct Options
{
    std::vector<std::string> entries;
    std::string model;
    std::string plain;
    std::string apiKey;
    std::string upstreamsFile;
    std::string eventsFile;
    int64_t seconds = 0;
    std::map<RequestKind, double> rates;
    int64_t tokens = 0;
    uint64_t seed = 1;
    bool allowLost = false;
};

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

double percentile(std::vector<double> samples, double quantile)
{
    if (samples.empty()) {
        return 0.0;
    }
    const auto rank = static_cast<size_t>(quantile * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(rank), samples.end());
    return samples[rank];
}

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

class Traffic
{
public:
    explicit Traffic(Options options)
        : options_(std::move(options))
        , random_(options_.seed)
        , thread_("traffic", framework::milliseconds{2})
        , port_(client_.makePort(thread_))
        , ledger_(WITHDRAWAL_GRACE)
        , addresses_(options_.entries)
    { }

    int run()
    {
        client_.start();
        startedAt_ = monotonicNow();
        thread_.start({[this] { tick(); }, {}, -1});
        std::unique_lock lock(mutex_);
        finished_.wait(lock, [this] { return runEnded_; });
        lock.unlock();
        thread_.stop();
        client_.stop();
        return printReport();
    }

private:
    // Generation of requests.

    void tick()
    {
        const Instant now = monotonicNow();
        const bool sending = now - startedAt_ < std::chrono::seconds{options_.seconds};
        if (sending) {
            refreshAddresses(now);
            for (auto &[kind, rate] : options_.rates) {
                generateArrival(kind, rate, now);
            }
            printProgress(now);
        } else if (openJobs_ == 0 && !collectingStates_) {
            collectingStates_ = true;
            collectStates();
        }
        std::erase_if(pendingRetries_, [&](const PendingRetry &retry) {
            if (now < retry.retryAt) {
                return false;
            }
            readyJobs_.push_back(retry.job);
            return true;
        });
        std::vector<std::shared_ptr<Job>> ready;
        ready.swap(readyJobs_);
        for (const auto &job : ready) {
            send(job);
        }
    }

    /// Starts at most one job of @p kind if its next arrival is due. Interarrival times are exponentially distributed; the
    /// backlog of overdue arrivals is limited to 1 s.
    void generateArrival(RequestKind kind, double rate, Instant now)
    {
        Instant &next = nextArrival_[kind];
        if (rate <= 0.0 || now < next) {
            return;
        }
        std::exponential_distribution<double> interarrivalTime(rate);
        next = std::max(next, now - framework::seconds{1}) + Duration{static_cast<int64_t>(interarrivalTime(random_) * 1e6)};
        const auto job = std::make_shared<Job>();
        job->kind = kind;
        job->id = "job-" + std::to_string(++lastJob_);
        job->startedAt = now;
        if (kind == RequestKind::Order) {
            job->key = "order-" + std::to_string(options_.seed) + "-" + std::to_string(lastJob_);
        } else {
            job->prompt = "Cork grade " + std::to_string(lastJob_ % 24) + " for cooperages, question " + std::to_string(lastJob_);
        }
        ++counters_[kind].sent;
        ++openJobs_;
        send(job);
    }

    void printProgress(Instant now)
    {
        if (now < nextProgress_) {
            return;
        }
        nextProgress_ = now + framework::seconds{5};
        int64_t sent = 0;
        int64_t answered = 0;
        for (const auto &[kind, counters] : counters_) {
            sent += counters.sent;
            answered += counters.answered;
        }
        std::cout << "  " << std::chrono::duration_cast<std::chrono::seconds>(now - startedAt_).count() << " s: " << sent << " sent, " << answered
                  << " answered" << std::endl;
    }

    void refreshAddresses(Instant now)
    {
        if (now < nextRefresh_) {
            return;
        }
        nextRefresh_ = now + framework::milliseconds{1000};
        network::HttpCall call;
        call.url = "http://" + pickAddress() + "/v1/addresses?service=" + options_.model + "&organisation=" + std::to_string(lastJob_ % 3);
        call.timeout = framework::seconds{1};
        fetch(std::move(call), [this](CallResult result, const Json::Value &answer) {
            if (result != CallResult::Complete || !answer["addresses"].isArray() || answer["addresses"].empty()) {
                addresses_ = options_.entries;
                nextRefresh_ = Instant{0};
                return;
            }
            addresses_.clear();
            for (const Json::Value &address : answer["addresses"]) {
                addresses_.push_back(address.asString());
            }
            nextRefresh_ = monotonicNow() + std::chrono::milliseconds{framework::intField(answer, "ttl_ms")} / 2;
        });
    }

    std::string pickAddress()
    {
        std::uniform_int_distribution<size_t> position(0, addresses_.size() - 1);
        return addresses_[position(random_)];
    }

    /// Sends @p call and passes the JSON body of the response to @p handler.
    void fetch(network::HttpCall call, std::function<void(CallResult, const Json::Value &)> handler)
    {
        const auto text = std::make_shared<std::string>();
        network::HttpCallHooks hooks;
        hooks.data = [text](int, std::string_view bytes) { *text += bytes; };
        hooks.done = [text, handler = std::move(handler)](CallResult result, int) { handler(result, standins::parseBody(*text)); };
        port_->start(std::move(call), std::move(hooks));
    }

    // Processing of one job: attempts, responses and retries.

    network::HttpCall makeCall(const Job &job)
    {
        network::HttpCall call;
        call.method = "POST";
        call.timeout = ATTEMPT_TIMEOUT;
        call.headers = {"Authorization: Bearer " + options_.apiKey, "Content-Type: application/json"};
        const std::string base = "http://" + pickAddress();
        Json::Value body;
        body["model"] = options_.model;
        body["max_tokens"] = static_cast<Json::Int64>(options_.tokens);
        switch (job.kind) {
        case RequestKind::Quotation:
            call.url = base + "/v1/completions";
            body["prompt"] = job.prompt;
            body["stream"] = true;
            break;
        case RequestKind::Question:
            call.url = base + "/v1/chat/completions";
            body["messages"][0]["role"] = "user";
            body["messages"][0]["content"] = job.prompt;
            break;
        case RequestKind::Order:
            call.url = base + "/services/" + options_.plain + "/orders";
            call.headers.push_back("Idempotency-Key: " + job.key);
            body.clear();
            body["order"] = job.key;
            break;
        }
        call.body = framework::writeJson(body);
        return call;
    }

    void send(const std::shared_ptr<Job> &job)
    {
        ++job->attempts;
        job->buffer.clear();
        job->text.clear();
        job->streamEnded = false;
        network::HttpCallHooks hooks;
        hooks.data = [this, job](int status, std::string_view bytes) { onData(*job, status, bytes); };
        hooks.done = [this, job](CallResult result, int status) { onDone(job, result, status); };
        port_->start(makeCall(*job), std::move(hooks));
    }

    void onData(Job &job, int status, std::string_view bytes)
    {
        job.buffer += bytes;
        if (job.kind != RequestKind::Quotation || status != 200) {
            return;
        }
        for (size_t end = job.buffer.find("\n\n"); end != std::string::npos; end = job.buffer.find("\n\n")) {
            const std::string payload = job.buffer.substr(std::string("data: ").size(), end - std::string("data: ").size());
            job.buffer.erase(0, end + 2);
            onStreamEvent(job, payload);
        }
    }

    void onStreamEvent(Job &job, const std::string &payload)
    {
        if (payload == "[DONE]") {
            job.streamEnded = true;
            return;
        }
        const Json::Value event = standins::parseBody(payload);
        if (!event["choices"].isArray()) {
            return;
        }
        const Instant now = monotonicNow();
        if (job.firstTokenAt == Instant{0}) {
            job.firstTokenAt = now;
            firstTokenMs_.push_back(toMs(now - job.startedAt));
        } else if (job.lastTokenAt > Instant{0}) {
            interTokenMs_.push_back(toMs(now - job.lastTokenAt));
        }
        job.lastTokenAt = now;
        job.text += event["choices"][0]["text"].asString();
    }

    void onDone(const std::shared_ptr<Job> &job, CallResult result, int status)
    {
        if (result == CallResult::NotConnected) {
            retryOrCountLost(job, framework::milliseconds{50});
            return;
        }
        const bool broken = result != CallResult::Complete;
        const bool idempotent = job->kind != RequestKind::Order;
        if (status >= 400 && !broken) {
            onErrorResponse(job);
        } else if (broken || (job->kind == RequestKind::Quotation && !job->streamEnded)) {
            ++brokenConnections_;
            static_cast<void>(idempotent);
            retryOrCountLost(job, framework::milliseconds{50});
        } else {
            onAnswer(*job);
        }
    }

    void onErrorResponse(const std::shared_ptr<Job> &job)
    {
        const Json::Value error = standins::parseBody(job->buffer)["error"];
        const std::string name = framework::stringField(error, "name");
        const std::string ran = framework::stringField(error, "ran");
        const auto code = static_cast<ResultCode>(framework::intField(error, "code"));
        const RunState state = ran == "not_run" ? RunState::NotRun : ran == "ran" ? RunState::Ran : RunState::Unknown;
        ledger_.onReply(framework::stringField(error, "request"), job->key, code, state);
        ++counters_[job->kind].refused[name];
        if (code == ResultCode::OutcomeUnknown) {
            ++counters_[job->kind].unknownOutcome;
            finishJob();
            return;
        }
        const Duration retryDelay = std::chrono::milliseconds{framework::intField(error, "retry_after_ms")};
        retryOrCountLost(job, std::clamp<Duration>(retryDelay, framework::milliseconds{20}, MAX_RETRY_DELAY));
    }

    void onAnswer(const Job &job)
    {
        ++counters_[job.kind].answered;
        if (job.kind == RequestKind::Order) {
            ledger_.onReply(job.id, job.key, ResultCode::Ok, RunState::Ran);
            const Json::Value answer = standins::parseBody(job.buffer);
            ledger_.onCompleteAnswer(job.id, job.key, framework::stringField(answer, "confirmed"));
            orderMs_.push_back(toMs(monotonicNow() - job.startedAt));
        } else if (job.kind == RequestKind::Question) {
            const Json::Value answer = standins::parseBody(job.buffer);
            const std::string text = answer["choices"][0]["message"]["content"].asString();
            ledger_.onCompleteAnswer(job.id, standins::answerText(job.prompt, options_.tokens), text);
            fullAnswerMs_.push_back(toMs(monotonicNow() - job.startedAt));
        } else {
            ledger_.onCompleteAnswer(job.id, standins::answerText(job.prompt, options_.tokens), job.text);
        }
        finishJob();
    }

    /// Schedules the next attempt after @p retryDelay, or counts the job as lost after MAX_ATTEMPTS attempts.
    void retryOrCountLost(const std::shared_ptr<Job> &job, Duration retryDelay)
    {
        if (job->attempts >= MAX_ATTEMPTS) {
            ++counters_[job->kind].lost;
            finishJob();
            return;
        }
        pendingRetries_.push_back({monotonicNow() + retryDelay, job});
    }

    void finishJob()
    {
        --openJobs_;
    }

    // Evaluation at the end of the run.

    /// Requests the state of all stand-ins; endRun() follows once all have answered or failed.
    void collectStates()
    {
        std::ifstream file(options_.upstreamsFile);
        std::string name;
        std::string zone;
        std::string kind;
        std::string address;
        while (file >> name >> zone >> kind >> address) {
            ++pendingStateCalls_;
            network::HttpCall call;
            call.url = "http://" + address + "/standin/state";
            fetch(std::move(call), [this, name, zone](CallResult result, const Json::Value &state) { onState(name, zone, result, state); });
        }
        if (pendingStateCalls_ == 0) {
            endRun();
        }
    }

    void onState(const std::string &name, const std::string &zone, CallResult result, const Json::Value &state)
    {
        missingStates_ += result == CallResult::Complete ? 0 : 1;
        coldOverloads_ += framework::intField(state, "overloads");
        for (const Json::Value &start : state["starts_ms"]) {
            ledger_.onExecution("", name, zone, std::chrono::milliseconds{start.asInt64()});
        }
        const Json::Value &runs = state["runs"];
        for (const std::string &key : runs.isObject() ? runs.getMemberNames() : Json::Value::Members{}) {
            for (int run = 0; run < runs[key].asInt(); ++run) {
                ledger_.onExecution(key, name, "", Duration{0});
            }
            duplicateExecutions_ += std::max(0, runs[key].asInt() - 1);
        }
        if (--pendingStateCalls_ == 0) {
            endRun();
        }
    }

    void endRun()
    {
        readEvents();
        const std::lock_guard lock(mutex_);
        runEnded_ = true;
        finished_.notify_one();
    }

    /// Reads the times at which zones and VMs were withdrawn or brought back, and passes them to the ledger.
    void readEvents()
    {
        std::ifstream file(options_.eventsFile);
        std::string eventType;
        std::string name;
        int64_t atMs = 0;
        while (file >> eventType >> name >> atMs) {
            const Instant at = std::chrono::milliseconds{atMs};
            if (eventType == "zone-out") {
                ledger_.onZoneOut(name, at);
                zonesOutOfService_.push_back(name);
            } else if (eventType == "zone-in") {
                ledger_.onZoneIn(name, at);
            } else if (eventType == "leaving") {
                ledger_.onLeaving(name, at);
            } else if (eventType == "returned") {
                ledger_.onReturned(name, at);
            }
        }
    }

    static void printRow(const std::string &name, const std::vector<double> &samples)
    {
        std::cout << "  " << std::left << std::setw(34) << name << std::right << std::fixed << std::setprecision(1) << std::setw(9) << percentile(samples, 0.50)
                  << std::setw(9) << percentile(samples, 0.95) << std::setw(9) << percentile(samples, 0.99) << std::setw(9) << samples.size() << '\n';
    }

    int printReport()
    {
        const std::map<RequestKind, std::string> names{
            {RequestKind::Quotation, "quotations"}, {RequestKind::Question, "member questions"}, {RequestKind::Order, "order confirmations"}};
        int64_t lost = 0;
        std::cout << "\n  " << std::left << std::setw(22) << "work" << std::right << std::setw(8) << "sent" << std::setw(10) << "answered" << std::setw(9)
                  << "unknown" << std::setw(7) << "lost"
                  << "  refusals on the way\n";
        for (const auto &[kind, name] : names) {
            const RequestCounters &counters = counters_[kind];
            lost += counters.lost;
            std::cout << "  " << std::left << std::setw(22) << name << std::right << std::setw(8) << counters.sent << std::setw(10) << counters.answered
                      << std::setw(9) << counters.unknownOutcome << std::setw(7) << counters.lost << "  ";
            for (const auto &[code, count] : counters.refused) {
                std::cout << code << "=" << count << " ";
            }
            std::cout << '\n';
        }
        std::cout << "\n  " << std::left << std::setw(34) << "milliseconds" << std::right << std::setw(9) << "p50" << std::setw(9) << "p95" << std::setw(9)
                  << "p99" << std::setw(9) << "samples" << '\n';
        printRow("first token (quotations)", firstTokenMs_);
        printRow("between tokens (quotations)", interTokenMs_);
        printRow("whole answer (member questions)", fullAnswerMs_);
        printRow("order confirmations", orderMs_);
        std::cout << "\n  double runs: " << duplicateExecutions_ << ", cold engines overloaded: " << coldOverloads_
                  << ", connections broken: " << brokenConnections_ << ", stand-ins without report: " << missingStates_ << '\n';
        for (const std::string &zone : zonesOutOfService_) {
            std::cout << "  new work in " << zone << " later than 3 s after it was taken out: " << ledger_.lateExecutionCount(zone) << '\n';
        }
        if (lost > 0 && !options_.allowLost) {
            ledger_.onCutOff(std::to_string(lost) + " requests got no answer");
        }
        if (coldOverloads_ > 0) {
            ledger_.onColdLoad("a stand-in engine", coldOverloads_, 0);
        }
        const std::vector<promises::Violation> violations = ledger_.violations();
        for (const promises::Violation &violation : violations) {
            std::cout << "  BROKEN: " << promises::toString(violation.promise) << ": " << violation.detail << '\n';
        }
        std::cout << (violations.empty() ? "\n  all promises kept\n" : "\n  promises broken\n");
        return violations.empty() ? 0 : 1;
    }

    struct PendingRetry
    {
        Instant retryAt;
        std::shared_ptr<Job> job;
    };

    Options options_;
    std::mt19937_64 random_;
    network::HttpClient client_;
    network::DutyThread thread_;
    std::unique_ptr<network::ClientPort> port_;
    promises::PromiseLedger ledger_;
    std::vector<std::string> addresses_;
    Instant startedAt_{0};
    Instant nextRefresh_{0};
    Instant nextProgress_{0};
    std::map<RequestKind, Instant> nextArrival_;
    std::vector<PendingRetry> pendingRetries_;
    std::vector<std::shared_ptr<Job>> readyJobs_;
    std::map<RequestKind, RequestCounters> counters_;
    std::vector<double> firstTokenMs_;
    std::vector<double> interTokenMs_;
    std::vector<double> fullAnswerMs_;
    std::vector<double> orderMs_;
    std::vector<std::string> zonesOutOfService_;
    uint64_t lastJob_ = 0;
    int64_t openJobs_ = 0;
    int64_t brokenConnections_ = 0;
    int64_t duplicateExecutions_ = 0;
    int64_t coldOverloads_ = 0;
    int64_t missingStates_ = 0;
    int64_t pendingStateCalls_ = 0;
    bool collectingStates_ = false;
    std::mutex mutex_;
    std::condition_variable finished_;
    bool runEnded_ = false;
};
} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc});
    Options options;
    options.entries = split(arguments.at("--entries").asString(), ',');
    options.model = arguments.at("--model").asString();
    options.plain = arguments.at("--plain").asString();
    options.apiKey = arguments.at("--key").asString();
    options.upstreamsFile = arguments.at("--upstreams").asString();
    options.eventsFile = arguments.at("--events") ? arguments.at("--events").asString() : "";
    options.seconds = arguments.at("--seconds").asLong();
    options.rates = {{RequestKind::Quotation, std::stod(arguments.at("--quotations").asString())},
                     {RequestKind::Question, std::stod(arguments.at("--questions").asString())},
                     {RequestKind::Order, std::stod(arguments.at("--orders").asString())}};
    options.tokens = arguments.at("--tokens").asLong();
    options.seed = static_cast<uint64_t>(arguments.at("--seed").asLong());
    options.allowLost = arguments.at("--allow-lost").asBool();
    return Traffic(std::move(options)).run();
}

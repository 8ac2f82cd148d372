// Stand-in for a model engine. It streams tokens as server-sent events, can resume an answer from a token offset and keeps
// a prefix cache. After a start it is cold until it has completed a number of requests; a cold engine takes twice as long to
// the first token and crashes if its concurrency limit is exceeded. A prompt that contains CRASH_MARKER also crashes it.
//
// Fault injection: POST /standin/faults {"stall_ms": n, "slow": factor, "crash": bool, "cold": bool}. Counters: GET /standin/state. Load: GET /load.

#include "answertext.h"
#include "standinserver.h"

#include <docopt.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace
{
using namespace daisymount;
using framework::Duration;
using framework::Instant;
using network::ExchangeId;

constexpr const char *USAGE = R"(Stand-in for a model engine.

Usage: standin_engine --address=ADDRESS [options]

Options:
  --address=ADDRESS     Address and port to listen on.
  --first-token-ms=MS   Time to the first token of an uncached prompt [default: 40].
  --token-ms=MS         Time between tokens [default: 8].
  --cold-requests=N     Requests that warm it up [default: 12].
  --cold-bears=N        Requests in flight that a cold engine bears [default: 4].
  --restart-ms=MS       Time that a crashed engine is down [default: 1500].
)";

constexpr const char *CRASH_MARKER = "CRASH-ENGINE";
constexpr size_t PREFIX_LENGTH = 64;
constexpr size_t PREFIX_CACHE_ENTRIES = 64;
constexpr int64_t DEFAULT_MAX_TOKENS = 16;

struct EngineOptions
{
    std::string address;
    Duration firstTokenDelay;
    Duration tokenInterval;
    int64_t warmupRequests;
    int64_t coldConcurrencyLimit;
    Duration restartDelay;
};

class Engine
{
public:
    explicit Engine(const EngineOptions &options)
        : options_(options)
        , incarnation_(static_cast<uint64_t>(standins::unixMillis()))
        , server_(options.address, framework::milliseconds{1},
                  {[this](const network::HttpRequest &request) { onRequest(request); }, [this](ExchangeId exchange) { onDisconnected(exchange); },
                   [this] { tick(); }})
    { }

    int run()
    {
        return server_.run();
    }

private:
    struct Generation
    {
        std::string prompt;
        bool chat = false;
        int64_t nextToken = 0;
        int64_t tokenCount = 0;
        Instant nextTokenAt;
        bool streamStarted = false;
    };

    void onRequest(const network::HttpRequest &request)
    {
        const Json::Value body = standins::parseBody(request.body);
        if (request.path == "/standin/state") {
            server_.reply(request.exchange, 200, state());
        } else if (request.path == "/standin/faults") {
            setFaults(body);
            server_.reply(request.exchange, 200, Json::Value(Json::objectValue));
        } else if (framework::monotonicNow() < unavailableUntil_) {
            server_.replyPort().abort(request.exchange);
        } else if (request.path == "/load") {
            Json::Value load;
            load["incarnation"] = static_cast<Json::UInt64>(incarnation_);
            load["in_flight"] = static_cast<Json::UInt64>(generations_.size());
            server_.reply(request.exchange, 200, load);
        } else {
            startGeneration(request, body);
        }
    }

    void setFaults(const Json::Value &body)
    {
        stalledUntil_ = framework::monotonicNow() + std::chrono::milliseconds{framework::intField(body, "stall_ms")};
        slowdownFactor_ = std::max(1.0, framework::numberField(body, "slow"));
        if (framework::boolField(body, "cold")) {
            completedRequests_ = 0;
        }
        if (framework::boolField(body, "crash")) {
            crash();
        }
    }

    /// Returns whether the engine has completed too few requests since its start to be warm.
    bool isCold() const
    {
        return completedRequests_ < options_.warmupRequests;
    }

    /// Simulates a crash: aborts all generations, loses the prefix cache and restarts cold after the restart delay.
    void crash()
    {
        ++crashes_;
        ++incarnation_;
        completedRequests_ = 0;
        prefixCache_.clear();
        unavailableUntil_ = framework::monotonicNow() + options_.restartDelay;
        for (const auto &[exchange, generation] : generations_) {
            server_.replyPort().abort(exchange);
        }
        generations_.clear();
    }

    /// Returns the prompt of a completion request, or the content of the last message of a chat request.
    static std::string extractPrompt(const network::HttpRequest &request, const Json::Value &body)
    {
        if (request.path != "/v1/chat/completions") {
            return framework::stringField(body, "prompt");
        }
        const Json::Value &messages = body["messages"];
        return messages.isArray() && !messages.empty() ? framework::stringField(messages[messages.size() - 1], "content") : std::string();
    }

    void startGeneration(const network::HttpRequest &request, const Json::Value &body)
    {
        Generation generation;
        generation.prompt = extractPrompt(request, body);
        generation.chat = request.path == "/v1/chat/completions";
        generation.nextToken = framework::intField(body, "resume_from");
        generation.tokenCount = body.isMember("max_tokens") ? framework::intField(body, "max_tokens") : DEFAULT_MAX_TOKENS;
        startTimesMs_.append(static_cast<Json::Int64>(standins::unixMillis()));
        const bool cached = lookUpAndCachePrefix(generation.prompt.substr(0, PREFIX_LENGTH));
        const double coldFactor = isCold() ? 2.0 : 1.0;
        // A cached prefix reduces the time to the first token to a quarter.
        const auto prefill = options_.firstTokenDelay * (cached ? 1 : 4) / 4;
        generation.nextTokenAt = framework::monotonicNow() + scaled(prefill, coldFactor);
        generations_[request.exchange] = generation;
        const bool overloaded = isCold() && static_cast<int64_t>(generations_.size()) > options_.coldConcurrencyLimit;
        overloads_ += overloaded ? 1 : 0;
        if (overloaded || generation.prompt.find(CRASH_MARKER) != std::string::npos) {
            crash();
        }
    }

    /// Multiplies @p duration by @p factor and by the injected slowdown.
    Duration scaled(Duration duration, double factor) const
    {
        return Duration{static_cast<int64_t>(static_cast<double>(duration.count()) * factor * slowdownFactor_)};
    }

    /// Returns whether @p prefix was cached and moves it to the most recently used position, evicting the least recently used
    /// prefix if the cache is full.
    bool lookUpAndCachePrefix(const std::string &prefix)
    {
        const bool cached = std::find(prefixCache_.begin(), prefixCache_.end(), prefix) != prefixCache_.end();
        prefixHits_ += cached ? 1 : 0;
        std::erase(prefixCache_, prefix);
        prefixCache_.push_back(prefix);
        if (prefixCache_.size() > PREFIX_CACHE_ENTRIES) {
            prefixCache_.pop_front();
        }
        return cached;
    }

    void onDisconnected(ExchangeId exchange)
    {
        cancelled_ += generations_.erase(exchange);
    }

    void tick()
    {
        const Instant now = framework::monotonicNow();
        if (now < stalledUntil_) {
            return;
        }
        for (auto it = generations_.begin(); it != generations_.end();) {
            Generation &generation = it->second;
            if (generation.nextTokenAt <= now) {
                sendNextToken(it->first, generation, now);
            }
            it = generation.nextToken >= generation.tokenCount && generation.nextTokenAt <= now ? finishGeneration(it) : std::next(it);
        }
    }

    void sendNextToken(ExchangeId exchange, Generation &generation, Instant now)
    {
        if (!generation.streamStarted) {
            generation.streamStarted = true;
            server_.replyPort().beginStream(exchange, 200, "text/event-stream");
        }
        if (generation.nextToken >= generation.tokenCount) {
            return;
        }
        Json::Value event;
        const std::string text = standins::answerToken(generation.prompt, generation.nextToken);
        if (generation.chat) {
            event["choices"][0]["delta"]["content"] = text;
        } else {
            event["choices"][0]["text"] = text;
        }
        server_.replyPort().sendChunk(exchange, "data: " + framework::writeJson(event) + "\n\n");
        ++generation.nextToken;
        generation.nextTokenAt = std::max(generation.nextTokenAt + scaled(options_.tokenInterval, 1.0), now);
    }

    std::map<ExchangeId, Generation>::iterator finishGeneration(std::map<ExchangeId, Generation>::iterator it)
    {
        server_.replyPort().sendChunk(it->first, "data: [DONE]\n\n");
        server_.replyPort().endStream(it->first);
        ++completedRequests_;
        return generations_.erase(it);
    }

    Json::Value state() const
    {
        Json::Value value;
        value["incarnation"] = static_cast<Json::UInt64>(incarnation_);
        value["crashes"] = static_cast<Json::UInt64>(crashes_);
        value["overloads"] = static_cast<Json::UInt64>(overloads_);
        value["cancelled"] = static_cast<Json::UInt64>(cancelled_);
        value["prefix_hits"] = static_cast<Json::UInt64>(prefixHits_);
        value["starts_ms"] = startTimesMs_;
        return value;
    }

    EngineOptions options_;
    uint64_t incarnation_;
    int64_t completedRequests_ = 0;
    uint64_t crashes_ = 0;
    uint64_t overloads_ = 0;
    uint64_t cancelled_ = 0;
    uint64_t prefixHits_ = 0;
    double slowdownFactor_ = 1.0;
    Instant stalledUntil_{0};
    Instant unavailableUntil_{0};
    Json::Value startTimesMs_{Json::arrayValue};
    std::deque<std::string> prefixCache_;
    std::map<ExchangeId, Generation> generations_;
    standins::StandInServer server_;
};
} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc});
    const auto milliseconds = [&](const char *name) { return std::chrono::milliseconds{arguments.at(name).asLong()}; };
    const EngineOptions options{arguments.at("--address").asString(),     milliseconds("--first-token-ms"),      milliseconds("--token-ms"),
                                arguments.at("--cold-requests").asLong(), arguments.at("--cold-bears").asLong(), milliseconds("--restart-ms")};
    return Engine(options).run();
}

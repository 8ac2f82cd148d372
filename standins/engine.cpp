// Stand-in for a model engine: streams tokens as server-sent events, resumes from an offset, keeps a prefix cache, is cold
// after a start and falls over when a cold engine gets too much, crashes on a marked prompt.
//
// POST /standin/faults {"stall_ms": n, "slow": factor, "crash": bool, "cold": bool}; GET /standin/state; GET /load.

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

constexpr const char *CRASH_MARK = "CRASH-ENGINE";
constexpr size_t PREFIX_LENGTH = 64;
constexpr size_t PREFIX_CACHE_ENTRIES = 64;
constexpr int64_t DEFAULT_MAX_TOKENS = 16;

struct EngineOptions
{
    std::string address;
    Duration firstToken;
    Duration betweenTokens;
    int64_t coldRequests;
    int64_t coldBears;
    Duration restart;
};

class Engine
{
public:
    explicit Engine(const EngineOptions &options)
        : options_(options)
        , incarnation_(static_cast<uint64_t>(standins::unixMillis()))
        , server_(options.address, framework::milliseconds{1},
                  {[this](const network::HttpRequest &request) { onRequest(request); }, [this](ExchangeId exchange) { onGone(exchange); }, [this] { tick(); }})
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
        int64_t next = 0;
        int64_t total = 0;
        Instant nextAt;
        bool begun = false;
    };

    void onRequest(const network::HttpRequest &request)
    {
        const Json::Value body = standins::parseBody(request.body);
        if (request.path == "/standin/state") {
            server_.reply(request.exchange, 200, state());
        } else if (request.path == "/standin/faults") {
            setFaults(body);
            server_.reply(request.exchange, 200, Json::Value(Json::objectValue));
        } else if (framework::monotonicNow() < downUntil_) {
            server_.port().abort(request.exchange);
        } else if (request.path == "/load") {
            Json::Value load;
            load["incarnation"] = static_cast<Json::UInt64>(incarnation_);
            load["in_flight"] = static_cast<Json::UInt64>(generations_.size());
            server_.reply(request.exchange, 200, load);
        } else {
            generate(request, body);
        }
    }

    void setFaults(const Json::Value &body)
    {
        stalledUntil_ = framework::monotonicNow() + std::chrono::milliseconds{framework::intField(body, "stall_ms")};
        slow_ = std::max(1.0, framework::numberField(body, "slow"));
        if (framework::boolField(body, "cold")) {
            completed_ = 0;
        }
        if (framework::boolField(body, "crash")) {
            crash();
        }
    }

    bool cold() const
    {
        return completed_ < options_.coldRequests;
    }

    void crash()
    {
        ++crashes_;
        ++incarnation_;
        completed_ = 0;
        prefixes_.clear();
        downUntil_ = framework::monotonicNow() + options_.restart;
        for (const auto &[exchange, generation] : generations_) {
            server_.port().abort(exchange);
        }
        generations_.clear();
    }

    static std::string promptOf(const network::HttpRequest &request, const Json::Value &body)
    {
        if (request.path != "/v1/chat/completions") {
            return framework::stringField(body, "prompt");
        }
        const Json::Value &messages = body["messages"];
        return messages.isArray() && !messages.empty() ? framework::stringField(messages[messages.size() - 1], "content") : std::string();
    }

    void generate(const network::HttpRequest &request, const Json::Value &body)
    {
        Generation generation;
        generation.prompt = promptOf(request, body);
        generation.chat = request.path == "/v1/chat/completions";
        generation.next = framework::intField(body, "resume_from");
        generation.total = body.isMember("max_tokens") ? framework::intField(body, "max_tokens") : DEFAULT_MAX_TOKENS;
        startsMs_.append(static_cast<Json::Int64>(standins::unixMillis()));
        const bool cached = usePrefix(generation.prompt.substr(0, PREFIX_LENGTH));
        const double coldFactor = cold() ? 2.0 : 1.0;
        const auto prefill = options_.firstToken * (cached ? 1 : 4) / 4;
        generation.nextAt = framework::monotonicNow() + scaled(prefill, coldFactor);
        generations_[request.exchange] = generation;
        const bool fellOver = cold() && static_cast<int64_t>(generations_.size()) > options_.coldBears;
        overloads_ += fellOver ? 1 : 0;
        if (fellOver || generation.prompt.find(CRASH_MARK) != std::string::npos) {
            crash();
        }
    }

    Duration scaled(Duration duration, double factor) const
    {
        return Duration{static_cast<int64_t>(static_cast<double>(duration.count()) * factor * slow_)};
    }

    /// Returns whether the prefix was cached; caches it.
    bool usePrefix(const std::string &prefix)
    {
        const bool cached = std::find(prefixes_.begin(), prefixes_.end(), prefix) != prefixes_.end();
        prefixHits_ += cached ? 1 : 0;
        std::erase(prefixes_, prefix);
        prefixes_.push_back(prefix);
        if (prefixes_.size() > PREFIX_CACHE_ENTRIES) {
            prefixes_.pop_front();
        }
        return cached;
    }

    void onGone(ExchangeId exchange)
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
            if (generation.nextAt <= now) {
                advance(it->first, generation, now);
            }
            it = generation.next >= generation.total && generation.nextAt <= now ? finish(it) : std::next(it);
        }
    }

    void advance(ExchangeId exchange, Generation &generation, Instant now)
    {
        if (!generation.begun) {
            generation.begun = true;
            server_.port().beginStream(exchange, 200, "text/event-stream");
        }
        if (generation.next >= generation.total) {
            return;
        }
        Json::Value event;
        const std::string text = standins::answerToken(generation.prompt, generation.next);
        if (generation.chat) {
            event["choices"][0]["delta"]["content"] = text;
        } else {
            event["choices"][0]["text"] = text;
        }
        server_.port().sendChunk(exchange, "data: " + framework::writeJson(event) + "\n\n");
        ++generation.next;
        generation.nextAt = std::max(generation.nextAt + scaled(options_.betweenTokens, 1.0), now);
    }

    std::map<ExchangeId, Generation>::iterator finish(std::map<ExchangeId, Generation>::iterator it)
    {
        server_.port().sendChunk(it->first, "data: [DONE]\n\n");
        server_.port().endStream(it->first);
        ++completed_;
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
        value["starts_ms"] = startsMs_;
        return value;
    }

    EngineOptions options_;
    uint64_t incarnation_;
    int64_t completed_ = 0;
    uint64_t crashes_ = 0;
    uint64_t overloads_ = 0;
    uint64_t cancelled_ = 0;
    uint64_t prefixHits_ = 0;
    double slow_ = 1.0;
    Instant stalledUntil_{0};
    Instant downUntil_{0};
    Json::Value startsMs_{Json::arrayValue};
    std::deque<std::string> prefixes_;
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

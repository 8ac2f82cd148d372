// Routing policies on the same seeds: seven entries, twelve upstreams with admission, one of them slow, cold or departing.

#include "benches.h"
#include "table.h"

#include "admission/admissioncontroller.h"
#include "routing/pickpolicies.h"
#include "routing/router.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace daisymount::bench
{

namespace
{
using framework::Duration;
using framework::Instant;
using framework::milliseconds;
using framework::seconds;

constexpr int ENTRIES = 7;
constexpr int UPSTREAMS = 12;
constexpr double REQUESTS_PER_SECOND = 150.0;
constexpr Duration LENGTH = seconds{60};
constexpr double PREFILL_MS = 120.0;
constexpr double CACHED_PREFILL_MS = 40.0;
constexpr double DECODE_MS = 600.0;
constexpr int PREFIXES = 120;
constexpr size_t CACHE_ENTRIES = 24;

enum class Case {
    Healthy,
    Straggler,
    Cold,
    Departing,
    Churn, ///< Every five seconds an engine restarts and loses its cache.
};

struct Result
{
    double p95 = 0.0;
    double p99 = 0.0;
    int refusals = 0;
    double hitShare = 0.0;
    int failed = 0;
};

/// One simulated fleet with virtual time.
class Fleet
{
public:
    Fleet(Case what, const std::function<routing::PickPolicy()> &policy, uint64_t seed) : what_(what), random_(seed)
    {
        config_.zones["a"] = {"r", false};
        config_.zones["b"] = {"r", false};
        config_.services["s"].admission = {16, 2, 0, 2, 32};
        for (int i = 0; i < UPSTREAMS; ++i) {
            config_.upstreams["u" + std::to_string(i)] = {"s", i % 2 == 0 ? "a" : "b", "127.0.0.1:" + std::to_string(1000 + i), false, true, ""};
        }
        for (int i = 0; i < ENTRIES; ++i) {
            config_.entries["e" + std::to_string(i)] = {"a", "127.0.0.2:" + std::to_string(1000 + i), false};
            routing::RouterOptions options;
            options.self = "e" + std::to_string(i);
            options.zone = i % 2 == 0 ? "a" : "b";
            options.seed = seed + static_cast<uint64_t>(i);
            options.policy = policy();
            routers_.push_back(std::make_unique<routing::Router>(options));
            routers_.back()->configure(config_);
        }
        for (const auto &[name, unused] : config_.upstreams) {
            upstreams_[name].admission = std::make_unique<admission::AdmissionController>(config_.services["s"].admission, now_);
            warmUp(upstreams_[name]);
        }
    }

    Result run()
    {
        const Instant end = now_ + LENGTH;
        std::exponential_distribution<double> gap(REQUESTS_PER_SECOND);
        schedule(now_, [this] { arrive(); });
        schedule(now_ + LENGTH / 3, [this] { disturb(); });
        for (Instant at = now_; at < end;) {
            at += Duration{static_cast<int64_t>(gap(random_) * 1e6)};
            schedule(at, [this] { arrive(); });
        }
        while (!events_.empty()) {
            const auto next = events_.begin();
            now_ = next->first;
            const auto call = std::move(next->second);
            events_.erase(next);
            call();
        }
        std::sort(firstTokenMs_.begin(), firstTokenMs_.end());
        Result result;
        result.p95 = firstTokenMs_[firstTokenMs_.size() * 95 / 100];
        result.p99 = firstTokenMs_[firstTokenMs_.size() * 99 / 100];
        result.refusals = refusals_;
        result.failed = failed_;
        result.hitShare = static_cast<double>(hits_) / static_cast<double>(started_);
        return result;
    }

private:
    struct Upstream
    {
        std::unique_ptr<admission::AdmissionController> admission;
        double slowness = 1.0;
        std::deque<uint64_t> cache;
    };

    struct Request
    {
        uint64_t id = 0;
        int entry = 0;
        uint64_t prefix = 0;
        Instant startedAt{0};
        Instant sentAt{0};
        std::string upstream;
        routing::UpstreamNames tried;
    };

    void warmUp(Upstream &upstream)
    {
        for (uint64_t id = 1; upstream.admission->isCold(); id += 100) {
            const int64_t batch = upstream.admission->limit();
            for (int64_t i = 0; i < batch; ++i) {
                upstream.admission->offer({id + static_cast<uint64_t>(i), 0, now_ + seconds{60}, false}, now_);
            }
            for (int64_t i = 0; i < batch; ++i) {
                upstream.admission->onFinished(id + static_cast<uint64_t>(i), true, now_ + milliseconds{600});
            }
        }
    }

    void schedule(Instant at, std::function<void()> call)
    {
        events_.emplace(at, std::move(call));
    }

    void disturb()
    {
        if (what_ == Case::Churn) {
            restartOne();
        }
        if (what_ == Case::Straggler) {
            upstreams_["u3"].slowness = 10.0;
        } else if (what_ == Case::Cold) {
            upstreams_["u3"].admission->onEngineRestarted();
        } else if (what_ == Case::Departing) {
            upstreams_["u3"].admission->setOutOfService(true);
            // The entries hear of it one after the other.
            for (int i = 0; i < ENTRIES; ++i) {
                schedule(now_ + milliseconds{300 * i}, [this, i] { routers_[static_cast<size_t>(i)]->setLeaving("u3", true); });
            }
        }
    }

    void restartOne()
    {
        Upstream &upstream = upstreams_["u" + std::to_string(restarts_++ % UPSTREAMS)];
        upstream.cache.clear();
        if (now_ < seconds{100} + LENGTH) {
            schedule(now_ + seconds{5}, [this] { restartOne(); });
        }
    }

    void arrive()
    {
        auto request = std::make_shared<Request>();
        request->id = ++lastId_ * 1000;
        request->entry = static_cast<int>(random_() % ENTRIES);
        // A few prefixes are common.
        const double skewed = std::pow(std::uniform_real_distribution<>(0.0, 1.0)(random_), 2.0);
        request->prefix = 1 + static_cast<uint64_t>(skewed * PREFIXES);
        request->startedAt = now_;
        route(request);
    }

    void route(const std::shared_ptr<Request> &request)
    {
        routing::Router &router = *routers_[static_cast<size_t>(request->entry)];
        const auto choice = router.pick({"s", request->prefix, "", &request->tried}, now_);
        if (!choice || request->tried.size() > 5) {
            ++failed_;
            return;
        }
        request->upstream = choice->upstream;
        request->sentAt = now_;
        ++request->id;
        router.onSent(request->upstream, now_);
        Upstream &upstream = upstreams_[request->upstream];
        const auto decision = upstream.admission->offer({request->id, 0, now_ + seconds{30}, false}, now_);
        router.onHint(request->upstream, upstream.admission->hint(), now_);
        if (decision.verdict == admission::Verdict::Refused) {
            ++refusals_;
            router.onFinished(request->upstream, now_);
            router.onRefused(request->upstream, decision.code, now_);
            request->tried.insert(request->upstream);
            schedule(now_ + milliseconds{1}, [this, request] { route(request); });
        } else if (decision.verdict == admission::Verdict::Admitted) {
            begin(request);
        } else {
            waiting_[request->id] = request;
        }
    }

    void begin(const std::shared_ptr<Request> &request)
    {
        ++started_;
        Upstream &upstream = upstreams_[request->upstream];
        const auto cached = std::find(upstream.cache.begin(), upstream.cache.end(), request->prefix);
        const bool hit = cached != upstream.cache.end();
        hits_ += hit ? 1 : 0;
        if (hit) {
            upstream.cache.erase(cached);
        }
        upstream.cache.push_back(request->prefix);
        if (upstream.cache.size() > CACHE_ENTRIES) {
            upstream.cache.pop_front();
        }
        const double crowding = 1.0 + static_cast<double>(upstream.admission->inFlight()) / 16.0;
        const double prefillMs = (hit ? CACHED_PREFILL_MS : PREFILL_MS) * crowding * upstream.slowness;
        const double decodeMs = DECODE_MS * upstream.slowness * crowding / 1.5;
        schedule(now_ + Duration{static_cast<int64_t>(prefillMs * 1e3)}, [this, request] { firstToken(request); });
        schedule(now_ + Duration{static_cast<int64_t>((prefillMs + decodeMs) * 1e3)}, [this, request] { finish(request); });
    }

    void firstToken(const std::shared_ptr<Request> &request)
    {
        firstTokenMs_.push_back(std::chrono::duration<double, std::milli>(now_ - request->startedAt).count());
        routers_[static_cast<size_t>(request->entry)]->onFirstToken(request->upstream, now_ - request->sentAt, now_);
        upstreams_[request->upstream].admission->onFirstToken(request->id, now_);
    }

    void finish(const std::shared_ptr<Request> &request)
    {
        Upstream &upstream = upstreams_[request->upstream];
        upstream.admission->onFinished(request->id, true, now_);
        routers_[static_cast<size_t>(request->entry)]->onFinished(request->upstream, now_);
        const auto polled = upstream.admission->poll(now_);
        for (const uint64_t id : polled.admitted) {
            const auto found = waiting_.find(id);
            if (found != waiting_.end()) {
                begin(found->second);
                waiting_.erase(found);
            }
        }
        for (const auto &[id, decision] : polled.refused) {
            const auto found = waiting_.find(id);
            if (found != waiting_.end()) {
                ++refusals_;
                const auto refused = found->second;
                waiting_.erase(found);
                routers_[static_cast<size_t>(refused->entry)]->onFinished(refused->upstream, now_);
                refused->tried.insert(refused->upstream);
                route(refused);
            }
        }
    }

    Case what_;
    std::mt19937_64 random_;
    Instant now_ = seconds{100};
    config::Config config_;
    std::vector<std::unique_ptr<routing::Router>> routers_;
    std::map<std::string, Upstream> upstreams_;
    std::multimap<Instant, std::function<void()>> events_;
    std::map<uint64_t, std::shared_ptr<Request>> waiting_;
    std::vector<double> firstTokenMs_;
    uint64_t lastId_ = 0;
    int restarts_ = 0;
    int refusals_ = 0;
    int failed_ = 0;
    int hits_ = 0;
    int started_ = 0;
};

Result average(Case what, const std::function<routing::PickPolicy()> &policy)
{
    constexpr int seeds = 5;
    Result mean;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        const Result result = Fleet(what, policy, seed).run();
        mean.p95 += result.p95 / seeds;
        mean.p99 += result.p99 / seeds;
        mean.hitShare += result.hitShare / seeds;
        mean.refusals += result.refusals;
        mean.failed += result.failed;
    }
    return mean;
}
/// Routes a prefix to the upstream that served it last, by this entry's own index.
routing::PickPolicy lastAccessPolicy()
{
    const auto lastOf = std::make_shared<std::map<uint64_t, std::string>>();
    const routing::PickPolicy other = routing::loadAwarePolicy();
    return [lastOf, other](std::span<const routing::Candidate> candidates, const routing::RouteQuery &query, routing::RandomEngine &random) {
        double total = 0.0;
        for (const routing::Candidate &candidate : candidates) {
            total += candidate.load;
        }
        const double bound = total / static_cast<double>(candidates.size()) * 1.25 + 0.3;
        const auto last = lastOf->find(query.prefixHash);
        for (size_t i = 0; last != lastOf->end() && i < candidates.size(); ++i) {
            const routing::Candidate &candidate = candidates[i];
            if (candidate.name == last->second && !candidate.avoid && candidate.load <= bound && candidate.slowness <= 2.0) {
                return i;
            }
        }
        routing::RouteQuery anywhere = query;
        anywhere.prefixHash = 0;
        const size_t chosen = other(candidates, anywhere, random);
        (*lastOf)[query.prefixHash] = std::string(candidates[chosen].name);
        return chosen;
    };
}
} // namespace

void benchRouting()
{
    const std::pair<const char *, std::function<routing::PickPolicy()>> baselines[] = {{"random", routing::randomPolicy},
                                                                                       {"round robin", routing::roundRobinPolicy},
                                                                                       {"least outstanding", routing::leastOutstandingPolicy},
                                                                                       {"last access", lastAccessPolicy}};
    const std::pair<const char *, Case> cases[] = {
        {"healthy", Case::Healthy}, {"one straggler", Case::Straggler}, {"one cold", Case::Cold}, {"one departing", Case::Departing}, {"churn", Case::Churn}};
    printTitle("Routing: 7 entries, 12 upstreams, 150 requests/s, 60 s, 5 seeds (first token in ms)");
    for (const auto &[caseName, what] : cases) {
        const Result own = average(what, routing::loadAwarePolicy);
        for (const auto &[name, policy] : baselines) {
            const Result baseline = average(what, policy);
            const bool half = what == Case::Straggler && std::string(name) == "round robin";
            const double bound = half ? baseline.p95 / 2.0 : baseline.p95;
            printRow(std::string(caseName) + ": p95 against " + name,
                     std::string(name) == "last access" ? "-"
                         : half                         ? "half"
                                                        : "no worse",
                     baseline.p95, own.p95, verdict(own.p95 <= bound));
            printRow(std::string(caseName) + ": p99 against " + name, "-", baseline.p99, own.p99, "-");
            printRow(std::string(caseName) + ": refusals against " + name, "-", baseline.refusals, own.refusals, "-");
            printRow(std::string(caseName) + ": prefix hits against " + name, "-", baseline.hitShare, own.hitShare, "-");
        }
    }
}

} // namespace daisymount::bench

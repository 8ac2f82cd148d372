// Returns of a site's store from an older copy: evacuations, and what the checks are told.

#include "framework/json.h"
#include "platform/fleetcodec.h"
#include "soak/site.h"
#include "transport/httpcaller.h"

#include <sstream>
#include <utility>

namespace daisymount::soak
{

namespace
{
constexpr milliseconds VERSION_INTERVAL{200};
constexpr milliseconds METRICS_TIMEOUT{500};
constexpr int ZONES = 3;
constexpr int MIN_EVACUATION_PAUSE_MS = 2'000;
constexpr int MAX_EVACUATION_PAUSE_MS = 8'000;
constexpr int MIN_EVACUATION_MS = 6'500;
constexpr int MAX_EVACUATION_MS = 11'000;
constexpr std::string_view VERSION_METRIC = "name=\"config_version\"} ";

std::string zoneOf(int number)
{
    return std::string(1, static_cast<char>('a' + number % ZONES));
}

milliseconds between(std::minstd_rand &random, int64_t min, int64_t max)
{
    return milliseconds{std::uniform_int_distribution<int64_t>(min, max)(random)};
}

/// Version of the configuration that a page of metrics tells; empty if it tells none.
std::optional<int64_t> versionIn(const std::string &metrics)
{
    std::istringstream lines(metrics);
    for (std::string line; std::getline(lines, line);) {
        const size_t at = line.find(VERSION_METRIC);
        if (!line.starts_with('#') && at != std::string::npos) {
            return static_cast<int64_t>(std::stod(line.substr(at + VERSION_METRIC.size())));
        }
    }
    return std::nullopt;
}

int64_t versionOf(const std::string &config)
{
    Json::Value json;
    framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(json, framework::parseJsonObject(config));
        return {};
    });
    return json["version"].asInt64();
}
} // namespace

int Site::storeReturns() const
{
    return writes_.returns();
}

int Site::versionsRead() const
{
    return versionsRead_;
}

void Site::observeStore()
{
    checks_.onBroken = [this](const std::string &what) { breakPromise(what); };
    writes_.onEvent = [this](const std::string &line) { record(line); };
    writes_.onReturn = [this] { checks_.onReturn(framework::monotonicNow()); };
    writes_.onAcknowledged = [this](const std::string &key, const std::optional<std::string> &value) {
        const Instant now = framework::monotonicNow();
        if (key.starts_with(platform::UPSTREAM_PREFIX)) {
            const std::string id = key.substr(platform::UPSTREAM_PREFIX.size());
            group_.acknowledged(id);
            if (plain_) {
                plain_->acknowledged(id);
            }
        } else if (key == platform::CONFIG_KEY) {
            checks_.onVersionAcknowledged(versionOf(*value), now);
        } else if (value) {
            checks_.onEvacuation(key.substr(platform::ZONE_EVACUATION_PREFIX.size()), now);
        }
        record("acknowledged " + key + (key == platform::CONFIG_KEY ? " " + std::to_string(versionOf(*value)) : value ? "" : " removed"));
    };
    writes_.onLost = [this](const std::string &key) {
        if (key.starts_with(platform::UPSTREAM_PREFIX)) {
            const std::string id = key.substr(platform::UPSTREAM_PREFIX.size());
            group_.lost(id);
            if (plain_) {
                plain_->lost(id);
            }
        } else if (key == platform::CONFIG_KEY) {
            checks_.onVersionLost();
        } else {
            checks_.onEvacuationGone(key.substr(platform::ZONE_EVACUATION_PREFIX.size()));
        }
        record("lost " + key);
    };
    group_.onArrival = [this](int rank, const std::string &id) { checks_.judgeArrival(id, zoneOf(rank), framework::monotonicNow()); };
    group_.onOrder = [this](int rank, bool refusedForFencing) { checks_.judgeOrder(rank, refusedForFencing, framework::monotonicNow()); };
}

asio::awaitable<void> Site::watchVersions()
{
    while (framework::monotonicNow() < end_) {
        co_await transport::sleepFor(VERSION_INTERVAL);
        for (const auto &gateway : gateways_) {
            if (gateway->terminatedAt() != Instant{0}) {
                continue;
            }
            transport::HttpCaller caller(reactor_.get_executor());
            const Instant startedAt = gateway->startedAt();
            const Instant askedAt = framework::monotonicNow();
            const transport::HttpReply reply = co_await caller.call(gateway->metricsAddress(), "GET", "/metrics", "", METRICS_TIMEOUT);
            const std::optional<int64_t> version = reply.status == 200 ? versionIn(reply.body) : std::nullopt;
            // A gateway without a configuration is not ready.
            if (version.value_or(0) > 0 && gateway->startedAt() == startedAt) {
                ++versionsRead_;
                checks_.judgeVersion(gateway->name(), startedAt, *version, askedAt);
            }
        }
    }
}

asio::awaitable<void> Site::evacuateZones(unsigned seed)
{
    std::minstd_rand random(seed);
    while (framework::monotonicNow() < end_) {
        co_await transport::sleepFor(between(random, MIN_EVACUATION_PAUSE_MS, MAX_EVACUATION_PAUSE_MS));
        const std::string zone = zoneOf(static_cast<int>(random() % ZONES));
        const std::string key = std::string(platform::ZONE_EVACUATION_PREFIX) + zone;
        record("zone " + zone + " is evacuated");
        writes_.write(key, "{}");
        co_await transport::sleepFor(between(random, MIN_EVACUATION_MS, MAX_EVACUATION_MS));
        record("zone " + zone + " is used again");
        checks_.onEvacuationGone(zone);
        writes_.write(key, std::nullopt);
    }
}

void Site::judgeSenders()
{
    constexpr std::string_view fencingField = "\"fencing\":\"";
    for (const auto &gateway : gateways_) {
        std::ifstream log(folder_ / (gateway->name() + ".log"));
        for (std::string line; std::getline(log, line);) {
            const size_t at = line.find(fencingField);
            if (at != std::string::npos && line.find("\"event\":\"order\"") != std::string::npos) {
                checks_.judgeSender(std::atoll(line.c_str() + at + fencingField.size()), gateway->name());
            }
        }
    }
}

} // namespace daisymount::soak

// Organisation limiter.

#include "organisations/organisationlimiter.h"

#include <algorithm>
#include <cmath>

namespace daisymount::organisations
{

namespace
{
/// Time constant of the demand average.
constexpr double DEMAND_TIME_CONSTANT_S = 2.0;
/// Demand reports older than this no longer count.
constexpr Duration PEER_DEMAND_LIFETIME = framework::seconds{10};
/// Each entry's demand counts at least this share of the limit divided by the entries, so that a newcomer gets a start.
constexpr double DEMAND_FLOOR = 0.02;
/// Demand below this rate is not reported.
constexpr double MIN_REPORTED_DEMAND = 0.1;
constexpr Duration MIN_RETRY_AFTER = framework::milliseconds{100};
constexpr Duration MAX_RETRY_AFTER = framework::seconds{30};

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
} // namespace

OrganisationLimiter::OrganisationLimiter(std::string self) : self_(std::move(self))
{ }

void OrganisationLimiter::configure(const config::Config &config)
{
    settings_.clear();
    settings_.insert(config.organisations.begin(), config.organisations.end());
    entryCount_ = std::max<size_t>(1, config.entries.size());
    std::erase_if(buckets_, [&](const auto &item) { return settings_.find(item.first) == settings_.end(); });
}

double OrganisationLimiter::decayedDemand(const Bucket &bucket, Instant now) const
{
    return bucket.demandRate * std::exp(-secondsOf(now - bucket.at) / DEMAND_TIME_CONSTANT_S);
}

double OrganisationLimiter::share(std::string_view organisation, Instant now) const
{
    const auto settings = settings_.find(organisation);
    if (settings == settings_.end()) {
        return 1.0;
    }
    const double rate = static_cast<double>(settings->second.tokensPerSecond);
    const double floor = std::max(MIN_REPORTED_DEMAND, rate * DEMAND_FLOOR / static_cast<double>(entryCount_));
    const auto bucket = buckets_.find(organisation);
    const double own = floor + (bucket == buckets_.end() ? 0.0 : decayedDemand(bucket->second, now));
    double others = 0.0;
    size_t reporting = 0;
    for (const auto &[name, peer] : peers_) {
        const auto found = peer.demand.find(organisation);
        const bool fresh = now - peer.at <= PEER_DEMAND_LIFETIME;
        if (fresh && found != peer.demand.end()) {
            others += found->second + floor;
            ++reporting;
        }
    }
    // Entries that reported no demand keep their floor: one of them may start to admit before it is heard.
    const size_t silent = entryCount_ - std::min(entryCount_, reporting + 1);
    return own / (own + others + floor * static_cast<double>(silent));
}

void OrganisationLimiter::advance(const std::string &organisation, const config::Organisation &settings, Bucket &bucket, Instant now)
{
    const double ownShare = share(organisation, now);
    const double burst = static_cast<double>(settings.burstTokens) * ownShare;
    if (!bucket.started) {
        bucket.started = true;
        bucket.balance = burst;
        bucket.at = now;
    }
    const double elapsed = secondsOf(now - bucket.at);
    bucket.balance = std::min(std::max(burst, bucket.balance), bucket.balance + elapsed * static_cast<double>(settings.tokensPerSecond) * ownShare);
    bucket.balance = std::min(bucket.balance, static_cast<double>(settings.burstTokens));
    bucket.demandRate = decayedDemand(bucket, now);
    bucket.at = now;
}

LimitDecision OrganisationLimiter::admit(std::string_view organisation, double tokens, Instant now)
{
    const auto settings = settings_.find(organisation);
    if (settings == settings_.end()) {
        return {false, MAX_RETRY_AFTER};
    }
    Bucket &bucket = buckets_[settings->first];
    advance(settings->first, settings->second, bucket, now);
    bucket.demandRate += tokens / DEMAND_TIME_CONSTANT_S;
    // A request larger than the whole burst is admitted on a full bucket and leaves it in debt.
    const double needed = std::min(tokens, static_cast<double>(settings->second.burstTokens) * share(organisation, now));
    if (bucket.balance >= needed) {
        bucket.balance -= tokens;
        return {true, Duration{0}};
    }
    const double rate = std::max(1.0, static_cast<double>(settings->second.tokensPerSecond) * share(organisation, now));
    const double waitSeconds = std::min(secondsOf(MAX_RETRY_AFTER), (needed - bucket.balance) / rate);
    const Duration wait{static_cast<int64_t>(waitSeconds * 1e6)};
    return {false, std::max(MIN_RETRY_AFTER, wait)};
}

void OrganisationLimiter::settle(std::string_view organisation, double estimated, double used)
{
    const auto bucket = buckets_.find(organisation);
    if (bucket != buckets_.end()) {
        bucket->second.balance += estimated - used;
    }
}

Demand OrganisationLimiter::demand(Instant now) const
{
    Demand result;
    for (const auto &[name, bucket] : buckets_) {
        const double rate = decayedDemand(bucket, now);
        if (rate >= MIN_REPORTED_DEMAND) {
            result[name] = rate;
        }
    }
    return result;
}

void OrganisationLimiter::onPeerDemand(std::string_view peer, const Demand &demand, Instant now)
{
    if (peer != self_) {
        peers_[std::string(peer)] = {demand, now};
    }
}

void OrganisationLimiter::forgetPeer(std::string_view peer)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end()) {
        peers_.erase(found);
    }
}

} // namespace daisymount::organisations

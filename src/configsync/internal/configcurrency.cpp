// Evidence of the newest keys, and the choice between peers and the store.

#include "configsync/configcurrency.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace daisymount::configsync
{

namespace
{
/// The longest time for a fetch is maxAge divided by this.
constexpr int FETCH_DIVISOR = 2;
/// Range of checkAge_ as fractions of maxAge. The rest is for the call.
constexpr double MIN_CHECK_AGE = 0.7;
constexpr double MAX_CHECK_AGE = 0.85;
/// Time for which a peer that did not answer is left out.
constexpr milliseconds FAILED_PEER_PAUSE{1'500};
constexpr int MAX_DOUBLINGS = 4;

/// The newer one of each key.
KeyRevisions merged(const KeyRevisions &a, const KeyRevisions &b)
{
    const KeyRevisions &zones = b.zones > a.zones ? b : a;
    return {isNewer(b.config, a.config) ? b.config : a.config, zones.zones, zones.zonesDigest};
}
} // namespace

bool isNewer(const ConfigRevision &a, const ConfigRevision &b)
{
    return a.revision.era == b.revision.era ? a.revision > b.revision : std::tie(a.version, a.revision.era) > std::tie(b.version, b.revision.era);
}

bool isNewer(const KeyRevisions &a, const KeyRevisions &b)
{
    return isNewer(a.config, b.config) || (a.zones > b.zones && a.zonesDigest != b.zonesDigest);
}

ConfigCurrency::ConfigCurrency(const ConfigCurrencyOptions &options) : options_(options), random_(static_cast<unsigned>(options.seed))
{
    drawCheckAge();
}

void ConfigCurrency::drawCheckAge()
{
    const double fraction = std::uniform_real_distribution<double>(MIN_CHECK_AGE, MAX_CHECK_AGE)(random_);
    checkAge_ = std::chrono::duration_cast<Duration>(options_.maxAge * fraction);
}

void ConfigCurrency::setMaxAge(milliseconds maxAge)
{
    options_.maxAge = maxAge;
    drawCheckAge();
}

bool ConfigCurrency::isBehind() const
{
    return isNewer(newest_, own_);
}

void ConfigCurrency::onApplied(const KeyRevisions &own)
{
    own_ = own;
    newest_ = merged(newest_, own);
}

void ConfigCurrency::confirm(Instant askedAt)
{
    if (!confirmedAt_ || askedAt > *confirmedAt_) {
        confirmedAt_ = askedAt;
        drawCheckAge();
    }
    if (askedAt >= learnedAt_) {
        // The store's word is above that of a peer.
        newest_ = own_;
    }
}

void ConfigCurrency::onKeysRead(int64_t storeRevision, Instant askedAt)
{
    told_.clear();
    confirmedRevision_ = std::max(confirmedRevision_, storeRevision);
    confirm(askedAt);
}

void ConfigCurrency::onChangesRead(int64_t lastChange, int64_t storeRevision, Instant askedAt)
{
    confirmedRevision_ = std::max(confirmedRevision_, lastChange);
    told_.push_back({askedAt, storeRevision});
    while (askedAt - told_.front().at >= REVISION_LAG) {
        confirmedRevision_ = std::max(confirmedRevision_, told_.front().revision);
        told_.pop_front();
    }
    confirm(askedAt);
}

void ConfigCurrency::onHistoryGone()
{
    told_.clear();
    goneRevision_ = std::max(goneRevision_, confirmedRevision_);
    confirmedRevision_ = 0;
}

void ConfigCurrency::onNewEra(int64_t era)
{
    era_ = era;
    told_.clear();
    goneRevision_ = 0;
    confirmedRevision_ = 0;
    nextStoreCallAt_ = Instant{0};
    storeFailures_ = 0;
}

bool ConfigCurrency::onPeerReport(const KeyReport &report, Instant sentAt, Instant now)
{
    if (isNewer(report.revisions, newest_)) {
        if (!isBehind()) {
            behindSince_ = now;
        }
        newest_ = merged(newest_, report.revisions);
        learnedAt_ = now;
    }
    const bool hasNewer = isNewer(report.revisions, own_);
    if (hasNewer || report.era != era_ || report.confirmedRevision <= goneRevision_) {
        return hasNewer;
    }
    // The peer's keys were the newest ones at that revision, and the own ones are not older.
    const Instant confirmedAt = sentAt - report.confirmedAge;
    if (!confirmedAt_ || confirmedAt > *confirmedAt_) {
        confirmedAt_ = confirmedAt;
        confirmedRevision_ = std::max(confirmedRevision_, report.confirmedRevision);
        drawCheckAge();
    }
    return false;
}

void ConfigCurrency::onFetchEnded(std::string_view peer, bool succeeded, Instant now)
{
    std::erase_if(failedPeers_, [&](const auto &entry) { return now - entry.second > FAILED_PEER_PAUSE; });
    if (!succeeded) {
        failedPeers_[std::string(peer)] = now;
    }
}

void ConfigCurrency::onStoreAsked(bool succeeded, Instant now)
{
    if (succeeded) {
        storeFailures_ = 0;
        nextStoreCallAt_ = now;
        return;
    }
    const milliseconds delay = std::min(options_.maxRetryInterval, options_.retryInterval * (1 << std::min(storeFailures_, MAX_DOUBLINGS)));
    nextStoreCallAt_ = now + delay;
    ++storeFailures_;
}

milliseconds ConfigCurrency::remaining(Instant now) const
{
    return confirmedAt_ ? std::chrono::duration_cast<milliseconds>(options_.maxAge - (now - *confirmedAt_)) : milliseconds{0};
}

std::optional<SyncStep> ConfigCurrency::fetchStep(std::span<const KeySource> sources, Instant now)
{
    std::vector<const KeySource *> usable;
    for (const KeySource &source : sources) {
        const auto failed = failedPeers_.find(source.name);
        if (isNewer(source.revisions, own_) && (failed == failedPeers_.end() || now - failed->second > FAILED_PEER_PAUSE)) {
            usable.push_back(&source);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    const auto rank = [](const KeySource *source) { return std::tuple(source->sameZone, source->revisions.config.version, source->revisions.config.revision); };
    const auto best = rank(*std::ranges::max_element(usable, {}, rank));
    std::erase_if(usable, [&](const KeySource *source) { return rank(source) != best; });
    // Followers choose at random, so that they don't all fetch a large configuration from one small machine.
    const size_t chosen = std::uniform_int_distribution<size_t>(0, usable.size() - 1)(random_);
    const milliseconds timeout = std::clamp(remaining(now), options_.minFetchTimeout, std::max(options_.minFetchTimeout, options_.maxAge / FETCH_DIVISOR));
    return SyncStep{SyncAction::FetchFromPeer, usable[chosen]->name, timeout};
}

SyncStep ConfigCurrency::next(std::span<const KeySource> sources, Instant now)
{
    for (const KeySource &source : sources) {
        onPeerReport({source.revisions, era_, 0, milliseconds{0}}, now, now);
    }
    const bool mayAskStore = now >= nextStoreCallAt_;
    if (isBehind()) {
        // A fetch that fails must leave time for the store.
        const bool timeForPeers = remaining(now) >= options_.minFetchTimeout;
        std::optional<SyncStep> fetch = fetchStep(sources, now);
        if (fetch && (timeForPeers || !mayAskStore)) {
            return *fetch;
        }
    } else if (confirmedAt_ && now - *confirmedAt_ < checkAge_) {
        return {};
    }
    return mayAskStore ? SyncStep{SyncAction::AskStore, {}, {}} : SyncStep{};
}

KeyReport ConfigCurrency::report(Instant now) const
{
    const Duration age = confirmedAt_ ? now - *confirmedAt_ : Duration{0};
    return {own_, era_, confirmedAt_ && !isBehind() ? confirmedRevision_ : 0, std::chrono::duration_cast<milliseconds>(age)};
}

int64_t ConfigCurrency::confirmedRevision() const
{
    return confirmedRevision_;
}

Duration ConfigCurrency::behindFor(Instant now) const
{
    return isBehind() ? now - behindSince_ : Duration{0};
}

std::optional<Duration> ConfigCurrency::evidenceAge(Instant now) const
{
    return confirmedAt_ ? std::optional(Duration{now - *confirmedAt_}) : std::nullopt;
}

bool ConfigCurrency::isStale(Instant now) const
{
    return behindFor(now) > options_.maxAge || !confirmedAt_ || now - *confirmedAt_ > options_.maxAge;
}

} // namespace daisymount::configsync

// Claims registry.

#include "claims/claimsregistry.h"

#include "framework/hash.h"

namespace daisymount::claims
{

using framework::ResultCode;

ClaimsRegistry::ClaimsRegistry(ClaimsOptions options, store::IPlatformStore &store, ClaimsLink link)
    : options_(std::move(options)), store_(store), link_(std::move(link))
{ }

void ClaimsRegistry::configure(const config::Config &config)
{
    services_.clear();
    services_.insert(config.services.begin(), config.services.end());
}

std::string ClaimsRegistry::shardName(std::string_view service, std::string_view key) const
{
    const auto found = services_.find(service);
    const int64_t shards = found == services_.end() ? 1 : found->second.claimShards;
    return std::string(service) + "/" + std::to_string(shardOf(key, shards));
}

std::string ClaimsRegistry::homeOf(std::string_view service, std::string_view key) const
{
    const uint64_t seed = framework::hash64(shardName(service, key));
    std::pair<uint64_t, std::string> best{0, options_.self};
    for (const std::string &entry : link_.liveEntries()) {
        best = std::max(best, {framework::hash64(entry, seed), entry});
    }
    return best.second;
}

std::shared_ptr<ShardJournal> ClaimsRegistry::journal(std::string_view service, std::string_view key)
{
    std::shared_ptr<ShardJournal> &slot = journals_[shardName(service, key)];
    if (!slot) {
        const auto found = services_.find(service);
        const config::Service settings = found == services_.end() ? config::Service{} : found->second;
        const ShardIdentity identity{std::string(service), shardOf(key, settings.claimShards), settings.claimRetention};
        slot = std::make_shared<ShardJournal>(identity, options_, store_);
    }
    return slot;
}

std::string ClaimsRegistry::replyId(const JournalRecord &record)
{
    if (const auto *claim = std::get_if<Claim>(&record)) {
        return claim->claimId;
    }
    return "done/" + std::get<Completion>(record).claimId;
}

void ClaimsRegistry::claim(std::string_view service, const Claim &claim, ClaimHandler handler, Instant now, int64_t unixMs)
{
    const std::string home = homeOf(service, claim.key);
    if (home == options_.self) {
        journal(service, claim.key)->claim(claim, std::move(handler), now, unixMs);
        return;
    }
    const ForwardedRecord record{std::string(service), claim.key, claim};
    forwarded_[claim.claimId] = {record, std::move(handler), now + options_.forwardTimeout};
    link_.forward(home, record);
}

void ClaimsRegistry::complete(std::string_view service, std::string_view key, const Completion &completion, Instant now, int64_t unixMs)
{
    Completion kept = completion;
    if (kept.answer && kept.answer->body.size() > options_.maxAnswerBytes) {
        kept.answer.reset();
    }
    const std::string home = homeOf(service, key);
    if (home == options_.self) {
        journal(service, key)->complete(kept, {}, now, unixMs);
        return;
    }
    const ForwardedRecord record{std::string(service), std::string(key), kept};
    forwarded_[replyId(record.record)] = {record, {}, now + options_.forwardTimeout};
    link_.forward(home, record);
}

void ClaimsRegistry::onForwarded(const ForwardedRecord &forwarded, ClaimHandler reply, Instant now, int64_t unixMs)
{
    const std::shared_ptr<ShardJournal> shard = journal(forwarded.service, forwarded.key);
    if (const auto *claim = std::get_if<Claim>(&forwarded.record)) {
        shard->claim(*claim, std::move(reply), now, unixMs);
        return;
    }
    const auto written = [reply = std::move(reply)] { reply({ClaimVerdict::Granted, ResultCode::Ok, {}, std::nullopt}); };
    shard->complete(std::get<Completion>(forwarded.record), written, now, unixMs);
}

void ClaimsRegistry::onForwardReply(std::string_view id, const ClaimOutcome &outcome, Instant now, int64_t unixMs)
{
    const auto found = forwarded_.find(id);
    if (found == forwarded_.end()) {
        return;
    }
    Forwarded item = std::move(found->second);
    forwarded_.erase(found);
    const bool homeFailed = outcome.verdict == ClaimVerdict::Refused && outcome.code != ResultCode::IdempotencyKeyReused;
    if (homeFailed) {
        // The store may answer this entry all the same.
        writeDirectly(std::move(item), now, unixMs);
    } else if (item.handler) {
        item.handler(outcome);
    }
}

void ClaimsRegistry::writeDirectly(Forwarded item, Instant now, int64_t unixMs)
{
    const std::shared_ptr<ShardJournal> shard = journal(item.record.service, item.record.key);
    if (const auto *claim = std::get_if<Claim>(&item.record.record)) {
        shard->claim(*claim, std::move(item.handler), now, unixMs, true);
        return;
    }
    shard->complete(std::get<Completion>(item.record.record), {}, now, unixMs);
}

void ClaimsRegistry::tick(Instant now, int64_t unixMs)
{
    std::vector<Forwarded> overdue;
    std::erase_if(forwarded_, [&](auto &item) {
        if (now < item.second.fallbackAt) {
            return false;
        }
        overdue.push_back(std::move(item.second));
        return true;
    });
    for (Forwarded &item : overdue) {
        writeDirectly(std::move(item), now, unixMs);
    }
    for (const auto &[name, journal] : journals_) {
        journal->tick(now, unixMs);
    }
}

void ClaimsRegistry::release(std::string_view service, std::string_view key, std::string_view claimId, Instant now, int64_t unixMs)
{
    journal(service, key)->release(claimId, now, unixMs);
}

bool ClaimsRegistry::isReleased(std::string_view service, std::string_view key, std::string_view claimId)
{
    return journal(service, key)->isReleased(claimId);
}

bool ClaimsRegistry::knows(std::string_view service, std::string_view key)
{
    return journal(service, key)->knows(key);
}

} // namespace daisymount::claims

// Configuration agent.

#include "membership/configagent.h"

#include "framework/hash.h"

#include <algorithm>

namespace daisymount::membership
{

using framework::Ret;
using store::VersionedValue;

namespace
{
constexpr size_t WATCHERS_PER_ZONE = 2;
constexpr Duration WATCH_RETRY = framework::milliseconds{500};
constexpr Duration FETCH_RETRY = framework::milliseconds{300};
} // namespace

ConfigAgent::ConfigAgent(std::string self, store::IPlatformStore &store, Gossip &gossip, ConfigAgentHooks hooks)
    : self_(std::move(self)), store_(store), gossip_(gossip), hooks_(std::move(hooks))
{ }

const VersionedConfig &ConfigAgent::current() const
{
    return current_;
}

std::string ConfigAgent::encoded() const
{
    return current_.revision == 0 ? std::string() : config::encodeStored(current_.stored);
}

Instant ConfigAgent::confirmedAt() const
{
    return confirmedAt_;
}

bool ConfigAgent::isWatcher() const
{
    const auto self = gossip_.members().find(self_);
    if (self == gossip_.members().end()) {
        return true;
    }
    // The members of a zone that rank highest watch; all nodes with equal views agree on them.
    const uint64_t rank = framework::hash64(self_);
    size_t higher = 0;
    for (const auto &[name, member] : gossip_.members()) {
        const bool rival = member.zone == self->second.zone && member.state == MemberState::Alive && name != self_;
        higher += rival && framework::hash64(name) > rank ? 1 : 0;
    }
    return higher < WATCHERS_PER_ZONE;
}

void ConfigAgent::tick(Instant now)
{
    now_ = now;
    const bool mustAsk = !asked_ || withoutMajority_ || isWatcher();
    if (mustAsk && !watching_ && now >= nextWatchAt_) {
        watch(now);
    }
    if (heardRevision_ > current_.revision && heardRevision_ > rejectedRevision_ && now >= nextFetchAt_) {
        nextFetchAt_ = now + FETCH_RETRY;
        hooks_.fetch(source_);
    }
}

void ConfigAgent::setWithoutMajority(bool withoutMajority)
{
    withoutMajority_ = withoutMajority;
}

void ConfigAgent::watch(Instant /*now*/)
{
    watching_ = true;
    const int64_t known = std::max(current_.revision, rejectedRevision_);
    store_.watch(config::CONFIG_KEY, known, [self = shared_from_this()](const Ret &ret, const VersionedValue &value) {
        self->watching_ = false;
        self->asked_ = true;
        if (!ret) {
            self->nextWatchAt_ = self->now_ + WATCH_RETRY;
            return;
        }
        self->confirmedAt_ = self->now_;
        self->accept(value.revision, value.value);
    });
}

void ConfigAgent::onOffered(int64_t revision, std::string_view stored)
{
    accept(revision, stored);
}

void ConfigAgent::onRecord(const Record &record)
{
    if (record.version > heardRevision_) {
        heardRevision_ = record.version;
        source_ = record.value;
        nextFetchAt_ = Instant{0};
    }
}

void ConfigAgent::accept(int64_t revision, std::string_view stored)
{
    if (revision <= current_.revision || revision <= rejectedRevision_) {
        return;
    }
    VersionedConfig next;
    next.revision = revision;
    const Ret decoded = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(next.stored, config::decodeStored(stored));
        return {};
    });
    std::string reason = decoded.detail;
    if (decoded) {
        config::LoadedConfig loaded = config::loadMerged(next.stored.toml);
        reason = loaded.diagnostics.empty() ? "" : loaded.diagnostics.front().text();
        next.config = std::move(loaded.config);
    }
    if (!decoded || !reason.empty()) {
        rejectedRevision_ = revision;
        hooks_.rejected(revision, reason);
        return;
    }
    current_ = std::move(next);
    heardRevision_ = std::max(heardRevision_, revision);
    hooks_.applied(current_);
    // The record names this node as a place to fetch from.
    gossip_.publish(CONFIG_RECORD, revision, self_, true, now_);
}

} // namespace daisymount::membership

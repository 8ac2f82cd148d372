// Keeps the newest configuration on a node: the store's revision orders everything and a node only moves forward.

#pragma once

#include "config/configloader.h"
#include "membership/gossip.h"
#include "store/iplatformstore.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace daisymount::membership
{

/// A configuration with the revision that orders it.
struct VersionedConfig
{
    int64_t revision = 0; ///< 0 while none is known.
    config::StoredConfig stored;
    config::Config config;
};

struct ConfigAgentHooks
{
    /// Asks @p member for its configuration; the answer comes by ConfigAgent::onOffered.
    std::function<void(std::string_view member)> fetch;
    /// A newer configuration is in force on this node.
    std::function<void(const VersionedConfig &config)> applied;
    /// A stored value that does not pass the checks; it is not applied.
    std::function<void(int64_t revision, const std::string &reason)> rejected;
};

/// Deterministic core. A few nodes per zone watch the store; the others hear by gossip and fetch from a member that has it.
class ConfigAgent : public std::enable_shared_from_this<ConfigAgent>
{
public:
    ConfigAgent(std::string self, store::IPlatformStore &store, Gossip &gossip, ConfigAgentHooks hooks);

    /// Starts, watches and fetches as due. Call about ten times a second.
    void tick(Instant now);
    /// Without a majority of its region a node watches the store itself, since its watchers may be out of reach.
    void setWithoutMajority(bool withoutMajority);
    /// An encoded configuration from a member.
    void onOffered(int64_t revision, std::string_view stored);
    /// A gossip record under CONFIG_RECORD says that @p member's revision exists.
    void onRecord(const Record &record);

    const VersionedConfig &current() const;
    /// Encoded form for other members; empty while none is known.
    std::string encoded() const;
    /// Last time that the store confirmed the revision in force.
    Instant confirmedAt() const;

    static constexpr std::string_view CONFIG_RECORD = "config/revision";

    /// True while this node is one of the few of its zone that watch the store.
    bool isWatcher() const;

private:
    void watch(Instant now);
    void accept(int64_t revision, std::string_view stored);

    std::string self_;
    store::IPlatformStore &store_;
    Gossip &gossip_;
    ConfigAgentHooks hooks_;
    VersionedConfig current_; ///< Its revision never goes back.
    int64_t heardRevision_ = 0; ///< Highest revision that gossip has named.
    int64_t rejectedRevision_ = 0;
    std::string source_; ///< Member that named heardRevision_.
    bool watching_ = false;
    bool withoutMajority_ = false;
    bool asked_ = false; ///< The store has answered or failed once.
    Instant now_{0};
    Instant confirmedAt_{0};
    Instant nextWatchAt_{0};
    Instant nextFetchAt_{0};
};

} // namespace daisymount::membership

// Maps upstreams to the rank groups of their service, as published by the map controller.
//
// Expected load: services with up to some twenty groups of some tens of ranks. Members change only when ranks are replaced.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::dispatch
{

/// Short form of an upstream id in messages between gateways.
uint32_t upstreamHash(std::string_view upstream);

/// Key of one of several groups of a service.
std::string groupKey(std::string_view service, std::string_view group);
/// True if @p key is that of @p service itself or of one of its groups.
bool isKeyOf(std::string_view key, std::string_view service);

/// Ranks of one group.
struct GroupMembers
{
    std::string service;
    std::string group;
    std::vector<uint32_t> ranks; ///< upstreamHash() of the ids, by rank.

    bool operator==(const GroupMembers &) const = default;
};

/// All groups as known to one map controller.
struct GroupList
{
    int64_t term = 0; ///< Fencing number of the controller's lease.
    int64_t revision = 0; ///< Increases with each change within a term.
    std::vector<GroupMembers> groups;

    bool isNewerThan(const GroupList &other) const;
};

class GroupDirectory
{
public:
    /// Returns false, without any effect, if @p list is not newer than the current one.
    bool update(GroupList list);
    const GroupList &list() const;

    bool hasSeveralGroups(std::string_view service) const;
    /// Key under which beliefs about the group of @p upstream are kept: "service/group", or the service name if the service has at most one
    /// known group or the upstream belongs to none.
    std::string keyOf(std::string_view service, std::string_view upstream) const;
    /// Keys of all groups of the service; at least one.
    std::vector<std::string> keysOf(std::string_view service) const;
    /// Ranks of the group with @p key; 0 if it is unknown.
    int ranksOf(std::string_view key) const;

private:
    GroupList list_;
    std::map<std::string, std::map<uint32_t, std::string>, std::less<>> groupOfRank_; ///< By service, of services with several groups.
    std::map<std::string, int, std::less<>> ranks_; ///< By key.
};

} // namespace daisymount::dispatch

// Lookup of group keys by upstream.

#include "dispatch/groupdirectory.h"

#include "framework/hash.h"

#include <algorithm>
#include <tuple>

namespace daisymount::dispatch
{

namespace
{
constexpr char KEY_SEPARATOR = '/';
} // namespace

std::string groupKey(std::string_view service, std::string_view group)
{
    std::string key(service);
    key += KEY_SEPARATOR;
    key += group;
    return key;
}

bool isKeyOf(std::string_view key, std::string_view service)
{
    return key.starts_with(service) && (key.size() == service.size() || key[service.size()] == KEY_SEPARATOR);
}

uint32_t upstreamHash(std::string_view upstream)
{
    return static_cast<uint32_t>(framework::hash64(upstream));
}

bool GroupList::isNewerThan(const GroupList &other) const
{
    return std::tie(term, revision) > std::tie(other.term, other.revision);
}

bool GroupDirectory::update(GroupList list)
{
    if (!list.isNewerThan(list_)) {
        return false;
    }
    list_ = std::move(list);
    groupOfRank_.clear();
    ranks_.clear();
    for (const GroupMembers &members : list_.groups) {
        const auto sameService = [&](const GroupMembers &other) { return other.service == members.service; };
        if (std::ranges::count_if(list_.groups, sameService) < 2) {
            continue;
        }
        ranks_[groupKey(members.service, members.group)] = static_cast<int>(members.ranks.size());
        for (const uint32_t rank : members.ranks) {
            groupOfRank_[members.service][rank] = groupKey(members.service, members.group);
        }
    }
    return true;
}

const GroupList &GroupDirectory::list() const
{
    return list_;
}

bool GroupDirectory::hasSeveralGroups(std::string_view service) const
{
    return groupOfRank_.contains(service);
}

std::string GroupDirectory::keyOf(std::string_view service, std::string_view upstream) const
{
    const auto ranks = groupOfRank_.find(service);
    if (ranks != groupOfRank_.end()) {
        const auto found = ranks->second.find(upstreamHash(upstream));
        if (found != ranks->second.end()) {
            return found->second;
        }
    }
    return std::string(service);
}

std::vector<std::string> GroupDirectory::keysOf(std::string_view service) const
{
    std::vector<std::string> keys;
    if (hasSeveralGroups(service)) {
        for (const GroupMembers &members : list_.groups) {
            if (members.service == service) {
                keys.push_back(groupKey(members.service, members.group));
            }
        }
    }
    if (keys.empty()) {
        keys.emplace_back(service);
    }
    return keys;
}

int GroupDirectory::ranksOf(std::string_view key) const
{
    const auto found = ranks_.find(key);
    return found == ranks_.end() ? 0 : found->second;
}

} // namespace daisymount::dispatch

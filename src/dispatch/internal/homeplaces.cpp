// Computes the overlaps of two divisions of the same interval into equal parts.

#include "dispatch/homeplaces.h"

#include "dispatch/groupdirectory.h"

#include <algorithm>

namespace daisymount::dispatch
{

std::vector<SlotAllocation> slotAllocations(size_t entries, size_t upstreams)
{
    std::vector<SlotAllocation> shares;
    // In an interval of entries * upstreams units, each entry covers `upstreams` units and each upstream `entries` units.
    const size_t length = entries * upstreams;
    size_t at = 0;
    while (at < length) {
        const size_t entry = at / upstreams;
        const size_t upstream = at / entries;
        const size_t end = std::min((entry + 1) * upstreams, (upstream + 1) * entries);
        shares.push_back({entry, upstream, static_cast<double>(end - at) / static_cast<double>(entries)});
        at = end;
    }
    return shares;
}

int ServingEntry::inFlightAt(std::string_view service) const
{
    int sum = 0;
    for (const auto &[key, count] : inFlight) {
        sum += isKeyOf(key, service) ? count : 0;
    }
    return sum;
}

} // namespace daisymount::dispatch

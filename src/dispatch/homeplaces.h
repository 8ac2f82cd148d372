// Which places at the engines of a service belong to which entry, so that many entries that know little of each other do not meet at one
// engine while others have places free.
//
// Load: as many entries as engines. Each entry has a few requests under way and sees one engine's load once a minute; choosing by that is
// choosing at random, and every tenth request then waits for a slot at an engine that is full.

#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisymount::dispatch
{

/// Part of one upstream's places that belongs to one entry.
struct SlotAllocation
{
    size_t entry = 0; ///< Position in the order of entries.
    size_t upstream = 0; ///< Position in the order of upstreams.
    double fraction = 0.0; ///< In (0, 1], of the upstream.
};

/// Lays @p entries equal intervals over @p upstreams equal ones. The parts of each upstream add up to 1, and those of each entry to
/// upstreams / entries.
std::vector<SlotAllocation> slotAllocations(size_t entries, size_t upstreams);

/// An entry that takes callers.
struct ServingEntry
{
    std::string name;
    std::string zone;
    bool self = false;
    std::vector<std::pair<std::string, int>> inFlight; ///< Its requests at the engines of each service, as far as known.

    int inFlightAt(std::string_view service) const;
};

} // namespace daisymount::dispatch

// Reservation of engine slots for entries. It keeps entries without current load data from sending to the same engine while others
// have free slots.
//
// Expected load: as many entries as engines. Each entry has a few requests in flight and gets a load report of an engine about once a
// minute. Selection by such reports is effectively random, and every tenth request then waits for a slot on a full engine.

#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisymount::dispatch
{

/// Fraction of the slots of one upstream reserved for one entry.
struct SlotAllocation
{
    size_t entry = 0; ///< Index of the entry.
    size_t upstream = 0; ///< Index of the upstream.
    double fraction = 0.0; ///< In (0, 1].
};

/// Divides the slots of @p upstreams equally between @p entries. The fractions of each upstream add up to 1, those of each entry to
/// upstreams / entries.
std::vector<SlotAllocation> slotAllocations(size_t entries, size_t upstreams);

/// An entry that accepts callers.
struct ServingEntry
{
    std::string name;
    std::string zone;
    bool self = false;
    std::vector<std::pair<std::string, int>> inFlight; ///< Requests in flight at the engines, by group key, as last reported.

    int inFlightAt(std::string_view service) const;
};

} // namespace daisymount::dispatch

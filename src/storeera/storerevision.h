// Revisions of the platform's store across its eras. The store begins a new era when it comes back from an older copy: revisions then go back and are
// given out again, so that a revision orders changes only together with its era.

#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace daisymount::storeera
{

struct StoreRevision
{
    int64_t era = 0; ///< 0 if the store told none.
    int64_t revision = 0; ///< 0 before the first change.

    constexpr StoreRevision() = default;
    constexpr StoreRevision(int64_t eraNumber, int64_t revisionNumber) : era(eraNumber), revision(revisionNumber)
    { }

    constexpr auto operator<=>(const StoreRevision &other) const = default;

    /// ERA/REVISION, for logs.
    std::string toText() const
    {
        return std::to_string(era) + "/" + std::to_string(revision);
    }
};

} // namespace daisymount::storeera

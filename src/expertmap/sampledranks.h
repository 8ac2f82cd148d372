// Selects the ranks whose expert counts are read: those that have requests, ranks of the reader's own zone first.
//
// Expected load: groups over several zones of which one may be out of service, so that its ranks have no requests and their counts stand still.

#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace daisymount::expertmap
{

class SampledRanks
{
public:
    struct Selection
    {
        std::vector<int> ranks;
        bool sameZoneOnly = false; ///< All ranks are in the reader's zone.
    };

    /// Sets the ranks of the group; @p sameZone tells of each whether it is in the reader's zone. Forgets what was read.
    void reset(std::vector<bool> sameZone);
    /// The counts of @p rank were read; @p selections is their sum.
    void onRead(int rank, int64_t selections);
    /// Selects up to @p sameZoneLimit ranks of the own zone if at least @p limit of them have requests, else up to @p limit ranks of all zones.
    /// One rank without requests is read along, in turn, to see when it gets some again.
    Selection select(int limit, int sameZoneLimit);
    /// Number of ranks known to have no requests.
    int idleRanks() const;

    /// Number of reads in a row without an increase after which a rank counts as one without requests.
    static constexpr int READS_UNTIL_IDLE = 3;

private:
    struct Rank
    {
        bool sameZone = false;
        int64_t selections = 0; ///< At the last read.
        int unchangedReads = 0;
    };

    bool isIdle(const Rank &rank) const
    {
        return rank.unchangedReads >= READS_UNTIL_IDLE;
    }

    std::vector<Rank> ranks_;
    size_t nextProbe_ = 0; ///< Where the search for the next idle rank to be read begins.
    size_t firstOther_ = 0; ///< Where the selection of ranks in other zones begins; moves on, so that all of them are read in time.
};

} // namespace daisymount::expertmap

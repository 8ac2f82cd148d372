// Names of orders and outcomes on the wire, in logs and in metrics.

#include "expertmap/grouptypes.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace daisymount::expertmap
{

namespace
{
/// Versions that a controller can choose in one term, in which it changes maps a few times a second at most.
constexpr int64_t VERSIONS_PER_TERM = int64_t{1} << 20;
/// Versions of higher fencing numbers do not fit into 63 bits.
constexpr int64_t MAX_FENCING = std::numeric_limits<int64_t>::max() / VERSIONS_PER_TERM;
} // namespace

int64_t nextMapVersion(int64_t highestVersion, int64_t fencing)
{
    return fencing > MAX_FENCING ? highestVersion + 1 : std::max(highestVersion + 1, fencing * VERSIONS_PER_TERM + 1);
}

int64_t totalSelections(const ExpertCounts &counts)
{
    int64_t total = 0;
    for (const std::vector<int64_t> &chosen : counts.chosen) {
        total = std::accumulate(chosen.begin(), chosen.end(), total);
    }
    return total;
}

std::string_view toString(OrderKind kind)
{
    switch (kind) {
    case OrderKind::Prepare:
        return "prepare";
    case OrderKind::Arm:
        return "arm";
    case OrderKind::Disarm:
        return "disarm";
    case OrderKind::Hold:
        return "hold";
    case OrderKind::Go:
        return "go";
    }
    return "unknown";
}

std::string_view toString(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Begun:
        return "begun";
    case OrderOutcome::Done:
        return "done";
    case OrderOutcome::Conflict:
        return "conflict";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace daisymount::expertmap

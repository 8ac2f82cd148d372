// Types of rank groups: reports of the ranks, orders to them and the maps of a group.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::expertmap
{

/// Experts of one rank in one set, ascending.
using RankExperts = std::vector<int>;
/// Experts of each rank, indexed by set and rank.
using GroupMap = std::vector<std::vector<RankExperts>>;

/// State that a rank reports about itself.
struct RankReport
{
    std::string group; ///< Empty if the upstream is not a rank.
    int64_t epoch = 0; ///< Incremented each time the group starts again, for example after a rank's restart.
    int rank = 0;
    int groupSize = 0;
    bool open = false; ///< False while a rank of the group is missing.
    int64_t lastPass = 0; ///< Number of the last pass that has begun.
    int64_t mapVersion = 0; ///< 0 for the initial round-robin placement.
    std::optional<int64_t> preparedVersion; ///< Map whose weights are completely copied.
    std::optional<int64_t> armedVersion;
    std::optional<int64_t> heldPass; ///< Pass that the group does not begin before a go order.
    int64_t orderSequence = 0; ///< Number of orders that the rank has accepted since its start.
    bool copying = false; ///< An order is being executed.
    double pace = 1.0; ///< Slowdown factor; above 1 the rank is slower than usual.
};

/// Number of times that the requests of one rank selected each expert since the rank's start, by set.
struct ExpertCounts
{
    int64_t lastPass = 0;
    int64_t epoch = 0;
    std::vector<std::vector<int64_t>> chosen;
};

/// Sum over all sets and experts.
int64_t totalSelections(const ExpertCounts &counts);

/// Version for the next map of a group, above @p highestVersion. Controllers with different fencing numbers never choose the same one, and one with a
/// higher number chooses a higher version, so that a prepare of an earlier controller that is executed late is told from that of its successor.
int64_t nextMapVersion(int64_t highestVersion, int64_t fencing);

/// Experts of one rank in the current map, by set.
struct RankMap
{
    int64_t epoch = 0;
    int64_t version = 0;
    std::vector<RankExperts> experts;
};

enum class OrderKind : uint8_t {
    Prepare, ///< Copy the weights of a map.
    Arm, ///< Switch to a prepared map at the beginning of a pass.
    Disarm, ///< Cancel an arm.
    Hold, ///< Do not begin a pass before a go order.
    Go, ///< Release a hold.
};

struct RankOrder
{
    OrderKind kind = OrderKind::Prepare;
    int64_t epoch = 0;
    int64_t fencing = 0;
    int64_t version = 0; ///< Map version, for prepare, arm and disarm.
    int64_t pass = 0; ///< For arm, hold and go.
    const GroupMap *map = nullptr; ///< For prepare.
    std::optional<int64_t> expectedSequence; ///< The rank rejects the order if its order sequence differs.
};

std::string_view toString(OrderKind kind);

enum class OrderOutcome : uint8_t {
    Begun, ///< Accepted and in progress.
    Done, ///< Completed, or the rank was already in the requested state.
    Conflict, ///< Rejected because of the rank's state.
    Fenced, ///< Rejected because the rank has seen a higher fencing number.
    Unknown, ///< No reply, or a reply that does not tell the outcome.
};

std::string_view toString(OrderOutcome outcome);

} // namespace daisymount::expertmap

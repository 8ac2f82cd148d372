// Messages of the switch protocol. The models under models/ use the same names.

#pragma once

#include "expertmap/expertmaptypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace daisymount::expertmap
{

/// Never used for two different maps of a group.
using MapVersion = int64_t;
using Step = int64_t;

/// Identifies one proposal: a version proposed under one lease.
struct ProposalId
{
    int64_t fencing = 0; ///< Of the controller's lease.
    MapVersion version = 0;

    auto operator<=>(const ProposalId &other) const = default;
};

/// Controller to sidecars: load the weights of the map beside those in use.
struct Propose
{
    ProposalId proposal;
};

/// Sidecar to controller: the weights are there.
struct Prepared
{
    ProposalId proposal;
    std::string member;
    uint64_t incarnation = 0; ///< Of the sidecar process.
    int64_t epoch = 0; ///< In which its ranks run.
    Step step = 0; ///< Step that its ranks make next.
};

/// Controller to sidecars, once per proposal: switch at this step if all are armed.
struct Hold
{
    ProposalId proposal;
    int64_t epoch = 0; ///< Steps count from the start of an epoch: a hold is void in any other.
    Step step = 0;
    /// Processes that prepared, by member. A restarted one refuses: it cannot know how the earlier one voted.
    std::map<std::string, uint64_t> incarnations;
};

/// Sidecar to all: final.
struct Vote
{
    ProposalId proposal;
    std::string member;
    int64_t epoch = 0; ///< Of the hold that was voted on.
    Step step = 0; ///< Of the hold that was voted on.
    bool armed = false;
};

/// Controller to sidecars: stop the ranks and say what was committed.
struct Stop
{
    int64_t epoch = 0; ///< Grows with each restart; begins with the fencing number.
};

/// Sidecar to controller.
struct Stopped
{
    int64_t epoch = 0;
    std::string member;
    MapVersion committed = 0;
};

/// Controller to sidecars: all ranks start again on this map.
struct Restart
{
    int64_t epoch = 0;
    MapVersion version = 0;
};

/// Sidecar to controller: its ranks run in the epoch.
struct Started
{
    int64_t epoch = 0;
    std::string member;
};

using SwitchMessage = std::variant<Propose, Prepared, Hold, Vote, Stop, Stopped, Restart, Started>;

} // namespace daisymount::expertmap

// Messages of the switch protocol. The formal models under models/ use the same names.

#pragma once

#include "expertmap/expertmaptypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace daisymount::expertmap
{

/// Identifies a map of a group; never reused for another map.
using MapVersion = int64_t;
using Step = int64_t;

/// Identifies one proposal: a version proposed under one lease.
struct ProposalId
{
    int64_t fencing = 0; ///< Fencing number of the controller's lease.
    MapVersion version = 0;

    auto operator<=>(const ProposalId &other) const = default;
};

/// Controller to sidecars: load the weights of the proposed map in addition to those in use.
struct Propose
{
    ProposalId proposal;
};

/// Sidecar to controller: the weights are loaded.
struct Prepared
{
    ProposalId proposal;
    std::string member;
    uint64_t incarnation = 0; ///< Identifies the sidecar process.
    int64_t epoch = 0; ///< Current epoch of its ranks.
    Step step = 0; ///< Next step of its ranks.
};

/// Controller to sidecars: switch at this step if all members vote to arm. A proposal has only one hold, which is resent unchanged.
struct Hold
{
    ProposalId proposal;
    int64_t epoch = 0; ///< Steps are counted from the start of an epoch, so the hold is invalid in any other epoch.
    Step step = 0;
    /// Incarnations of the sidecars that prepared, by member. A restarted sidecar votes against, because it does not know the earlier vote.
    std::map<std::string, uint64_t> incarnations;
};

/// Sidecar to the other members and the controller: vote on a hold. It is final.
struct Vote
{
    ProposalId proposal;
    std::string member;
    int64_t epoch = 0; ///< Epoch of the hold.
    Step step = 0; ///< Step of the hold.
    bool armed = false;
};

/// Controller to sidecars: stop the ranks and report the committed map.
struct Stop
{
    int64_t epoch = 0; ///< Increases with each restart; derived from the fencing number, so that later controllers use higher epochs.
};

/// Sidecar to controller: the ranks are stopped.
struct Stopped
{
    int64_t epoch = 0;
    std::string member;
    MapVersion committed = 0;
};

/// Controller to sidecars: start the ranks with this map.
struct Restart
{
    int64_t epoch = 0;
    MapVersion version = 0;
};

/// Sidecar to controller: the ranks are running in this epoch.
struct Started
{
    int64_t epoch = 0;
    std::string member;
};

using SwitchMessage = std::variant<Propose, Prepared, Hold, Vote, Stop, Stopped, Restart, Started>;

} // namespace daisymount::expertmap

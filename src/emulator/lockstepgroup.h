// Model of a lock-step group of engines from its published timing, for trying policies without a network.
//
// All ranks make each pass together. A pass takes as long as the slowest rank's own part and, set by set, the most loaded rank's part of
// the experts. Prompts choose experts by their subject; the tokens of one prompt choose them together. Time is simulated.

#pragma once

#include "expertmap/grouptypes.h"
#include "framework/clock.h"

#include <cstdint>
#include <random>
#include <vector>

namespace daisymount::emulator
{

using framework::Duration;
using framework::Instant;
using framework::milliseconds;

/// Published timing and layout of a group's engines.
struct GroupShape
{
    int ranks = 12;
    int slots = 12; ///< Requests at once per rank.
    int sets = 4;
    int experts = 72; ///< Per set.
    int placements = 8; ///< Experts per rank and set at most.
    int spares = 3; ///< Experts per set that one change may add to a rank.
    double stepMs = 5.85;
    double stepMsPerSequence = 0.355;
    double promptTokensPerMs = 61.2;
    int chunkTokens = 512; ///< Prompt tokens read per step at most.
    int stepsPerPass = 5;
    double expertShare = 0.85; ///< Of the work for tokens.
    int subjects = 9;
    double subjectExponent = 1.3; ///< Exponent of the popularity of experts within a subject.
    double commonFraction = 0.65; ///< Of the choices, which all subjects share.
    int selectionsPerToken = 40; ///< Choices per set that a token makes.
    int answersPerStream = 4; ///< Answers that are written for one prompt at the same time.
    milliseconds copyTime{35}; ///< Of one expert to one rank.
};

struct EmulatedRequest
{
    int64_t id = 0;
    int promptTokens = 0;
    int events = 0;
    int subject = 0;
};

/// What one pass did for a request.
struct PassEvent
{
    int64_t id = 0;
    bool last = false;
};

struct PassResult
{
    Duration length{0};
    double skew = 1.0; ///< Most loaded rank over the mean, mean over the sets.
    std::vector<PassEvent> events;
};

class LockStepGroup
{
public:
    LockStepGroup(const GroupShape &shape, uint64_t seed);

    /// Adds a request at the rank with the fewest. False when every rank is full.
    bool admit(const EmulatedRequest &request);
    /// Makes one pass; an idle group makes an empty one of the length of its steps.
    PassResult pass();
    /// Part of what each subject chooses goes to other experts.
    void shiftDemand(double fraction);
    /// The map in force from the next pass on.
    void setMap(expertmap::GroupMap map);

    const expertmap::GroupMap &map() const;
    /// Running counts of a rank, as the platform tells them.
    const expertmap::ExpertCounts &counts(int rank) const;
    int running() const;
    const GroupShape &shape() const;
    /// A subject drawn by popularity.
    int drawSubject();

private:
    struct Running
    {
        EmulatedRequest request;
        int promptTokensLeft = 0;
        int eventsLeft = 0;
    };

    /// Tokens by subject that a rank handles in the pass; returns the time of its work in milliseconds.
    double processRank(std::vector<Running> &requests, std::vector<double> &tokens, std::vector<PassEvent> &events) const;
    void selectExperts(int rank, const std::vector<double> &tokens, std::vector<std::vector<double>> &loads);
    double skewOf(const std::vector<std::vector<double>> &loads) const;

    GroupShape shape_;
    std::mt19937_64 random_;
    std::vector<std::vector<Running>> ranks_;
    std::vector<std::vector<std::vector<double>>> expertPreference_; ///< By subject, set and expert; adds up to 1.
    std::vector<double> popularity_; ///< By subject.
    expertmap::GroupMap map_;
    std::vector<expertmap::ExpertCounts> counts_; ///< By rank.
    int64_t passes_ = 0;
};

} // namespace daisymount::emulator

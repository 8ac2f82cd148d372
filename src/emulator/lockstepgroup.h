// Simulation of a lock-step engine group based on its published timing. Evaluates policies without a network.
//
// All ranks execute each pass together. The duration of a pass is the time of the slowest rank for its own work plus, for each expert set, the
// expert time of the most loaded rank. The subject of a prompt determines which experts its tokens select, so the selections of one prompt are
// correlated. Time is simulated.

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

/// Published timing and layout of the engines of a group.
struct GroupShape
{
    int ranks = 12;
    int slots = 12; ///< Maximum number of concurrent requests per rank.
    int sets = 4;
    int experts = 72; ///< Number of experts per set.
    int placements = 8; ///< Maximum number of experts per rank and set.
    int spares = 3; ///< Maximum number of experts per set that one map change may add to a rank.
    double stepMs = 5.85;
    double stepMsPerSequence = 0.355;
    double promptTokensPerMs = 61.2;
    int chunkTokens = 512; ///< Maximum number of prompt tokens processed per step.
    int stepsPerPass = 5;
    double expertShare = 0.85; ///< Fraction of the token processing time that is spent in experts.
    int subjects = 9;
    double subjectExponent = 1.3; ///< Power-law exponent of expert popularity within a subject; 0 is uniform.
    double commonFraction = 0.65; ///< Weight of the expert popularity common to all subjects.
    int selectionsPerToken = 40; ///< Expert selections that a token makes per set.
    int answersPerStream = 4; ///< Answers generated concurrently for one prompt.
    milliseconds copyTime{35}; ///< Time to copy one expert to one rank.
};

struct EmulatedRequest
{
    int64_t id = 0;
    int promptTokens = 0;
    int events = 0;
    int subject = 0;
};

/// Output of one pass for a request.
struct PassEvent
{
    int64_t id = 0;
    bool last = false;
};

struct PassResult
{
    Duration length{0};
    double skew = 1.0; ///< Ratio of the most loaded rank to the mean rank, averaged over the sets.
    std::vector<PassEvent> events;
};

class LockStepGroup
{
public:
    LockStepGroup(const GroupShape &shape, uint64_t seed);

    /// Adds a request to the rank with the fewest requests. Returns false if all ranks are full.
    bool admit(const EmulatedRequest &request);
    /// Executes one pass. A pass of an idle group has no events and takes the base time of its steps.
    PassResult pass();
    /// Swaps random pairs of expert preferences within each subject and set, and reshuffles the popularity of subjects.
    /// @param fraction Number of swaps relative to the number of experts.
    void shiftDemand(double fraction);
    /// Sets the expert map used from the next pass on.
    void setMap(expertmap::GroupMap map);

    const expertmap::GroupMap &map() const;
    /// Returns the cumulative expert counts of a rank, in the form that the platform reports.
    const expertmap::ExpertCounts &counts(int rank) const;
    int running() const;
    const GroupShape &shape() const;
    /// Draws a random subject, weighted by popularity.
    int drawSubject();

private:
    struct Running
    {
        EmulatedRequest request;
        int promptTokensLeft = 0;
        int eventsLeft = 0;
    };

    /// Processes the requests of one rank for a pass and adds up their tokens by subject. Returns the processing time in milliseconds.
    double processRank(std::vector<Running> &requests, std::vector<double> &tokens, std::vector<PassEvent> &events) const;
    void selectExperts(int rank, const std::vector<double> &tokens, std::vector<std::vector<double>> &loads);
    double skewOf(const std::vector<std::vector<double>> &loads) const;

    GroupShape shape_;
    std::mt19937_64 random_;
    std::vector<std::vector<Running>> ranks_;
    std::vector<std::vector<std::vector<double>>> expertPreference_; ///< Indexed by subject, set and expert; the weights of a set add up to 1.
    std::vector<double> popularity_; ///< Indexed by subject.
    expertmap::GroupMap map_;
    std::vector<expertmap::ExpertCounts> counts_; ///< Indexed by rank.
    int64_t passes_ = 0;
};

} // namespace daisymount::emulator

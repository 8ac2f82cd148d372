// Checks the guarantees of the load balancer against recorded observations. Used by tests, scenarios, the demo and the end-to-end run.

#pragma once

#include "framework/clock.h"
#include "framework/resultcode.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::promises
{

using framework::Duration;
using framework::Instant;

/// Guarantees that hold in every run.
enum class Promise : uint8_t {
    OneExpertMapPerStep,
    ColdStartBearable,
    ZoneOutNoNewWork,
    WholeOwnAnswer,
    NotRunIsTrue,
    AtMostOnce,
    LeavingNoNewWork,
    GracefulStop,
    ConfigurationForward,
    AnsweredOnce,
};

std::string_view toString(Promise promise);

struct Violation
{
    Promise promise;
    std::string detail;
};

/// Records the observations of one run and derives the violated promises from them.
class PromiseLedger
{
public:
    /// @param grace Period after an availability zone is taken out, or an upstream starts to leave, in which new work is still tolerated.
    explicit PromiseLedger(Duration grace);

    /// Records that an upstream began to execute the request or order with the idempotency key @p key. The key is empty for idempotent work.
    void onExecution(std::string_view key, std::string_view upstream, std::string_view zone, Instant at);
    /// Records the final reply to @p request. Retries by the caller share @p key; the key is empty for idempotent work.
    void onReply(std::string_view request, std::string_view key, framework::ResultCode code, framework::RunState ran);
    /// Compares an answer that the caller treated as complete with the expected one.
    void onCompleteAnswer(std::string_view request, std::string_view expected, std::string_view got);
    /// Records a request that lost its connection or received no reply during a graceful shutdown of the fleet.
    void onCutOff(std::string_view request);

    void onZoneOut(std::string_view zone, Instant at);
    void onZoneIn(std::string_view zone, Instant at);
    void onLeaving(std::string_view upstream, Instant at);
    void onReturned(std::string_view upstream, Instant at);

    /// Records the requests in flight on an upstream in cold start; more than @p limit is a violation.
    void onColdLoad(std::string_view upstream, int64_t inFlight, int64_t limit);
    /// Records that @p rank of @p group executed @p step with the expert map @p map.
    void onStep(std::string_view group, int64_t step, std::string_view rank, int64_t map);

    void onConfigAccepted(int64_t revision, Instant at);
    void onConfigApplied(std::string_view node, int64_t revision, Instant at);
    /// Checks that all @p nodes have applied the newest accepted revision. Call it once the time allowed for a configuration change is over.
    void checkConfigInForce(const std::vector<std::string> &nodes);

    /// Returns the violations found so far, including those that need the observations of the whole run.
    std::vector<Violation> violations() const;
    /// Returns how often the work with @p key was executed.
    int64_t executionCount(std::string_view key) const;
    /// Returns the number of executions that began in @p zone while it was out and the grace period was over.
    int64_t lateExecutionCount(std::string_view zone) const;

private:
    struct Window
    {
        Instant from{0};
        Instant to{Instant::max()};
    };

    struct Execution
    {
        std::string upstream;
        std::string zone;
        Instant at{0};
    };

    struct ReplySummary
    {
        bool anyMayHaveRun = false;
        bool anyNotRun = false;
        bool anyConfirmed = false;
    };

    using Windows = std::map<std::string, std::vector<Window>, std::less<>>;

    void addViolation(Promise promise, std::string detail);
    bool isAfterGrace(const Windows &windows, std::string_view name, Instant at) const;
    static void closeWindow(Windows &windows, std::string_view name, Instant at);

    Duration grace_;
    std::vector<Violation> violations_;
    std::vector<Execution> executions_;
    std::map<std::string, int64_t, std::less<>> executionCounts_;
    std::map<std::string, ReplySummary, std::less<>> replySummaries_;
    std::set<std::string, std::less<>> answeredRequests_;
    Windows zoneOutWindows_;
    Windows leavingWindows_;
    std::map<std::pair<std::string, int64_t>, int64_t> mapOfStep_;
    std::map<std::string, int64_t, std::less<>> appliedRevisions_;
    int64_t acceptedRevision_ = 0;
};

} // namespace daisymount::promises

// One checker per promise. Tests, scenarios, the demo and the end-to-end run write what they saw and read the violations.

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

/// What must always hold.
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

/// Collects observations of one run.
class PromiseLedger
{
public:
    /// @p grace: time after which a zone or VM that is out, or leaving, must get no new work.
    explicit PromiseLedger(Duration grace);

    /// An upstream started to run the request or order known by @p key. Keys of idempotent work are empty.
    void onExecution(std::string_view key, std::string_view upstream, std::string_view zone, Instant at);
    /// The final reply to one receipt. @p key as above.
    void onReply(std::string_view request, std::string_view key, framework::ResultCode code, framework::RunState ran);
    /// A caller has taken an answer for complete.
    void onCompleteAnswer(std::string_view request, std::string_view expected, std::string_view got);
    /// A request lost its connection or got no reply at all while the fleet was shutting down gracefully.
    void onCutOff(std::string_view request);

    void onZoneOut(std::string_view zone, Instant at);
    void onZoneIn(std::string_view zone, Instant at);
    void onLeaving(std::string_view upstream, Instant at);
    void onReturned(std::string_view upstream, Instant at);

    /// An upstream in cold start had @p inFlight requests and bears @p limit.
    void onColdLoad(std::string_view upstream, int64_t inFlight, int64_t limit);
    /// A rank made @p step of @p group on @p map.
    void onStep(std::string_view group, int64_t step, std::string_view rank, int64_t map);

    void onConfigAccepted(int64_t revision, Instant at);
    void onConfigApplied(std::string_view node, int64_t revision, Instant at);
    /// Checks that all @p nodes have the newest accepted revision; call after the time allowed.
    void checkConfigInForce(const std::vector<std::string> &nodes);

    /// All violations, those that only the whole run shows included.
    std::vector<Violation> violations() const;
    /// Runs of @p key.
    int64_t executionCount(std::string_view key) const;
    /// Work started in @p zone later than the grace after it was taken out.
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

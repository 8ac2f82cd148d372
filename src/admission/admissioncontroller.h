// Admission to one upstream: concurrency and token-rate limits, cold start that ramps by completed work, a bounded queue.
// Deterministic core; the sidecar drives it.

#pragma once

#include "admission/admissiontypes.h"
#include "admission/colddetector.h"
#include "config/configtypes.h"
#include "routing/routingtypes.h"

#include <functional>
#include <map>
#include <vector>

namespace daisymount::admission
{

class AdmissionController
{
public:
    /// Called on each return to the cold limit.
    using ColdHook = std::function<void(ColdReason reason, int64_t coldLimit)>;

    AdmissionController(const config::AdmissionLimits &limits, Instant now);

    void setLimits(const config::AdmissionLimits &limits);
    /// An upstream out of service refuses all new work and drops its queue at the next poll(); returning starts cold.
    void setOutOfService(bool out);
    void setColdHook(ColdHook hook);

    Decision offer(const Offer &offer, Instant now);

    /// Admits and drops queued attempts. Call after every other call and at nextDeadline().
    PollResult poll(Instant now);

    /// The attempt is no longer wanted: leaves the queue or gives its slot back.
    void cancel(AttemptId attempt);

    void onFirstToken(AttemptId attempt, Instant now);
    void onTokens(int64_t count, Instant now);
    /// @p succeeded: the engine answered to the end.
    void onFinished(AttemptId attempt, bool succeeded, Instant now);
    /// The engine restarted: in-flight attempts are lost, the next ones start cold.
    void onEngineRestarted();

    /// Earliest deadline in the queue; Instant::max() when the queue is empty.
    Instant nextDeadline() const;
    routing::LoadHint hint() const;
    int64_t limit() const;
    int64_t inFlight() const;
    bool isCold() const;

private:
    struct Running
    {
        Instant startedAt;
        bool exclusive = false;
        bool countsForRamp = false; ///< It started with at least half of the limit in use.
    };

    void goCold(ColdReason reason);
    void start(const Offer &offer, Instant now);
    void refillTokens(Instant now);
    bool hasSlot(const Offer &offer) const;
    bool hasTokens() const;
    bool exclusiveRunning() const;
    bool meetsDeadline(const Offer &offer, Instant now) const;
    Decision refusal(framework::ResultCode code) const;
    Decision enqueue(const Offer &offer);
    framework::ResultCode fullCode() const;
    Duration expectedService() const;
    static bool before(const Offer &left, const Offer &right);

    config::AdmissionLimits limits_;
    ColdHook coldHook_;
    ColdDetector detector_;
    int64_t limit_; ///< In [coldConcurrency, warmConcurrency].
    int64_t rampProgress_ = 0; ///< Completions towards the next step, below rampCompletions.
    bool out_ = false;
    double tokenBalance_ = 0.0; ///< At most one second's worth; negative while in debt.
    Instant tokensAt_;
    double serviceMs_ = 0.0; ///< Moving average of time in the engine; 0 until the first sample.
    std::map<AttemptId, Running> running_;
    std::vector<Offer> queue_; ///< Sorted by before(); at most queueLength long.
};

} // namespace daisymount::admission

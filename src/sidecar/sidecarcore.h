// The last word on what one upstream runs: admission, at-most-once execution, service state, crash detection.

#pragma once

#include "admission/admissioncontroller.h"
#include "attempts/attempttypes.h"
#include "claims/executionguard.h"
#include "config/configtypes.h"
#include "framework/eventlog.h"
#include "sidecar/isidecarports.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace daisymount::sidecar
{

using attempts::AttemptId;
using framework::Instant;

struct SidecarOptions
{
    std::string upstream; ///< Name in the configuration.
    uint64_t incarnation = 1; ///< Of this process, never reused.
};

/// Deterministic core; one per upstream.
class SidecarCore
{
public:
    using CrashHook = std::function<void(const quarantine::CrashReport &report)>;

    SidecarCore(SidecarOptions options, IEngineLink &engine, IAttemptReplies &replies, framework::IEventLog &log, Instant now);

    void configure(const config::Config &config, Instant now);
    void setCrashHook(CrashHook hook);
    /// Cut off from everything that could tell of a change: new work is refused.
    void setCutOff(bool cutOff, Instant now);
    /// The VM is leaving or the process is shutting down: new work is refused, running work ends.
    void setDraining(bool draining, Instant now);

    void onAttempt(const attempts::AttemptRequest &request, Instant now);
    /// The entry no longer waits. An idempotent attempt is cancelled, another runs to its end.
    void onAttemptGone(AttemptId attempt, Instant now);
    claims::RevokeVerdict onRevoke(std::string_view key, uint64_t addressedTo, Instant now);

    void onEngineEvent(AttemptId attempt, const attempts::AttemptEvent &event, Instant now);
    /// @p incarnation of the engine; empty when it does not answer.
    void onProbe(std::optional<uint64_t> incarnation, Instant now);

    void tick(Instant now);

    routing::LoadHint hint() const;
    int64_t inFlight() const;
    /// True while the upstream or its zone is out of service, the node drains or is cut off.
    bool refusesAll() const;
    const admission::AdmissionController &admission() const;

private:
    struct Attempt
    {
        attempts::AttemptRequest request;
        Instant deadline{0};
        bool started = false; ///< Handed to the engine.
        bool firstToken = false;
        std::optional<framework::RunState> broken; ///< The engine's connection broke, with what that tells; waits for the probe.
    };

    void refuse(AttemptId attempt, framework::ResultCode code, framework::RunState ran, framework::Duration retryAfter);
    /// ResultCode::Ok when new work may be taken.
    framework::ResultCode serviceState() const;
    void handOver(AttemptId attempt, Instant now);
    void pollAdmission(Instant now);
    void finish(AttemptId attempt, const attempts::AttemptEvent &event, bool succeeded, Instant now);
    void declareCrash(Instant now);
    void failBroken(Instant now);
    void report(std::string_view name, framework::ResultCode code, const std::string &request) const;

    SidecarOptions options_;
    IEngineLink &engine_;
    IAttemptReplies &replies_;
    framework::IEventLog &log_;
    CrashHook crashHook_;
    admission::AdmissionController admission_;
    claims::ExecutionGuard guard_;
    std::map<AttemptId, Attempt> attempts_;
    std::optional<uint64_t> engineIncarnation_; ///< Last one that the engine stated.
    bool probing_ = false;
    bool configured_ = false; ///< A configuration that names this upstream was seen.
    bool out_ = false;
    bool cutOff_ = false;
    bool draining_ = false;
};

} // namespace daisymount::sidecar

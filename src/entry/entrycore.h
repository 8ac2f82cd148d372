// Life of a request at an entry: checks, claim, attempts, retries, resumption, one final answer.

#pragma once

#include "attempts/attempttypes.h"
#include "claims/claimsregistry.h"
#include "config/configtypes.h"
#include "entry/ientryports.h"
#include "entry/repeatresolver.h"
#include "framework/eventlog.h"
#include "organisations/billingmeter.h"
#include "organisations/organisationlimiter.h"
#include "quarantine/quarantine.h"
#include "retry/retrybudget.h"
#include "routing/irouter.h"
#include "streams/tokenstream.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisymount::entry
{

struct EntryOptions
{
    std::string self;
    uint32_t incarnation = 1; ///< Of this process, never reused.
    Duration stallTimeout = framework::seconds{3}; ///< Silence of an upstream after which an idempotent request moves on.
    int maxAttempts = 6;
};

/// Parts that the core works with; all outlive it.
struct EntryParts
{
    routing::IRouter &router;
    claims::ClaimsRegistry &claims;
    IAttemptTransport &transport;
    IEntryPeers &peers;
    ICallerSink &callers;
    framework::IEventLog &log;
};

struct EntryHooks
{
    std::function<void(const RequestOutcome &outcome)> outcome;
    std::function<void(std::string_view service, Duration gap)> tokenGap;
    std::function<void(quarantine::Fingerprint fingerprint)> convicted;
    std::function<int64_t()> unixMs; ///< Wall clock.
};

/// Counters of dropped messages and attempts.
struct EntryCounters
{
    uint64_t received = 0;
    uint64_t attemptsSent = 0;
    uint64_t retries = 0;
    uint64_t resumed = 0;
    uint64_t staleEvents = 0; ///< Events of attempts that were given up.
    uint64_t droppedTokens = 0;
};

/// Deterministic core; one per entry.
class EntryCore
{
public:
    EntryCore(EntryOptions options, EntryParts parts, EntryHooks hooks, Instant now);

    void configure(const config::Config &config);

    void onRequest(const CallerRequest &request, Instant now);
    /// The caller has disconnected. Idempotent work is cancelled, other work runs to its end so that a repeat finds its answer.
    void onCallerGone(std::string_view request, Instant now);
    void onAttemptEvent(attempts::AttemptId attempt, const attempts::AttemptEvent &event, Instant now);
    OwnerAnswer onOwnerQuery(const OwnerQuery &query);
    void onOwnerAnswer(const OwnerAnswer &answer, Instant now);
    void onCrashReport(const quarantine::CrashReport &report, Instant now);
    void onConviction(const quarantine::Conviction &conviction, Instant now);
    void tick(Instant now);

    /// Requests that still owe their caller an answer.
    size_t openRequests() const;
    const EntryCounters &counters() const;
    organisations::OrganisationLimiter &limiter();
    organisations::BillingMeter &billing();
    quarantine::Quarantine &quarantine();

private:
    struct Request
    {
        CallerRequest caller;
        std::string organisation;
        bool idempotent = true;
        bool deferrable = false;
        bool charged = false; ///< The organisation's limit was charged with the estimate.
        bool replied = false; ///< The final answer was given or the caller has gone.
        Instant receivedAt{0};
        Instant deadline{0};
        std::string claimId; ///< Of a granted claim; empty when none is needed.
        std::string executionKey; ///< For the sidecar, empty when idempotent.
        quarantine::Fingerprint fingerprint = 0;
        streams::TokenStream stream;
        attempts::AttemptId attempt = 0; ///< The live one, 0 when there is none.
        std::string upstream; ///< Of the live attempt.
        std::string address;
        uint64_t addressedTo = 0;
        Instant sentAt{0};
        Instant lastEventAt{0};
        bool accepted = false; ///< The sidecar handed the live attempt over.
        bool exclusive = false;
        bool maybeRan = false; ///< Some attempt may have been handed over without being taken back.
        bool revoking = false; ///< A revocation is under way.
        bool attemptHasToken = false;
        attempts::Failure lastFailure;
        int attempts = 0;
        routing::UpstreamNames tried;
        Instant firstTokenAt{0};
        Instant lastTokenAt{0};
        int64_t slowGaps = 0;
        Duration objectiveGap{0};
    };

    struct RecentAnswer
    {
        claims::StoredAnswer answer;
        Instant until{0};
    };

    // Checks before anything is sent.
    bool passesChecks(Request &request, Instant now);
    bool passesLimits(Request &request, Instant now);
    void claimThenRoute(Request &request, Instant now);
    void onClaimed(const std::string &id, const claims::ClaimOutcome &outcome);
    void onRepeat(const std::string &id, const RepeatOutcome &outcome);
    void refuseClaim(Request &request, const claims::ClaimOutcome &outcome);

    // Attempts.
    void route(Request &request, Instant now);
    void send(Request &request, const routing::Choice &choice, Instant now);
    void endAttempt(Request &request, Instant now);
    void onToken(Request &request, const attempts::Token &token, Instant now);
    void onEnd(Request &request, const attempts::End &end, Instant now);
    void onAnswer(Request &request, const attempts::Answer &answer, Instant now);
    void onFailure(Request &request, const attempts::Failure &failure, Instant now);
    void afterNotRun(Request &request, const attempts::Failure &failure, Instant now);
    void afterBreak(Request &request, ResultCode code, Instant now);
    void revokeThenDecide(Request &request, ResultCode code, Instant now);
    void onRevoked(Request &request, ResultCode code, claims::RevokeVerdict verdict);
    void onDeadline(Request &request, Instant now);
    void abandonAttempt(Request &request, Instant now);

    // The end.
    void refuse(Request &request, ResultCode code, RunState ran, Duration retryAfter);
    void reply(Request &request, const CallerReply &reply);
    void recordOutcome(const Request &request, ResultCode code);
    void finishKeyed(Request &request, const claims::StoredAnswer &answer);
    void eraseIfDone(const std::string &id);

    void checkTimers(Request &request, Instant now);
    attempts::AttemptRequest attemptRequest(const Request &request) const;
    Request *find(std::string_view id);
    RunState runStateOf(const Request &request) const;
    std::string claimKey(const Request &request) const;
    void report(std::string_view name, ResultCode code, const Request &request) const;

    EntryOptions options_;
    EntryParts parts_;
    EntryHooks hooks_;
    config::Config config_;
    retry::RetryBudget budget_;
    quarantine::Quarantine quarantine_;
    organisations::OrganisationLimiter limiter_;
    organisations::BillingMeter billing_;
    RepeatResolver repeats_;
    EntryCounters counters_;
    Instant now_{0};
    attempts::AttemptId attemptPrefix_; ///< Upper half of all attempt ids, different on each entry and after each restart.
    uint32_t lastAttempt_ = 0;
    std::map<std::string, Request, std::less<>> requests_;
    std::map<attempts::AttemptId, std::string> requestOfAttempt_; ///< Live attempts only.
    std::map<std::string, std::string, std::less<>> requestOfClaim_; ///< Claims under which this entry runs.
    std::map<std::string, RecentAnswer, std::less<>> recentAnswers_; ///< By claim id, for owner queries.
};

} // namespace daisymount::entry

// Tests of the sidecar library.

#include "sidecar/sidecarcore.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace daisymount;
using attempts::AttemptEvent;
using attempts::AttemptId;
using attempts::Failure;
using claims::RevokeVerdict;
using framework::Duration;
using framework::Instant;
using framework::milliseconds;
using framework::ResultCode;
using framework::RunState;
using framework::seconds;

namespace
{
class FakeEngine : public sidecar::IEngineLink
{
public:
    void start(const attempts::AttemptRequest &request) override
    {
        started.push_back(request.attempt);
    }

    void cancel(AttemptId attempt) override
    {
        cancelled.push_back(attempt);
    }

    void probe() override
    {
        ++probes;
    }

    std::vector<AttemptId> started;
    std::vector<AttemptId> cancelled;
    int probes = 0;
};

class FakeReplies : public sidecar::IAttemptReplies
{
public:
    void send(AttemptId attempt, const AttemptEvent &event) override
    {
        events[attempt].push_back(event);
    }

    std::map<AttemptId, std::vector<AttemptEvent>> events;
};
} // namespace

TEST_GROUP(Sidecar)
{
    Instant now = seconds{100};
    FakeEngine engine;
    FakeReplies replies;
    framework::NullEventLog log;
    sidecar::SidecarCore core{{"m1", 7}, engine, replies, log, now};
    config::Config config;
    std::vector<quarantine::CrashReport> crashes;

    void setup() override
    {
        config.zones["a"] = {"r", false};
        config.services["s"].admission = {4, 2, 0, 1, 4};
        config.upstreams["m1"] = {"s", "a", "127.0.0.1:1", false, true, ""};
        core.configure(config, now);
        core.setCrashHook([this](const quarantine::CrashReport &report) { crashes.push_back(report); });
        core.onProbe(1, now);
    }

    void offer(AttemptId id, const std::string &key = "", uint64_t addressedTo = 7, Duration timeLeft = seconds{30})
    {
        attempts::AttemptRequest request;
        request.attempt = id;
        request.path = "/";
        request.executionKey = key;
        request.addressedTo = addressedTo;
        request.timeLeft = timeLeft;
        request.fingerprint = id;
        core.onAttempt(request, now);
    }

    bool startedOnEngine(AttemptId id) const
    {
        return std::count(engine.started.begin(), engine.started.end(), id) == 1;
    }

    const Failure &failureOf(AttemptId id)
    {
        CHECK(!replies.events[id].empty());
        const auto *failure = std::get_if<Failure>(&replies.events[id].back());
        CHECK(failure != nullptr);
        return *failure;
    }

    void expectFailure(AttemptId id, ResultCode code, RunState ran)
    {
        LONGS_EQUAL(static_cast<int>(code), static_cast<int>(failureOf(id).code));
        LONGS_EQUAL(static_cast<int>(ran), static_cast<int>(failureOf(id).ran));
    }

    void engineBreaks(AttemptId id, RunState ran = RunState::Unknown)
    {
        const ResultCode code = ran == RunState::NotRun ? ResultCode::UpstreamUnreachable : ResultCode::UpstreamFailed;
        core.onEngineEvent(id, Failure{code, ran, Duration{0}, std::nullopt, std::nullopt}, now);
    }
};

TEST(Sidecar, handsOverAndRelaysToTheEnd)
{
    offer(1);
    CHECK(startedOnEngine(1));
    core.onEngineEvent(1, attempts::Token{0, "x"}, now);
    core.onEngineEvent(1, attempts::End{1}, now);
    LONGS_EQUAL(3, replies.events[1].size());
    LONGS_EQUAL(0, core.inFlight());
}

TEST(Sidecar, knowsNothingBeforeItsFirstConfigurationAndRefuses)
{
    sidecar::SidecarCore fresh({"m1", 7}, engine, replies, log, now);
    attempts::AttemptRequest request;
    request.attempt = 5;
    fresh.onAttempt(request, now);
    expectFailure(5, ResultCode::ConfigurationStale, RunState::NotRun);
}

TEST(Sidecar, aZoneThatIsOutGetsNothingNewAndItsRunningWorkEnds)
{
    offer(1);
    config.zones["a"].out = true;
    core.configure(config, now);
    offer(2);
    expectFailure(2, ResultCode::ZoneOutOfService, RunState::NotRun);
    core.onEngineEvent(1, attempts::End{0}, now);
    CHECK(std::holds_alternative<attempts::End>(replies.events[1].back()));
}

TEST(Sidecar, cutOffFromEverythingItRefusesNewWork)
{
    core.setCutOff(true, now);
    offer(1);
    expectFailure(1, ResultCode::ConfigurationStale, RunState::NotRun);
    core.setCutOff(false, now);
    offer(2);
    CHECK(startedOnEngine(2));
}

TEST(Sidecar, drainingFinishesWhatRunsAndRefusesWhatWaits)
{
    offer(1);
    offer(2);
    offer(3);
    core.setDraining(true, now);
    expectFailure(3, ResultCode::Draining, RunState::NotRun);
    offer(4);
    expectFailure(4, ResultCode::Draining, RunState::NotRun);
    LONGS_EQUAL(2, core.inFlight());
    core.onEngineEvent(1, attempts::End{0}, now);
    core.onEngineEvent(2, attempts::End{0}, now);
    LONGS_EQUAL(0, core.inFlight());
}

TEST(Sidecar, aKeyRunsOnceThoughItsAttemptComesTwice)
{
    offer(1, "k");
    offer(2, "k");
    expectFailure(2, ResultCode::OutcomeUnknown, RunState::Ran);
    LONGS_EQUAL(1, engine.started.size());
}

TEST(Sidecar, aRevokedKeyThatArrivesLateDoesNotRun)
{
    CHECK(core.onRevoke("k", 7, now) == RevokeVerdict::NeverStarts);
    offer(1, "k");
    expectFailure(1, ResultCode::Revoked, RunState::NotRun);
    LONGS_EQUAL(0, engine.started.size());
}

TEST(Sidecar, aQueuedKeyCanStillBeRevoked)
{
    offer(1);
    offer(2);
    offer(3, "k");
    CHECK(core.onRevoke("k", 7, now) == RevokeVerdict::NeverStarts);
    core.onEngineEvent(1, attempts::End{0}, now);
    expectFailure(3, ResultCode::Revoked, RunState::NotRun);
}

TEST(Sidecar, aRestartedSidecarTakesNothingAddressedToTheEarlierOne)
{
    offer(1, "k", 6);
    expectFailure(1, ResultCode::IncarnationChanged, RunState::NotRun);
    LONGS_EQUAL(7, failureOf(1).hint->incarnation);
    CHECK(core.onRevoke("k", 6, now) == RevokeVerdict::Unknown);
}

TEST(Sidecar, aCallerThatLeavesCancelsIdempotentWorkOnly)
{
    offer(1);
    offer(2, "k");
    core.onAttemptGone(1, now);
    core.onAttemptGone(2, now);
    LONGS_EQUAL(1, engine.cancelled.size());
    LONGS_EQUAL(1, core.inFlight());
}

TEST(Sidecar, anEngineThatCannotBeReachedMeansNotRunAndTheKeyStaysFree)
{
    offer(1, "k");
    engineBreaks(1, RunState::NotRun);
    core.onProbe(1, now);
    expectFailure(1, ResultCode::UpstreamUnreachable, RunState::NotRun);
    offer(2, "k");
    CHECK(startedOnEngine(2));
}

TEST(Sidecar, oneBrokenCallOfALiveEngineAccusesNobody)
{
    offer(1);
    offer(2);
    engineBreaks(1);
    LONGS_EQUAL(1, engine.probes);
    core.onProbe(1, now);
    expectFailure(1, ResultCode::UpstreamFailed, RunState::Unknown);
    LONGS_EQUAL(0, crashes.size());
    LONGS_EQUAL(1, core.inFlight());
}

TEST(Sidecar, aCrashNamesAllRequestsThatRanAndStartsCold)
{
    offer(1);
    offer(2);
    offer(3);
    engineBreaks(1);
    core.onProbe(std::nullopt, now);
    LONGS_EQUAL(1, crashes.size());
    LONGS_EQUAL(2, crashes.front().inFlight.size());
    CHECK(failureOf(2).crash.has_value());
    CHECK(core.admission().isCold());
    CHECK(startedOnEngine(3));
}

TEST(Sidecar, aRestartSeenByTheLoadReportIsACrash)
{
    offer(1);
    core.onProbe(2, now);
    LONGS_EQUAL(1, crashes.size());
    expectFailure(1, ResultCode::UpstreamFailed, RunState::Unknown);
}

TEST(Sidecar, neverMoreThanTheColdLimitInFlightWhenSevenEntriesRush)
{
    size_t most = 0;
    for (AttemptId id = 1; id <= 70; ++id) {
        offer(id);
        const size_t running = engine.started.size();
        most = std::max(most, running);
    }
    LONGS_EQUAL(2, most);
}

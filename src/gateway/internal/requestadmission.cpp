// Admission of a request to engines: waiting for a slot or a rank group, and the choice of the upstream.

#include "gateway/exchange.h"

#include "gateway/internal/exchangecommon.h"
#include "transport/tasks.h"

#include <algorithm>
#include <iterator>

namespace daisymount::gateway
{

namespace
{
using framework::ResultCode;
namespace asio = transport::asio;

/// Interval at which a waiting request asks for admission again.
constexpr milliseconds SLOT_POLL_INTERVAL{12};
constexpr int MAX_PRIORITY = 9;

/// Requests of this gateway and of all in each group, as text for the log.
std::string describe(std::span<const dispatch::GroupView> groups)
{
    std::string text;
    for (const dispatch::GroupView &group : groups) {
        text += (text.empty() ? "" : " ") + group.key + ":" + std::to_string(group.ownInFlight) + "/" + std::to_string(group.inFlight)
            + (group.usable ? "" : "/down");
    }
    return text;
}
} // namespace

asio::awaitable<std::optional<milliseconds>> Exchange::waitForEngineSlot()
{
    const Instant begin = framework::monotonicNow();
    const milliseconds stated = request_.headers.deadline.value_or(milliseconds{0});
    const bool isRetry = context_.retryDetector.isRetry(match_.route->name, stated, begin);
    const auto service = match_.config->services.find(service_);
    const bool profiled = service != match_.config->services.end() && service->second.engine;
    const int slotsPerEngine = profiled ? service->second.engine->slots : 0;
    while (true) {
        const Instant now = framework::monotonicNow();
        const Instant listening = context_.listeningTime(now);
        const dispatch::EngineLoad load = context_.dispatcher.engineLoad(service_, now);
        dispatch::AdmissionView view;
        view.inFlight = load.inFlight + context_.peers.inFlightOfOthers(service_, now);
        view.ownInFlight = load.inFlight;
        view.entries = static_cast<int>(context_.peers.serving(now).size()) + 1;
        view.engines = load.usable;
        view.slotsPerEngine = slotsPerEngine;
        const std::optional<Duration> passTime = context_.passTimeTracker.passTime(service_, listening);
        view.passTimeKnown = passTime.has_value();
        context_.passTimeTracker.onRequests(service_, load.inFlight, listening);
        view.groupDown = context_.peers.groupDown(service_, now) || context_.passTimeTracker.stalled(service_, listening);
        view.groupSilent = match_.route->kind == fleet::RequestKind::Stream && context_.silenceDetector.isServiceSilent(service_, listening);
        view.groupProgressing = context_.passTimeTracker.progressing(service_, listening);
        view.isRetry = isRetry;
        view.waited = now - begin;
        view.left = deadline_ - now;
        const dispatch::AdmissionDecision decision = context_.admission.decide(view);
        if (decision.admission == dispatch::Admission::Admit || load.usable == 0 || callerDisconnected_ || now >= answerLimit()) {
            co_return std::nullopt;
        }
        if (decision.admission == dispatch::Admission::Refuse) {
            context_.retryDetector.onRefused(now);
            context_.log.report({"admission",
                                 "refused",
                                 ResultCode::UpstreamFull,
                                 request_.headers.requestId,
                                 {{"in_flight", std::to_string(view.inFlight)},
                                  {"engines", std::to_string(view.engines)},
                                  {"pass_ms", std::to_string(passTime ? toMilliseconds(*passTime).count() : 0)},
                                  {"group_down", view.groupDown && !view.groupProgressing ? "yes" : "no"},
                                  {"group_silent", view.groupSilent ? "yes" : "no"},
                                  {"returning", isRetry ? "yes" : "no"},
                                  {"waited_ms", std::to_string(toMilliseconds(view.waited).count())},
                                  {"retry_after_ms", std::to_string(decision.retryAfter.count())}}});
            co_return decision.retryAfter;
        }
        co_await transport::sleepFor(SLOT_POLL_INTERVAL);
    }
}

asio::awaitable<std::optional<milliseconds>> Exchange::waitForGroup()
{
    const Instant begin = framework::monotonicNow();
    const milliseconds stated = request_.headers.deadline.value_or(milliseconds{0});
    dispatch::AdmissionRequest request;
    request.objective = match_.route->latencyObjective;
    request.sinceFirstAttempt = context_.retryDetector.timeSinceFirstAttempt(match_.route->name, stated, begin);
    const bool isLate = request.objective.count() > 0 && request.sinceFirstAttempt >= request.objective;
    // Requests of organisations with the same priority of their own are told apart by their routes.
    const int priority = std::clamp(priority_.value_or(match_.route->priority), 0, MAX_PRIORITY) * (MAX_PRIORITY + 1);
    request.key = {priority + std::clamp(match_.route->priority, 0, MAX_PRIORITY), organisation_, isLate};
    dispatch::ServiceAdmission &admission = context_.loadControl.admission(service_);
    admission.onArrival(request, begin);
    while (true) {
        const Instant now = framework::monotonicNow();
        const std::vector<dispatch::GroupView> groups = context_.loadControl.groups(service_, now);
        for (const dispatch::GroupView &group : groups) {
            context_.passTimeTracker.onRequests(group.key, group.ownInFlight, context_.listeningTime(now));
        }
        request.waited = now - request_.receivedAt;
        request.left = deadline_ - now;
        const dispatch::ServiceDecision decision = admission.decide(request, groups, now);
        const bool noEngines = context_.dispatcher.engineLoad(service_, now).usable == 0;
        if (decision.admission == dispatch::Admission::Admit || noEngines || callerDisconnected_ || now >= answerLimit()) {
            group_ = decision.group;
            co_return std::nullopt;
        }
        if (decision.admission == dispatch::Admission::Refuse) {
            context_.retryDetector.onRefused(now);
            context_.metrics.onAdmission(match_.route->name, decision.reason);
            context_.log.report({"admission",
                                 "refused",
                                 ResultCode::UpstreamFull,
                                 request_.headers.requestId,
                                 {{"reason", std::string(decision.reason)},
                                  {"priority", std::to_string(request.key.priority)},
                                  {"organisation", organisation_},
                                  {"returning", request.sinceFirstAttempt.count() > 0 ? "yes" : "no"},
                                  {"since_first_ms", std::to_string(toMilliseconds(request.sinceFirstAttempt).count())},
                                  {"stated_ms", std::to_string(stated.count())},
                                  {"fraction", std::to_string(request.share ? request.share->fraction : 1.0)},
                                  {"limit", std::to_string(decision.limit)},
                                  {"own_limit", std::to_string(decision.ownLimit)},
                                  {"capacity", std::to_string(decision.capacity)},
                                  {"fill", std::to_string(decision.fill)},
                                  {"groups", describe(groups)},
                                  {"waited_ms", std::to_string(toMilliseconds(request.waited).count())},
                                  {"retry_after_ms", std::to_string(decision.retryAfter.count())}}});
            co_return decision.retryAfter;
        }
        co_await transport::sleepFor(SLOT_POLL_INTERVAL);
    }
}

void Exchange::changeGroup(Instant now)
{
    if (group_.empty() || !context_.groups.hasSeveralGroups(service_)) {
        return;
    }
    // A rank that failed stops its whole group for a while.
    const std::string other = context_.loadControl.admission(service_).chooseOtherGroup(context_.loadControl.groups(service_, now), group_, now);
    group_ = other.empty() ? group_ : other;
}

dispatch::PlacementDecision Exchange::placeAttempt(bool firstAttempt, Instant now)
{
    std::vector<std::string> silent;
    for (const std::string &key : context_.groups.keysOf(service_)) {
        std::ranges::move(context_.silenceDetector.silentUpstreams(key, context_.listeningTime(now)), std::back_inserter(silent));
    }
    dispatch::PlacementRequest request{service_, triedUpstreams_, firstAttempt, silent, std::nullopt, trial_};
    if (!group_.empty() && !trial_) {
        request.group = group_;
        auto decision = context_.dispatcher.place(request, now);
        if (std::holds_alternative<dispatch::Placement>(decision)) {
            return decision;
        }
        request.group = std::nullopt;
    }
    return context_.dispatcher.place(request, now);
}

} // namespace daisymount::gateway

// Requests of a gateway that shuts down: which ones it still passes on, and what it logs of those that it cuts.

#include "gateway/exchange.h"

#include "gateway/internal/exchangecommon.h"

#include <algorithm>

namespace daisymount::gateway
{

namespace
{
using framework::ResultCode;

/// Time before its exit at which a gateway answers the requests of which it has relayed nothing yet.
constexpr milliseconds FINAL_ANSWER_TIME{250};

const std::string UNKNOWN = "unknown";

std::string durationText(Duration duration)
{
    return std::to_string(toMilliseconds(duration).count());
}

std::string durationText(const std::optional<Duration> &duration)
{
    return duration ? durationText(*duration) : UNKNOWN;
}
} // namespace

dispatch::RequestLength Exchange::length(Instant now) const
{
    const fleet::Route &route = *match_.route;
    dispatch::RequestLength request{.route = route.name, .deadline = deadline_, .statedTokens = request_.headers.maxAnswerTokens};
    request.isStream = route.kind == fleet::RequestKind::Stream;
    const auto service = match_.config->services.find(service_);
    if (route.kind == fleet::RequestKind::Stream && request.statedTokens > 0 && service != match_.config->services.end() && service->second.engine) {
        const std::optional<Duration> passTime = context_.passTimeTracker.passTime(group_.empty() ? service_ : group_, context_.listeningTime(now));
        const dispatch::StreamLength stream{.maxTokens = request.statedTokens,
                                            .tokensPerPass = service->second.engine->stepsPerPass,
                                            .passTime = passTime,
                                            .pauseObjective = route.pauseObjective,
                                            .timeToFirstEvent = route.latencyObjective,
                                            .patience = streamPatience()};
        request.stated = dispatch::longestStream(stream);
        request.slowest = dispatch::slowestStream(stream);
    }
    return request;
}

std::optional<milliseconds> Exchange::retryDelayBeforeExit(Instant now)
{
    if (!context_.draining) {
        return std::nullopt;
    }
    const dispatch::RequestLength request = length(now);
    // While callers still come with a cached address, most of the grace is left and the usual estimate will do. Those that come later lose little by a
    // refusal, since others serve, but the whole answer by a wrong estimate.
    const bool isLate = now > context_.callersGoneAt;
    const bool passOn
        = isLate ? context_.completionTimes.mustEndBefore(context_.exitAt, request, now) : context_.completionTimes.canEndBefore(context_.exitAt, request, now);
    if (passOn) {
        return std::nullopt;
    }
    ++context_.drainTally.refused;
    const size_t others = context_.peers.serving(now).size();
    const milliseconds delay = others > 0 ? milliseconds{0} : context_.retryDelay.choose(dispatch::RefusalCause::Outage, callerDeadline_ - now);
    const std::optional<Duration> needed = context_.completionTimes.needed(request, now);
    context_.log.report({"forwarding",
                         "refused",
                         ResultCode::Draining,
                         request_.headers.requestId,
                         {{"rule", isLate ? "must_end" : "can_end"},
                          {"needed_ms", durationText(needed)},
                          {"slowest_ms", durationText(request.slowest)},
                          {"left_ms", durationText(context_.exitAt - now)},
                          {"serving_others", std::to_string(others)},
                          {"retry_after_ms", std::to_string(delay.count())}}});
    return delay;
}

Instant Exchange::answerLimit() const
{
    return context_.draining && !relay_.started() ? std::min<Instant>(deadline_, context_.exitAt - FINAL_ANSWER_TIME) : deadline_;
}

void Exchange::recordPassedOn(Instant now)
{
    const dispatch::RequestLength request = length(now);
    drainEstimate_ = DrainEstimate{context_.completionTimes.needed(request, now), context_.exitAt - now};
    ++context_.drainTally.passedOn;
    context_.log.report({"forwarding",
                         "passed_on",
                         ResultCode::Draining,
                         request_.headers.requestId,
                         {{"route", match_.route->name},
                          {"since_signal_ms", durationText(now - context_.drainingSince)},
                          {"needed_ms", durationText(drainEstimate_->needed)},
                          {"left_ms", durationText(drainEstimate_->left)},
                          {"stated_ms", durationText(request.stated)},
                          {"prompt_tokens", std::to_string(request_.headers.promptTokens)},
                          {"max_tokens", std::to_string(request.statedTokens)},
                          {"hint_tokens", std::to_string(request_.headers.answerTokensHint)}}});
}

void Exchange::reportCut(std::string_view reason) const
{
    const Instant now = framework::monotonicNow();
    const std::string route = match_.route != nullptr ? match_.route->name : std::string("none");
    context_.metrics.onRequestCut(route, reason);
    ++context_.drainTally.cut;
    const std::string upstream = triedUpstreams_.empty() ? std::string() : triedUpstreams_.back();
    const std::string group = group_.empty() ? service_ : group_;
    const Instant listening = context_.listeningTime(now);
    context_.log.report({"forwarding",
                         "cut",
                         ResultCode::AnswerTruncated,
                         request_.headers.requestId,
                         {{"reason", std::string(reason)},
                          {"route", route},
                          {"sent_after_signal_ms", context_.draining ? durationText(request_.receivedAt - context_.drainingSince) : UNKNOWN},
                          {"open_ms", durationText(now - request_.receivedAt)},
                          {"since_event_ms", lastRecordedAt_ == Instant{0} ? UNKNOWN : durationText(now - lastRecordedAt_)},
                          {"events", std::to_string(events_.eventsWithData())},
                          {"bytes", std::to_string(bytesRelayed_)},
                          {"prompt_tokens", std::to_string(request_.headers.promptTokens)},
                          {"max_tokens", std::to_string(request_.headers.maxAnswerTokens)},
                          {"hint_tokens", std::to_string(request_.headers.answerTokensHint)},
                          {"needed_ms", drainEstimate_ ? durationText(drainEstimate_->needed) : UNKNOWN},
                          {"left_ms", drainEstimate_ ? durationText(drainEstimate_->left) : UNKNOWN},
                          {"upstream", upstream},
                          {"attempts", std::to_string(triedUpstreams_.size())},
                          {"upstream_usable", context_.dispatcher.acceptsRequests(upstream, now) ? "yes" : "no"},
                          {"upstream_silent_ms", durationText(context_.dispatcher.silence(upstream, now))},
                          {"group_silent_ms", durationText(context_.passTimeTracker.silence(group, listening))},
                          {"pass_ms", durationText(context_.passTimeTracker.passTime(group, listening))}}});
}

} // namespace daisymount::gateway

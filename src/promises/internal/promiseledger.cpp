// Detection of promise violations.

#include "promises/promiseledger.h"

#include <algorithm>

namespace daisymount::promises
{

using framework::ResultCode;
using framework::RunState;

std::string_view toString(Promise promise)
{
    switch (promise) {
    case Promise::OneExpertMapPerStep:
        return "one expert map per step";
    case Promise::ColdStartBearable:
        return "cold start gets what it bears";
    case Promise::ZoneOutNoNewWork:
        return "zone out gets no new work";
    case Promise::WholeOwnAnswer:
        return "whole answer to own request";
    case Promise::NotRunIsTrue:
        return "not run is true";
    case Promise::AtMostOnce:
        return "non-idempotent at most once";
    case Promise::LeavingNoNewWork:
        return "leaving upstream gets no new work";
    case Promise::GracefulStop:
        return "planned stop cuts nothing off";
    case Promise::ConfigurationForward:
        return "configuration in force, never reverts";
    case Promise::AnsweredOnce:
        break;
    }
    return "answered once";
}

PromiseLedger::PromiseLedger(Duration grace) : grace_(grace)
{ }

void PromiseLedger::addViolation(Promise promise, std::string detail)
{
    violations_.push_back({promise, std::move(detail)});
}

void PromiseLedger::onExecution(std::string_view key, std::string_view upstream, std::string_view zone, Instant at)
{
    executions_.push_back({std::string(upstream), std::string(zone), at});
    if (!key.empty()) {
        ++executionCounts_[std::string(key)];
    }
}

void PromiseLedger::onReply(std::string_view request, std::string_view key, ResultCode code, RunState ran)
{
    if (!answeredRequests_.insert(std::string(request)).second) {
        addViolation(Promise::AnsweredOnce, std::string(request) + " was answered twice");
    }
    if (key.empty()) {
        return;
    }
    ReplySummary &summary = replySummaries_[std::string(key)];
    summary.anyNotRun = summary.anyNotRun || ran == RunState::NotRun;
    summary.anyMayHaveRun = summary.anyMayHaveRun || ran != RunState::NotRun;
    summary.anyConfirmed = summary.anyConfirmed || code == ResultCode::Ok;
}

void PromiseLedger::onCompleteAnswer(std::string_view request, std::string_view expected, std::string_view got)
{
    if (expected == got) {
        return;
    }
    const auto [expectedAt, gotAt] = std::mismatch(expected.begin(), expected.end(), got.begin(), got.end());
    constexpr size_t excerptLength = 24;
    const auto excerpt = [](std::string_view text, std::string_view::iterator from) {
        return std::string(text.substr(static_cast<size_t>(from - text.begin()), excerptLength));
    };
    addViolation(Promise::WholeOwnAnswer,
                 std::string(request) + ": differs at byte " + std::to_string(expectedAt - expected.begin()) + ", expected \"" + excerpt(expected, expectedAt)
                     + "\", got \"" + excerpt(got, gotAt) + "\"");
}

void PromiseLedger::onCutOff(std::string_view request)
{
    addViolation(Promise::GracefulStop, std::string(request) + ": cut off during a graceful shutdown");
}

void PromiseLedger::onZoneOut(std::string_view zone, Instant at)
{
    zoneOutWindows_[std::string(zone)].push_back({at, Instant::max()});
}

void PromiseLedger::onZoneIn(std::string_view zone, Instant at)
{
    closeWindow(zoneOutWindows_, zone, at);
}

void PromiseLedger::onLeaving(std::string_view upstream, Instant at)
{
    leavingWindows_[std::string(upstream)].push_back({at, Instant::max()});
}

void PromiseLedger::onReturned(std::string_view upstream, Instant at)
{
    closeWindow(leavingWindows_, upstream, at);
}

void PromiseLedger::closeWindow(Windows &windows, std::string_view name, Instant at)
{
    const auto found = windows.find(name);
    if (found != windows.end() && !found->second.empty()) {
        found->second.back().to = at;
    }
}

void PromiseLedger::onColdLoad(std::string_view upstream, int64_t inFlight, int64_t limit)
{
    if (inFlight > limit) {
        addViolation(Promise::ColdStartBearable,
                     std::string(upstream) + " had " + std::to_string(inFlight) + " requests in flight during cold start, limit " + std::to_string(limit));
    }
}

void PromiseLedger::onStep(std::string_view group, int64_t step, std::string_view rank, int64_t map)
{
    const auto [previous, inserted] = mapOfStep_.try_emplace({std::string(group), step}, map);
    if (!inserted && previous->second != map) {
        addViolation(Promise::OneExpertMapPerStep,
                     std::string(group) + " step " + std::to_string(step) + ": rank " + std::string(rank) + " used map " + std::to_string(map)
                         + ", other ranks used " + std::to_string(previous->second));
    }
}

void PromiseLedger::onConfigAccepted(int64_t revision, Instant /*at*/)
{
    acceptedRevision_ = std::max(acceptedRevision_, revision);
}

void PromiseLedger::onConfigApplied(std::string_view node, int64_t revision, Instant /*at*/)
{
    int64_t &previous = appliedRevisions_[std::string(node)];
    if (revision < previous) {
        addViolation(Promise::ConfigurationForward,
                     std::string(node) + " reverted from revision " + std::to_string(previous) + " to " + std::to_string(revision));
    }
    previous = std::max(previous, revision);
}

void PromiseLedger::checkConfigInForce(const std::vector<std::string> &nodes)
{
    for (const std::string &node : nodes) {
        const auto found = appliedRevisions_.find(node);
        const int64_t revision = found == appliedRevisions_.end() ? 0 : found->second;
        if (revision < acceptedRevision_) {
            addViolation(Promise::ConfigurationForward,
                         node + " is at revision " + std::to_string(revision) + ", accepted revision is " + std::to_string(acceptedRevision_));
        }
    }
}

int64_t PromiseLedger::executionCount(std::string_view key) const
{
    const auto found = executionCounts_.find(key);
    return found == executionCounts_.end() ? 0 : found->second;
}

bool PromiseLedger::isAfterGrace(const Windows &windows, std::string_view name, Instant at) const
{
    const auto found = windows.find(name);
    if (found == windows.end()) {
        return false;
    }
    return std::any_of(found->second.begin(), found->second.end(), [&](const Window &window) { return at > window.from + grace_ && at < window.to; });
}

int64_t PromiseLedger::lateExecutionCount(std::string_view zone) const
{
    return std::count_if(executions_.begin(), executions_.end(),
                         [&](const Execution &execution) { return execution.zone == zone && isAfterGrace(zoneOutWindows_, zone, execution.at); });
}

std::vector<Violation> PromiseLedger::violations() const
{
    std::vector<Violation> all = violations_;
    for (const auto &[key, runs] : executionCounts_) {
        if (runs > 1) {
            all.push_back({Promise::AtMostOnce, key + " ran " + std::to_string(runs) + " times"});
        }
    }
    for (const auto &[key, summary] : replySummaries_) {
        const int64_t runs = executionCount(key);
        if (summary.anyNotRun && !summary.anyMayHaveRun && runs > 0) {
            all.push_back({Promise::NotRunIsTrue, key + " was refused as not run in every reply, but ran"});
        }
        if (summary.anyConfirmed && runs == 0) {
            all.push_back({Promise::WholeOwnAnswer, key + " was confirmed, but did not run"});
        }
    }
    for (const Execution &execution : executions_) {
        if (isAfterGrace(zoneOutWindows_, execution.zone, execution.at)) {
            all.push_back(
                {Promise::ZoneOutNoNewWork,
                 execution.upstream + " in zone " + execution.zone + " started work after the grace period, at " + std::to_string(execution.at.count())});
        }
        if (isAfterGrace(leavingWindows_, execution.upstream, execution.at)) {
            all.push_back({Promise::LeavingNoNewWork,
                           execution.upstream + " started work after the grace period while leaving, at " + std::to_string(execution.at.count())});
        }
    }
    return all;
}

} // namespace daisymount::promises

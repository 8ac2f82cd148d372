// Carries out changes of a map and removes what an earlier controller left of one.

#include "gateway/internal/mapcontrollercommon.h"

#include "platform/enginecodec.h"
#include "transport/tasks.h"

#include <algorithm>

namespace daisymount::gateway
{

namespace
{
namespace asio = transport::asio;
using framework::ResultCode;

constexpr milliseconds MIN_SETTLE_PASS_TIME{40};
constexpr milliseconds MAX_SETTLE_PASS_TIME{120};
constexpr milliseconds ORDER_TIMEOUT{400};
/// Agents reply within a few milliseconds, and some orders are never answered.
constexpr milliseconds AGENT_ORDER_TIMEOUT{60};
/// A prepare order carries a whole map, which the small VMs of a large group take longer to relay.
constexpr milliseconds AGENT_PREPARE_TIMEOUT{400};
/// Number of passes after its release until all ranks use the new map.
constexpr int PASSES_TO_SETTLE = 2;
/// Time after an unanswered order during which changes use the loss-tolerant options.
constexpr milliseconds LOSS_TOLERANT_PERIOD{15'000};
} // namespace

void MapController::startCleanUp(Group &group, Instant now)
{
    // Every rank can prepare the current map again, because it adds no expert to any rank.
    expertmap::MapChange change{group.epoch, termFencing_, expertmap::nextMapVersion(group.highestVersion, termFencing_), group.map};
    const expertmap::SwitchOptions options = agentsReachable(group, now) ? expertmap::SwitchOptions::lowLatency() : expertmap::SwitchOptions{};
    beginChange(group, expertmap::GroupSwitch::cleanUp(options, std::move(change), group.reports, now), now);
    group.leftoverHold = false;
    const expertmap::SwitchState state = group.change->state();
    context_.log.report({"maps",
                         "clean_up",
                         ResultCode::Ok,
                         "",
                         {{"group", group.name},
                          {"epoch", std::to_string(group.epoch)},
                          {"pass", std::to_string(state.heldPass)},
                          {"holding", std::to_string(state.holdingRanks)},
                          {"armed", std::to_string(state.armed)},
                          {"reports_age_ms", std::to_string(toMilliseconds(now - group.lastRefresh).count())}}});
}

void MapController::beginChange(Group &group, expertmap::GroupSwitch change, Instant now)
{
    group.changeMapText = platform::encodeMapText(change.change().map);
    group.changeRanks = group.ranks;
    group.changeBegunAt = now;
    group.change = std::make_shared<expertmap::GroupSwitch>(std::move(change));
}

void MapController::driveChange(const std::shared_ptr<Group> &group, Instant now)
{
    const auto change = group->change;
    if (change->finished()) {
        finishChange(*group, now);
        return;
    }
    for (const expertmap::SwitchCommand &command : change->tick(now)) {
        transport::spawnTask(context_.executor, "send_order", sendCommand(group, change, command), [change, command] {
            const Instant failedAt = framework::monotonicNow();
            if (command.order) {
                change->onReply(command, expertmap::OrderOutcome::Unknown, failedAt);
            } else {
                change->onReport(command.rank, std::nullopt, failedAt, failedAt);
            }
        });
    }
}

asio::awaitable<void> MapController::sendCommand(std::shared_ptr<Group> group, std::shared_ptr<expertmap::GroupSwitch> change, expertmap::SwitchCommand command)
{
    const Instant requestedAt = framework::monotonicNow();
    if (group->change != change) {
        co_return;
    }
    const std::string upstream = group->changeRanks[static_cast<size_t>(command.rank)].upstream;
    if (!command.order) {
        const std::optional<expertmap::RankReport> report = co_await readReport(upstream);
        change->onReport(command.rank, report, requestedAt, framework::monotonicNow());
        co_return;
    }
    if (!lease_.held()) {
        change->onReply(command, expertmap::OrderOutcome::Unknown, framework::monotonicNow());
        co_return;
    }
    const milliseconds agentTimeout = command.order->kind == expertmap::OrderKind::Prepare ? AGENT_PREPARE_TIMEOUT : AGENT_ORDER_TIMEOUT;
    const milliseconds timeout = agentsReachable(*group, requestedAt) ? agentTimeout : ORDER_TIMEOUT;
    const transport::HttpReply reply = co_await callRank(upstream, platform::orderCall(*command.order, group->changeMapText), timeout);
    const expertmap::OrderOutcome outcome = platform::decodeOrderOutcome(reply.status);
    const Instant now = framework::monotonicNow();
    if (outcome == expertmap::OrderOutcome::Unknown) {
        lossTolerantUntil_ = now + LOSS_TOLERANT_PERIOD;
    }
    context_.metrics.onOrder(expertmap::toString(command.order->kind), expertmap::toString(outcome));
    context_.log.report({"maps",
                         "order",
                         outcome == expertmap::OrderOutcome::Unknown ? ResultCode::ReplyLost : ResultCode::Ok,
                         "",
                         {{"group", group->name},
                          {"rank", std::to_string(command.rank)},
                          {"order", std::string(expertmap::toString(command.order->kind))},
                          {"outcome", std::string(expertmap::toString(outcome))},
                          {"version", std::to_string(command.order->version)},
                          {"pass", std::to_string(command.order->pass)},
                          {"fencing", std::to_string(command.order->fencing)},
                          {"phase", std::string(expertmap::toString(change->phase()))},
                          {"ms", std::to_string(toMilliseconds(now - requestedAt).count())}}});
    change->onReply(command, outcome, now);
}

void MapController::finishChange(Group &group, Instant now)
{
    const expertmap::GroupSwitch &change = *group.change;
    const bool switched = change.phase() == expertmap::SwitchPhase::Switched;
    const expertmap::SwitchState state = change.state();
    context_.log.report({"maps",
                         switched ? "switched" : "given_up",
                         switched ? ResultCode::Ok : ResultCode::MapRefused,
                         "",
                         {{"group", group.name},
                          {"version", std::to_string(change.change().version)},
                          {"reason", std::string(change.reason())},
                          {"pass", std::to_string(state.heldPass)},
                          {"holding", std::to_string(state.holdingRanks)},
                          {"armed", std::to_string(state.armed)},
                          {"arm_unknown", std::to_string(state.armUnknown)},
                          {"unanswered", std::to_string(state.unanswered)},
                          {"ms", std::to_string(toMilliseconds(now - group.changeBegunAt).count())}}});
    group.highestVersion = std::max(group.highestVersion, change.highestVersion());
    if (switched) {
        group.map = change.change().map;
        group.mapVersion = change.change().version;
        group.nextPlan = now + PLAN_INTERVAL;
        group.mapInUseFrom = now + PASSES_TO_SETTLE * std::clamp(toMilliseconds(group.passTime), MIN_SETTLE_PASS_TIME, MAX_SETTLE_PASS_TIME);
    } else {
        group.nextPlan = now + PLAN_INTERVAL;
        group.reportsStale = true;
    }
    if (group.lastRefresh > group.changeBegunAt) {
        // These reports show the group in the middle of the change.
        group.leftoverHold = false;
        group.reportsStale = true;
    }
    if (change.superseded()) {
        lease_.onFenced();
    }
    group.change.reset();
}

} // namespace daisymount::gateway

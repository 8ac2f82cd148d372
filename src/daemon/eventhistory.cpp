// Event history.

#include "daemon/eventhistory.h"

#include "framework/json.h"

#include <chrono>

namespace daisymount::daemon
{

EventHistory::EventHistory(framework::LogIdentity identity, size_t capacity) : log_(std::move(identity)), capacity_(capacity)
{ }

void EventHistory::report(const framework::Event &event)
{
    log_.report(event);
    if (event.request.empty()) {
        return;
    }
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const int64_t unixMillis = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    const std::lock_guard lock(mutex_);
    lines_.push_back({event.request, log_.render(event, unixMillis)});
    if (lines_.size() > capacity_) {
        lines_.pop_front();
    }
}

Json::Value EventHistory::linesOf(std::string_view request) const
{
    Json::Value result(Json::arrayValue);
    const std::lock_guard lock(mutex_);
    for (const Line &line : lines_) {
        if (line.request == request) {
            result.append(line.text);
        }
    }
    return result;
}

} // namespace daisymount::daemon

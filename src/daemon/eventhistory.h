// Recent events by request, so that an operator can ask what happened to one.

#pragma once

#include "framework/eventlog.h"

#include <json/json.h>

#include <deque>
#include <mutex>
#include <string>
#include <string_view>

namespace daisymount::daemon
{

/// Writes events on and keeps those that belong to a request. Safe for several threads.
class EventHistory : public framework::IEventLog
{
public:
    EventHistory(framework::LogIdentity identity, size_t capacity);

    void report(const framework::Event &event) override;
    /// Kept lines of @p request, oldest first.
    Json::Value linesOf(std::string_view request) const;

private:
    struct Line
    {
        std::string request;
        std::string text;
    };

    framework::JsonEventLog log_;
    size_t capacity_;
    mutable std::mutex mutex_;
    std::deque<Line> lines_; ///< At most capacity_.
};

} // namespace daisymount::daemon

// Structured log events. Cores report events through IEventLog; the daemon writes them as JSON lines by glog.

#pragma once

#include "framework/resultcode.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisymount::framework
{

/// One decision or fault, with the figures that explain it.
struct Event
{
    std::string_view component; ///< Slice that reports, such as "routing".
    std::string_view name; ///< What happened, such as "retry".
    ResultCode code = ResultCode::Ok;
    std::string request; ///< Request id, empty when the event belongs to none.
    std::vector<std::pair<std::string_view, std::string>> fields;
};

/// Receives events. Implementations must not block.
class IEventLog
{
public:
    virtual ~IEventLog() = default;
    virtual void report(const Event &event) = 0;
};

/// Discards all events.
class NullEventLog : public IEventLog
{
public:
    void report(const Event & /*event*/) override
    { }
};

/// Identity of the process that stands on every line.
struct LogIdentity
{
    std::string vm;
    std::string zone;
};

/// Writes each event as one JSON line to standard error through glog.
class JsonEventLog : public IEventLog
{
public:
    explicit JsonEventLog(LogIdentity identity);
    void report(const Event &event) override;

    /// Renders @p event at wall-clock time @p unixMillis. Used by report and by tests.
    std::string render(const Event &event, int64_t unixMillis) const;

private:
    LogIdentity identity_;
};

/// Routes glog to standard error without its own prefix. Call once per process.
void initialiseLogging(const char *programName);

} // namespace daisymount::framework

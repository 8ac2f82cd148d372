// Structured log events. Components report through IEventLog; JsonEventLog writes the events as JSON lines through glog.

#pragma once

#include "framework/resultcode.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisymount::framework
{

/// A logged decision or fault, with the values that explain it.
struct Event
{
    std::string_view component; ///< Reporting component, such as "routing". Written as the JSON field "duty".
    std::string_view name; ///< Event name, such as "retry".
    ResultCode code = ResultCode::Ok;
    std::string request; ///< Request ID. Empty if the event does not belong to a request.
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

/// Process identity that is added to every log line.
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

    /// Returns @p event as a JSON line. @p unixMillis is the wall-clock time in milliseconds since the Unix epoch.
    std::string render(const Event &event, int64_t unixMillis) const;

private:
    LogIdentity identity_;
};

/// Makes glog write to standard error without its line prefix. Call once per process.
void initialiseLogging(const char *programName);

} // namespace daisymount::framework

// Writes events as JSON lines through glog.

#include "framework/eventlog.h"

#include "framework/json.h"

#include <chrono>
#include <glog/logging.h>

namespace daisymount::framework
{

JsonEventLog::JsonEventLog(LogIdentity identity) : identity_(std::move(identity))
{ }

void JsonEventLog::report(const Event &event)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const int64_t unixMillis = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    LOG(INFO) << render(event, unixMillis);
}

std::string JsonEventLog::render(const Event &event, int64_t unixMillis) const
{
    Json::Value line;
    line["time_ms"] = static_cast<Json::Int64>(unixMillis);
    line["vm"] = identity_.vm;
    line["availability_zone"] = identity_.zone;
    line["duty"] = std::string(event.component);
    line["event"] = std::string(event.name);
    line["code"] = static_cast<int>(event.code);
    if (!event.request.empty()) {
        line["request"] = event.request;
    }
    for (const auto &[key, value] : event.fields) {
        line[std::string(key)] = value;
    }
    return writeJson(line);
}

void initialiseLogging(const char *programName)
{
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(programName);
}

} // namespace daisymount::framework

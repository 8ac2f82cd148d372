// Derives the outcome of a request from its log lines.

#include "logreport/requestexplanation.h"

#include "framework/json.h"
#include "framework/resultcode.h"

#include <algorithm>
#include <array>

namespace daisymount::logreport
{

namespace
{
using framework::ResultCode;

/// State changes up to this long before the request may have affected its outcome.
constexpr int64_t LOOKBACK_MS = 1'500;
constexpr size_t MAX_RELATED_EVENTS = 40;
constexpr std::array<std::string_view, 8> KNOWN_FIELDS{"time_ms", "vm", "duty", "event", "code", "request", "availability_zone", "name"};

std::string meaningOf(int64_t code)
{
    for (const framework::ResultCodeInfo &info : framework::resultCodes()) {
        if (static_cast<int64_t>(info.code) == code) {
            return std::string(info.meaning);
        }
    }
    return "code " + std::to_string(code);
}

bool hasCode(int64_t code, ResultCode wanted)
{
    return code == static_cast<int64_t>(wanted);
}

std::string detailOrUnknown(const LogRecord &record, std::string_view name)
{
    const std::string_view value = record.detail(name);
    return value.empty() ? "unknown" : std::string(value);
}

std::string refusalCause(const LogRecord &admission)
{
    if (admission.detail("group_down") == "yes") {
        return "refused at admission: the engines' group made no passes; see no_report and group_adopted lines around that time";
    }
    return "refused at admission: " + detailOrUnknown(admission, "in_flight") + " requests were at " + detailOrUnknown(admission, "engines")
        + " engines, passes took " + detailOrUnknown(admission, "pass_ms") + " ms, after a wait of " + detailOrUnknown(admission, "waited_ms") + " ms";
}

std::string attemptsCause(std::span<const LogRecord> lines)
{
    std::string cause;
    for (const LogRecord &line : lines) {
        if (line.event == "attempt") {
            cause += (cause.empty() ? "" : ", then ") + detailOrUnknown(line, "upstream") + " " + detailOrUnknown(line, "end") + " (status "
                + detailOrUnknown(line, "status") + ", " + detailOrUnknown(line, "ms") + " ms)";
        }
    }
    return cause.empty() ? "no upstream was tried" : "tried " + cause;
}

/// Returns the line that says for which crashes the request was refused, or nullptr if it was not.
const LogRecord *crashRefusal(std::span<const LogRecord> lines)
{
    const auto refused
        = std::ranges::find_if(lines, [](const LogRecord &line) { return line.duty == "crashes" && (line.event == "refused" || line.event == "held"); });
    return refused == lines.end() ? nullptr : &*refused;
}

std::string crashRefusalCause(const LogRecord &refusal)
{
    const std::string_view part = refusal.detail("prompt_part");
    const std::string subject = part.empty() ? "equal requests" : "requests with the prompt part " + std::string(part);
    const std::string fingerprint = " (fingerprint " + detailOrUnknown(refusal, "fingerprint") + ")";
    if (refusal.event == "held") {
        return "refused until the next trial: equal requests or requests with a part of this prompt" + fingerprint + " were under way at "
            + detailOrUnknown(refusal, "crashes")
            + " crashes in succession and none has been answered since; the lines suspected, cleared and convicted show the crashes and how it ended";
    }
    return "refused: " + subject + fingerprint + " were under way when several upstreams crashed; the lines suspected and convicted name the crashes";
}

std::string causeOf(std::span<const LogRecord> lines)
{
    if (lines.empty()) {
        return "no line tells of this request: it reached no gateway, or its lines were dropped (see lines_dropped)";
    }
    const auto answered = std::ranges::find(lines, "answered", &LogRecord::event);
    if (answered == lines.end()) {
        return "there is no final answer in these logs: the process ended first, or the request still runs; " + attemptsCause(lines);
    }
    const auto refused = std::ranges::find_if(lines, [](const LogRecord &line) { return line.duty == "admission" && line.event == "refused"; });
    if (refused != lines.end() && hasCode(answered->code, ResultCode::UpstreamFull)) {
        return refusalCause(*refused);
    }
    const LogRecord *refusal = crashRefusal(lines);
    if (refusal != nullptr && (hasCode(answered->code, ResultCode::Quarantined) || hasCode(answered->code, ResultCode::AwaitingTrial))) {
        return crashRefusalCause(*refusal);
    }
    if (hasCode(answered->code, ResultCode::Ok)) {
        return "served: first part after " + detailOrUnknown(*answered, "first_ms") + " ms, whole after " + detailOrUnknown(*answered, "ms") + " ms; "
            + attemptsCause(lines);
    }
    return meaningOf(answered->code) + " (status " + detailOrUnknown(*answered, "status") + "); " + attemptsCause(lines) + "; configuration revision "
        + detailOrUnknown(*answered, "config_revision") + ", upstreams revision " + detailOrUnknown(*answered, "upstreams_revision");
}

bool isStateChange(const LogRecord &record)
{
    const bool routineOrder = record.event == "order" && record.detail("outcome") != "unknown";
    return record.request.empty() && record.duty != "forwarding" && !routineOrder;
}
} // namespace

std::string_view LogRecord::detail(std::string_view name) const
{
    const auto found = std::ranges::find_if(details, [name](const auto &entry) { return entry.first == name; });
    return found == details.end() ? std::string_view() : std::string_view(found->second);
}

bool parseLogLine(std::string_view line, LogRecord &record)
{
    const size_t begin = line.find('{');
    if (begin == std::string_view::npos) {
        return false;
    }
    record = LogRecord{};
    const framework::Ret read = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_AUTO(json, framework::parseJsonObject(line.substr(begin)));
        record.timeMs = framework::intField(json, "time_ms");
        record.vm = framework::stringField(json, "vm");
        record.duty = framework::stringField(json, "duty");
        record.event = framework::stringField(json, "event");
        record.code = framework::intField(json, "code");
        record.request = framework::stringField(json, "request");
        for (const std::string &name : json.getMemberNames()) {
            if (std::ranges::find(KNOWN_FIELDS, name) == KNOWN_FIELDS.end()) {
                record.details.emplace_back(name, json[name].isString() ? json[name].asString() : framework::writeJson(json[name]));
            }
        }
        return {};
    });
    return read && record.timeMs > 0 && !record.event.empty();
}

RequestExplanation explainRequest(std::span<const LogRecord> records, std::string_view request)
{
    RequestExplanation explanation;
    for (const LogRecord &record : records) {
        if (!request.empty() && record.request == request) {
            explanation.lines.push_back(record);
        }
    }
    std::ranges::stable_sort(explanation.lines, {}, &LogRecord::timeMs);
    explanation.cause = causeOf(explanation.lines);
    if (explanation.lines.empty()) {
        return explanation;
    }
    const LogRecord &last = explanation.lines.back();
    const std::string_view durationText = last.detail("ms");
    const int64_t durationMs = durationText.empty() ? 0 : std::atoll(std::string(durationText).c_str());
    const LogRecord *refusal = crashRefusal(explanation.lines);
    const std::string_view fingerprint = refusal == nullptr ? std::string_view() : refusal->detail("fingerprint");
    const int64_t from = std::min(explanation.lines.front().timeMs, last.timeMs - durationMs) - LOOKBACK_MS;
    for (const LogRecord &record : records) {
        const bool concurrent = record.timeMs >= from && record.timeMs <= last.timeMs && isStateChange(record);
        const bool sameFingerprint = !fingerprint.empty() && record.detail("fingerprint") == fingerprint && record.duty == "crashes"
            && record.event != "refused" && record.event != "held";
        if (concurrent || sameFingerprint) {
            explanation.relatedEvents.push_back(record);
        }
    }
    std::ranges::stable_sort(explanation.relatedEvents, {}, &LogRecord::timeMs);
    if (explanation.relatedEvents.size() > MAX_RELATED_EVENTS) {
        // The most recent events are the most likely causes.
        explanation.relatedEvents.erase(explanation.relatedEvents.begin(), explanation.relatedEvents.end() - MAX_RELATED_EVENTS);
    }
    return explanation;
}

std::string toText(const LogRecord &record)
{
    std::string line = std::to_string(record.timeMs) + " " + record.vm + " " + record.duty + " " + record.event + " code " + std::to_string(record.code);
    for (const auto &[name, value] : record.details) {
        line += " " + name + "=" + value;
    }
    return line;
}

} // namespace daisymount::logreport

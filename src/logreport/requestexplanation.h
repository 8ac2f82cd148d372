// Tells from saved logs what happened to one request and why it ended as it did.

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::logreport
{

/// One line of a process's structured log.
struct LogRecord
{
    int64_t timeMs = 0; ///< Unix milliseconds.
    std::string vm;
    std::string duty;
    std::string event;
    int64_t code = 0; ///< See docs/RESULT_CODES.md.
    std::string request; ///< Empty for lines about no request.
    std::vector<std::pair<std::string, std::string>> details; ///< The line's other fields, as text.

    /// Empty when the line has no such field.
    std::string_view detail(std::string_view name) const;
};

struct RequestExplanation
{
    std::vector<LogRecord> lines; ///< Of the request, oldest first.
    std::string cause; ///< One sentence.
    std::vector<LogRecord> relatedEvents; ///< Changed beliefs while the request ran and shortly before, oldest first.
};

/// Reads one line; what a collector puts before the JSON object is skipped. False when the line is none of a daisymount process.
bool parseLogLine(std::string_view line, LogRecord &record);

RequestExplanation explainRequest(std::span<const LogRecord> records, std::string_view request);

/// The record in one line of text.
std::string toText(const LogRecord &record);

} // namespace daisymount::logreport

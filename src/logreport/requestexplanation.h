// Reconstructs from saved logs what happened to a request and why it succeeded or failed.

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::logreport
{

/// One line of a structured process log.
struct LogRecord
{
    int64_t timeMs = 0; ///< Unix milliseconds.
    std::string vm;
    std::string duty;
    std::string event;
    int64_t code = 0; ///< Numeric result code, see docs/RESULT_CODES.md.
    std::string request; ///< Request id; empty if the line does not concern a request.
    std::vector<std::pair<std::string, std::string>> details; ///< Remaining fields of the line as name and text.

    /// Returns an empty string if the line has no such field.
    std::string_view detail(std::string_view name) const;
};

struct RequestExplanation
{
    std::vector<LogRecord> lines; ///< Log lines of the request, oldest first.
    std::string cause; ///< Summary in one sentence.
    std::vector<LogRecord> relatedEvents; ///< State changes during the request and shortly before, oldest first.
};

/// Parses one line, skipping any prefix that a log collector put before the JSON object. Returns false if the line was not written by a
/// daisymount process.
bool parseLogLine(std::string_view line, LogRecord &record);

RequestExplanation explainRequest(std::span<const LogRecord> records, std::string_view request);

/// Formats the record as one line of text.
std::string toText(const LogRecord &record);

} // namespace daisymount::logreport

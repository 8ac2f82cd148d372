// Validating reader for TOML tables: every key is declared with a type and a range, and each error reports file, line, key and allowed values.

#pragma once

#include "framework/clock.h"
#include "framework/resultcode.h"

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisymount::framework
{

/// One error found in a settings or configuration file.
struct Diagnostic
{
    ResultCode code = ResultCode::BadValue;
    std::string file;
    uint32_t line = 0; ///< 1-based. 0 if the line is unknown.
    std::string key; ///< Dotted path of the key, such as "node.zone".
    std::string allowed; ///< Allowed values, or the parser's message for a syntax error.

    /// Formats the error as "file:line: key: [code Name] allowed: ...".
    std::string text() const;
};

using Diagnostics = std::vector<Diagnostic>;

/// Parses durations such as "250ms", "2s", "5min" or "1h". Returns false if the number is invalid or the unit is missing or unknown.
bool parseDuration(std::string_view text, Duration &out);

/// Reads one table. Call a read function for every supported key, then finish() to report unsupported ones.
class CheckedTable
{
public:
    enum class Presence {
        Optional,
        Required,
    };

    CheckedTable(const toml::table &table, std::string file, std::string path, Diagnostics &diagnostics);

    void read(std::string_view key, std::string &out, Presence presence = Presence::Optional);
    void read(std::string_view key, bool &out, Presence presence = Presence::Optional);
    void read(std::string_view key, int64_t &out, int64_t min, int64_t max, Presence presence = Presence::Optional);
    void read(std::string_view key, double &out, double min, double max, Presence presence = Presence::Optional);
    /// Reads a duration string, see parseDuration().
    void read(std::string_view key, Duration &out, Presence presence = Presence::Optional);
    void read(std::string_view key, std::vector<std::string> &out, Presence presence = Presence::Optional);
    /// Reads an IPv4 address with port, "a.b.c.d:port".
    void readAddress(std::string_view key, std::string &out, Presence presence = Presence::Optional);
    /// Reads a string that must be one of @p choices.
    void readChoice(std::string_view key, std::string &out, const std::vector<std::string_view> &choices, Presence presence = Presence::Optional);
    /// Calls @p visit with a reader for the table at @p key, if present.
    void child(std::string_view key, const std::function<void(CheckedTable &)> &visit, Presence presence = Presence::Optional);
    /// Calls @p visit with a reader for each subtable of the table at @p key.
    void children(std::string_view key, const std::function<void(const std::string &name, CheckedTable &)> &visit);
    /// Reports every key of the table that was not requested by one of the functions above.
    void finish();

private:
    const toml::node *find(std::string_view key, Presence presence, std::string_view allowed);
    void addDiagnostic(ResultCode code, const toml::node *node, std::string_view key, std::string allowed);

    const toml::table &table_;
    std::string file_;
    std::string path_;
    Diagnostics &diagnostics_;
    std::set<std::string, std::less<>> declaredKeys_;
};

/// Parses @p text. On a syntax error, adds a diagnostic and returns an empty table.
toml::table parseToml(std::string_view text, std::string_view file, Diagnostics &diagnostics);

} // namespace daisymount::framework

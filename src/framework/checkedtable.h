// Strict reading of TOML tables: every key is declared, typed and bounded; each fault names file, line, key and what is allowed.

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

/// One fault in a settings or configuration file.
struct Diagnostic
{
    ResultCode code = ResultCode::BadValue;
    std::string file;
    uint32_t line = 0; ///< 1-based; 0 when the key is absent.
    std::string key; ///< Dotted path.
    std::string allowed;

    /// "file:line: key: [code Name] allowed: ..."
    std::string text() const;
};

using Diagnostics = std::vector<Diagnostic>;

/// Parses "250ms", "2s", "5min" or "1h". Returns false on a missing or unknown unit.
bool parseDuration(std::string_view text, Duration &out);

/// Reader of one table. Call the read functions for all known keys, then finish().
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
    /// Duration with a unit, see parseDuration.
    void read(std::string_view key, Duration &out, Presence presence = Presence::Optional);
    void read(std::string_view key, std::vector<std::string> &out, Presence presence = Presence::Optional);
    /// "a.b.c.d:port".
    void readAddress(std::string_view key, std::string &out, Presence presence = Presence::Optional);
    /// One of @p choices.
    void readChoice(std::string_view key, std::string &out, const std::vector<std::string_view> &choices, Presence presence = Presence::Optional);
    /// Calls @p visit for the table under @p key, if present.
    void child(std::string_view key, const std::function<void(CheckedTable &)> &visit, Presence presence = Presence::Optional);
    /// Calls @p visit for each table in the table under @p key.
    void children(std::string_view key, const std::function<void(const std::string &name, CheckedTable &)> &visit);
    /// Reports every key that no call above has named.
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

/// Parses @p text; a syntax error becomes a diagnostic and an empty table.
toml::table parseToml(std::string_view text, std::string_view file, Diagnostics &diagnostics);

} // namespace daisymount::framework

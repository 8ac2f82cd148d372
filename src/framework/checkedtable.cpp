// Validating reader for TOML tables.

#include "framework/checkedtable.h"

#include <array>
#include <charconv>

#include <arpa/inet.h>

namespace daisymount::framework
{

namespace
{
/// Returns true if @p text is "a.b.c.d:port" with a port other than 0.
bool isAddress(const std::string &text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    in_addr parsed{};
    uint16_t port = 0;
    const char *portEnd = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + colon + 1, portEnd, port);
    const bool validPort = error == std::errc{} && end == portEnd && port != 0;
    return validPort && inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) == 1;
}
} // namespace

std::string Diagnostic::text() const
{
    std::string result = file;
    if (line != 0) {
        result += ":" + std::to_string(line);
    }
    result += ": " + key + ": [" + std::to_string(static_cast<int>(code)) + " " + std::string(resultCodeInfo(code).name) + "]";
    if (!allowed.empty()) {
        result += " allowed: " + allowed;
    }
    return result;
}

bool parseDuration(std::string_view text, Duration &out)
{
    int64_t amount = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), amount);
    constexpr int64_t maxAmount = 1'000'000'000;
    if (error != std::errc{} || amount < 0 || amount > maxAmount) {
        return false;
    }
    const std::string_view unit = text.substr(static_cast<size_t>(end - text.data()));
    constexpr std::array<std::pair<std::string_view, Duration>, 5> units{{
        {"us", std::chrono::microseconds{1}},
        {"ms", std::chrono::milliseconds{1}},
        {"s", std::chrono::seconds{1}},
        {"min", std::chrono::minutes{1}},
        {"h", std::chrono::hours{1}},
    }};
    for (const auto &[name, length] : units) {
        if (name == unit) {
            out = length * amount;
            return true;
        }
    }
    return false;
}

CheckedTable::CheckedTable(const toml::table &table, std::string file, std::string path, Diagnostics &diagnostics)
    : table_(table), file_(std::move(file)), path_(std::move(path)), diagnostics_(diagnostics)
{ }

void CheckedTable::addDiagnostic(ResultCode code, const toml::node *node, std::string_view key, std::string allowed)
{
    const uint32_t line = node != nullptr ? node->source().begin.line : table_.source().begin.line;
    const std::string path = path_.empty() ? std::string(key) : path_ + "." + std::string(key);
    diagnostics_.push_back({code, file_, line, path, std::move(allowed)});
}

const toml::node *CheckedTable::find(std::string_view key, Presence presence, std::string_view allowed)
{
    declaredKeys_.emplace(key);
    const toml::node *node = table_.get(key);
    if (node == nullptr && presence == Presence::Required) {
        addDiagnostic(ResultCode::MissingSetting, nullptr, key, std::string(allowed));
    }
    return node;
}

void CheckedTable::read(std::string_view key, std::string &out, Presence presence)
{
    const toml::node *node = find(key, presence, "a string");
    if (node == nullptr) {
        return;
    }
    if (const auto value = node->value_exact<std::string>(); value && !value->empty()) {
        out = *value;
        return;
    }
    addDiagnostic(ResultCode::BadValue, node, key, "a non-empty string");
}

void CheckedTable::read(std::string_view key, bool &out, Presence presence)
{
    const toml::node *node = find(key, presence, "true or false");
    if (node == nullptr) {
        return;
    }
    if (const auto value = node->value_exact<bool>()) {
        out = *value;
        return;
    }
    addDiagnostic(ResultCode::BadValue, node, key, "true or false");
}

void CheckedTable::read(std::string_view key, int64_t &out, int64_t min, int64_t max, Presence presence)
{
    const std::string allowed = "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
    const toml::node *node = find(key, presence, allowed);
    if (node == nullptr) {
        return;
    }
    if (const auto value = node->value_exact<int64_t>(); value && *value >= min && *value <= max) {
        out = *value;
        return;
    }
    addDiagnostic(ResultCode::BadValue, node, key, allowed);
}

void CheckedTable::read(std::string_view key, double &out, double min, double max, Presence presence)
{
    const std::string allowed = "a number from " + std::to_string(min) + " to " + std::to_string(max);
    const toml::node *node = find(key, presence, allowed);
    if (node == nullptr) {
        return;
    }
    if (const auto value = node->value<double>(); value && *value >= min && *value <= max) {
        out = *value;
        return;
    }
    addDiagnostic(ResultCode::BadValue, node, key, allowed);
}

void CheckedTable::read(std::string_view key, Duration &out, Presence presence)
{
    constexpr std::string_view allowed = "a string such as \"250ms\" with one of the units us, ms, s, min, h";
    const toml::node *node = find(key, presence, allowed);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<std::string>();
    if (!value || !parseDuration(*value, out)) {
        addDiagnostic(ResultCode::BadUnit, node, key, std::string(allowed));
    }
}

void CheckedTable::read(std::string_view key, std::vector<std::string> &out, Presence presence)
{
    const toml::node *node = find(key, presence, "a list of strings");
    if (node == nullptr) {
        return;
    }
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        addDiagnostic(ResultCode::BadValue, node, key, "a list of strings");
        return;
    }
    out.clear();
    for (const toml::node &element : *array) {
        const auto value = element.value_exact<std::string>();
        if (!value) {
            addDiagnostic(ResultCode::BadValue, &element, key, "a list of strings");
            return;
        }
        out.push_back(*value);
    }
}

void CheckedTable::readAddress(std::string_view key, std::string &out, Presence presence)
{
    constexpr std::string_view allowed = "an IPv4 address and port such as \"127.0.1.1:8080\"";
    const toml::node *node = find(key, presence, allowed);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<std::string>();
    if (!value || !isAddress(*value)) {
        addDiagnostic(ResultCode::BadValue, node, key, std::string(allowed));
        return;
    }
    out = *value;
}

void CheckedTable::readChoice(std::string_view key, std::string &out, const std::vector<std::string_view> &choices, Presence presence)
{
    std::string allowed = "one of";
    for (const std::string_view choice : choices) {
        allowed += " \"" + std::string(choice) + "\"";
    }
    const toml::node *node = find(key, presence, allowed);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<std::string>();
    for (const std::string_view choice : choices) {
        if (value && *value == choice) {
            out = *value;
            return;
        }
    }
    addDiagnostic(ResultCode::BadValue, node, key, allowed);
}

void CheckedTable::child(std::string_view key, const std::function<void(CheckedTable &)> &visit, Presence presence)
{
    const toml::node *node = find(key, presence, "a table");
    if (node == nullptr) {
        return;
    }
    const toml::table *table = node->as_table();
    if (table == nullptr) {
        addDiagnostic(ResultCode::BadValue, node, key, "a table");
        return;
    }
    CheckedTable reader(*table, file_, path_.empty() ? std::string(key) : path_ + "." + std::string(key), diagnostics_);
    visit(reader);
    reader.finish();
}

void CheckedTable::children(std::string_view key, const std::function<void(const std::string &, CheckedTable &)> &visit)
{
    const toml::node *node = find(key, Presence::Optional, "a table of tables");
    if (node == nullptr) {
        return;
    }
    const toml::table *table = node->as_table();
    if (table == nullptr) {
        addDiagnostic(ResultCode::BadValue, node, key, "a table of tables");
        return;
    }
    CheckedTable parent(*table, file_, path_.empty() ? std::string(key) : path_ + "." + std::string(key), diagnostics_);
    for (const auto &[name, unused] : *table) {
        const std::string nameText(name.str());
        parent.child(nameText, [&](CheckedTable &reader) { visit(nameText, reader); });
    }
}

void CheckedTable::finish()
{
    std::string allowed;
    for (const std::string &key : declaredKeys_) {
        allowed += allowed.empty() ? key : ", " + key;
    }
    for (const auto &[key, node] : table_) {
        if (declaredKeys_.count(key.str()) == 0) {
            addDiagnostic(ResultCode::UnknownSetting, &node, key.str(), allowed);
        }
    }
}

toml::table parseToml(std::string_view text, std::string_view file, Diagnostics &diagnostics)
{
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error &error) {
        diagnostics.push_back({ResultCode::SettingsSyntax, std::string(file), error.source().begin.line, "-", std::string(error.description())});
        return {};
    }
}

} // namespace daisymount::framework

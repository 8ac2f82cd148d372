// Configuration files: strict reading, overlay merge, reference checks.

#include "config/configloader.h"

#include "framework/json.h"

#include <map>
#include <set>
#include <sstream>

namespace daisymount::config
{

namespace
{
using framework::CheckedTable;
using framework::Diagnostic;
using framework::ResultCode;

constexpr int64_t MAX_CONCURRENCY = 100'000;
constexpr int64_t MAX_TOKENS_PER_SECOND = 100'000'000;
constexpr int64_t MAX_CLAIM_SHARDS = 256;
constexpr int64_t MAX_COUNT = 1'000'000;
constexpr std::string_view MERGED_FILE = "merged";

void readAdmission(CheckedTable &table, AdmissionLimits &out)
{
    table.read("warm_concurrency", out.warmConcurrency, 1, MAX_CONCURRENCY);
    table.read("cold_concurrency", out.coldConcurrency, 1, MAX_CONCURRENCY);
    table.read("tokens_per_second", out.tokensPerSecond, 0, MAX_TOKENS_PER_SECOND);
    table.read("ramp_completions", out.rampCompletions, 1, MAX_COUNT);
    table.read("queue_length", out.queueLength, 0, MAX_COUNT);
}

void readObjectives(CheckedTable &table, Objectives &out)
{
    constexpr double maxSkew = 100.0;
    table.read("first_token", out.firstToken);
    table.read("between_tokens", out.betweenTokens);
    table.read("target", out.target, 0.0, 1.0);
    table.read("answered_target", out.answeredTarget, 0.0, 1.0);
    table.read("expert_skew", out.expertSkew, 1.0, maxSkew);
}

void readService(CheckedTable &table, Service &out)
{
    std::string kind = out.kind == ServiceKind::Plain ? "plain" : "model";
    table.readChoice("kind", kind, {"model", "plain"});
    out.kind = kind == "plain" ? ServiceKind::Plain : ServiceKind::Model;
    table.read("idempotent", out.idempotent);
    table.read("deadline", out.deadline);
    table.read("claim_retention", out.claimRetention);
    table.read("claim_shards", out.claimShards, 1, MAX_CLAIM_SHARDS);
    table.child("admission", [&](CheckedTable &child) { readAdmission(child, out.admission); });
    table.child("objectives", [&](CheckedTable &child) { readObjectives(child, out.objectives); });
}

void readOrganisation(CheckedTable &table, Organisation &out)
{
    table.read("api_key", out.apiKey);
    table.read("tokens_per_second", out.tokensPerSecond, 0, MAX_TOKENS_PER_SECOND);
    table.read("burst_tokens", out.burstTokens, 0, MAX_TOKENS_PER_SECOND);
    table.read("deferrable", out.deferrable);
}

void readUpstream(CheckedTable &table, Upstream &out)
{
    table.read("service", out.service);
    table.read("zone", out.zone);
    table.readAddress("address", out.address);
    table.read("out", out.out);
    table.read("checks_fencing", out.checksFencing);
    table.read("group", out.group);
}

void readFleetPolicies(CheckedTable &root, Config &config)
{
    root.child("retry", [&](CheckedTable &table) {
        table.read("budget_share", config.retry.budgetShare, 0.0, 1.0);
        table.read("minimum_per_second", config.retry.minimumPerSecond, 0, MAX_COUNT);
    });
    root.child("quarantine", [&](CheckedTable &table) {
        table.read("duration", config.quarantine.duration);
        table.read("crashes_to_convict", config.quarantine.crashesToConvict, 1, MAX_COUNT);
    });
    root.child("billing", [&](CheckedTable &table) {
        table.read("hold_deferrable", config.billing.holdDeferrable);
        table.read("window", config.billing.window);
    });
    root.child("membership", [&](CheckedTable &table) {
        table.read("heartbeat", config.membership.heartbeat);
        table.read("suspect_after", config.membership.suspectAfter);
        table.read("stale_after", config.membership.staleAfter);
        table.read("address_ttl", config.membership.addressTtl);
    });
}

Config readConfig(const toml::table &root, const std::string &file, Diagnostics &diagnostics)
{
    Config config;
    CheckedTable reader(root, file, "", diagnostics);
    reader.read("site", config.site);
    reader.children("services", [&](const std::string &name, CheckedTable &table) { readService(table, config.services[name]); });
    reader.children("organisations", [&](const std::string &name, CheckedTable &table) { readOrganisation(table, config.organisations[name]); });
    reader.children("zones", [&](const std::string &name, CheckedTable &table) {
        table.read("region", config.zones[name].region);
        table.read("out", config.zones[name].out);
    });
    reader.children("upstreams", [&](const std::string &name, CheckedTable &table) { readUpstream(table, config.upstreams[name]); });
    reader.children("entries", [&](const std::string &name, CheckedTable &table) {
        table.read("zone", config.entries[name].zone);
        table.readAddress("address", config.entries[name].address);
        table.read("out", config.entries[name].out);
    });
    readFleetPolicies(reader, config);
    reader.finish();
    return config;
}

/// Collects reference and completeness faults of the merged configuration.
class Validator
{
public:
    Validator(const Config &config, Diagnostics &diagnostics) : config_(config), diagnostics_(diagnostics)
    { }

    void run()
    {
        require(!config_.site.empty(), ResultCode::MissingSetting, "site", "the name of the site");
        checkServices();
        checkOrganisations();
        checkUpstreams();
        checkEntries();
        for (const auto &[name, zone] : config_.zones) {
            require(!zone.region.empty(), ResultCode::MissingSetting, "zones." + name + ".region", "the name of a region");
        }
    }

private:
    void require(bool holds, ResultCode code, std::string key, std::string allowed)
    {
        if (!holds) {
            diagnostics_.push_back({code, std::string(MERGED_FILE), 0, std::move(key), std::move(allowed)});
        }
    }

    void checkServices()
    {
        for (const auto &[name, service] : config_.services) {
            const AdmissionLimits &limits = service.admission;
            const std::string key = "services." + name + ".admission.cold_concurrency";
            require(limits.coldConcurrency <= limits.warmConcurrency, ResultCode::BadValue, key, "at most warm_concurrency");
        }
    }

    void checkOrganisations()
    {
        std::set<std::string> keys;
        for (const auto &[name, organisation] : config_.organisations) {
            const std::string key = "organisations." + name + ".api_key";
            require(!organisation.apiKey.empty(), ResultCode::MissingSetting, key, "a secret string");
            require(keys.insert(organisation.apiKey).second, ResultCode::ConfigurationInvalid, key, "a key that no other organisation has");
        }
    }

    void checkUpstreams()
    {
        for (const auto &[name, upstream] : config_.upstreams) {
            const std::string key = "upstreams." + name;
            require(config_.services.count(upstream.service) != 0, ResultCode::ConfigurationInvalid, key + ".service", "a service that is defined");
            require(config_.zones.count(upstream.zone) != 0, ResultCode::ConfigurationInvalid, key + ".zone", "a zone that is defined");
            checkAddress(upstream.address, key + ".address");
        }
    }

    void checkEntries()
    {
        for (const auto &[name, entry] : config_.entries) {
            const std::string key = "entries." + name;
            require(config_.zones.count(entry.zone) != 0, ResultCode::ConfigurationInvalid, key + ".zone", "a zone that is defined");
            checkAddress(entry.address, key + ".address");
        }
    }

    void checkAddress(const std::string &address, const std::string &key)
    {
        require(!address.empty(), ResultCode::MissingSetting, key, "an IPv4 address and port");
        require(address.empty() || addresses_.insert(address).second, ResultCode::ConfigurationInvalid, key, "an address that nothing else has");
    }

    const Config &config_;
    Diagnostics &diagnostics_;
    std::set<std::string> addresses_;
};

void mergeInto(toml::table &target, const toml::table &overlay)
{
    for (const auto &[key, node] : overlay) {
        toml::table *below = target.get(key.str()) != nullptr ? target.get(key.str())->as_table() : nullptr;
        if (below != nullptr && node.is_table()) {
            mergeInto(*below, *node.as_table());
        } else {
            target.insert_or_assign(key.str(), node);
        }
    }
}

std::string canonicalText(const toml::table &table)
{
    std::ostringstream out;
    out << table << '\n';
    return out.str();
}

void flatten(const toml::table &table, const std::string &path, std::map<std::string, std::string> &out)
{
    for (const auto &[key, node] : table) {
        const std::string childPath = path.empty() ? std::string(key.str()) : path + "." + std::string(key.str());
        if (const toml::table *child = node.as_table()) {
            flatten(*child, childPath, out);
            continue;
        }
        std::ostringstream value;
        node.visit([&](const auto &element) { value << element; });
        out[childPath] = value.str();
    }
}

std::map<std::string, std::string> flattenText(std::string_view text)
{
    Diagnostics ignored;
    std::map<std::string, std::string> out;
    flatten(framework::parseToml(text, MERGED_FILE, ignored), "", out);
    return out;
}
} // namespace

LoadedConfig load(std::span<const SourceFile> files)
{
    LoadedConfig loaded;
    toml::table merged;
    for (const SourceFile &file : files) {
        const toml::table parsed = framework::parseToml(file.text, file.name, loaded.diagnostics);
        readConfig(parsed, file.name, loaded.diagnostics);
        mergeInto(merged, parsed);
    }
    if (!loaded.diagnostics.empty()) {
        return loaded;
    }
    loaded.config = readConfig(merged, std::string(MERGED_FILE), loaded.diagnostics);
    Validator(loaded.config, loaded.diagnostics).run();
    loaded.toml = canonicalText(merged);
    return loaded;
}

LoadedConfig loadMerged(std::string_view toml)
{
    const SourceFile file{std::string(MERGED_FILE), std::string(toml)};
    return load(std::span(&file, 1));
}

std::vector<std::string> diff(std::string_view oldToml, std::string_view newToml)
{
    const auto before = flattenText(oldToml);
    const auto after = flattenText(newToml);
    std::map<std::string, std::string> lines;
    for (const auto &[key, value] : before) {
        const auto found = after.find(key);
        if (found == after.end()) {
            lines[key] = "- " + key + " = " + value;
        } else if (found->second != value) {
            lines[key] = "~ " + key + ": " + value + " -> " + found->second;
        }
    }
    for (const auto &[key, value] : after) {
        if (before.count(key) == 0) {
            lines[key] = "+ " + key + " = " + value;
        }
    }
    std::vector<std::string> result;
    result.reserve(lines.size());
    for (auto &[key, line] : lines) {
        result.push_back(std::move(line));
    }
    return result;
}

framework::Result<std::string> withOut(std::string_view toml, std::string_view section, std::string_view name, bool out)
{
    Diagnostics diagnostics;
    toml::table root = framework::parseToml(toml, MERGED_FILE, diagnostics);
    if (!diagnostics.empty()) {
        return framework::fail(ResultCode::SettingsSyntax, diagnostics.front().text());
    }
    toml::table *item = root[section][name].as_table();
    if (item == nullptr) {
        return framework::fail(ResultCode::NotFound, std::string(section) + "." + std::string(name) + " is not configured");
    }
    item->insert_or_assign("out", out);
    return canonicalText(root);
}

std::string encodeStored(const StoredConfig &stored)
{
    Json::Value value;
    value["change_id"] = stored.changeId;
    value["author"] = stored.author;
    value["toml"] = stored.toml;
    value["history"] = Json::arrayValue;
    for (const std::string &id : stored.history) {
        value["history"].append(id);
    }
    return framework::writeJson(value);
}

framework::Result<StoredConfig> decodeStored(std::string_view text)
{
    BOOST_LEAF_AUTO(value, framework::parseJson(text));
    const Json::Value &history = value.isObject() ? value["history"] : Json::Value::nullSingleton();
    if (!history.isArray() || !value["toml"].isString() || !value["change_id"].isString()) {
        return framework::fail(ResultCode::BadMessage, "stored configuration lacks a field");
    }
    StoredConfig stored{framework::stringField(value, "change_id"), framework::stringField(value, "author"), {}, framework::stringField(value, "toml")};
    for (const Json::Value &id : history) {
        if (!id.isString()) {
            return framework::fail(ResultCode::BadMessage, "stored configuration: history");
        }
        stored.history.push_back(id.asString());
    }
    return stored;
}

} // namespace daisymount::config

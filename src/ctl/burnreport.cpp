// Rendering of the burn rate report and the alert rules.

#include "ctl/burnreport.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iomanip>
#include <map>
#include <sstream>

namespace daisymount::ctl
{

namespace
{
constexpr size_t COUNTS_PER_WINDOW = 4;
/// Burn rate thresholds of the short-window (5 min) and long-window (1 h) alerts.
constexpr double FAST_BURN = 14.4;
constexpr double SLOW_BURN = 6.0;

struct ObjectiveDefinition
{
    std::string_view name;
    std::function<int64_t(const slo::Counts &)> good;
    std::function<int64_t(const slo::Counts &)> total;
    std::function<double(const config::Objectives &)> target;
};

const std::array<ObjectiveDefinition, 3> OBJECTIVES{{
    {"answered", [](const slo::Counts &counts) { return counts.answered; }, [](const slo::Counts &counts) { return counts.total; },
     [](const config::Objectives &objectives) { return objectives.answeredTarget; }},
    {"first_token", [](const slo::Counts &counts) { return counts.firstTokenGood; }, [](const slo::Counts &counts) { return counts.answered; },
     [](const config::Objectives &objectives) { return objectives.target; }},
    {"between_tokens", [](const slo::Counts &counts) { return counts.betweenTokensGood; }, [](const slo::Counts &counts) { return counts.answered; },
     [](const config::Objectives &objectives) { return objectives.target; }},
}};

config::Objectives objectivesOf(const config::Config &config, const std::string &service)
{
    const auto found = config.services.find(service);
    return found == config.services.end() ? config::Objectives{} : found->second.objectives;
}

double budgetLeft(int64_t good, int64_t total, double target)
{
    return std::max(0.0, 1.0 - slo::burnRate(good, total, target));
}

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        switch (c) {
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

std::string burnBar(double burn)
{
    constexpr double maxBurn = 20.0;
    constexpr double width = 160.0;
    const double length = std::min(burn, maxBurn) / maxBurn * width;
    const char *colour = burn >= FAST_BURN ? "#c0392b" : burn >= 1.0 ? "#e67e22" : "#27ae60";
    std::ostringstream svg;
    svg << "<svg width=\"" << width << "\" height=\"12\"><rect width=\"" << width << "\" height=\"12\" fill=\"#eee\"/><rect width=\"" << length
        << "\" height=\"12\" fill=\"" << colour << "\"/></svg>";
    return svg.str();
}
} // namespace

std::vector<slo::BurnRow> mergeBurnRows(const std::vector<NodeAnswer> &answers)
{
    std::map<std::pair<std::string, std::string>, slo::BurnRow> merged;
    for (const NodeAnswer &answer : answers) {
        if (!answer.answered || answer.role != "entry") {
            continue;
        }
        for (const Json::Value &item : answer.result["rows"]) {
            const std::string service = item["service"].asString();
            const std::string organisation = item["organisation"].asString();
            slo::BurnRow &row = merged[{service, organisation}];
            row.service = service;
            row.organisation = organisation;
            for (Json::ArrayIndex window = 0; window < item["windows"].size() && window < row.windows.size(); ++window) {
                const Json::Value &counts = item["windows"][window];
                if (counts.size() == COUNTS_PER_WINDOW) {
                    row.windows[window] += {counts[0].asInt64(), counts[1].asInt64(), counts[2].asInt64(), counts[3].asInt64()};
                }
            }
        }
    }
    std::vector<slo::BurnRow> rows;
    rows.reserve(merged.size());
    for (auto &[key, row] : merged) {
        rows.push_back(std::move(row));
    }
    return rows;
}

std::string renderBurnText(const config::Config &config, const std::vector<slo::BurnRow> &rows)
{
    std::ostringstream out;
    out << std::left << std::setw(16) << "service" << std::setw(20) << "organisation" << std::setw(16) << "objective" << std::right << std::setw(9) << "target";
    for (const auto &[name, minutes] : slo::WINDOWS) {
        out << std::setw(11) << ("burn " + std::string(name));
    }
    out << std::setw(14) << "budget left" << std::setw(10) << "requests" << '\n';
    for (const slo::BurnRow &row : rows) {
        const config::Objectives objectives = objectivesOf(config, row.service);
        for (const ObjectiveDefinition &objective : OBJECTIVES) {
            const double target = objective.target(objectives);
            out << std::left << std::setw(16) << row.service << std::setw(20) << row.organisation << std::setw(16) << objective.name << std::right
                << std::setw(9) << target << std::fixed << std::setprecision(2);
            for (const slo::Counts &counts : row.windows) {
                out << std::setw(11) << slo::burnRate(objective.good(counts), objective.total(counts), target);
            }
            const slo::Counts &longest = row.windows.back();
            out << std::setw(13) << budgetLeft(objective.good(longest), objective.total(longest), target) * 100.0 << '%' << std::setw(10) << longest.total
                << '\n';
            out.unsetf(std::ios::fixed);
            out << std::setprecision(6);
        }
    }
    return out.str();
}

Json::Value renderBurnJson(const config::Config &config, const std::vector<slo::BurnRow> &rows)
{
    Json::Value result(Json::arrayValue);
    for (const slo::BurnRow &row : rows) {
        const config::Objectives objectives = objectivesOf(config, row.service);
        for (const ObjectiveDefinition &objective : OBJECTIVES) {
            const double target = objective.target(objectives);
            Json::Value item;
            item["service"] = row.service;
            item["organisation"] = row.organisation;
            item["objective"] = std::string(objective.name);
            item["target"] = target;
            for (size_t window = 0; window < slo::WINDOWS.size(); ++window) {
                const slo::Counts &counts = row.windows[window];
                item["burn"][std::string(slo::WINDOWS[window].first)] = slo::burnRate(objective.good(counts), objective.total(counts), target);
            }
            const slo::Counts &longest = row.windows.back();
            item["budget_left"] = budgetLeft(objective.good(longest), objective.total(longest), target);
            item["requests"] = static_cast<Json::Int64>(longest.total);
            result.append(item);
        }
    }
    return result;
}

std::string renderBurnHtml(const config::Config &config, const std::vector<slo::BurnRow> &rows)
{
    std::ostringstream out;
    out << "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn: " << escapeHtml(config.site)
        << "</title><style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.3em .8em;border-bottom:1px solid #ddd;"
           "text-align:left}td.n{text-align:right}</style></head><body><h1>Service-level burn: "
        << escapeHtml(config.site) << "</h1><p>A burn of 1 uses the error budget up exactly within its period.</p><table><tr><th>Service</th>"
        << "<th>Organisation</th><th>Objective</th><th>Target</th>";
    for (const auto &[name, minutes] : slo::WINDOWS) {
        out << "<th>Burn " << name << "</th><th></th>";
    }
    out << "<th>Budget left</th></tr>";
    for (const slo::BurnRow &row : rows) {
        const config::Objectives objectives = objectivesOf(config, row.service);
        for (const ObjectiveDefinition &objective : OBJECTIVES) {
            const double target = objective.target(objectives);
            out << "<tr><td>" << escapeHtml(row.service) << "</td><td>" << escapeHtml(row.organisation) << "</td><td>" << objective.name
                << "</td><td class=\"n\">" << target << "</td>";
            for (const slo::Counts &counts : row.windows) {
                const double burn = slo::burnRate(objective.good(counts), objective.total(counts), target);
                out << "<td class=\"n\">" << std::fixed << std::setprecision(2) << burn << "</td><td>" << burnBar(burn) << "</td>";
            }
            const slo::Counts &longest = row.windows.back();
            out << "<td class=\"n\">" << budgetLeft(objective.good(longest), objective.total(longest), target) * 100.0 << "%</td></tr>";
            out.unsetf(std::ios::fixed);
            out << std::setprecision(6);
        }
    }
    out << "</table></body></html>\n";
    return out.str();
}

std::string renderAlertRules(const config::Config &config)
{
    std::ostringstream out;
    out << "groups:\n  - name: daisymount\n    rules:\n";
    for (const auto &[name, settings] : config.services) {
        const double answeredBudget = 1.0 - settings.objectives.answeredTarget;
        const double latencyBudget = 1.0 - settings.objectives.target;
        const double firstToken = std::chrono::duration<double>(settings.objectives.firstToken).count();
        const auto rule = [&out, &service = name](const std::string &alert, const std::string &expression, const std::string &window) {
            out << "      - alert: " << alert << "\n        expr: " << expression << "\n        labels: {service: " << service << ", window: " << window
                << "}\n";
        };
        const std::string selector = "{service=\"" + name + "\"";
        for (const auto &[window, burn] : {std::pair<std::string, double>{"5m", FAST_BURN}, {"1h", SLOW_BURN}}) {
            const std::string bad = "sum(rate(daisymount_requests_total" + selector + ",code!=\"Ok\"}[" + window + "]))";
            const std::string all = "sum(rate(daisymount_requests_total" + selector + "}[" + window + "]))";
            rule("AnsweredBurn", bad + " / " + all + " > " + std::to_string(burn * answeredBudget), window);
            const std::string good
                = "sum(rate(daisymount_first_token_seconds_bucket" + selector + ",le=\"" + std::to_string(firstToken) + "\"}[" + window + "]))";
            const std::string counted = "sum(rate(daisymount_first_token_seconds_count" + selector + "}[" + window + "]))";
            rule("FirstTokenBurn", "1 - " + good + " / " + counted + " > " + std::to_string(std::min(1.0, burn * latencyBudget)), window);
        }
    }
    return out.str();
}

} // namespace daisymount::ctl

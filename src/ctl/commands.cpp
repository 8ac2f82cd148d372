// Implementation of the daisymountctl subcommands.

#include "ctl/commands.h"

#include "config/configloader.h"
#include "ctl/blockingstore.h"
#include "ctl/burnreport.h"
#include "ctl/fleet.h"
#include "framework/json.h"
#include "logreport/requestexplanation.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace daisymount::ctl
{

using framework::ResultCode;
using framework::Ret;

namespace
{
enum ExitCode {
    Done = 0,
    WrongArguments = 1,
    InvalidConfiguration = 2,
    Unreachable = 3,
    Conflict = 4,
    NotApplied = 5,
};

struct CurrentConfig
{
    int64_t revision = 0;
    config::StoredConfig stored;
    config::Config config;
};

void printRet(const Ret &ret)
{
    std::cerr << "[" << static_cast<int>(ret.code) << " " << framework::resultCodeInfo(ret.code).name << "] " << ret.detail << '\n';
}

ExitCode exitCodeOf(const Ret &ret)
{
    switch (ret.code) {
    case ResultCode::Ok:
        return Done;
    case ResultCode::ConfigurationConflict:
    case ResultCode::CasConflict:
        return Conflict;
    case ResultCode::StoreDown:
    case ResultCode::ReplyLost:
        return Unreachable;
    default:
        return InvalidConfiguration;
    }
}

bool readFiles(const std::vector<std::string> &paths, std::vector<config::SourceFile> &files)
{
    for (const std::string &path : paths) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << path << ": cannot be read\n";
            return false;
        }
        std::ostringstream text;
        text << file.rdbuf();
        files.push_back({path, text.str()});
    }
    return true;
}

bool loadFiles(const std::vector<std::string> &paths, config::LoadedConfig &loaded)
{
    std::vector<config::SourceFile> files;
    if (!readFiles(paths, files)) {
        return false;
    }
    loaded = config::load(files);
    for (const framework::Diagnostic &diagnostic : loaded.diagnostics) {
        std::cerr << diagnostic.text() << '\n';
    }
    return loaded.diagnostics.empty();
}

std::string newChangeId()
{
    std::random_device source;
    std::ostringstream id;
    id << std::hex << std::chrono::system_clock::now().time_since_epoch().count() << "-" << source();
    return id.str();
}

std::string author()
{
    const char *user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
}

ExitCode readCurrentConfig(const std::string &storeAddress, CurrentConfig &current)
{
    BlockingStore store(storeAddress);
    store::VersionedValue value;
    if (const Ret ret = store.readConfig(value); !ret) {
        printRet(ret);
        return Unreachable;
    }
    if (value.revision == 0) {
        std::cerr << "the store holds no configuration yet\n";
        return InvalidConfiguration;
    }
    current.revision = value.revision;
    const Ret decoded = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(current.stored, config::decodeStored(value.value));
        return {};
    });
    if (!decoded) {
        printRet(decoded);
        return InvalidConfiguration;
    }
    current.config = config::loadMerged(current.stored.toml).config;
    return Done;
}

ExitCode changeConfig(const Arguments &arguments, const operations::Edit &edit)
{
    operations::ChangeOptions options;
    options.changeId = newChangeId();
    options.author = author();
    if (arguments.at("--expect")) {
        options.expectedRevision = arguments.at("--expect").asLong();
    }
    const std::string storeAddress = arguments.at("--store").asString();
    BlockingStore store(storeAddress);
    const operations::ChangeOutcome outcome = store.change(options, edit);
    for (const std::string &line : outcome.lines) {
        std::cout << line << '\n';
    }
    if (!outcome.ret) {
        printRet(outcome.ret);
        return exitCodeOf(outcome.ret);
    }
    std::cout << "accepted as revision " << outcome.revision << " (change " << options.changeId << ")\n";
    const long waitMs = arguments.at("--wait").asLong();
    CurrentConfig current;
    if (waitMs == 0 || readCurrentConfig(storeAddress, current) != Done) {
        return Done;
    }
    return waitUntilApplied(current.config, outcome.revision, waitMs) ? Done : NotApplied;
}

ExitCode checkFiles(const Arguments &arguments)
{
    config::LoadedConfig loaded;
    if (!loadFiles(arguments.at("FILE").asStringList(), loaded)) {
        return InvalidConfiguration;
    }
    std::cout << "valid: " << loaded.config.services.size() << " services, " << loaded.config.organisations.size() << " organisations, "
              << loaded.config.zones.size() << " availability zones, " << loaded.config.upstreams.size() << " upstreams, " << loaded.config.entries.size()
              << " entries\n";
    return Done;
}

ExitCode diffFiles(const Arguments &arguments)
{
    config::LoadedConfig loaded;
    CurrentConfig current;
    if (!loadFiles(arguments.at("FILE").asStringList(), loaded)) {
        return InvalidConfiguration;
    }
    if (const ExitCode code = readCurrentConfig(arguments.at("--store").asString(), current); code == Unreachable) {
        return code;
    }
    for (const std::string &line : config::diff(current.stored.toml, loaded.toml)) {
        std::cout << line << '\n';
    }
    return Done;
}

ExitCode applyFiles(const Arguments &arguments)
{
    config::LoadedConfig loaded;
    if (!loadFiles(arguments.at("FILE").asStringList(), loaded)) {
        return InvalidConfiguration;
    }
    return changeConfig(arguments, [&](const std::string &) -> framework::Result<std::string> { return loaded.toml; });
}

ExitCode showConfig(const Arguments &arguments)
{
    CurrentConfig current;
    if (const ExitCode code = readCurrentConfig(arguments.at("--store").asString(), current); code != Done) {
        return code;
    }
    std::cout << "# revision " << current.revision << ", change " << current.stored.changeId << " by " << current.stored.author << '\n' << current.stored.toml;
    return Done;
}

ExitCode showStatus(const Arguments &arguments)
{
    CurrentConfig current;
    if (const ExitCode code = readCurrentConfig(arguments.at("--store").asString(), current); code != Done) {
        return code;
    }
    std::cout << "revision " << current.revision << '\n';
    size_t inForce = 0;
    const std::vector<NodeAnswer> answers = callFleet(current.config, "status", Json::Value(Json::objectValue));
    for (const NodeAnswer &answer : answers) {
        const int64_t revision = framework::intField(answer.result, "revision");
        inForce += answer.answered && revision >= current.revision ? 1 : 0;
        std::cout << answer.name << '\t' << answer.role << '\t' << answer.zone << '\t';
        if (!answer.answered) {
            std::cout << "no answer\n";
            continue;
        }
        std::cout << "revision " << revision << (framework::boolField(answer.result, "draining") ? "\tdraining" : "")
                  << (framework::boolField(answer.result, "cut_off") ? "\tcut off" : "") << '\n';
    }
    std::cout << "in force on " << inForce << " of " << answers.size() << '\n';
    return inForce == answers.size() ? Done : NotApplied;
}

ExitCode setOutOfService(const Arguments &arguments, const std::vector<std::string> &sections)
{
    const std::string name = arguments.at("NAME").asString();
    const bool out = arguments.at("out").asBool();
    return changeConfig(arguments, [&](const std::string &current) -> framework::Result<std::string> {
        std::string last;
        for (const std::string &section : sections) {
            const Ret ret = framework::evaluate([&]() -> framework::Result<void> {
                BOOST_LEAF_ASSIGN(last, config::withOut(current, section, name, out));
                return {};
            });
            if (ret) {
                return last;
            }
        }
        return framework::fail(ResultCode::NotFound, name + " is not configured");
    });
}

/// Explains a request from logs collected by the operator, as gateways do not store logs.
ExitCode explainFromLogs(const std::string &request, const std::vector<std::string> &paths)
{
    std::vector<logreport::LogRecord> records;
    for (const std::string &path : paths) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << path << ": cannot be read\n";
            return InvalidConfiguration;
        }
        logreport::LogRecord record;
        for (std::string line; std::getline(file, line);) {
            if (logreport::parseLogLine(line, record)) {
                records.push_back(record);
            }
        }
    }
    const logreport::RequestExplanation explanation = logreport::explainRequest(records, request);
    std::cout << explanation.cause << '\n';
    for (const logreport::LogRecord &line : explanation.lines) {
        std::cout << "  " << logreport::toText(line) << '\n';
    }
    if (!explanation.relatedEvents.empty()) {
        std::cout << "beliefs that changed meanwhile and shortly before:\n";
    }
    for (const logreport::LogRecord &line : explanation.relatedEvents) {
        std::cout << "  " << logreport::toText(line) << '\n';
    }
    return explanation.lines.empty() ? NotApplied : Done;
}

ExitCode explain(const Arguments &arguments)
{
    if (const auto &paths = arguments.at("--logs").asStringList(); !paths.empty()) {
        return explainFromLogs(arguments.at("REQUEST").asString(), paths);
    }
    CurrentConfig current;
    if (const ExitCode code = readCurrentConfig(arguments.at("--store").asString(), current); code != Done) {
        return code;
    }
    Json::Value params;
    params["request"] = arguments.at("REQUEST").asString();
    std::vector<std::pair<int64_t, std::string>> lines;
    for (const NodeAnswer &answer : callFleet(current.config, "explain", params)) {
        if (!answer.answered) {
            continue;
        }
        for (const Json::Value &line : answer.result["lines"]) {
            Json::Value parsed;
            static_cast<void>(framework::evaluate([&]() -> framework::Result<void> {
                BOOST_LEAF_ASSIGN(parsed, framework::parseJson(line.asString()));
                return {};
            }));
            lines.emplace_back(framework::intField(parsed, "time_ms"), line.asString());
        }
    }
    std::sort(lines.begin(), lines.end());
    for (const auto &[time, line] : lines) {
        std::cout << line << '\n';
    }
    return lines.empty() ? NotApplied : Done;
}

ExitCode reportBurn(const Arguments &arguments)
{
    CurrentConfig current;
    if (const ExitCode code = readCurrentConfig(arguments.at("--store").asString(), current); code != Done) {
        return code;
    }
    const std::vector<slo::BurnRow> rows = mergeBurnRows(callFleet(current.config, "report.burn", Json::Value(Json::objectValue)));
    if (arguments.at("--html")) {
        std::ofstream(arguments.at("--html").asString()) << renderBurnHtml(current.config, rows);
    }
    if (arguments.at("--json").asBool()) {
        std::cout << framework::writeJson(renderBurnJson(current.config, rows)) << '\n';
    } else {
        std::cout << renderBurnText(current.config, rows);
    }
    return Done;
}

ExitCode printAlerts(const Arguments &arguments)
{
    CurrentConfig current;
    if (const ExitCode code = readCurrentConfig(arguments.at("--store").asString(), current); code != Done) {
        return code;
    }
    std::cout << renderAlertRules(current.config);
    return Done;
}

ExitCode printCodes()
{
    std::cout << "| code | name | HTTP status | meaning |\n| --- | --- | --- | --- |\n";
    for (const framework::ResultCodeInfo &info : framework::resultCodes()) {
        const std::string status = info.httpStatus == 0 ? "-" : std::to_string(info.httpStatus);
        std::cout << "| " << static_cast<int>(info.code) << " | " << info.name << " | " << status << " | " << info.meaning << " |\n";
    }
    return Done;
}
} // namespace

int run(const Arguments &arguments)
{
    const auto isSelected = [&](const char *command) { return arguments.at(command).asBool(); };
    if (isSelected("check")) {
        return checkFiles(arguments);
    }
    if (isSelected("diff")) {
        return diffFiles(arguments);
    }
    if (isSelected("apply")) {
        return applyFiles(arguments);
    }
    if (isSelected("show")) {
        return showConfig(arguments);
    }
    if (isSelected("status")) {
        return showStatus(arguments);
    }
    if (isSelected("zone")) {
        return setOutOfService(arguments, {"zones"});
    }
    if (isSelected("vm")) {
        return setOutOfService(arguments, {"upstreams", "entries"});
    }
    if (isSelected("explain")) {
        return explain(arguments);
    }
    if (isSelected("report")) {
        return reportBurn(arguments);
    }
    if (isSelected("alerts")) {
        return printAlerts(arguments);
    }
    return printCodes();
}

} // namespace daisymount::ctl

// Tests for the framework library: result codes, TOML and JSON reading, ring buffer and event log.

#include "framework/checkedtable.h"
#include "framework/eventlog.h"
#include "framework/json.h"
#include "framework/resultcode.h"
#include "framework/ring.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace daisymount::framework;

TEST_GROUP(ResultCodes){};

TEST(ResultCodes, areUniqueAndAscending)
{
    int previous = -1;
    std::set<std::string_view> names;
    for (const ResultCodeInfo &info : resultCodes()) {
        CHECK(static_cast<int>(info.code) > previous);
        CHECK(names.insert(info.name).second);
        previous = static_cast<int>(info.code);
    }
}

TEST(ResultCodes, documentationListsEveryCode)
{
    std::ifstream file(std::string(SOURCE_FOLDER) + "/docs/RESULT_CODES.md");
    std::ostringstream text;
    text << file.rdbuf();
    for (const ResultCodeInfo &info : resultCodes()) {
        const std::string status = info.httpStatus == 0 ? "-" : std::to_string(info.httpStatus);
        const std::string row
            = "| " + std::to_string(static_cast<int>(info.code)) + " | " + std::string(info.name) + " | " + status + " | " + std::string(info.meaning) + " |";
        CHECK_TEXT(text.str().find(row) != std::string::npos, row.c_str());
    }
}

TEST_GROUP(CheckedTable)
{
    Diagnostics diagnostics;

    void read(const std::string &text, const std::function<void(CheckedTable &)> &visit)
    {
        const toml::table table = parseToml(text, "file.toml", diagnostics);
        CheckedTable reader(table, "file.toml", "", diagnostics);
        visit(reader);
        reader.finish();
    }

    void expectSingleDiagnostic(ResultCode code, uint32_t line, const char *key)
    {
        LONGS_EQUAL(1, diagnostics.size());
        LONGS_EQUAL(static_cast<int>(code), static_cast<int>(diagnostics.front().code));
        LONGS_EQUAL(line, diagnostics.front().line);
        STRCMP_EQUAL(key, diagnostics.front().key.c_str());
        CHECK(!diagnostics.front().allowed.empty());
    }
};

TEST(CheckedTable, reportsFileLineAndKeyOfUnknownSetting)
{
    std::string value;
    read("known = \"x\"\nunknown = 1\n", [&](CheckedTable &table) { table.read("known", value); });
    expectSingleDiagnostic(ResultCode::UnknownSetting, 2, "unknown");
    STRCMP_CONTAINS("file.toml:2: unknown: [402 UnknownSetting]", diagnostics.front().text().c_str());
}

TEST(CheckedTable, rejectsDurationWithoutUnit)
{
    Duration value{0};
    read("\nwait = \"250\"\n", [&](CheckedTable &table) { table.read("wait", value); });
    expectSingleDiagnostic(ResultCode::BadUnit, 2, "wait");
}

TEST(CheckedTable, reportsMissingRequiredKey)
{
    std::string value;
    read("", [&](CheckedTable &table) { table.readAddress("address", value, CheckedTable::Presence::Required); });
    LONGS_EQUAL(static_cast<int>(ResultCode::MissingSetting), static_cast<int>(diagnostics.front().code));
}

TEST(CheckedTable, rejectsInvalidAddresses)
{
    for (const char *bad : {"127.0.0.256:80", "127.0.0.1:0", "127.0.0.1:70000", "host:80", "127.0.0.1"}) {
        diagnostics.clear();
        std::string value;
        read("address = \"" + std::string(bad) + "\"\n", [&](CheckedTable &table) { table.readAddress("address", value); });
        expectSingleDiagnostic(ResultCode::BadValue, 1, "address");
    }
}

TEST(CheckedTable, reportsLineOfSyntaxError)
{
    read("a = 1\nb = = 2\n", [](CheckedTable &) {});
    expectSingleDiagnostic(ResultCode::SettingsSyntax, 2, "-");
}

TEST(CheckedTable, parsesDurationsWithUnits)
{
    Duration value{0};
    CHECK(parseDuration("3min", value));
    LONGS_EQUAL(180'000'000, value.count());
    CHECK(!parseDuration("-1s", value));
    CHECK(!parseDuration("1 s", value));
    CHECK(!parseDuration("", value));
}

TEST_GROUP(Ring){};

TEST(Ring, pushToFullRingFailsWithoutLosingItems)
{
    Ring<int> ring(2);
    LONGS_EQUAL(0, static_cast<int>(ring.push(1)));
    LONGS_EQUAL(0, static_cast<int>(ring.push(2)));
    LONGS_EQUAL(static_cast<int>(ResultCode::QueueFull), static_cast<int>(ring.push(3)));
    int sum = 0;
    LONGS_EQUAL(2, ring.drain([&](int item) { sum += item; }));
    LONGS_EQUAL(3, sum);
}

TEST_GROUP(Json){};

TEST(Json, rejectsDeepNestingAndTrailingGarbage)
{
    const auto codeOf = [](const std::string &text) {
        return evaluate([&]() -> Result<void> {
                   BOOST_LEAF_CHECK(parseJson(text));
                   return {};
               })
            .code;
    };
    LONGS_EQUAL(static_cast<int>(ResultCode::BadJson), static_cast<int>(codeOf(std::string(100'000, '['))));
    LONGS_EQUAL(static_cast<int>(ResultCode::BadJson), static_cast<int>(codeOf("{} x")));
    LONGS_EQUAL(static_cast<int>(ResultCode::Ok), static_cast<int>(codeOf("{\"a\":[1,2]}")));
}

TEST_GROUP(EventLog){};

TEST(EventLog, rendersEventAsSingleJsonLine)
{
    const JsonEventLog log({"entry-1", "paredes"});
    const std::string line = log.render({"routing", "retry", ResultCode::UpstreamFull, "r-1", {{"upstream", "m\n1"}}}, 42);
    CHECK(line.find('\n') == std::string::npos);
    for (const char *part : {"\"vm\":\"entry-1\"", "\"availability_zone\":\"paredes\"", "\"code\":202", "\"request\":\"r-1\"", "\"time_ms\":42"}) {
        STRCMP_CONTAINS(part, line.c_str());
    }
}

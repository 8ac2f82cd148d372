// Tests of the config library.

#include "config/configloader.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace daisymount;
using framework::ResultCode;

namespace
{
constexpr const char *BASE = R"(
[services.model]
kind = "model"
[services.model.admission]
warm_concurrency = 8
cold_concurrency = 2
[zones.a]
region = "r"
)";
constexpr const char *OVERLAY = R"(
site = "s"
[services.model.admission]
warm_concurrency = 16
[upstreams.m1]
service = "model"
zone = "a"
address = "127.0.0.1:80"
[organisations.o]
api_key = "k"
)";
} // namespace

TEST_GROUP(ConfigLoader){static config::LoadedConfig load(const std::string &base, const std::string &overlay){
    const std::vector<config::SourceFile> files{{"base.toml", base}, {"site.toml", overlay}};
return config::load(files);
}

static void expectCode(const config::LoadedConfig &loaded, ResultCode code, const char *key)
{
    CHECK(!loaded.diagnostics.empty());
    LONGS_EQUAL(static_cast<int>(code), static_cast<int>(loaded.diagnostics.front().code));
    STRCMP_EQUAL(key, loaded.diagnostics.front().key.c_str());
}
}
;

TEST(ConfigLoader, overlayChangesOnlyWhatItNames)
{
    const config::LoadedConfig loaded = load(BASE, OVERLAY);
    LONGS_EQUAL(0, loaded.diagnostics.size());
    LONGS_EQUAL(16, loaded.config.services.at("model").admission.warmConcurrency);
    LONGS_EQUAL(2, loaded.config.services.at("model").admission.coldConcurrency);
    STRCMP_EQUAL("o", loaded.config.organisationOfKey("k").c_str());
}

TEST(ConfigLoader, mergedTextLoadsToTheSameConfiguration)
{
    const config::LoadedConfig loaded = load(BASE, OVERLAY);
    const config::LoadedConfig again = config::loadMerged(loaded.toml);
    STRCMP_EQUAL(loaded.toml.c_str(), again.toml.c_str());
    LONGS_EQUAL(0, again.diagnostics.size());
}

TEST(ConfigLoader, namesTheOverlayLineOfAnUnknownKey)
{
    const config::LoadedConfig loaded = load(BASE, std::string(OVERLAY) + "burst_tokens = 1\nbrust_tokens = 1\n");
    expectCode(loaded, ResultCode::UnknownSetting, "organisations.o.brust_tokens");
    STRCMP_EQUAL("site.toml", loaded.diagnostics.front().file.c_str());
    LONGS_EQUAL(12, loaded.diagnostics.front().line);
}

TEST(ConfigLoader, refusesReferencesToWhatIsNotDefined)
{
    expectCode(load(BASE, std::string(OVERLAY) + "[upstreams.m2]\nservice = \"none\"\nzone = \"a\"\naddress = \"127.0.0.2:80\"\n"),
               ResultCode::ConfigurationInvalid, "upstreams.m2.service");
}

TEST(ConfigLoader, refusesTwoOrganisationsWithOneKey)
{
    expectCode(load(BASE, std::string(OVERLAY) + "[organisations.p]\napi_key = \"k\"\n"), ResultCode::ConfigurationInvalid, "organisations.p.api_key");
}

TEST(ConfigLoader, refusesOneAddressForTwoProcesses)
{
    expectCode(load(BASE, std::string(OVERLAY) + "[entries.e]\nzone = \"a\"\naddress = \"127.0.0.1:80\"\n"), ResultCode::ConfigurationInvalid,
               "entries.e.address");
}

TEST(ConfigLoader, refusesAColdLimitAboveTheWarmOne)
{
    expectCode(load(BASE, std::string(OVERLAY) + "[services.model.admission]\n"), ResultCode::SettingsSyntax, "-");
    expectCode(load(std::string(BASE) + "[services.x]\n[services.x.admission]\ncold_concurrency = 9\nwarm_concurrency = 4\n", OVERLAY), ResultCode::BadValue,
               "services.x.admission.cold_concurrency");
}

TEST(ConfigLoader, diffListsAddedRemovedAndChangedKeys)
{
    const auto lines = config::diff("a = 1\nb = 2\n", "b = 3\nc = 4\n");
    LONGS_EQUAL(3, lines.size());
    STRCMP_EQUAL("- a = 1", lines[0].c_str());
    STRCMP_EQUAL("~ b: 2 -> 3", lines[1].c_str());
    STRCMP_EQUAL("+ c = 4", lines[2].c_str());
}

TEST(ConfigLoader, takesAZoneOutAndIn)
{
    std::string text = load(BASE, OVERLAY).toml;
    for (const bool out : {true, false}) {
        const framework::Ret ret = framework::evaluate([&]() -> framework::Result<void> {
            BOOST_LEAF_ASSIGN(text, config::withOut(text, "zones", "a", out));
            return {};
        });
        CHECK(static_cast<bool>(ret));
        const config::Config config = config::loadMerged(text).config;
        CHECK_EQUAL(out, config.isOut(config.upstreams.at("m1")));
    }
}

TEST(ConfigLoader, storedFormSurvivesARoundTrip)
{
    const config::StoredConfig stored{"c1", "me", {"c1", "c0"}, "site = \"s\"\n"};
    config::StoredConfig decoded;
    const framework::Ret ret = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(decoded, config::decodeStored(config::encodeStored(stored)));
        return {};
    });
    CHECK(static_cast<bool>(ret));
    LONGS_EQUAL(2, decoded.history.size());
    STRCMP_EQUAL(stored.toml.c_str(), decoded.toml.c_str());
}

TEST(ConfigLoader, damagedFilesGiveNumberedErrorsAndNeverACrash)
{
    std::mt19937_64 random(8);
    const std::string valid = std::string(BASE) + OVERLAY;
    const std::string alphabet = "[]={}.\"'#\n\t -+0123456789abcxyz\x80\xff";
    int refused = 0;
    for (int round = 0; round < 3000; ++round) {
        std::string damaged = valid;
        for (uint64_t edits = 1 + random() % 6; edits > 0; --edits) {
            damaged[random() % damaged.size()] = alphabet[random() % alphabet.size()];
        }
        const config::LoadedConfig loaded = config::loadMerged(damaged);
        for (const framework::Diagnostic &diagnostic : loaded.diagnostics) {
            CHECK(framework::resultCodeInfo(diagnostic.code).code == diagnostic.code);
        }
        refused += loaded.diagnostics.empty() ? 0 : 1;
    }
    CHECK(refused > 1000);
}

TEST(ConfigLoader, refusesDamagedStoredForms)
{
    for (const char *bad : {"", "[]", "{}", "{\"toml\":1,\"change_id\":\"x\",\"history\":[]}", "{\"toml\":\"\",\"change_id\":\"x\",\"history\":[1]}"}) {
        const framework::Ret ret = framework::evaluate([&]() -> framework::Result<void> {
            BOOST_LEAF_CHECK(config::decodeStored(bad));
            return {};
        });
        CHECK_TEXT(!ret, bad);
    }
}

// Journal encoding.

#include "claims/journal.h"

#include "framework/hash.h"
#include "framework/json.h"

namespace daisymount::claims
{

namespace
{
using framework::intField;
using framework::ResultCode;
using framework::stringField;
using framework::uintField;

Json::Value toJson(const JournalRecord &record)
{
    Json::Value value;
    if (const auto *claim = std::get_if<Claim>(&record)) {
        value["key"] = claim->key;
        value["hash"] = static_cast<Json::UInt64>(claim->bodyHash);
        value["claim"] = claim->claimId;
        value["owner"] = claim->owner;
        return value;
    }
    const auto &completion = std::get<Completion>(record);
    value["done"] = completion.claimId;
    if (completion.released) {
        value["released"] = true;
    }
    if (completion.answer) {
        value["status"] = completion.answer->status;
        value["type"] = completion.answer->contentType;
        value["body"] = completion.answer->body;
    }
    return value;
}

framework::Result<JournalRecord> decodeRecord(const Json::Value &value)
{
    if (!value.isObject()) {
        return framework::fail(ResultCode::BadMessage, "journal record");
    }
    if (value.isMember("done")) {
        Completion completion{stringField(value, "done"), std::nullopt, framework::boolField(value, "released")};
        if (value.isMember("status")) {
            completion.answer = StoredAnswer{static_cast<int>(intField(value, "status")), stringField(value, "type"), stringField(value, "body")};
        }
        return JournalRecord{completion};
    }
    Claim claim{stringField(value, "key"), uintField(value, "hash"), stringField(value, "claim"), stringField(value, "owner")};
    if (claim.key.empty() || claim.claimId.empty()) {
        return framework::fail(ResultCode::BadMessage, "journal claim");
    }
    return JournalRecord{claim};
}

std::string shardPrefix(std::string_view service, int64_t shard)
{
    return "daisymount/claims/" + std::string(service) + "/" + std::to_string(shard) + "/";
}
} // namespace

int64_t shardOf(std::string_view key, int64_t shards)
{
    return static_cast<int64_t>(framework::hash64(key) % static_cast<uint64_t>(shards));
}

std::string encodeRecord(const JournalRecord &record)
{
    return framework::writeJson(toJson(record));
}

std::string assembleSegment(std::string_view encodedRecords, bool sealed, int64_t sealedAtMs)
{
    std::string text = R"({"sealed":)";
    text += sealed ? "true" : "false";
    text += R"(,"sealed_at_ms":)" + std::to_string(sealedAtMs) + R"(,"records":[)";
    text += encodedRecords;
    text += "]}";
    return text;
}

std::string encodeSegment(const Segment &segment)
{
    std::string records;
    for (const JournalRecord &record : segment.records) {
        records += records.empty() ? "" : ",";
        records += encodeRecord(record);
    }
    return assembleSegment(records, segment.sealed, segment.sealedAtMs);
}

framework::Result<Segment> decodeSegment(std::string_view text)
{
    BOOST_LEAF_AUTO(value, framework::parseJson(text));
    if (!value.isObject() || !value["records"].isArray()) {
        return framework::fail(ResultCode::BadMessage, "journal segment");
    }
    Segment segment{framework::boolField(value, "sealed"), intField(value, "sealed_at_ms"), {}};
    for (const Json::Value &item : value["records"]) {
        BOOST_LEAF_AUTO(record, decodeRecord(item));
        segment.records.push_back(std::move(record));
    }
    return segment;
}

std::string segmentKey(std::string_view service, int64_t shard, int64_t number)
{
    return shardPrefix(service, shard) + std::to_string(number);
}

std::string headKey(std::string_view service, int64_t shard)
{
    return shardPrefix(service, shard) + "head";
}

} // namespace daisymount::claims

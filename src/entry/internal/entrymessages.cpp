// Codec of messages between entries.

#include "entry/entrymessages.h"

namespace daisymount::entry
{

namespace
{
using framework::boolField;
using framework::intField;
using framework::numberField;
using framework::ResultCode;
using framework::stringField;
using framework::uintField;

Json::Value parseOrNull(std::string_view text)
{
    Json::Value value;
    const framework::Ret ret = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(value, framework::parseJson(text));
        return {};
    });
    return ret && value.isObject() ? value : Json::Value(Json::objectValue);
}

void putAnswer(Json::Value &value, const claims::StoredAnswer &answer)
{
    value["status"] = answer.status;
    value["type"] = answer.contentType;
    value["body"] = answer.body;
}

claims::StoredAnswer takeAnswer(const Json::Value &value)
{
    return {static_cast<int>(intField(value, "status")), stringField(value, "type"), stringField(value, "body")};
}

void putClaim(Json::Value &value, const claims::Claim &claim)
{
    value["key"] = claim.key;
    value["hash"] = static_cast<Json::UInt64>(claim.bodyHash);
    value["claim"] = claim.claimId;
    value["owner"] = claim.owner;
}

claims::Claim takeClaim(const Json::Value &value)
{
    return {stringField(value, "key"), uintField(value, "hash"), stringField(value, "claim"), stringField(value, "owner")};
}
} // namespace

Json::Value toJson(const ForwardMessage &message)
{
    Json::Value value;
    value["from"] = message.from;
    value["service"] = message.record.service;
    value["shard_key"] = message.record.key;
    if (const auto *claim = std::get_if<claims::Claim>(&message.record.record)) {
        putClaim(value, *claim);
        return value;
    }
    const auto &completion = std::get<claims::Completion>(message.record.record);
    value["done"] = completion.claimId;
    if (completion.answer) {
        putAnswer(value, *completion.answer);
    }
    return value;
}

framework::Result<ForwardMessage> forwardFromJson(const Json::Value &value)
{
    ForwardMessage message{stringField(value, "from"), {stringField(value, "service"), stringField(value, "shard_key"), {}}};
    if (message.from.empty() || message.record.service.empty() || message.record.key.empty()) {
        return framework::fail(ResultCode::BadMessage, "forwarded record");
    }
    if (value.isMember("done")) {
        claims::Completion completion{stringField(value, "done"), std::nullopt, false};
        if (value.isMember("status")) {
            completion.answer = takeAnswer(value);
        }
        message.record.record = completion;
        return message;
    }
    const claims::Claim claim = takeClaim(value);
    if (claim.key.empty() || claim.claimId.empty() || claim.owner.empty()) {
        return framework::fail(ResultCode::BadMessage, "forwarded claim");
    }
    message.record.record = claim;
    return message;
}

Json::Value toJson(const VerdictMessage &message)
{
    Json::Value value;
    value["id"] = message.id;
    value["verdict"] = static_cast<int>(message.outcome.verdict);
    value["code"] = static_cast<int>(message.outcome.code);
    putClaim(value, message.outcome.existing);
    if (message.outcome.answer) {
        putAnswer(value, *message.outcome.answer);
    }
    return value;
}

framework::Result<VerdictMessage> verdictFromJson(const Json::Value &value)
{
    const int64_t verdict = intField(value, "verdict");
    if (stringField(value, "id").empty() || verdict < 0 || verdict > static_cast<int64_t>(claims::ClaimVerdict::Refused)) {
        return framework::fail(ResultCode::BadMessage, "claim verdict");
    }
    VerdictMessage message{stringField(value, "id"), {}};
    message.outcome.verdict = static_cast<claims::ClaimVerdict>(verdict);
    message.outcome.code = static_cast<ResultCode>(intField(value, "code"));
    message.outcome.existing = takeClaim(value);
    if (value.isMember("status")) {
        message.outcome.answer = takeAnswer(value);
    }
    return message;
}

Json::Value toJson(const OwnerQuery &query)
{
    Json::Value value;
    value["claim"] = query.claimId;
    value["service"] = query.service;
    value["key"] = query.key;
    value["asker"] = query.asker;
    return value;
}

framework::Result<OwnerQuery> queryFromJson(const Json::Value &value)
{
    OwnerQuery query{stringField(value, "claim"), stringField(value, "service"), stringField(value, "key"), stringField(value, "asker")};
    if (query.claimId.empty() || query.asker.empty()) {
        return framework::fail(ResultCode::BadMessage, "owner query");
    }
    return query;
}

Json::Value toJson(const OwnerAnswer &answer)
{
    Json::Value value;
    value["claim"] = answer.claimId;
    value["state"] = static_cast<int>(answer.status);
    putAnswer(value, {answer.answerStatus, answer.answerType, answer.answerBody});
    return value;
}

framework::Result<OwnerAnswer> answerFromJson(const Json::Value &value)
{
    const int64_t status = intField(value, "state");
    if (stringField(value, "claim").empty() || status < 0 || status > static_cast<int64_t>(OwnerStatus::Unknown)) {
        return framework::fail(ResultCode::BadMessage, "owner answer");
    }
    const claims::StoredAnswer stored = takeAnswer(value);
    return OwnerAnswer{stringField(value, "claim"), static_cast<OwnerStatus>(status), stored.status, stored.contentType, stored.body};
}

std::string encodeDemand(const organisations::Demand &demand)
{
    Json::Value value(Json::objectValue);
    for (const auto &[organisation, rate] : demand) {
        value[organisation] = static_cast<Json::Int64>(rate * 10.0);
    }
    return framework::writeJson(value);
}

organisations::Demand decodeDemand(std::string_view text)
{
    organisations::Demand demand;
    const Json::Value value = parseOrNull(text);
    for (const std::string &organisation : value.getMemberNames()) {
        demand[organisation] = static_cast<double>(intField(value, organisation.c_str())) / 10.0;
    }
    return demand;
}

std::string encodeUsage(const organisations::WindowUsage &usage)
{
    Json::Value value;
    value["w"] = static_cast<Json::Int64>(usage.window);
    value["t"] = usage.tokens;
    value["u"] = usage.urgentTokens;
    return framework::writeJson(value);
}

organisations::WindowUsage decodeUsage(std::string_view text)
{
    const Json::Value value = parseOrNull(text);
    return {intField(value, "w"), numberField(value, "t"), numberField(value, "u")};
}

std::string encodeCrash(const quarantine::CrashReport &report)
{
    Json::Value value;
    value["u"] = report.upstream;
    value["i"] = static_cast<Json::UInt64>(report.engineIncarnation);
    value["f"] = Json::arrayValue;
    for (const quarantine::Fingerprint fingerprint : report.inFlight) {
        value["f"].append(static_cast<Json::UInt64>(fingerprint));
    }
    return framework::writeJson(value);
}

quarantine::CrashReport decodeCrash(std::string_view text)
{
    const Json::Value value = parseOrNull(text);
    quarantine::CrashReport report{stringField(value, "u"), uintField(value, "i"), {}};
    for (const Json::Value &item : value["f"]) {
        if (item.isUInt64()) {
            report.inFlight.push_back(item.asUInt64());
        }
    }
    return report;
}

} // namespace daisymount::entry

// JSON form of the messages between entries: forwarded claims, their outcomes, and questions about claims.

#pragma once

#include "claims/claimsregistry.h"
#include "entry/entrytypes.h"
#include "framework/json.h"
#include "organisations/billingmeter.h"
#include "organisations/organisationlimiter.h"
#include "quarantine/quarantine.h"

#include <string>

namespace daisymount::entry
{

/// A forwarded record with the entry that waits for the outcome.
struct ForwardMessage
{
    std::string from;
    claims::ForwardedRecord record;
};

/// Outcome of a forwarded record; id is ClaimsRegistry::replyId.
struct VerdictMessage
{
    std::string id;
    claims::ClaimOutcome outcome;
};

Json::Value toJson(const ForwardMessage &message);
Json::Value toJson(const VerdictMessage &message);
Json::Value toJson(const OwnerQuery &query);
Json::Value toJson(const OwnerAnswer &answer);
framework::Result<ForwardMessage> forwardFromJson(const Json::Value &value);
framework::Result<VerdictMessage> verdictFromJson(const Json::Value &value);
framework::Result<OwnerQuery> queryFromJson(const Json::Value &value);
framework::Result<OwnerAnswer> answerFromJson(const Json::Value &value);

// Values of gossip records.
std::string encodeDemand(const organisations::Demand &demand);
organisations::Demand decodeDemand(std::string_view text);
std::string encodeUsage(const organisations::WindowUsage &usage);
organisations::WindowUsage decodeUsage(std::string_view text);
std::string encodeCrash(const quarantine::CrashReport &report);
quarantine::CrashReport decodeCrash(std::string_view text);

} // namespace daisymount::entry

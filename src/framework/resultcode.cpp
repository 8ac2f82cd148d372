// Table of result codes with name, HTTP status and meaning.

#include "framework/resultcode.h"

#include <algorithm>
#include <array>

namespace daisymount::framework
{

namespace
{
constexpr std::array RESULT_CODES{
    ResultCodeInfo{ResultCode::Ok, "Ok", 200, "Success."},
    ResultCodeInfo{ResultCode::BadJson, "BadJson", 400, "The request body is not valid JSON."},
    ResultCodeInfo{ResultCode::TooLarge, "TooLarge", 413, "The request body exceeds the size limit."},
    ResultCodeInfo{ResultCode::UnknownApiKey, "UnknownApiKey", 401, "The API key is missing or belongs to no organisation."},
    ResultCodeInfo{ResultCode::OrganisationOverLimit, "OrganisationOverLimit", 429, "The organisation has used up its token rate."},
    ResultCodeInfo{ResultCode::UnknownService, "UnknownService", 404, "The configuration has no service of this name."},
    ResultCodeInfo{ResultCode::IdempotencyKeyReused, "IdempotencyKeyReused", 422, "The idempotency key was used before with a different body."},
    ResultCodeInfo{ResultCode::MissingField, "MissingField", 400, "A required field is missing."},
    ResultCodeInfo{ResultCode::UnknownPath, "UnknownPath", 404, "No handler for this method and path."},
    ResultCodeInfo{ResultCode::NoUpstream, "NoUpstream", 503, "No upstream of the service may take work."},
    ResultCodeInfo{ResultCode::UpstreamFull, "UpstreamFull", 503, "The upstream is at its concurrency or token limit."},
    ResultCodeInfo{ResultCode::ColdLimit, "ColdLimit", 503, "The upstream is in cold start and at its reduced limit."},
    ResultCodeInfo{ResultCode::ZoneOutOfService, "ZoneOutOfService", 503, "The availability zone or VM was taken out of service."},
    ResultCodeInfo{ResultCode::Draining, "Draining", 503, "The process is shutting down gracefully."},
    ResultCodeInfo{ResultCode::DeadlinePassed, "DeadlinePassed", 504, "The deadline passed before the request was handed over."},
    ResultCodeInfo{ResultCode::StoreUnavailable, "StoreUnavailable", 503, "The claim of a non-idempotent request cannot be recorded now."},
    ResultCodeInfo{ResultCode::Quarantined, "Quarantined", 422, "The request crashed several upstreams and is refused for a time."},
    ResultCodeInfo{ResultCode::RetryBudgetSpent, "RetryBudgetSpent", 503, "The retry budget does not allow another attempt."},
    ResultCodeInfo{ResultCode::HeldForBillingPeak, "HeldForBillingPeak", 503, "Deferrable work would raise the billed peak."},
    ResultCodeInfo{ResultCode::QueueFull, "QueueFull", 503, "A bounded queue of the process is full."},
    ResultCodeInfo{ResultCode::Revoked, "Revoked", 503, "The request was revoked before it started and will never start."},
    ResultCodeInfo{ResultCode::JournalFull, "JournalFull", 503, "The claim journal has reached its size limit."},
    ResultCodeInfo{ResultCode::ConfigurationStale, "ConfigurationStale", 503, "The process has been cut off from configuration changes too long."},
    ResultCodeInfo{ResultCode::UpstreamUnreachable, "UpstreamUnreachable", 503, "No connection to the upstream could be made."},
    ResultCodeInfo{ResultCode::IncarnationChanged, "IncarnationChanged", 503, "The request was addressed to an earlier process of the upstream."},
    ResultCodeInfo{ResultCode::AwaitingTrial, "AwaitingTrial", 503, "The request may crash upstreams and is tried only now and then until one answers."},
    ResultCodeInfo{ResultCode::OutcomeUnknown, "OutcomeUnknown", 502, "The request may have run; it is not run again."},
    ResultCodeInfo{ResultCode::AnswerTruncated, "AnswerTruncated", 502, "The answer broke off and could not be resumed."},
    ResultCodeInfo{ResultCode::UpstreamFailed, "UpstreamFailed", 502, "The upstream failed while it ran the request."},
    ResultCodeInfo{ResultCode::Cancelled, "Cancelled", 499, "The caller disconnected."},
    ResultCodeInfo{ResultCode::SettingsSyntax, "SettingsSyntax", 0, "A settings or configuration file is not valid TOML."},
    ResultCodeInfo{ResultCode::UnknownSetting, "UnknownSetting", 0, "A key is not known."},
    ResultCodeInfo{ResultCode::BadUnit, "BadUnit", 0, "A value lacks its unit or has an unknown one."},
    ResultCodeInfo{ResultCode::MissingSetting, "MissingSetting", 0, "A required key is missing."},
    ResultCodeInfo{ResultCode::BadValue, "BadValue", 0, "A value has the wrong type or is out of range."},
    ResultCodeInfo{ResultCode::ConfigurationConflict, "ConfigurationConflict", 409, "Another operator changed the configuration first."},
    ResultCodeInfo{ResultCode::ConfigurationInvalid, "ConfigurationInvalid", 422, "The configuration refers to something that it does not define."},
    ResultCodeInfo{ResultCode::StoreDown, "StoreDown", 503, "The platform's store does not answer."},
    ResultCodeInfo{ResultCode::CasConflict, "CasConflict", 409, "A compare-and-swap met another revision."},
    ResultCodeInfo{ResultCode::ReplyLost, "ReplyLost", 503, "A write was sent and its reply did not arrive."},
    ResultCodeInfo{ResultCode::StaleFencing, "StaleFencing", 409, "The order carries an old fencing number."},
    ResultCodeInfo{ResultCode::NotFound, "NotFound", 404, "The key or object does not exist."},
    ResultCodeInfo{ResultCode::MapRefused, "MapRefused", 409, "A rank refused the proposed expert map."},
    ResultCodeInfo{ResultCode::VoteFinal, "VoteFinal", 409, "The vote on this proposal was already cast."},
    ResultCodeInfo{ResultCode::StaleProposal, "StaleProposal", 409, "The proposal is older than one already seen."},
    ResultCodeInfo{ResultCode::LeaseLapsed, "LeaseLapsed", 409, "The lease has lapsed."},
    ResultCodeInfo{ResultCode::Internal, "Internal", 500, "Unexpected internal error."},
    ResultCodeInfo{ResultCode::BadMessage, "BadMessage", 400, "A message from another process could not be decoded."},
};
} // namespace

std::span<const ResultCodeInfo> resultCodes()
{
    return RESULT_CODES;
}

const ResultCodeInfo &resultCodeInfo(ResultCode code)
{
    const auto byCode = [code](const ResultCodeInfo &info) { return info.code == code; };
    const auto found = std::find_if(RESULT_CODES.begin(), RESULT_CODES.end(), byCode);
    return found != RESULT_CODES.end() ? *found : resultCodeInfo(ResultCode::Internal);
}

std::string_view toString(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Ran:
        return "ran";
    case RunState::Unknown:
        break;
    }
    return "unknown";
}

} // namespace daisymount::framework

// Numbered result codes shared by the daemon, the tool and every reply. The table in docs/RESULT_CODES.md is tested against this file.

#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace daisymount::framework
{

/// Stable numeric identity of an outcome. Numbers are never reused.
enum class ResultCode : uint16_t {
    Ok = 0,

    BadJson = 101,
    TooLarge = 102,
    UnknownApiKey = 103,
    OrganisationOverLimit = 104,
    UnknownService = 105,
    IdempotencyKeyReused = 106,
    MissingField = 107,
    UnknownPath = 108,

    NoUpstream = 201,
    UpstreamFull = 202,
    ColdLimit = 203,
    ZoneOutOfService = 204,
    Draining = 205,
    DeadlinePassed = 206,
    StoreUnavailable = 207,
    Quarantined = 208,
    RetryBudgetSpent = 209,
    HeldForBillingPeak = 210,
    QueueFull = 211,
    Revoked = 212,
    JournalFull = 213,
    ConfigurationStale = 214,
    UpstreamUnreachable = 215,
    IncarnationChanged = 216,

    OutcomeUnknown = 301,
    AnswerTruncated = 302,
    UpstreamFailed = 303,
    Cancelled = 304,

    SettingsSyntax = 401,
    UnknownSetting = 402,
    BadUnit = 403,
    MissingSetting = 404,
    BadValue = 405,
    ConfigurationConflict = 406,
    ConfigurationInvalid = 407,

    StoreDown = 501,
    CasConflict = 502,
    ReplyLost = 503,
    StaleFencing = 504,
    NotFound = 505,

    MapRefused = 601,
    VoteFinal = 602,
    StaleProposal = 603,
    LeaseLapsed = 604,

    Internal = 901,
    BadMessage = 902,
};

/// Whether a request that was refused or failed has run on an upstream.
enum class RunState : uint8_t {
    NotRun, ///< Certain: no upstream has run it and none will.
    Ran, ///< Certain: an upstream has started it.
    Unknown, ///< It may have run.
};

/// One row of the documented table.
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name;
    int httpStatus; ///< Status used towards callers, 0 where the code never reaches one.
    std::string_view meaning;
};

/// All codes in ascending order.
std::span<const ResultCodeInfo> resultCodes();

/// Returns the row of @p code; the row of ResultCode::Internal for an unlisted value.
const ResultCodeInfo &resultCodeInfo(ResultCode code);

/// Returns "not_run", "ran" or "unknown".
std::string_view toString(RunState state);

} // namespace daisymount::framework

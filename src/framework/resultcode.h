// Numeric result codes used in replies, logs and the command-line tool. A test compares the table in docs/RESULT_CODES.md with this list.

#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace daisymount::framework
{

/// Result of an operation. The numbers are stable and never reused.
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
    AwaitingTrial = 217,

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

/// Whether a rejected or failed request was executed by an upstream.
enum class RunState : uint8_t {
    NotRun, ///< No upstream has executed it or will execute it.
    Ran, ///< An upstream has started to execute it.
    Unknown, ///< An upstream may have executed it.
};

/// Row of the result code table in docs/RESULT_CODES.md.
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name;
    int httpStatus; ///< HTTP status of replies with this code. 0 if the code is never sent in a reply.
    std::string_view meaning;
};

/// Returns all codes in ascending numeric order.
std::span<const ResultCodeInfo> resultCodes();

/// Returns the row of @p code, or that of ResultCode::Internal if the value is not in the table.
const ResultCodeInfo &resultCodeInfo(ResultCode code);

/// Returns "not_run", "ran" or "unknown".
std::string_view toString(RunState state);

} // namespace daisymount::framework

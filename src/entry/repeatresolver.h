// Answers repeats of a keyed request that another receipt has claimed: waits for the owner, never runs the request itself.

#pragma once

#include "claims/claimstypes.h"
#include "entry/entrytypes.h"
#include "entry/ientryports.h"

#include <functional>
#include <map>
#include <string>

namespace daisymount::entry
{

enum class RepeatVerdict : uint8_t {
    Answered,
    Released, ///< Nothing ran under the claim: this request may claim the key.
    Unknown,
};

struct RepeatOutcome
{
    RepeatVerdict verdict = RepeatVerdict::Unknown;
    claims::StoredAnswer answer;
};

using RepeatHandler = std::function<void(const RepeatOutcome &outcome)>;

/// Deterministic core.
class RepeatResolver
{
public:
    RepeatResolver(std::string self, IEntryPeers &peers);

    /// @p request waits for @p claim until @p deadline. The handler runs at most once, later.
    void wait(std::string_view request, std::string_view service, const claims::Claim &claim, Instant deadline, RepeatHandler handler, Instant now);
    void forget(std::string_view request);
    void onAnswer(const OwnerAnswer &answer, Instant now);
    void tick(Instant now);

private:
    struct Waiting
    {
        OwnerQuery query;
        std::string owner;
        RepeatHandler handler;
        Instant deadline{0};
        Instant nextQueryAt{0};
        int unanswered = 0; ///< Queries since the last answer.
    };

    void settle(const std::string &request, const RepeatOutcome &outcome);

    std::string self_;
    IEntryPeers &peers_;
    std::map<std::string, Waiting, std::less<>> waiting_; ///< By request id.
};

} // namespace daisymount::entry

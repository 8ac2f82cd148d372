// Decides where a request runs, or that it is refused now.
//
// Load: three zones with a handful of entries before some tens of upstreams; every entry sees only its own part of the traffic and
// the load that upstreams report with their answers.

#pragma once

#include "dispatch/homeplaces.h"
#include "dispatch/retryshare.h"
#include "dispatch/upstreamnotices.h"
#include "fleet/fleetview.h"
#include "framework/resultcode.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace daisymount::dispatch
{

using framework::Duration;
using framework::Instant;
using framework::milliseconds;

/// What the decision needs to know of a request.
struct PlacementRequest
{
    std::string_view service;
    std::span<const std::string> tried; ///< Upstreams that this request was sent to before.
    bool allowAvoided = false; ///< Place it on an avoided upstream rather than nowhere.
};

struct Placement
{
    std::string upstream; ///< Id.
    int64_t bornMs = 0;
    std::string address;
    double expectedLoad = 0.0; ///< Requests on the upstream per slot as this entry estimates it.
    Duration loadAge{0}; ///< Age of the upstream's own report.
};

struct Refusal
{
    framework::ResultCode code = framework::ResultCode::NoUpstream;
    milliseconds retryAfter{0};
};

using PlacementDecision = std::variant<Placement, Refusal>;

/// How a request at an upstream ended.
enum class AttemptResult : uint8_t {
    Served,
    Refused, ///< The upstream was full: it has not run the request.
    Replaced, ///< Another upstream has its address: it has not run the request.
    Failed, ///< It answered with a failure or broke off.
    Unreachable, ///< No connection.
    Abandoned, ///< The caller left or ran out of time: says nothing about the upstream.
};

struct UpstreamLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// This entry's requests at the engines of a service.
struct EngineLoad
{
    int inFlight = 0;
    int usable = 0; ///< Engines that take requests.
};

struct DispatcherOptions
{
    std::string zone; ///< Of this entry.
    double coldOvershoot = 1.0; ///< Cold upstreams bear coldPerSecond times this and coldSlack more.
    double coldSlack = 0.0;
    uint64_t seed = 1;
};

class Dispatcher
{
public:
    explicit Dispatcher(const DispatcherOptions &options);

    /// Takes over the upstreams and zones of @p view. Upstreams that stay keep what is known of them.
    void onFleetChange(const fleet::FleetView &view, Instant now);
    /// Entries that may be alive, this one among them, at least 1. Cold starts are shared between them.
    void setEntries(int entries);

    /// Entries that take callers, this one among them. From MIN_ENTRIES_TO_RESERVE_SLOTS of them on, each has places of its own at the engines.
    void setServingEntries(std::vector<ServingEntry> entries);

    PlacementDecision place(const PlacementRequest &request, Instant now);
    /// Must follow each Placement whose request is being sent.
    void onSent(std::string_view upstream, Instant now);
    /// Must follow each onSent.
    void onFinished(std::string_view upstream, AttemptResult result, Duration firstAnswer, Instant now);
    void onLoad(std::string_view upstream, const UpstreamLoad &load, Instant now);
    /// The upstream at @p address was blamed for a failure by another one.
    void onReportedFaulty(std::string_view address, Instant now);
    void onCold(std::string_view upstream, milliseconds remaining, Instant now);
    /// The incarnation said, to this entry or @p age ago to another one, that it leaves. Returns true when that is news.
    bool onLeaving(std::string_view upstream, int64_t bornMs, milliseconds age, Instant now);
    /// The incarnation turned a request of this entry away and wants none for @p pause. Returns when it gets requests again.
    Instant onBackoffRequested(std::string_view upstream, int64_t bornMs, milliseconds pause, Instant now);
    /// Leaving upstreams that other entries may not have heard of yet.
    std::vector<fleet::LeavingUpstream> leavingToAnnounce(Instant now) const;

    /// False when @p upstream has meanwhile said that it leaves or wants no requests for a time: a request that was placed and not sent
    /// goes elsewhere.
    bool acceptsRequests(std::string_view upstream, Instant now) const;

    /// The incarnation is registered as ready, in a zone that is in service, and has not said that it leaves.
    bool isServing(std::string_view upstream, int64_t bornMs) const;
    /// The incarnation has said, to this entry or another one, that it leaves, or is registered so.
    bool isLeaving(std::string_view upstream, int64_t bornMs) const;

    /// Requests of this entry at @p upstream.
    int inFlight(std::string_view upstream) const;
    bool hasEngines(std::string_view service) const;
    EngineLoad engineLoad(std::string_view service, Instant now) const;
    /// Requests of this entry at each service with engines.
    std::vector<std::pair<std::string, int>> inFlightByService() const;

    /// With fewer entries each one sees the engines' loads often enough to place by them.
    static constexpr size_t MIN_ENTRIES_TO_RESERVE_SLOTS = 16;

private:
    struct State
    {
        fleet::Upstream upstream;
        Instant coldUntil{0};
        double coldTokens = 0.0; ///< Requests that this entry may send while it is cold.
        Instant coldRefilled{0};
        bool usable = true; ///< Ready, in a zone that is in service, and not leaving.
        Instant pausedUntil{0}; ///< It wants no requests from this entry before.
        int inFlight = 0;
        int othersAtReport = 0; ///< Load of other entries in the last report.
        int inFlightAtReport = 0;
        Instant reportedAt{0};
        Instant avoidUntil{0};
        double failureRate = 0.0; ///< In [0, 1], drifting.
        Instant failureRateAt{0};
        double firstAnswerMs = 0.0; ///< Drifting average, 0 before the first answer.
        double reservedSlots = 0.0; ///< Of an engine's slots, those that belong to this entry. They add up to the slots over all entries.
        double expectedOthersInFlight = 0.0; ///< Requests that the other entries are likely to have there.
    };

    /// This entry's part of what a cold upstream bears.
    struct ColdShare
    {
        double perSecond = 0.0; ///< 0: there is no limit.
        double burst = 1.0;
        bool participates = true; ///< False: other entries use this upstream while it is cold.
    };

    /// Divides the engines' places between the serving entries.
    void allocateEngineSlots();
    /// The same for one zone: its entries' places lie at its own engines.
    void allocateZoneSlots(std::string_view service, std::span<const ServingEntry> entries, std::span<State *const> engines);
    bool isEligible(State &state, const PlacementRequest &request, Instant now);
    /// An engine with a free place of this entry's own, else the lightest of a few as far as known; null when none may be used.
    State *chooseEngine(const PlacementRequest &request, Instant now);
    double expectedRequests(const State &state, Instant now) const;
    double cost(const State &state, double meanAnswerMs, Instant now);
    double failureRate(const State &state, Instant now) const;
    bool consumeColdToken(State &state, Instant now);
    bool hasColdToken(State &state, Instant now);
    ColdShare coldShare(const State &state) const;
    State *find(std::string_view upstream);
    Placement makePlacement(State &state, Instant now);
    Refusal refusal(std::string_view service, framework::ResultCode code, Instant now);

    DispatcherOptions options_;
    int entries_ = 1;
    UpstreamNotices notices_;
    std::vector<ServingEntry> servingEntries_; ///< By zone and name.
    std::map<std::string, State, std::less<>> states_; ///< By id.
    std::map<std::string, double, std::less<>> coldPerSecond_; ///< By service; only services with a limit.
    std::set<std::string, std::less<>> engineServices_; ///< Services whose upstreams are model engines.
    std::minstd_rand random_;
};

} // namespace daisymount::dispatch

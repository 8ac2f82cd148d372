// Selects an upstream for each request or rejects the request.
//
// Expected load: three zones with a few entries and some tens of upstreams. An entry knows only its own traffic and the load reported
// in the responses of the upstreams.

#pragma once

#include "dispatch/groupdirectory.h"
#include "dispatch/homeplaces.h"
#include "dispatch/rampup.h"
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

/// Properties of a request that affect its placement.
struct PlacementRequest
{
    std::string_view service;
    std::span<const std::string> tried; ///< Upstreams already attempted for this request.
    bool allowAvoided = false; ///< Use a temporarily avoided or silent upstream if no other is available.
    std::span<const std::string> silent = {}; ///< Upstreams that do not respond at present.
    std::optional<std::string_view> group = std::nullopt; ///< If set, only ranks of the group with this key are used.
    std::optional<uint64_t> trialKey = std::nullopt; ///< If set, only the upstream is used that all entries select for this key.
};

struct Placement
{
    std::string upstream; ///< Id.
    int64_t bornMs = 0;
    std::string address;
    double expectedLoad = 0.0; ///< Estimated requests per slot of the upstream.
    Duration loadAge{0}; ///< Age of the last load report from the upstream.
};

struct Refusal
{
    framework::ResultCode code = framework::ResultCode::NoUpstream;
    milliseconds retryAfter{0};
};

using PlacementDecision = std::variant<Placement, Refusal>;

/// Outcome of one attempt at an upstream.
enum class AttemptResult : uint8_t {
    Served,
    Refused, ///< The upstream was full and did not execute the request.
    Replaced, ///< The address now belongs to another upstream; the request was not executed.
    Failed, ///< Error response or broken connection.
    Unreachable, ///< The connection could not be established.
    Abandoned, ///< Caller disconnected or deadline exceeded; not counted for or against the upstream.
};

struct UpstreamLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// Requests from this entry to the engines of a service.
struct EngineLoad
{
    int inFlight = 0;
    int usable = 0; ///< Engines that accept requests.
};

struct DispatcherOptions
{
    std::string zone; ///< Zone of this entry.
    double coldOvershoot = 1.0; ///< A cold upstream accepts up to coldPerSecond * coldOvershoot + coldSlack requests per second.
    double coldSlack = 0.0;
    uint64_t seed = 1;
};

class Dispatcher
{
public:
    explicit Dispatcher(const DispatcherOptions &options);

    /// Synchronizes upstreams and zones with @p view. Load and failure data of unchanged upstreams are retained.
    void onFleetChange(const fleet::FleetView &view, Instant now);
    /// Assigns the upstreams to the rank groups of their services.
    void onGroupsChange(const GroupDirectory &groups);
    /// Whether upstreams that have just started or recovered get requests by RampUp.
    void setRampUp(bool enabled);
    /// Number of possibly live entries including this one, at least 1. The request rate of cold upstreams is divided by it.
    void setEntries(int entries);

    /// Entries that accept callers, including this one. With MIN_ENTRIES_TO_RESERVE_SLOTS or more, each has reserved slots on the engines.
    void setServingEntries(std::vector<ServingEntry> entries);

    PlacementDecision place(const PlacementRequest &request, Instant now);
    /// Must be called for each Placement whose request is being sent.
    void onSent(std::string_view upstream, Instant now);
    /// Must be called once for each onSent().
    void onFinished(std::string_view upstream, AttemptResult result, Duration firstAnswer, Instant now);
    void onLoad(std::string_view upstream, const UpstreamLoad &load, Instant now);
    /// A response head or an event of a stream arrived from @p upstream.
    void onProgress(std::string_view upstream, Instant now);
    /// Time since the last response head or event from @p upstream; empty before the first one.
    std::optional<Duration> silence(std::string_view upstream, Instant now) const;
    /// Another upstream reported a fault of the upstream at @p address.
    void onReportedFaulty(std::string_view address, Instant now);
    void onCold(std::string_view upstream, milliseconds remaining, Instant now);
    /// The incarnation announced @p age ago, to this or another entry, that it is shutting down. Returns true on the first notice.
    bool onLeaving(std::string_view upstream, int64_t bornMs, milliseconds age, Instant now);
    /// The incarnation rejected a request and asked for no further ones for @p pause. Returns the time at which requests resume.
    Instant onBackoffRequested(std::string_view upstream, int64_t bornMs, milliseconds pause, Instant now);
    /// Recent shutdown notices of upstreams, to be sent to the other entries.
    std::vector<fleet::LeavingUpstream> leavingToAnnounce(Instant now) const;

    /// False if @p upstream has announced its shutdown or requested a pause since placement; an unsent request must then be placed again.
    bool acceptsRequests(std::string_view upstream, Instant now) const;

    /// The incarnation is registered as ready, its zone is in service, and it has not announced its shutdown.
    bool isServing(std::string_view upstream, int64_t bornMs) const;
    /// The incarnation has announced its shutdown to any entry or is registered as draining.
    bool isLeaving(std::string_view upstream, int64_t bornMs) const;

    /// In-flight requests from this entry to @p upstream.
    int inFlight(std::string_view upstream) const;
    bool hasEngines(std::string_view service) const;
    /// @p key is the name of a service, for all its engines, or the key of one of its groups.
    EngineLoad engineLoad(std::string_view key, Instant now) const;
    /// In-flight requests from this entry, by group key, for services with engines.
    std::vector<std::pair<std::string, int>> inFlightByGroup() const;
    /// Group key of the upstream, empty if it is unknown.
    std::string_view groupOf(std::string_view upstream) const;

    /// With fewer entries, load reports of the engines are frequent enough to select by load alone.
    static constexpr size_t MIN_ENTRIES_TO_RESERVE_SLOTS = 16;

private:
    struct State
    {
        fleet::Upstream upstream;
        std::string group; ///< Group key.
        RampUp rampUp;
        Instant coldUntil{0};
        double coldTokens = 0.0; ///< Token bucket for requests during cold start.
        Instant coldRefilled{0};
        bool usable = true; ///< Ready, not shutting down, and its zone is in service.
        Instant pausedUntil{0}; ///< No requests are sent before this time, at the upstream's request.
        int inFlight = 0;
        int othersAtReport = 0; ///< Requests from other entries according to the last report.
        int inFlightAtReport = 0;
        Instant reportedAt{0};
        Instant lastProgressAt{0}; ///< When the last response head or event arrived.
        Instant avoidUntil{0};
        double failureRate = 0.0; ///< In [0, 1], exponentially weighted.
        Instant failureRateAt{0};
        double firstAnswerMs = 0.0; ///< Exponentially weighted average, 0 before the first response.
        double reservedSlots = 0.0; ///< Engine slots reserved for this entry; the sum over all entries equals the slots of the engine.
        double expectedOthersInFlight = 0.0; ///< Estimated requests from the other entries.
    };

    /// Share of this entry in the request rate of a cold upstream.
    struct ColdShare
    {
        double perSecond = 0.0; ///< 0: unlimited.
        double burst = 1.0;
        bool participates = true; ///< False if only other entries send requests while the upstream is cold.
    };

    /// Reserves engine slots for the serving entries.
    void allocateEngineSlots();
    /// Reserves the slots of the engines of one zone for the entries of that zone.
    void allocateZoneSlots(std::string_view service, std::span<const ServingEntry> entries, std::span<State *const> engines);
    /// Returns the id of the upstream for the trials of @p key. Empty if none accepts requests.
    std::string_view trialUpstream(std::string_view service, uint64_t key, Instant now) const;
    /// True if @p state should get requests only if no other upstream is available.
    static bool isAvoided(const State &state, const PlacementRequest &request, Instant now);
    bool isEligible(State &state, const PlacementRequest &request, Instant now);
    /// Returns an engine with a free reserved slot, else the least loaded of a random sample; null if no engine is eligible.
    State *chooseEngine(const PlacementRequest &request, Instant now);
    /// Begins the ramp of an upstream that has started or recovered, if ramps are enabled.
    void beginRampUp(State &state, Instant now);
    /// Mean of the average response times of the service's upstreams; 0 before the first response.
    double meanAnswerMs(std::string_view service) const;
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
    bool rampUpEnabled_ = false;
    std::optional<Instant> startedAt_; ///< Time of the first fleet state; upstreams known then do not ramp.
    UpstreamNotices notices_;
    GroupDirectory groups_;
    std::vector<ServingEntry> servingEntries_; ///< By zone and name.
    std::map<std::string, State, std::less<>> states_; ///< By id.
    std::map<std::string, double, std::less<>> coldPerSecond_; ///< By service; only services with a limit.
    std::set<std::string, std::less<>> engineServices_; ///< Services whose upstreams are model engines.
    std::minstd_rand random_;
};

} // namespace daisymount::dispatch

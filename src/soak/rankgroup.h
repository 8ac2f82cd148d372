// Stand-in for a group of model engines in lock-step: its ranks serve streams, carry out orders and begin each pass together.

#pragma once

#include "fleet/fleettypes.h"
#include "gateway/tests/gatewayfixture.h"
#include "soak/upstreamrun.h"

#include <json/json.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace daisymount::soak
{

namespace asio = transport::asio;
using framework::Duration;
using framework::Instant;
using framework::milliseconds;

struct RankGroupOptions
{
    int ranks = 12;
    int sets = 4;
    int experts = 72;
    int slots = 12; ///< Streams that a rank runs at once.
    int tokensPerEvent = 5;
    milliseconds balancedPass{45}; ///< Time of a pass on a perfectly even map.
    uint16_t port = 0; ///< Port of all ranks; 0 for a free one of each.
    milliseconds copyTime{35}; ///< For one expert that is new to a rank.
    double topicShare = 0.7; ///< Share of the demand for experts that changes with the topic of the prompts.
    int queue = 0; ///< Streams that wait at a rank beyond its slots.
    std::optional<fleet::EngineProfile> timing = std::nullopt; ///< If set, passes take as long as it says for the streams under way, instead of balancedPass.
    milliseconds timeToFirstPass{0}; ///< Time after which a stream takes part in passes.
    milliseconds drainTime{2'000}; ///< A rank that leaves serves on for this long.
    milliseconds formTime{600}; ///< From the return of a rank until the group opens again.
};

/// All members run on one reactor. Must outlive it.
class RankGroup
{
public:
    RankGroup(asio::any_io_executor executor, const RankGroupOptions &options, const std::string &network, unsigned seed);

    std::string id(int rank) const;
    /// Number of the rank with an id of any of its incarnations.
    int rankOf(const std::string &id) const;
    milliseconds drainTime() const;
    /// The store has acknowledged the last registration of a rank, or its removal. The drain time counts from then on.
    void acknowledged(const std::string &id);
    /// The store has lost the last registration of a rank.
    void lost(const std::string &id);
    std::string address(int rank) const;
    /// True if a rank listens at a port from @p first up to, but not including, @p end.
    bool usesPort(int first, int end) const;
    /// Entry of a rank in the list of upstreams.
    std::string registration(int rank, const std::string &service, const std::string &zone) const;

    /// Prompts choose other experts from now on.
    void shiftDemand();
    /// Replaces a rank as a release does: it tells of its leaving, serves on for the drain time and a little longer, ends, which closes the
    /// group, and returns at its address as a new upstream. @p update writes its registration to the store, or removes it.
    asio::awaitable<void> replace(int rank, std::function<void(const std::string &id, bool registered)> update);
    /// What became of the request with this id; null if no rank has received it.
    const UpstreamRun *run(const std::string &requestId) const;
    /// Latest arrival of a request at a rank after the store had acknowledged its leaving.
    Duration latestArrival() const;
    /// Passes that began while ranks had different maps.
    int mixedPasses() const;
    int switches() const;
    /// Mean time of the passes so far; 0 before the first.
    Duration meanPass() const;
    /// Longest time for which streams waited for the next pass.
    Duration longestStand() const;

    std::function<void(const std::string &)> onEvent = [](const std::string &) {}; ///< Receives a line for each order and switch.
    std::function<void(int rank, const std::string &requestId)> onArrival = [](int, const std::string &) {};
    /// Called after each order that a rank has answered.
    std::function<void(int rank, bool refusedForFencing)> onOrder = [](int, bool) {};
    /// Called with a request that arrived later than the drain time at a rank that leaves.
    std::function<void(const std::string &requestId, Duration late)> onLateArrival = [](const std::string &, Duration) {};
    /// Length of the answer to a request, in events, where the request itself does not state it exactly.
    std::function<std::optional<int>(const std::string &requestId)> eventsOf = [](const std::string &) { return std::nullopt; };

private:
    struct PreparedMap
    {
        int64_t version = 0;
        Json::Value content; ///< By set and rank; null for map 0.
    };

    struct Rank
    {
        transport::AcceptorPtr acceptor;
        PreparedMap map;
        std::optional<PreparedMap> prepared;
        Instant copiedAt{0}; ///< When the prepared map is complete.
        int64_t highestVersion = 0;
        int64_t sequence = 0;
        int64_t fencing = 0;
        std::optional<int64_t> armedPass;
        std::optional<int64_t> heldPass;
        std::vector<int64_t> counts;
        int running = 0;
        int starts = 1;
        bool draining = false;
        Instant leavingSince{0}; ///< When the store acknowledged its leaving; 0 while it has not, or has lost it.
        std::vector<std::weak_ptr<transport::Connection>> connections;
    };

    struct Stream
    {
        transport::ConnectionPtr connection;
        std::string requestId;
        int rank = 0;
        int next = 0;
        int events = 0;
        int promptTokensLeft = 0;
        int contextTokens = 0;
        Instant receivedAt{0};
        bool started = false;
        bool ended = false;
        bool inPass = false; ///< Gets an event at the end of the present pass.
    };

    /// The rank with the id of its present incarnation; null if there is none.
    Rank *rankWithId(const std::string &id);
    /// Waits until the store has known for @p duration that the rank leaves.
    static asio::awaitable<void> serveOn(Rank &rank, Duration duration);
    asio::awaitable<void> passes();
    void beginPass();
    void listen(int rank, uint16_t port);
    bool isOpen() const;
    /// Ends all streams, as engines do when their group loses a rank.
    void breakOff();
    /// Opens the group in a new epoch, with the map that assigns experts in turn.
    void beginEpoch();
    /// Chooses the streams that take part in the pass. Returns the time that their rank's own work takes.
    double processRank(int rank);
    Duration passTime();
    /// Load of the most loaded rank relative to the mean, averaged over the sets.
    double skew() const;
    void writeEvent(const std::shared_ptr<Stream> &stream);
    /// Judges the arrival of a stream at a rank that leaves.
    void noteArrival(int rank, const std::string &requestId);
    asio::awaitable<void> serve(int rank, transport::ConnectionPtr connection);
    asio::awaitable<void> runStream(int rank, transport::ConnectionPtr connection, gateway::tests::ReceivedRequest request);
    std::string answer(int rank, const gateway::tests::ReceivedRequest &request);
    std::string report(int rank) const;
    std::string counts(int rank, bool withLists) const;
    Json::Value expertsOf(int rank, const PreparedMap &map) const;
    int newExperts(int rank, const Json::Value &content) const;
    int carryOut(int rank, const Json::Value &order);
    std::vector<double> demand(int set) const;

    asio::any_io_executor executor_;
    RankGroupOptions options_;
    std::string network_;
    std::minstd_rand random_;
    std::vector<Rank> ranks_;
    std::list<std::shared_ptr<Stream>> streams_;
    std::map<std::string, UpstreamRun> runs_;
    int64_t bornMs_ = 1'700'000'000'000;
    int64_t epoch_ = 1;
    int ranksAway_ = 0;
    Instant opensAt_{0};
    Duration latestArrival_{0};
    int64_t pass_ = 0;
    int64_t lastVersion_ = 0;
    unsigned topic_ = 1;
    int mixedPasses_ = 0;
    int switches_ = 0;
    Duration passSum_{0};
    Instant lastPassAt_{0};
    Duration longestStand_{0};
};

} // namespace daisymount::soak

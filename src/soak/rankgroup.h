// Stand-in for a group of model engines in lock-step: its ranks serve streams, carry out orders and begin each pass together.

#pragma once

#include "gateway/tests/gatewayfixture.h"

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
};

/// What became of a stream at its engine.
struct EngineRun
{
    Instant lastEventAt{0};
    bool finished = false; ///< All events were written.
};

/// All members run on one reactor. Must outlive it.
class RankGroup
{
public:
    RankGroup(asio::any_io_executor executor, const RankGroupOptions &options, const std::string &network, unsigned seed);

    std::string id(int rank) const;
    std::string address(int rank) const;
    /// Entry of a rank in the list of upstreams.
    std::string registration(int rank, const std::string &service, const std::string &zone) const;

    /// Prompts choose other experts from now on.
    void shiftDemand();
    /// What became of the request with this id; null if no rank has received it.
    const EngineRun *run(const std::string &requestId) const;
    /// Passes that began while ranks had different maps.
    int mixedPasses() const;
    int switches() const;
    /// Longest time for which streams waited for the next pass.
    Duration longestStand() const;

    std::function<void(const std::string &)> onEvent = [](const std::string &) {}; ///< Receives a line for each order and switch.

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
    };

    struct Stream
    {
        transport::ConnectionPtr connection;
        std::string requestId;
        int rank = 0;
        int next = 0;
        int events = 0;
        bool started = false;
        bool ended = false;
    };

    asio::awaitable<void> passes();
    void beginPass();
    Duration passTime() const;
    void writeEvent(const std::shared_ptr<Stream> &stream);
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
    std::map<std::string, EngineRun> runs_;
    int64_t bornMs_ = 1'700'000'000'000;
    int64_t pass_ = 0;
    int64_t lastVersion_ = 0;
    unsigned topic_ = 1;
    int mixedPasses_ = 0;
    int switches_ = 0;
    Instant lastPassAt_{0};
    Duration longestStand_{0};
};

} // namespace daisymount::soak

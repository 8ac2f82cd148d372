// A deployment of the real programs on loopback: gateways and rank agents as processes before simulated engines and a simulated store, with callers
// and an operator. Checks from outside what callers are promised.

#pragma once

#include "gateway/tests/storestandin.h"
#include "soak/callers.h"
#include "soak/plainservice.h"
#include "soak/process.h"
#include "soak/rankgroup.h"
#include "soak/storechecks.h"
#include "soak/storereturns.h"

#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace daisymount::soak
{

struct SiteOptions
{
    unsigned seed = 1;
    int gateways = 6;
    int callers = 90;
    milliseconds duration{60'000};
    RankGroupOptions group;
    const TrafficProfile *profile = nullptr; ///< Sets gateways, callers and engines; null for callers that each send one stream after the other.
    double load = 1.0; ///< Factor of the rates of the profile.
    int storeReturns = 0; ///< Returns of the store from an older copy. Needs a profile.
    std::string gatewayProgram = GATEWAY_PROGRAM;
    std::string rankAgentProgram = RANK_AGENT_PROGRAM;
};

/// How the requests of a run ended.
struct Totals
{
    int answered = 0;
    int refused = 0; ///< 503 by a gateway.
    int failed = 0; ///< Another failure that was delivered whole.
    int notRead = 0; ///< The connection was refused, or closed before the request was read.
    int excused = 0; ///< Cut, in a way that the promises allow.
    int left = 0; ///< Given up by the caller.
    int latePassedOn = 0; ///< Streams that a draining gateway passed on although no cut of them is excused.
    int cutLogged = 0; ///< Responses that the gateways' logs say were cut.
    Duration longestPause{0}; ///< Longest time for which the soak itself did not run.
    Duration longestAfterSignal{0}; ///< Longest time from the SIGTERM of a gateway to the end of a complete answer of its.
    Duration longestOfLate{0}; ///< The same for requests that were sent so late that no cut is excused.
};

/// All members run on one reactor. Must outlive it.
class Site
{
public:
    Site(asio::io_context &reactor, const SiteOptions &options);

    /// Plays the run and returns the broken promises.
    std::vector<std::string> run();
    const Totals &totals() const;
    const RankGroup &group() const;
    int storeReturns() const;
    int versionsRead() const;
    /// Latest arrival of a request at an upstream after the store had acknowledged its leaving.
    Duration latestArrival() const;
    /// Folder with the logs of the processes and the record of the run.
    const std::filesystem::path &folder() const;

private:
    struct Directory
    {
        std::vector<std::string> addresses;
        Instant validUntil{0};
    };

    void startProcesses();
    asio::awaitable<bool> waitUntilReady();
    asio::awaitable<void> watchProcesses();
    /// Measures how long the soak itself is held up. A run on a machine that stands for seconds shows little about the gateways.
    asio::awaitable<void> watchPauses();
    asio::awaitable<void> call(unsigned seed);
    asio::awaitable<void> resolve(Directory &directory, std::minstd_rand &random);
    asio::awaitable<AttemptSeen> exchange(const std::string &address, int events, bool chunkedBody);
    void judge(const AttemptSeen &seen);
    void judgeCut(const AttemptSeen &seen, const UpstreamRun *run);
    const UpstreamRun *runOf(const std::string &requestId) const;
    /// Lines of all logs that name a request.
    std::string logLines(const std::string &requestId) const;
    void countLoggedCuts();
    void startCallers();
    /// Connects the checks of the store's returns with what the store, the upstreams and the ranks see.
    void observeStore();
    asio::awaitable<void> watchVersions();
    asio::awaitable<void> evacuateZones(unsigned seed);
    /// Judges the orders that the gateways' logs tell.
    void judgeSenders();
    void startPlainService(const std::string &firstIp);
    void configure();
    asio::awaitable<void> operate(unsigned seed);
    asio::awaitable<void> operateUpstreams(unsigned seed);
    asio::awaitable<void> replacePlainUpstreams(milliseconds gap);
    /// The gateway that controls the maps, or the first one.
    Process &mapController();
    asio::awaitable<void> shiftDemand();
    asio::awaitable<void> restart(Process &process);
    asio::awaitable<void> restartInTurn(std::vector<Process *> processes, milliseconds gap);
    Process *gatewayAt(const std::string &address);
    void record(const std::string &line);
    void breakPromise(const std::string &what);

    asio::io_context &reactor_;
    SiteOptions options_;
    std::minstd_rand random_;
    std::string network_;
    std::filesystem::path folder_;
    std::ofstream record_;
    gateway::tests::FakeStore store_;
    StoreReturns writes_;
    StoreChecks checks_;
    RankGroup group_;
    std::unique_ptr<PlainService> plain_; ///< Null without a profile.
    std::unique_ptr<Callers> callers_; ///< Null without a profile.
    int64_t configVersion_ = 1;
    std::vector<std::unique_ptr<Process>> gateways_;
    std::vector<std::unique_ptr<Process>> agents_;
    Instant begin_{0};
    Instant end_{0}; ///< No request is sent later.
    bool finished_ = false;
    int requests_ = 0;
    int versionsRead_ = 0; ///< In force on gateways, as their metrics told.
    int restarting_ = 0;
    Totals totals_;
    std::vector<std::string> broken_;
};

} // namespace daisymount::soak

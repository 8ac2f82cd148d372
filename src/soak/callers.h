// Callers of a site: they ask the directory, keep connections, send the requests of a traffic profile and return once after a refusal.
//
// Some keep their connections until a gateway closes them, and use an answer of the directory for three times its time to live.

#pragma once

#include "gateway/tests/gatewayfixture.h"
#include "platform/standins/wireformat.h"
#include "soak/trafficprofile.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace daisymount::soak
{

namespace asio = transport::asio;
using framework::Duration;
using framework::Instant;

/// One request as its caller saw it.
struct AttemptSeen
{
    std::string id;
    std::string gateway; ///< IP:port.
    const RequestClass *kind = nullptr;
    int events = 0; ///< Of a stream.
    bool connected = false;
    bool onKeptConnection = false;
    bool callerLeft = false; ///< The caller gave up, at its deadline or after a pause between events.
    Instant sentAt{0}; ///< When the last byte of the request was sent.
    Instant deadline{0}; ///< As the request states it.
    Instant endedAt{0};
    gateway::tests::CallerResult result;
};

/// All members run on one reactor. Must outlive it.
class Callers
{
public:
    /// Returns the addresses of the directories that a caller of a zone knows, nearest first.
    using Directories = std::function<std::vector<std::string>(int zone)>;

    /// @param load Factor of the rates of the profile.
    Callers(asio::any_io_executor executor, const TrafficProfile &profile, double load, Directories directories, unsigned seed);

    /// Sends requests until @p end.
    void start(Instant end);
    /// Multiplies the rate of requests by @p factor for @p duration.
    void burst(double factor, milliseconds duration);
    /// Opens connections to a gateway and sends requests on them until @p end or until the last one is closed, whatever the directory says.
    void pursue(const std::string &address, Instant end);
    /// Length of the answer to a request that is under way, in events; empty for an unknown one.
    std::optional<int> eventsOf(const std::string &requestId) const;

    std::function<void(const AttemptSeen &)> onAttempt = [](const AttemptSeen &) {};

private:
    struct Kept
    {
        std::string address;
        transport::ConnectionPtr connection;
    };

    struct Caller
    {
        int zone = 0;
        bool keepsOldAddresses = false; ///< Uses an answer of the directory for three times its time to live.
        bool keepsConnections = false; ///< Uses a connection until the gateway closes it, whatever the directory says.
        std::vector<std::string> addresses;
        Instant validUntil{0};
        std::vector<Kept> kept;
    };

    /// One request of a caller with its sizes.
    struct Request
    {
        const RequestClass *kind = nullptr;
        int events = 0;
        int promptTokens = 0;
        int hintTokens = 0;
        bool statesOwnLength = false; ///< States the length of its answer instead of the longest one of its route.
        Instant firstSentAt{0};
    };

    asio::awaitable<void> arrivals(int zone, Instant end);
    asio::awaitable<void> request(std::shared_ptr<Caller> caller, Request request);
    asio::awaitable<void> keepSending(std::string address, Instant end);
    asio::awaitable<void> resolve(std::shared_ptr<Caller> caller);
    asio::awaitable<AttemptSeen> attempt(std::shared_ptr<Caller> caller, Request request, std::string failedAddress);
    /// Sends the request on an open connection and reads the response. Keeps the connection if it may be used again.
    asio::awaitable<AttemptSeen> exchange(std::shared_ptr<Caller> caller, Request request, Kept kept, AttemptSeen seen);
    asio::awaitable<void> exchangeAndReport(std::shared_ptr<Caller> caller, Request request, Kept kept, AttemptSeen seen);
    /// Takes a kept connection that may still be used; empty if there is none.
    std::optional<Kept> takeKept(Caller &caller);
    asio::awaitable<bool> send(transport::ConnectionPtr connection, Request request, std::string id, milliseconds deadline);
    Request drawRequest();

    asio::any_io_executor executor_;
    const TrafficProfile &profile_;
    double load_ = 1.0;
    Directories directories_;
    std::minstd_rand random_;
    std::vector<std::vector<std::shared_ptr<Caller>>> callers_; ///< By zone.
    std::map<std::string, int> events_; ///< By request id.
    int64_t requests_ = 0;
    double burstFactor_ = 1.0;
    Instant burstEnd_{0};
};

} // namespace daisymount::soak

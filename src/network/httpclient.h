// HTTP client on libcurl: one thread drives all transfers, each duty gets its events on its own thread.

#pragma once

#include "framework/clock.h"
#include "network/dutythread.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::network
{

using CallId = uint64_t;

struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; ///< "Name: value".
    std::string body;
    framework::Duration connectTimeout = framework::milliseconds{500};
    framework::Duration timeout = framework::seconds{5}; ///< Of the whole call; 0 for none.
    bool ownConnection = false; ///< No other call uses the connection, so that a late duplicate of another answer cannot be taken for this one's.
};

enum class CallResult : uint8_t {
    Complete, ///< The whole answer has arrived.
    NotConnected, ///< No connection was made: nothing has been sent.
    Broken, ///< It broke off after something may have been sent.
    TimedOut,
};

/// Run on the duty that made the call, in order. No event follows done.
struct HttpCallHooks
{
    std::function<void(int status, std::string_view bytes)> data;
    std::function<void(CallResult result, int status)> done;
};

class ClientLoop;

/// One duty's access to the client. All calls come from that duty's thread.
class ClientPort
{
public:
    ClientPort(std::shared_ptr<ClientLoop> loop, std::shared_ptr<Inbox> toDuty);

    CallId start(HttpCall call, HttpCallHooks hooks);
    /// No event follows.
    void cancel(CallId call);

private:
    struct Table;
    std::shared_ptr<ClientLoop> loop_;
    std::shared_ptr<Inbox> toLoop_;
    std::shared_ptr<Inbox> toDuty_;
    std::shared_ptr<Table> table_;
};

class HttpClient
{
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// @p duty receives the events. Call before start().
    std::unique_ptr<ClientPort> makePort(DutyThread &duty);
    void start();
    void stop();

private:
    std::shared_ptr<ClientLoop> loop_;
};

} // namespace daisymount::network

// State of the server that lives on the reactor's thread: open exchanges and the inboxes of answers.

#pragma once

#include "network/httpserver.h"

#include <pistache/peer.h>
#include <pistache/transport.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace daisymount::network
{

/// Transport that also runs the server's inboxes on the reactor's thread.
class ReplyTransport : public Pistache::Tcp::Transport
{
public:
    ReplyTransport(const std::shared_ptr<Pistache::Tcp::Handler> &handler, std::shared_ptr<ReactorState> state);

    void registerPoller(Pistache::Polling::Epoll &poller) override;
    void onReady(const Pistache::Aio::FdSet &fds) override;
    std::shared_ptr<Pistache::Aio::Handler> clone() const override;

    /// Writes @p data if the connection with this descriptor still is the one with @p peerId. Reactor's thread only.
    bool writeTo(int descriptor, size_t peerId, const std::string &data);
    /// Shuts the connection down under the same condition.
    void shutDown(int descriptor, size_t peerId);

private:
    std::shared_ptr<Pistache::Tcp::Handler> pristineHandler_;
    std::shared_ptr<ReactorState> state_;
};

class ReactorState
{
public:
    ReactorState(HttpServerHooks hooks, size_t maxBodyBytes);

    std::shared_ptr<Inbox> makeInbox();
    void runInboxes();
    const WakeUp &wakeUp() const;

    // Reactor's thread only.
    void setTransport(ReplyTransport *transport);
    void onConnection();
    void onRequest(HttpRequest request, const std::shared_ptr<Pistache::Tcp::Peer> &peer);
    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer);
    void write(ExchangeId exchange, const std::string &data, bool last);
    void abort(ExchangeId exchange);

    HttpServerCounters counters() const;

private:
    struct Exchange
    {
        int descriptor = -1;
        size_t peerId = 0;
    };

    HttpServerHooks hooks_;
    size_t maxBodyBytes_;
    WakeUp wakeUp_;
    std::vector<std::shared_ptr<Inbox>> inboxes_;
    ReplyTransport *transport_ = nullptr;
    std::map<ExchangeId, Exchange> exchanges_;
    std::map<size_t, ExchangeId> exchangeOfPeer_; ///< At most one open exchange per connection.
    ExchangeId lastExchange_ = 0;
    std::atomic<uint64_t> connections_{0};
    std::atomic<uint64_t> requests_{0};
    std::atomic<uint64_t> droppedWrites_{0};
};

/// Renders the head of an answer; @p bodyBytes is negative for a chunked one.
std::string renderHead(int status, std::string_view contentType, const std::vector<std::pair<std::string, std::string>> &headers, int64_t bodyBytes);

} // namespace daisymount::network

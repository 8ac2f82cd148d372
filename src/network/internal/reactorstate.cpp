// Reactor side of the server.

#include "network/internal/reactorstate.h"

#include <pistache/http_defs.h>

#include <algorithm>
#include <cstdio>

#include <sys/socket.h>

namespace daisymount::network
{

namespace
{
constexpr size_t REPLY_RING_CAPACITY = 65536;

const char *reasonOf(int status)
{
    return Pistache::Http::codeString(static_cast<Pistache::Http::Code>(status));
}
} // namespace

std::string renderHead(int status, std::string_view contentType, const std::vector<std::pair<std::string, std::string>> &headers, int64_t bodyBytes)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) + "\r\nContent-Type: " + std::string(contentType) + "\r\n";
    for (const auto &[name, value] : headers) {
        head += name + ": " + value + "\r\n";
    }
    head += bodyBytes < 0 ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    return head + "\r\n";
}

ReplyTransport::ReplyTransport(const std::shared_ptr<Pistache::Tcp::Handler> &handler, std::shared_ptr<ReactorState> state)
    : Pistache::Tcp::Transport(handler), pristineHandler_(handler), state_(std::move(state))
{ }

std::shared_ptr<Pistache::Aio::Handler> ReplyTransport::clone() const
{
    auto copy = std::make_shared<ReplyTransport>(pristineHandler_->clone(), state_);
    state_->setTransport(copy.get());
    return copy;
}

void ReplyTransport::registerPoller(Pistache::Polling::Epoll &poller)
{
    Pistache::Tcp::Transport::registerPoller(poller);
    const int descriptor = state_->wakeUp().descriptor();
    poller.addFd(descriptor, Pistache::Flags<Pistache::Polling::NotifyOn>(Pistache::Polling::NotifyOn::Read), Pistache::Polling::Tag(descriptor));
}

void ReplyTransport::onReady(const Pistache::Aio::FdSet &fds)
{
    const Pistache::Polling::Tag wakeTag(state_->wakeUp().descriptor());
    bool woken = false;
    std::vector<Pistache::Polling::Event> others;
    for (const auto &entry : fds) {
        if (entry.getTag() == wakeTag) {
            woken = true;
            continue;
        }
        Pistache::Polling::Event event(entry.getTag());
        if (entry.isReadable()) {
            event.flags.setFlag(Pistache::Polling::NotifyOn::Read);
        }
        if (entry.isWritable()) {
            event.flags.setFlag(Pistache::Polling::NotifyOn::Write);
        }
        if (entry.isHangup()) {
            event.flags.setFlag(Pistache::Polling::NotifyOn::Hangup);
        }
        others.push_back(event);
    }
    if (!others.empty()) {
        Pistache::Tcp::Transport::onReady(Pistache::Aio::FdSet(std::move(others)));
    }
    if (woken) {
        state_->wakeUp().clear();
        state_->runInboxes();
    }
}

bool ReplyTransport::writeTo(int descriptor, size_t peerId, const std::string &data)
{
    const auto found = peers.find(descriptor);
    if (found == peers.end() || found->second->getID() != peerId) {
        return false;
    }
    found->second->send(Pistache::RawBuffer(data, data.size()));
    flush();
    return true;
}

void ReplyTransport::shutDown(int descriptor, size_t peerId)
{
    const auto found = peers.find(descriptor);
    if (found != peers.end() && found->second->getID() == peerId) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

ReactorState::ReactorState(HttpServerHooks hooks, size_t maxBodyBytes) : hooks_(std::move(hooks)), maxBodyBytes_(maxBodyBytes)
{ }

std::shared_ptr<Inbox> ReactorState::makeInbox()
{
    inboxes_.push_back(std::make_shared<Inbox>(REPLY_RING_CAPACITY, [this] { wakeUp_.notify(); }));
    return inboxes_.back();
}

void ReactorState::runInboxes()
{
    for (const auto &inbox : inboxes_) {
        inbox->run();
    }
}

const WakeUp &ReactorState::wakeUp() const
{
    return wakeUp_;
}

void ReactorState::setTransport(ReplyTransport *transport)
{
    transport_ = transport;
}

void ReactorState::onConnection()
{
    ++connections_;
}

void ReactorState::onRequest(HttpRequest request, const std::shared_ptr<Pistache::Tcp::Peer> &peer)
{
    ++requests_;
    const size_t peerId = peer->getID();
    if (exchangeOfPeer_.count(peerId) != 0) {
        // Pipelined requests are not supported: their answers could cross.
        transport_->shutDown(peer->fd(), peerId);
        return;
    }
    request.exchange = ++lastExchange_;
    exchanges_[request.exchange] = {peer->fd(), peerId};
    exchangeOfPeer_[peerId] = request.exchange;
    hooks_.request(std::move(request));
}

void ReactorState::onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer)
{
    const auto found = exchangeOfPeer_.find(peer->getID());
    if (found == exchangeOfPeer_.end()) {
        return;
    }
    const ExchangeId exchange = found->second;
    exchangeOfPeer_.erase(found);
    exchanges_.erase(exchange);
    hooks_.gone(exchange);
}

void ReactorState::write(ExchangeId exchange, const std::string &data, bool last)
{
    const auto found = exchanges_.find(exchange);
    if (found == exchanges_.end()) {
        ++droppedWrites_;
        return;
    }
    const Exchange target = found->second;
    if (last) {
        exchangeOfPeer_.erase(target.peerId);
        exchanges_.erase(found);
    }
    if (!transport_->writeTo(target.descriptor, target.peerId, data)) {
        ++droppedWrites_;
    }
}

void ReactorState::abort(ExchangeId exchange)
{
    const auto found = exchanges_.find(exchange);
    if (found == exchanges_.end()) {
        return;
    }
    const Exchange target = found->second;
    exchangeOfPeer_.erase(target.peerId);
    exchanges_.erase(found);
    transport_->shutDown(target.descriptor, target.peerId);
}

HttpServerCounters ReactorState::counters() const
{
    return {connections_, requests_, droppedWrites_};
}

} // namespace daisymount::network

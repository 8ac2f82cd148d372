// HTTP server.

#include "network/httpserver.h"

#include "network/internal/reactorstate.h"

#include <pistache/http.h>
#include <pistache/listener.h>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <sstream>

namespace daisymount::network
{

using framework::ResultCode;

namespace
{
/// Room for the request line and headers above the limit of the body.
constexpr size_t HEADER_ALLOWANCE_BYTES = 64 * 1024;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

HttpRequest convert(const Pistache::Http::Request &request)
{
    HttpRequest converted;
    converted.method = Pistache::Http::methodString(request.method());
    converted.path = request.resource();
    converted.body = request.body();
    for (const std::string &name : request.query().parameters()) {
        converted.query[name] = request.query().get(name).value_or("");
    }
    for (const auto &header : request.headers().list()) {
        std::ostringstream value;
        header->write(value);
        converted.headers[lowerCase(header->name())] = value.str();
    }
    for (const auto &[name, header] : request.headers().rawList()) {
        converted.headers[lowerCase(header.name())] = header.value();
    }
    return converted;
}

/// Passes requests and disconnections on to the reactor's state.
class ExchangeHandler : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(ExchangeHandler)

    explicit ExchangeHandler(std::shared_ptr<ReactorState> state) : state_(std::move(state))
    { }

    void onRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter response) override
    {
        if (const auto peer = response.getPeer()) {
            state_->onRequest(convert(request), peer);
        }
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        state_->onDisconnection(peer);
    }

private:
    std::shared_ptr<ReactorState> state_;
};
} // namespace

struct HttpServer::Listening
{
    Pistache::Tcp::Listener listener;
};

ReplyPort::ReplyPort(std::shared_ptr<ReactorState> state) : state_(std::move(state)), inbox_(state_->makeInbox())
{ }

ResultCode ReplyPort::reply(ExchangeId exchange, const HttpReply &reply)
{
    std::string data = renderHead(reply.status, reply.contentType, reply.headers, static_cast<int64_t>(reply.body.size())) + reply.body;
    return inbox_->post([state = state_.get(), exchange, data = std::move(data)] { state->write(exchange, data, true); });
}

ResultCode ReplyPort::beginStream(ExchangeId exchange, int status, std::string_view contentType)
{
    std::string data = renderHead(status, contentType, {{"Cache-Control", "no-cache"}}, -1);
    return inbox_->post([state = state_.get(), exchange, data = std::move(data)] { state->write(exchange, data, false); });
}

ResultCode ReplyPort::sendChunk(ExchangeId exchange, std::string_view data)
{
    std::ostringstream framed;
    framed << std::hex << data.size() << "\r\n" << data << "\r\n";
    return inbox_->post([state = state_.get(), exchange, chunk = framed.str()] { state->write(exchange, chunk, false); });
}

ResultCode ReplyPort::endStream(ExchangeId exchange)
{
    return inbox_->post([state = state_.get(), exchange] { state->write(exchange, "0\r\n\r\n", true); });
}

ResultCode ReplyPort::abort(ExchangeId exchange)
{
    return inbox_->post([state = state_.get(), exchange] { state->abort(exchange); });
}

HttpServer::HttpServer(HttpServerOptions options, HttpServerHooks hooks)
    : options_(std::move(options)), state_(std::make_shared<ReactorState>(std::move(hooks), options_.maxBodyBytes)), listening_(std::make_unique<Listening>())
{ }

HttpServer::~HttpServer()
{
    stop();
}

std::unique_ptr<ReplyPort> HttpServer::makePort()
{
    return std::make_unique<ReplyPort>(state_);
}

framework::Ret HttpServer::start()
{
    const auto handler = std::make_shared<ExchangeHandler>(state_);
    handler->setMaxRequestSize(options_.maxBodyBytes + HEADER_ALLOWANCE_BYTES);
    try {
        Pistache::Tcp::Listener &listener = listening_->listener;
        const auto flags = Pistache::Flags<Pistache::Tcp::Options>(Pistache::Tcp::Options::ReuseAddr) | Pistache::Tcp::Options::NoDelay
            | Pistache::Tcp::Options::CloseOnExec;
        // One reactor thread: it is the only producer into the request duty's ring.
        listener.init(1, flags, "reactor");
        listener.setTransportFactory([handler, state = state_] { return std::make_shared<ReplyTransport>(handler, state); });
        listener.setHandler(handler);
        listener.bind(Pistache::Address(options_.address));
        listener.runThreaded();
    } catch (const std::exception &error) {
        return {ResultCode::BadValue, options_.address + ": " + error.what()};
    }
    return {};
}

void HttpServer::stop()
{
    if (listening_) {
        listening_->listener.shutdown();
        listening_.reset();
    }
}

HttpServerCounters HttpServer::counters() const
{
    return state_->counters();
}

} // namespace daisymount::network

// Accepts connections and serves HTTP requests with handlers.

#include "transport/httpserver.h"

#include "transport/tasks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/status.hpp>

#include <charconv>

namespace daisymount::transport
{

namespace
{
constexpr size_t HEAD_LIMIT = 16 * 1024;
constexpr uint64_t BODY_LIMIT = 8U << 20U;
/// A connection is closed if no complete request arrives within this time.
constexpr milliseconds REQUEST_TIMEOUT{10'000};
constexpr milliseconds WRITE_TIMEOUT{2'000};
/// Delay before the next accept after a failure, for example when the process is out of file descriptors or memory.
constexpr milliseconds ACCEPT_RETRY_DELAY{50};
constexpr int ACCEPT_BACKLOG = 1'024;

asio::awaitable<void> acceptLoop(AcceptorPtr acceptor, ConnectionHandler handler)
{
    while (acceptor->is_open()) {
        auto [error, socket] = co_await acceptor->async_accept(asio::as_tuple(asio::use_awaitable));
        if (error) {
            co_await sleepFor(ACCEPT_RETRY_DELAY);
            continue;
        }
        auto connection = std::make_shared<Connection>(std::move(socket));
        connection->start();
        handler(std::move(connection));
    }
}

std::string render(const ServerResponse &response)
{
    return "HTTP/1.1 " + std::to_string(response.status) + " " + std::string(reasonPhrase(response.status)) + "\r\nContent-Type: " + response.contentType
        + "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}
} // namespace

AcceptorPtr listenAt(const asio::any_io_executor &executor, const asio::ip::tcp::endpoint &endpoint, ConnectionHandler handler)
{
    auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(executor);
    acceptor->open(endpoint.protocol());
    acceptor->set_option(asio::socket_base::reuse_address(true));
    acceptor->bind(endpoint);
    acceptor->listen(ACCEPT_BACKLOG);
    spawnLoop(executor, "accept", [acceptor, handler = std::move(handler)] { return acceptLoop(acceptor, handler); });
    return acceptor;
}

asio::awaitable<void> serveConnection(ConnectionPtr connection, AsyncRequestHandler handler)
{
    while (connection->open()) {
        HttpReader reader(HttpReader::MessageType::Request, HEAD_LIMIT, BODY_LIMIT);
        const Instant deadline = framework::monotonicNow() + REQUEST_TIMEOUT;
        while (!reader.done()) {
            connection->consume(reader.feed(connection->receiveBuffer()));
            if (reader.done()) {
                break;
            }
            if (reader.failed() || !connection->open() || framework::monotonicNow() >= deadline) {
                connection->close();
                co_return;
            }
            co_await connection->waitForBytes(connection->receiveBuffer().size(), deadline);
        }
        const ServerRequest request{reader.method(), reader.target(), reader.body(), &reader.fields()};
        const ServerResponse response = co_await handler(request);
        const std::string reply = render(response);
        const bool written = co_await connection->write(reply, WRITE_TIMEOUT);
        if (!written || !reader.keepAlive()) {
            break;
        }
    }
    connection->close();
}

void listenAndServe(const asio::any_io_executor &executor, const asio::ip::tcp::endpoint &endpoint, RequestHandler handler)
{
    listenAndServeAsync(executor, endpoint,
                        [handler = std::move(handler)](ServerRequest request) -> asio::awaitable<ServerResponse> { co_return handler(request); });
}

void listenAndServeAsync(const asio::any_io_executor &executor, const asio::ip::tcp::endpoint &endpoint, AsyncRequestHandler handler)
{
    listenAt(executor, endpoint, [executor, handler = std::move(handler)](const ConnectionPtr &connection) {
        spawnTask(executor, "serve_connection", serveConnection(connection, handler), [connection] { connection->reset(); });
    });
}

std::string queryValue(std::string_view target, std::string_view name)
{
    const size_t mark = target.find('?');
    std::string_view rest = mark == std::string_view::npos ? std::string_view{} : target.substr(mark + 1);
    while (!rest.empty()) {
        const size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
            std::string value;
            const std::string_view raw = pair.substr(equals + 1);
            for (size_t i = 0; i < raw.size(); ++i) {
                unsigned byte = 0;
                if (raw[i] == '%' && i + 2 < raw.size() && std::from_chars(raw.data() + i + 1, raw.data() + i + 3, byte, 16).ec == std::errc{}) {
                    value += static_cast<char>(byte);
                    i += 2;
                } else {
                    value += raw[i];
                }
            }
            return value;
        }
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return {};
}

std::string_view reasonPhrase(int status)
{
    const auto phrase = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return {phrase.data(), phrase.size()};
}

} // namespace daisymount::transport

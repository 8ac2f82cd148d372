// HTTP/1.1 framing of responses to callers.

#include "gateway/answerrelay.h"

#include "transport/httpserver.h"

#include <array>
#include <charconv>

namespace daisymount::gateway
{

namespace
{
/// A caller that accepts no bytes for this long is treated as disconnected.
constexpr transport::milliseconds CALLER_WRITE_TIMEOUT{4'000};
constexpr int NO_CONTENT = 204;
constexpr int NOT_MODIFIED = 304;
constexpr std::string_view LAST_CHUNK = "0\r\n\r\n";

std::string chunk(std::string_view bytes)
{
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    std::string out(size.data(), end);
    out += "\r\n";
    out += bytes;
    out += "\r\n";
    return out;
}
} // namespace

ResponseRelay::ResponseRelay(transport::Connection &caller, bool closeConnection) : caller_(caller), closeConnection_(closeConnection)
{ }

std::string ResponseRelay::head(int status, std::string_view fieldLines, std::string_view framing) const
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + std::string(transport::reasonPhrase(status)) + "\r\n";
    out += fieldLines;
    out += framing;
    if (closeConnection_) {
        out += "Connection: close\r\n";
    }
    out += "\r\n";
    return out;
}

transport::asio::awaitable<bool> ResponseRelay::sendComplete(int status, std::string_view fieldLines, std::string_view body)
{
    const bool statusHasNoBody = status == NO_CONTENT || status == NOT_MODIFIED;
    std::string out = head(status, fieldLines, statusHasNoBody ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n");
    if (!omitBody_ && !statusHasNoBody) {
        out += body;
    }
    started_ = true;
    finished_ = co_await caller_.write(out, CALLER_WRITE_TIMEOUT);
    co_return finished_;
}

transport::asio::awaitable<bool> ResponseRelay::start(int status, std::string_view fieldLines, std::string_view firstBytes)
{
    std::string out = head(status, fieldLines, "Transfer-Encoding: chunked\r\n");
    if (!firstBytes.empty()) {
        out += chunk(firstBytes);
    }
    started_ = true;
    co_return co_await caller_.write(out, CALLER_WRITE_TIMEOUT);
}

transport::asio::awaitable<bool> ResponseRelay::sendChunk(std::string_view bytes)
{
    if (bytes.empty()) {
        co_return true;
    }
    const std::string out = chunk(bytes);
    co_return co_await caller_.write(out, CALLER_WRITE_TIMEOUT);
}

transport::asio::awaitable<bool> ResponseRelay::finish()
{
    finished_ = co_await caller_.write(LAST_CHUNK, CALLER_WRITE_TIMEOUT);
    co_return finished_;
}

bool ResponseRelay::started() const
{
    return started_;
}

bool ResponseRelay::finished() const
{
    return finished_;
}

bool ResponseRelay::closesConnection() const
{
    return closeConnection_;
}

void ResponseRelay::omitBody()
{
    omitBody_ = true;
}

} // namespace daisymount::gateway

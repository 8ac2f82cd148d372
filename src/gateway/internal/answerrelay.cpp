// Event splitting and HTTP/1.1 framing of responses to callers.

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

/// Returns the position after the last blank line of @p text, 0 if there is none.
size_t endOfLastEvent(std::string_view text)
{
    const size_t lf = text.rfind("\n\n");
    const size_t crlf = text.rfind("\r\n\r\n");
    const size_t lfEnd = lf == std::string_view::npos ? 0 : lf + 2;
    const size_t crlfEnd = crlf == std::string_view::npos ? 0 : crlf + 4;
    return std::max(lfEnd, crlfEnd);
}
} // namespace

std::string EventAssembler::append(std::string_view bytes)
{
    partial_ += bytes;
    const size_t end = endOfLastEvent(partial_);
    std::string whole = partial_.substr(0, end);
    partial_.erase(0, end);
    parseLines(whole);
    return whole;
}

void EventAssembler::parseLines(std::string_view events)
{
    while (!events.empty()) {
        const size_t end = events.find('\n');
        std::string_view line = events.substr(0, end);
        events = end == std::string_view::npos ? std::string_view{} : events.substr(end + 1);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            ++eventCount_;
            eventsWithData_ += hasData_ ? 1 : 0;
            hasData_ = false;
        }
        hasData_ = hasData_ || line.starts_with("data");
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        if (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        lastEventId_ = line;
    }
}

void EventAssembler::discardPartial()
{
    partial_.clear();
}

const std::string &EventAssembler::partial() const
{
    return partial_;
}

const std::string &EventAssembler::lastEventId() const
{
    return lastEventId_;
}

int EventAssembler::eventCount() const
{
    return eventCount_;
}

int64_t EventAssembler::eventsWithData() const
{
    return eventsWithData_;
}

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

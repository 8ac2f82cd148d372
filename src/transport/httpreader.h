// Incremental HTTP/1.1 parser with strict checks of message framing. Performs no I/O.

#pragma once

#include "framework/headerfields.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisymount::transport
{

using framework::findField;
using framework::HeaderFields;

enum class ReadState : uint8_t {
    Head, ///< Waiting for the rest of the start line and header fields.
    Body,
    Done,
    Malformed, ///< Invalid message. The rest of the stream cannot be interpreted.
    HeadTooLarge,
    BodyTooLarge,
};

/// Parses one request or response. Complete parts are available while the rest is still being received.
class HttpReader
{
public:
    enum class MessageType : uint8_t {
        Request,
        Response,
    };

    HttpReader(MessageType type, size_t headLimit, uint64_t bodyLimit);
    ~HttpReader();
    HttpReader(HttpReader &&) noexcept;
    HttpReader &operator=(HttpReader &&) noexcept;

    /// Parses @p bytes up to the end of the message. Returns the number of bytes used; pass the others again with the next call.
    size_t feed(std::string_view bytes);
    /// Reports that the peer has closed the connection. Completes a message that is delimited by it; any other unfinished message fails.
    void feedEof();
    /// Parses the message as a response to HEAD: without a body, regardless of its header fields. Call before feed().
    void expectNoBody();

    ReadState state() const;
    bool headDone() const;
    bool done() const;
    bool failed() const;

    std::string_view method() const;
    std::string_view target() const;
    int status() const;
    const HeaderFields &fields() const;
    /// Body bytes received so far. The caller may remove bytes that it has processed.
    std::string &body();
    std::optional<uint64_t> contentLength() const;
    /// Returns true if the message is delimited by the end of the connection.
    bool endsAtEof() const;
    /// Returns true if the connection can be reused after this message.
    bool keepAlive() const;

private:
    struct Parser;
    std::unique_ptr<Parser> parser_;
};

} // namespace daisymount::transport

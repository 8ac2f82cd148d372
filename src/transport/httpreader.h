// Incremental reading of HTTP/1.1 messages: strict about framing, independent of where the bytes come from.

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
    Head, ///< The head is not complete.
    Body,
    Done,
    Malformed, ///< Not a valid message; nothing after this can be trusted.
    HeadTooLarge,
    BodyTooLarge,
};

/// A request or response as far as it has been read.
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

    /// Reads from @p bytes and returns how many were used. Stops behind the end of the message.
    size_t feed(std::string_view bytes);
    /// The peer has closed in order: completes a message that ends with its connection, spoils any other.
    void feedEof();
    /// A response to HEAD has no body whatever its fields say.
    void expectNoBody();

    ReadState state() const;
    bool headDone() const;
    bool done() const;
    bool failed() const;

    std::string_view method() const;
    std::string_view target() const;
    int status() const;
    const HeaderFields &fields() const;
    /// Body bytes that were read and not taken.
    std::string &body();
    std::optional<uint64_t> contentLength() const;
    /// True when the end of the message is the end of its connection.
    bool endsAtEof() const;
    /// True when the peer will keep the connection open behind this message.
    bool keepAlive() const;

private:
    struct Parser;
    std::unique_ptr<Parser> parser_;
};

} // namespace daisymount::transport

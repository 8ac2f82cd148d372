// HttpReader based on the parser of Boost.Beast.

#include "transport/httpreader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace daisymount::transport
{

namespace
{
namespace http = boost::beast::http;
using boost::beast::string_view;
using boost::system::error_code;

/// Message contents collected by the request or response parser.
struct Message
{
    std::string method;
    std::string target;
    int status = 0;
    bool chunked = false; ///< A Transfer-Encoding field has been read.
    HeaderFields fields;
    std::string body;
};

constexpr int MIN_STATUS = 100;
constexpr int MAX_STATUS = 599;
constexpr int SWITCHING_PROTOCOLS = 101;
constexpr std::string_view END_OF_HEAD = "\r\n\r\n";

/// RFC 9110, section 15. A change of the protocol is never asked for, so that nothing could follow it.
bool isValidStatus(int status)
{
    return status >= MIN_STATUS && status <= MAX_STATUS && status != SWITCHING_PROTOCOLS;
}

/// True if a line of @p head begins with a blank. Such a line would become part of the field before it.
bool hasFoldedLine(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

template<bool isRequest>
class CollectingParser : public http::basic_parser<isRequest>
{
public:
    explicit CollectingParser(Message &message) : message_(message)
    { }

protected:
    void on_request_impl(http::verb /*verb*/, string_view method, string_view target, int /*version*/, error_code & /*error*/) override
    {
        message_.method.assign(method.data(), method.size());
        message_.target.assign(target.data(), target.size());
    }

    void on_response_impl(int status, string_view /*reason*/, int /*version*/, error_code &error) override
    {
        message_.status = status;
        if (!isValidStatus(status)) {
            error = http::error::bad_status;
        }
    }

    void on_field_impl(http::field field, string_view name, string_view value, error_code &error) override
    {
        if (field == http::field::transfer_encoding) {
            // No other coding is decoded, so the body would be passed on in it. Chunked is applied once.
            if (message_.chunked || !boost::beast::iequals(value, "chunked")) {
                error = http::error::bad_transfer_encoding;
                return;
            }
            message_.chunked = true;
        }
        message_.fields.emplace_back(std::string(name.data(), name.size()), std::string(value.data(), value.size()));
    }

    void on_header_impl(error_code & /*error*/) override
    { }

    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/, error_code & /*error*/) override
    { }

    std::size_t on_body_impl(string_view body, error_code & /*error*/) override
    {
        message_.body.append(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/, error_code & /*error*/) override
    { }

    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, string_view body, error_code & /*error*/) override
    {
        message_.body.append(body.data(), body.size());
        return body.size();
    }

    void on_finish_impl(error_code & /*error*/) override
    { }

private:
    Message &message_;
};

/// Maximum length of a chunk's size line, or of the trailer. Valid peers stay well below it; anything longer is malformed.
constexpr size_t FRAMING_LIMIT = 16 * 1024;
/// Maximum number of 1xx responses before the final one. Servers send one or two.
constexpr int MAX_INTERIM_RESPONSES = 8;

bool isInformational(int status)
{
    return status >= 100 && status < 200;
}
} // namespace

struct HttpReader::Parser
{
    MessageType type;
    size_t headLimit;
    uint64_t bodyLimit;
    bool noBody = false;
    ReadState failure = ReadState::Head; ///< Reason of the failure. Head if there is none.
    int interimResponses = 0;
    Message message;
    std::optional<CollectingParser<true>> request;
    std::optional<CollectingParser<false>> response;

    Parser(MessageType which, size_t head, uint64_t body) : type(which), headLimit(head), bodyLimit(body)
    {
        restart();
    }

    void restart()
    {
        message = Message{};
        if (type == MessageType::Request) {
            configure(request.emplace(message));
        } else {
            configure(response.emplace(message));
            response->skip(noBody);
        }
    }

    template<typename BeastParser>
    void configure(BeastParser &beastParser)
    {
        beastParser.eager(true);
        beastParser.header_limit(static_cast<std::uint32_t>(headLimit));
        beastParser.body_limit(boost::optional<std::uint64_t>(bodyLimit));
    }

    template<typename Function>
    auto withBeastParser(Function &&function)
    {
        return type == MessageType::Request ? function(*request) : function(*response);
    }

    void onError(const error_code &error)
    {
        if (error == http::error::header_limit) {
            failure = ReadState::HeadTooLarge;
        } else if (error == http::error::body_limit) {
            failure = ReadState::BodyTooLarge;
        } else {
            failure = ReadState::Malformed;
        }
    }

    size_t feed(std::string_view bytes)
    {
        size_t used = 0;
        while (used < bytes.size() && failure == ReadState::Head && !done()) {
            if (!headDone() && hasFoldedLine(bytes.substr(used, bytes.find(END_OF_HEAD, used) - used))) {
                failure = ReadState::Malformed;
                break;
            }
            error_code error;
            const size_t count = withBeastParser([&](auto &beastParser) { return beastParser.put(boost::asio::buffer(bytes.substr(used)), error); });
            used += count;
            if (error == http::error::need_more) {
                // Body bytes are consumed as they arrive, so unused bytes belong to an unfinished chunk size line or trailer.
                if (headDone() && bytes.size() - used > FRAMING_LIMIT) {
                    failure = ReadState::Malformed;
                }
                break;
            }
            if (error) {
                onError(error);
                break;
            }
            if (type == MessageType::Response && done() && isInformational(message.status)) {
                if (++interimResponses > MAX_INTERIM_RESPONSES) {
                    failure = ReadState::Malformed;
                    break;
                }
                restart();
            }
            if (count == 0) {
                break;
            }
        }
        return used;
    }

    bool headDone()
    {
        return withBeastParser([](auto &beastParser) { return beastParser.is_header_done(); });
    }

    bool done()
    {
        return withBeastParser([](auto &beastParser) { return beastParser.is_done(); });
    }
};

HttpReader::HttpReader(MessageType type, size_t headLimit, uint64_t bodyLimit) : parser_(std::make_unique<Parser>(type, headLimit, bodyLimit))
{ }

HttpReader::~HttpReader() = default;
HttpReader::HttpReader(HttpReader &&) noexcept = default;
HttpReader &HttpReader::operator=(HttpReader &&) noexcept = default;

size_t HttpReader::feed(std::string_view bytes)
{
    return parser_->feed(bytes);
}

void HttpReader::feedEof()
{
    if (failed() || done()) {
        return;
    }
    error_code error;
    parser_->withBeastParser([&](auto &beastParser) {
        if (!beastParser.is_header_done()) {
            error = http::error::partial_message;
        } else {
            beastParser.put_eof(error);
        }
        return 0;
    });
    if (error) {
        parser_->onError(error);
    }
}

void HttpReader::expectNoBody()
{
    parser_->noBody = true;
    parser_->restart();
}

ReadState HttpReader::state() const
{
    if (failed()) {
        return parser_->failure;
    }
    if (parser_->done()) {
        return ReadState::Done;
    }
    return headDone() ? ReadState::Body : ReadState::Head;
}

bool HttpReader::headDone() const
{
    return parser_->headDone();
}

bool HttpReader::done() const
{
    return !failed() && parser_->done();
}

bool HttpReader::failed() const
{
    return parser_->failure != ReadState::Head;
}

std::string_view HttpReader::method() const
{
    return parser_->message.method;
}

std::string_view HttpReader::target() const
{
    return parser_->message.target;
}

int HttpReader::status() const
{
    return parser_->message.status;
}

const HeaderFields &HttpReader::fields() const
{
    return parser_->message.fields;
}

std::string &HttpReader::body()
{
    return parser_->message.body;
}

std::optional<uint64_t> HttpReader::contentLength() const
{
    const auto length = parser_->withBeastParser([](auto &beastParser) { return beastParser.content_length(); });
    return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

bool HttpReader::endsAtEof() const
{
    return headDone() && parser_->withBeastParser([](auto &beastParser) { return beastParser.need_eof(); });
}

bool HttpReader::keepAlive() const
{
    return parser_->withBeastParser([](auto &beastParser) { return beastParser.keep_alive(); });
}

} // namespace daisymount::transport

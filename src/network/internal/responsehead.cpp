// Status lines and header fields as in RFC 9112.

#include "network/internal/responsehead.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <charconv>
#include <string>

namespace daisymount::network
{

namespace
{
constexpr std::string_view PROTOCOL = "HTTP/1.";
/// Position of the status in a status line, and its length.
constexpr size_t STATUS_AT = 9;
constexpr size_t STATUS_LENGTH = 3;
constexpr int MIN_STATUS = 100;
constexpr int MAX_STATUS = 599;
constexpr int SWITCHING_PROTOCOLS = 101;
constexpr std::string_view TOKEN_MARKS = "!#$%&'*+-.^_`|~";

bool isTokenCharacter(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || TOKEN_MARKS.find(c) != std::string_view::npos;
}

bool isControl(char c)
{
    return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f';
}

bool isValidStatusLine(std::string_view line)
{
    const bool isKnownVersion = line.starts_with(PROTOCOL) && line.size() >= STATUS_AT + STATUS_LENGTH
        && (line[PROTOCOL.size()] == '0' || line[PROTOCOL.size()] == '1') && line[STATUS_AT - 1] == ' ';
    if (!isKnownVersion) {
        return false;
    }
    const std::string_view digits = line.substr(STATUS_AT, STATUS_LENGTH);
    const std::string_view rest = line.substr(STATUS_AT + STATUS_LENGTH);
    int status = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), status);
    const bool isNumber = error == std::errc{} && end == digits.data() + digits.size();
    return isNumber && (rest.empty() || rest.front() == ' ') && status >= MIN_STATUS && status <= MAX_STATUS && status != SWITCHING_PROTOCOLS;
}
} // namespace

bool ResponseHead::addLine(std::string_view line)
{
    if (line.ends_with('\n')) {
        line.remove_suffix(1);
    }
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.starts_with("HTTP/")) {
        complete_ = false;
        chunked_ = false;
        return isValidStatusLine(line);
    }
    if (line.empty()) {
        complete_ = true;
        return true;
    }
    return addField(line);
}

bool ResponseHead::addField(std::string_view line)
{
    const size_t colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos || !std::ranges::all_of(line.substr(0, colon), isTokenCharacter)
        || std::ranges::any_of(line.substr(colon + 1), isControl)) {
        return false;
    }
    if (!boost::algorithm::iequals(line.substr(0, colon), "Transfer-Encoding")) {
        return true;
    }
    const bool isChunked = boost::algorithm::iequals(boost::algorithm::trim_copy(std::string(line.substr(colon + 1))), "chunked");
    // No other coding is decoded, and chunked is applied once.
    const bool isValid = isChunked && !chunked_;
    chunked_ = true;
    return isValid;
}

bool ResponseHead::complete() const
{
    return complete_;
}

} // namespace daisymount::network

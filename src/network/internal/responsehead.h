// Checks the heads of responses that libcurl reads: it accepts statuses and lines that are none in the protocol.

#pragma once

#include <string_view>

namespace daisymount::network
{

/// Follows the lines of one transfer: interim heads, the final head and a trailer.
class ResponseHead
{
public:
    /// Takes the next line, with its line end. Returns false if it is malformed, so that the response must not be used.
    bool addLine(std::string_view line);
    /// True once the blank line after the header fields of the last response has arrived.
    bool complete() const;

private:
    bool addField(std::string_view line);

    bool complete_ = false;
    bool chunked_ = false; ///< A Transfer-Encoding field has been read in this head.
};

} // namespace daisymount::network

// Relays an upstream's response to a caller and ensures that a truncated response is not framed as a complete one.

#pragma once

#include "transport/connection.h"
#include "transport/httpreader.h"

#include <string>
#include <string_view>

namespace daisymount::gateway
{

/// Splits a byte stream into complete server-sent events, so that an interrupted stream can be resumed at another upstream.
class EventAssembler
{
public:
    /// Appends received bytes and returns all events that are now complete.
    std::string append(std::string_view bytes);
    /// Discards an incomplete event, before the stream is resumed at another upstream.
    void discardPartial();
    /// Bytes received after the last complete event.
    const std::string &partial() const;
    /// Id of the last complete event that has one, empty if there is none.
    const std::string &lastEventId() const;
    int eventCount() const;
    /// Number of complete events that carry data. Events without data only keep the connection alive and are no progress.
    int64_t eventsWithData() const;

private:
    void parseLines(std::string_view events);

    std::string partial_;
    std::string lastEventId_;
    int eventCount_ = 0;
    bool hasData_ = false; ///< Whether the event being parsed has a data field.
    int64_t eventsWithData_ = 0;
};

/// Writes one response to a caller's connection.
class ResponseRelay
{
public:
    ResponseRelay(transport::Connection &caller, bool closeConnection);

    /// Sends a response whose whole body is known. @p fieldLines contains the end-to-end header fields, one per line.
    transport::asio::awaitable<bool> sendComplete(int status, std::string_view fieldLines, std::string_view body);
    /// Sends the head and the first bytes of a chunked response, whose length is not yet known.
    transport::asio::awaitable<bool> start(int status, std::string_view fieldLines, std::string_view firstBytes);
    transport::asio::awaitable<bool> sendChunk(std::string_view bytes);
    /// Completes a chunked response by sending the last chunk.
    transport::asio::awaitable<bool> finish();

    bool started() const;
    bool finished() const;
    /// Returns true when the response carries "Connection: close".
    bool closesConnection() const;
    /// Suppresses the body, for responses to HEAD requests.
    void omitBody();

private:
    std::string head(int status, std::string_view fieldLines, std::string_view framing) const;

    transport::Connection &caller_;
    bool closeConnection_;
    bool omitBody_ = false;
    bool started_ = false;
    bool finished_ = false;
};

} // namespace daisymount::gateway

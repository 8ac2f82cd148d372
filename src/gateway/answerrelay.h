// Passes an upstream's answer to a caller: whole, in order, and never as complete when it was cut.

#pragma once

#include "transport/connection.h"
#include "transport/httpreader.h"

#include <string>
#include <string_view>

namespace daisymount::gateway
{

/// Splits a stream of server-sent events into whole events, so that a stream can go on at another upstream.
class EventAssembler
{
public:
    /// Takes bytes and returns those that complete one or more events.
    std::string append(std::string_view bytes);
    /// Drops the part of an event that its upstream did not finish.
    void discardPartial();
    /// Bytes behind the last whole event.
    const std::string &partial() const;
    /// Id of the last whole event, empty before the first.
    const std::string &lastEventId() const;
    int eventCount() const;
    /// Whole events that carry data; others only keep the connection busy.
    int64_t eventsWithData() const;

private:
    void parseLines(std::string_view events);

    std::string partial_;
    std::string lastEventId_;
    int eventCount_ = 0;
    bool hasData_ = false; ///< In the event that is being read.
    int64_t eventsWithData_ = 0;
};

/// Writes one answer to a caller's connection.
class ResponseRelay
{
public:
    ResponseRelay(transport::Connection &caller, bool closeConnection);

    /// An answer whose body is known. @p fieldLines: end-to-end header lines.
    transport::asio::awaitable<bool> sendComplete(int status, std::string_view fieldLines, std::string_view body);
    /// Begins an answer of unknown length together with its first bytes.
    transport::asio::awaitable<bool> start(int status, std::string_view fieldLines, std::string_view firstBytes);
    transport::asio::awaitable<bool> sendChunk(std::string_view bytes);
    /// Marks an answer that was begun as complete.
    transport::asio::awaitable<bool> finish();

    bool started() const;
    bool finished() const;
    /// True when the caller was told that the connection ends behind the answer.
    bool closesConnection() const;
    /// Set for an answer without a body, such as one to HEAD.
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

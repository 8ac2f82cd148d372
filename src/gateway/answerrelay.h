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
    std::string take(std::string_view bytes);
    /// Drops the part of an event that its upstream did not finish.
    void dropPartial();
    /// Bytes behind the last whole event.
    const std::string &partial() const;
    /// Id of the last whole event, empty before the first.
    const std::string &lastEventId() const;
    int events() const;
    /// Whole events that carry data; others only keep the connection busy.
    int64_t withContent() const;

private:
    void noteIds(std::string_view events);

    std::string partial_;
    std::string lastEventId_;
    int events_ = 0;
    bool contentSeen_ = false; ///< In the event that is being read.
    int64_t withContent_ = 0;
};

/// Writes one answer to a caller's connection.
class ResponseRelay
{
public:
    ResponseRelay(transport::Connection &caller, bool closeAfter);

    /// An answer whose body is known. @p fieldLines: end-to-end header lines.
    transport::asio::awaitable<bool> sendWhole(int status, std::string_view fieldLines, std::string_view body);
    /// Begins an answer of unknown length together with its first bytes.
    transport::asio::awaitable<bool> begin(int status, std::string_view fieldLines, std::string_view firstBytes);
    transport::asio::awaitable<bool> sendPart(std::string_view bytes);
    /// Marks an answer that was begun as complete.
    transport::asio::awaitable<bool> finish();

    bool begun() const;
    bool finished() const;
    /// True when the caller was told that the connection ends behind the answer.
    bool closesAfter() const;
    /// Set for an answer without a body, such as one to HEAD.
    void omitBody();

private:
    std::string head(int status, std::string_view fieldLines, std::string_view framing) const;

    transport::Connection &caller_;
    bool closeAfter_;
    bool omitBody_ = false;
    bool begun_ = false;
    bool finished_ = false;
};

} // namespace daisymount::gateway

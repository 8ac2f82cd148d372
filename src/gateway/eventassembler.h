// Splits a response body into server-sent events (text/event-stream), so that an interrupted stream can be resumed after its last complete event
// and one that ends inside an event is not taken for complete.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisymount::gateway
{

class EventAssembler
{
public:
    /// Appends received bytes and returns all events that are now complete, unchanged. Lines may end with LF, CR LF or CR; a blank line ends an event.
    std::string append(std::string_view bytes);
    /// Discards an incomplete event, before the stream is resumed at another upstream.
    void discardPartial();
    /// Bytes received after the last complete event.
    const std::string &partial() const;
    /// True if the body must not end here: part of an event has arrived, and the blank line after it has not. Comments are not part of an event.
    bool isInsideEvent() const;
    /// Id of the last complete event that has one, empty if there is none.
    const std::string &lastEventId() const;
    int eventCount() const;
    /// Number of complete events that carry data. Events without data only keep the connection alive and are no progress.
    int64_t eventsWithData() const;

private:
    /// Fields of the event that is being received.
    struct Event
    {
        bool hasFields = false;
        bool hasData = false;
        std::optional<std::string> id;
    };

    /// Moves lineStart_ after the next line end. Returns the line without its end, or an empty value if the end has not arrived.
    std::optional<std::string_view> nextLine();
    void parseLine(std::string_view line);

    std::string partial_;
    size_t lineStart_ = 0; ///< Of the first line in partial_ that has not been parsed.
    size_t scanned_ = 0; ///< Bytes of partial_ that contain no line end after lineStart_. At least lineStart_.
    bool afterCarriageReturn_ = false; ///< The last byte received is a CR. A line feed that follows belongs to the same line end.
    Event event_;
    std::string lastEventId_;
    int eventCount_ = 0;
    int64_t eventsWithData_ = 0;
};

} // namespace daisymount::gateway

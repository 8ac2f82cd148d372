// Incremental parser of server-sent events.

#include "gateway/eventassembler.h"

#include <utility>

namespace daisymount::gateway
{

std::string EventAssembler::append(std::string_view bytes)
{
    partial_ += bytes;
    size_t end = 0; // Of the last complete event.
    if (!partial_.empty() && lineStart_ < partial_.size() && std::exchange(afterCarriageReturn_, false) && partial_[lineStart_] == '\n') {
        // If the CR has completed an event, this line feed follows it without delay.
        end = lineStart_ == 0 ? 1 : 0;
        ++lineStart_;
        scanned_ = lineStart_;
    }
    while (const std::optional<std::string_view> line = nextLine()) {
        parseLine(*line);
        end = line->empty() ? lineStart_ : end;
    }
    std::string complete = partial_.substr(0, end);
    partial_.erase(0, end);
    lineStart_ -= end;
    scanned_ -= end;
    return complete;
}

std::optional<std::string_view> EventAssembler::nextLine()
{
    const size_t lineEnd = partial_.find_first_of("\r\n", scanned_);
    if (lineEnd == std::string::npos) {
        scanned_ = partial_.size();
        return std::nullopt;
    }
    const std::string_view line = std::string_view(partial_).substr(lineStart_, lineEnd - lineStart_);
    lineStart_ = lineEnd + 1;
    if (partial_[lineEnd] == '\r') {
        afterCarriageReturn_ = lineStart_ == partial_.size();
        lineStart_ += !afterCarriageReturn_ && partial_[lineStart_] == '\n' ? 1 : 0;
    }
    scanned_ = lineStart_;
    return line;
}

void EventAssembler::parseLine(std::string_view line)
{
    if (line.empty()) {
        ++eventCount_;
        eventsWithData_ += event_.hasData ? 1 : 0;
        lastEventId_ = std::move(event_.id).value_or(std::move(lastEventId_));
        event_ = Event{};
        return;
    }
    if (line.front() == ':') {
        return;
    }
    event_.hasFields = true;
    const size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    event_.hasData = event_.hasData || name == "data";
    if (name == "id") {
        event_.id = value;
    }
}

void EventAssembler::discardPartial()
{
    partial_.clear();
    lineStart_ = 0;
    scanned_ = 0;
    afterCarriageReturn_ = false;
    event_ = Event{};
}

const std::string &EventAssembler::partial() const
{
    return partial_;
}

bool EventAssembler::isInsideEvent() const
{
    const bool unfinishedField = lineStart_ < partial_.size() && partial_[lineStart_] != ':';
    return event_.hasFields || unfinishedField;
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

} // namespace daisymount::gateway

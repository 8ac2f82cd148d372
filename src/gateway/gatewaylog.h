// Writes log events as JSON lines to standard output, rate-limited and without blocking.

#pragma once

#include "framework/clock.h"
#include "framework/eventlog.h"

#include <string>

namespace daisymount::gateway
{

class GatewayLog : public framework::IEventLog
{
public:
    explicit GatewayLog(framework::LogIdentity identity);

    /// Buffers one line. Beyond MAX_LINES_PER_SECOND or with a full buffer, the line is dropped and counted.
    void report(const framework::Event &event) override;
    /// Writes as many buffered bytes as standard output accepts without blocking. Must be called several times per second.
    void flush();
    /// The same, but waits for up to @p limit in all until standard output accepts the rest. For the end of the process.
    void flushWithin(framework::milliseconds limit);

    static constexpr int MAX_LINES_PER_SECOND = 400; ///< Twice the number of lines that a gateway logs at twice its usual traffic.
    static constexpr size_t MAX_BUFFER_BYTES = 1U << 20U;

private:
    /// Writes what standard output accepts within @p wait.
    void write(framework::milliseconds wait);
    void append(const framework::Event &event);

    framework::JsonEventLog renderer_;
    std::string buffer_; ///< Lines not yet written, limited by MAX_BUFFER_BYTES.
    framework::Instant windowStart_{0};
    int linesInWindow_ = 0;
    int64_t droppedLines_ = 0; ///< Lines dropped since the last "lines_dropped" event.
};

} // namespace daisymount::gateway

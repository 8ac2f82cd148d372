// JSON lines on standard output: bounded in volume and never blocking.

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

    /// Appends one line; beyond LINES_PER_SECOND or a full buffer it is counted instead.
    void report(const framework::Event &event) override;
    /// Writes as much as standard output takes without blocking. Call several times a second.
    void flush();

    static constexpr int MAX_LINES_PER_SECOND = 400; ///< Twice the lines of an entry at twice its usual traffic.
    static constexpr size_t MAX_BUFFER_BYTES = 1U << 20U;

private:
    void append(const framework::Event &event);

    framework::JsonEventLog renderer_;
    std::string buffer_; ///< At most BUFFER_BYTES.
    framework::Instant windowStart_{0};
    int linesInWindow_ = 0;
    int64_t droppedLines_ = 0; ///< Since the last line that told of dropped ones.
};

} // namespace daisymount::gateway

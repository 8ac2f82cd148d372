// Buffering, rate limiting and non-blocking output of log lines.

#include "gateway/gatewaylog.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace daisymount::gateway
{

namespace
{
/// A pipe that poll() reports as writable accepts this many bytes without blocking (PIPE_BUF).
constexpr size_t WRITE_BYTES = 4'096;
} // namespace

GatewayLog::GatewayLog(framework::LogIdentity identity) : renderer_(std::move(identity))
{ }

void GatewayLog::report(const framework::Event &event)
{
    const framework::Instant now = framework::monotonicNow();
    if (now - windowStart_ >= framework::seconds{1}) {
        windowStart_ = now;
        linesInWindow_ = 0;
        if (droppedLines_ > 0) {
            append({"log", "lines_dropped", framework::ResultCode::Ok, "", {{"lines", std::to_string(droppedLines_)}}});
            droppedLines_ = 0;
        }
    }
    if (++linesInWindow_ > MAX_LINES_PER_SECOND || buffer_.size() > MAX_BUFFER_BYTES) {
        ++droppedLines_;
        return;
    }
    append(event);
}

void GatewayLog::append(const framework::Event &event)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    buffer_ += renderer_.render(event, std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    buffer_ += '\n';
}

void GatewayLog::flush()
{
    write(framework::milliseconds{0});
}

void GatewayLog::flushWithin(framework::milliseconds limit)
{
    write(limit);
}

void GatewayLog::write(framework::milliseconds wait)
{
    const framework::Instant end = framework::monotonicNow() + wait;
    size_t written = 0;
    while (written < buffer_.size()) {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const auto left = std::chrono::duration_cast<framework::milliseconds>(end - framework::monotonicNow());
        if (::poll(&output, 1, static_cast<int>(std::max<int64_t>(0, left.count()))) != 1 || (output.revents & POLLOUT) == 0) {
            break;
        }
        const ssize_t count = ::write(STDOUT_FILENO, buffer_.data() + written, std::min(WRITE_BYTES, buffer_.size() - written));
        if (count <= 0) {
            break;
        }
        written += static_cast<size_t>(count);
    }
    buffer_.erase(0, written);
}

} // namespace daisymount::gateway

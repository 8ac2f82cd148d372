// HTTP over blocking sockets, for stand-ins and clients with one thread a connection.

#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;

inline double seconds()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void sleepMs(double ms)
{
    std::this_thread::sleep_for(std::chrono::microseconds(static_cast<int64_t>(ms * 1000)));
}

struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const char *name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name) == 0) {
                return value;
            }
        }
        return {};
    }

    std::string word(int index) const
    {
        size_t begin = 0;
        for (; index > 0; --index) {
            begin = startLine.find(' ', begin) + 1;
        }
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }

    std::string method() const
    {
        return word(0);
    }

    std::string target() const
    {
        return word(1);
    }

    int status() const
    {
        return startLine.starts_with("HTTP/") ? std::atoi(word(1).c_str()) : 0;
    }
};

/// How the reading of a message has ended.
enum class ReadResult : uint8_t {
    Complete,
    Partial, ///< The connection ended inside the message.
    Nothing, ///< The connection ended before its first byte.
    TimedOut,
};

class Socket
{
public:
    explicit Socket(int descriptor) : descriptor_(descriptor)
    {
        const int on = 1;
        ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Socket()
    {
        close();
    }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    void close()
    {
        const int descriptor = descriptor_.exchange(-1);
        if (descriptor >= 0) {
            ::close(descriptor);
        }
    }

    bool write(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<size_t>(sent));
        }
        return true;
    }

    /// True if the peer has closed or reset the connection.
    bool peerClosed() const
    {
        char byte = 0;
        const ssize_t got = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    ReadResult read(Message &message, double timeoutMs)
    {
        message = Message{};
        const double end = seconds() + timeoutMs / 1000;
        size_t headEnd = std::string::npos;
        while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (const ReadResult more = fill(end); more != ReadResult::Complete) {
                return more == ReadResult::TimedOut ? more : buffer_.empty() ? ReadResult::Nothing : ReadResult::Partial;
            }
        }
        std::string head = buffer_.substr(0, headEnd + 2);
        buffer_.erase(0, headEnd + 4);
        parseHead(message, head);
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            return readChunks(message, end);
        }
        const size_t length = static_cast<size_t>(std::atoll(message.field("Content-Length").c_str()));
        while (buffer_.size() < length) {
            if (const ReadResult more = fill(end); more != ReadResult::Complete) {
                return more;
            }
        }
        message.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return ReadResult::Complete;
    }

private:
    ReadResult fill(double end)
    {
        const double left = (end - seconds()) * 1000;
        pollfd descriptor{descriptor_, POLLIN, 0};
        if (left <= 0 || ::poll(&descriptor, 1, static_cast<int>(left) + 1) <= 0) {
            return ReadResult::TimedOut;
        }
        char chunk[16384];
        const ssize_t got = ::recv(descriptor_, chunk, sizeof(chunk), 0);
        if (got <= 0) {
            return ReadResult::Partial;
        }
        buffer_.append(chunk, static_cast<size_t>(got));
        return ReadResult::Complete;
    }

    static void parseHead(Message &message, std::string_view head)
    {
        while (!head.empty()) {
            const size_t end = head.find("\r\n");
            const std::string_view line = head.substr(0, end);
            head.remove_prefix(end + 2);
            const size_t colon = line.find(':');
            if (message.startLine.empty()) {
                message.startLine = line;
            } else if (colon != std::string_view::npos) {
                const size_t value = line.find_first_not_of(' ', colon + 1);
                message.fields.emplace_back(line.substr(0, colon), value == std::string_view::npos ? std::string_view{} : line.substr(value));
            }
        }
    }

    ReadResult readChunks(Message &message, double end)
    {
        while (true) {
            size_t lineEnd = std::string::npos;
            while ((lineEnd = buffer_.find("\r\n")) == std::string::npos) {
                if (const ReadResult more = fill(end); more != ReadResult::Complete) {
                    return more;
                }
            }
            const size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < lineEnd + 2 + size + 2) {
                if (const ReadResult more = fill(end); more != ReadResult::Complete) {
                    return more;
                }
            }
            message.body += buffer_.substr(lineEnd + 2, size);
            buffer_.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                return ReadResult::Complete;
            }
        }
    }

    std::atomic<int> descriptor_;
    std::string buffer_;
};

inline sockaddr_in endpointOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Connects to IP:PORT; null if that fails.
inline std::unique_ptr<Socket> connectTo(const std::string &where)
{
    const size_t colon = where.find(':');
    const sockaddr_in address = endpointOf(where.substr(0, colon), std::atoi(where.c_str() + colon + 1));
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<Socket>(descriptor);
}

/// A port that is free on all of @p ips.
inline int freePort(const std::vector<std::string> &ips)
{
    for (int port = 20000 + static_cast<int>(::getpid() % 20000); port < 60000; ++port) {
        bool isFree = true;
        for (const std::string &ip : ips) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
                const sockaddr_in address = endpointOf(ip, port);
                isFree = isFree && ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
                ::close(descriptor);
            }
        }
        static std::atomic<int> last{0};
        if (isFree && port > last) {
            last = port;
            return port;
        }
    }
    return 0;
}

/// First three bytes of addresses that no other script uses. A port of the network is kept until the process ends.
inline std::string freeNetwork()
{
    for (int i = 0;; ++i) {
        const std::string network = "127.83." + std::to_string(10 + (::getpid() + i) % 200) + ".";
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = endpointOf(network + "254", 20'001);
        if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 || i == 200) {
            return network;
        }
        ::close(descriptor);
    }
}

/// Accepts connections on a free port and serves each in a thread. Lives until the process ends.
class Listener
{
public:
    Listener(const std::string &ip, std::function<void(Socket &)> serve) : serve_(std::move(serve))
    {
        descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = endpointOf(ip, 0);
        socklen_t size = sizeof(address);
        if (::bind(descriptor_, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(descriptor_, 512) != 0) {
            std::exit(2);
        }
        ::getsockname(descriptor_, reinterpret_cast<sockaddr *>(&address), &size);
        address_ = ip + ":" + std::to_string(ntohs(address.sin_port));
        std::thread([this] {
            while (true) {
                const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    sleepMs(10);
                    continue;
                }
                std::thread([this, accepted] {
                    Socket socket(accepted);
                    serve_(socket);
                }).detach();
            }
        }).detach();
    }

    const std::string &address() const
    {
        return address_;
    }

private:
    std::function<void(Socket &)> serve_;
    int descriptor_ = -1;
    std::string address_;
};

inline std::string response(int status, const std::string &body, const std::string &fields = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review

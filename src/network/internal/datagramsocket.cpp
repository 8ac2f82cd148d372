// Datagram socket.

#include "network/datagramsocket.h"

#include <charconv>
#include <cstring>
#include <optional>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace daisymount::network
{

namespace
{
constexpr int RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024;

std::optional<sockaddr_in> parseAddress(std::string_view address)
{
    const size_t colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    uint16_t port = 0;
    const std::string_view portText = address.substr(colon + 1);
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(port);
    const std::string host(address.substr(0, colon));
    const bool valid = error == std::errc{} && end == portText.data() + portText.size() && inet_pton(AF_INET, host.c_str(), &parsed.sin_addr) == 1;
    return valid ? std::optional<sockaddr_in>(parsed) : std::nullopt;
}
} // namespace

DatagramSocket::~DatagramSocket()
{
    if (descriptor_ >= 0) {
        close(descriptor_);
    }
}

framework::Ret DatagramSocket::bind(std::string_view address)
{
    const std::optional<sockaddr_in> parsed = parseAddress(address);
    if (!parsed) {
        return {framework::ResultCode::BadValue, std::string(address)};
    }
    descriptor_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER_BYTES, sizeof(RECEIVE_BUFFER_BYTES));
    if (::bind(descriptor_, reinterpret_cast<const sockaddr *>(&*parsed), sizeof(*parsed)) != 0) {
        return {framework::ResultCode::BadValue, std::string(address) + ": " + std::strerror(errno)};
    }
    return {};
}

void DatagramSocket::send(std::string_view address, std::string_view data) const
{
    const std::optional<sockaddr_in> parsed = parseAddress(address);
    if (parsed && descriptor_ >= 0) {
        sendto(descriptor_, data.data(), data.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr *>(&*parsed), sizeof(*parsed));
    }
}

void DatagramSocket::drain(const std::function<void(std::string_view)> &receive) const
{
    std::vector<char> buffer(MAX_DATAGRAM_BYTES);
    for (ssize_t size = recv(descriptor_, buffer.data(), buffer.size(), 0); size >= 0; size = recv(descriptor_, buffer.data(), buffer.size(), 0)) {
        receive(std::string_view(buffer.data(), static_cast<size_t>(size)));
    }
}

int DatagramSocket::descriptor() const
{
    return descriptor_;
}

} // namespace daisymount::network

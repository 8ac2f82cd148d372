// UDP socket bound to a node's address, for small control messages between nodes.

#pragma once

#include "framework/result.h"

#include <functional>
#include <string>
#include <string_view>

namespace daisymount::network
{

class DatagramSocket
{
public:
    DatagramSocket() = default;
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// @p address is an IPv4 address and port. Fails with ResultCode::BadValue.
    framework::Ret bind(std::string_view address);
    /// Best effort; may be called from any thread.
    void send(std::string_view address, std::string_view data) const;
    /// Hands each waiting datagram to @p receive.
    void drain(const std::function<void(std::string_view data)> &receive) const;
    int descriptor() const;

    static constexpr size_t MAX_DATAGRAM_BYTES = 60'000;

private:
    int descriptor_ = -1;
};

} // namespace daisymount::network

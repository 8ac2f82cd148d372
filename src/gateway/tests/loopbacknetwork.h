// Loopback addresses for the processes of one test run.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <cstdint>
#include <random>
#include <string>

namespace daisymount::gateway::tests
{

/// A network of loopback addresses that no other run uses at the same time. Ports below the ephemeral range are then free on each of its addresses
/// for as long as the run lasts, also while a process that uses them is down.
class LoopbackNetwork
{
public:
    static constexpr uint16_t CALLER_PORT = 20'001;
    static constexpr uint16_t READY_PORT = 20'002;
    static constexpr uint16_t DIRECTORY_PORT = 20'003;
    static constexpr uint16_t PEER_PORT = 20'004;

    explicit LoopbackNetwork(boost::asio::io_context &reactor) : reservation_(reactor)
    {
        std::random_device device;
        while (!reserve("127." + std::to_string(FIRST + device() % COUNT) + "." + std::to_string(1 + device() % MAX_BYTE) + ".")) { }
    }

    /// Address of the member with @p number, from 1 to 249.
    std::string address(size_t number) const
    {
        return prefix_ + std::to_string(number);
    }

private:
    /// Networks from 127.180 on; the soak uses lower ones.
    static constexpr unsigned FIRST = 180;
    static constexpr unsigned COUNT = 70;
    static constexpr unsigned MAX_BYTE = 250;
    static constexpr uint16_t RESERVATION_PORT = 20'000;

    bool reserve(const std::string &prefix)
    {
        using boost::asio::ip::udp;
        boost::system::error_code error;
        reservation_.close(error);
        reservation_.open(udp::v4());
        reservation_.bind({boost::asio::ip::make_address_v4(prefix + std::to_string(MAX_BYTE)), RESERVATION_PORT}, error);
        prefix_ = prefix;
        return !error;
    }

    boost::asio::ip::udp::socket reservation_; ///< Bound as long as the network is in use.
    std::string prefix_;
};

} // namespace daisymount::gateway::tests

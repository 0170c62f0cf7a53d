#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <thread>

#include "testing/scenario/network_link.hpp"
#include "testing/scenario/socket.hpp"

namespace mustardwick::testing
{

/// @brief Forwards datagrams on loopback and injects the faults of its link.
///
/// Each sender has its own socket to the target, so that replies can be routed
/// back to it.
class udp_relay
{
public:
    explicit udp_relay(std::uint16_t target);
    ~udp_relay();
    udp_relay(const udp_relay&) = delete;
    udp_relay& operator=(const udp_relay&) = delete;

    std::uint16_t port() const
    {
        return port_of(listener_);
    }

    network_link& link()
    {
        return link_;
    }

private:
    void run();
    void forward_datagram();
    void return_datagram(std::uint16_t sender, const descriptor& socket);

    std::uint16_t target_;
    descriptor listener_;
    network_link link_;
    std::atomic<bool> stopping_{false};
    std::map<std::uint16_t, descriptor> senders_;
    std::thread thread_;
};

} // namespace mustardwick::testing

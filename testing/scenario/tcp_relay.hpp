#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <thread>

#include "testing/scenario/network_link.hpp"
#include "testing/scenario/socket.hpp"

namespace mustardwick::testing
{

/// @brief Forwards TCP connections on loopback and injects the faults of its
/// link. Each connection has one thread per direction.
class tcp_relay
{
public:
    /// @brief Listens on a port (0 takes any free port) and forwards
    /// connections to the target port.
    explicit tcp_relay(std::uint16_t target, std::uint16_t listen = 0);
    ~tcp_relay();
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    std::uint16_t port() const
    {
        return port_of(listener_);
    }

    network_link& link()
    {
        return link_;
    }

private:
    struct connection;

    void accept_connections();
    void start_connection(descriptor client);
    void pump(connection& conn, flow direction) const;
    bool forward_available(connection& conn, flow direction) const;
    void remove_ended();

    std::uint16_t target_;
    descriptor listener_;
    network_link link_;
    std::atomic<bool> stopping_{false};
    std::list<std::unique_ptr<connection>> connections_;
    std::thread acceptor_;
};

} // namespace mustardwick::testing

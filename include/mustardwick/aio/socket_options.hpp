#pragma once

#include <chrono>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>

namespace mustardwick::aio
{

/// Milliseconds for which sent bytes may stay unacknowledged before the
/// connection is closed. Not above the shortest call timeout that matters for
/// failover (1,500 ms).
inline constexpr unsigned user_timeout_ms = 1500;

/// @brief Disables Nagle's algorithm and limits the time that sent bytes may
/// stay unacknowledged, so that a broken network path is detected.
inline void set_low_latency(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    // Errors are ignored: without the options, call deadlines still apply.
    const unsigned timeout = user_timeout_ms;
    (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                       &timeout, sizeof timeout);
}

/// @brief Returns for how long the newest bytes of a connection have been in
/// this host's hands; 0 where the system does not tell.
inline std::chrono::milliseconds
time_since_last_data(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                     &size) != 0)
        return std::chrono::milliseconds(0);
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

} // namespace mustardwick::aio
